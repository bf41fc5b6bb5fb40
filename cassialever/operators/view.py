"""What a daemon shows to operators: typed, and free of secrets."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from cassialever.errors import EntryRef, Failure
from cassialever.operators.decisions import DecisionQuery
from cassialever.operators.explain import Explanation
from cassialever.types import (
    CatalogueVersion,
    DataCentreId,
    InstanceId,
    Key,
    ServiceName,
    SliceIndex,
    TargetId,
)


class InstanceStatus(msgspec.Struct, frozen=True):
    """One instance, as the daemon that was asked knows it."""

    instance_id: InstanceId
    address: str


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One target, and the requests open there.

    Those of other daemons are as they told last.
    """

    target_id: TargetId
    service: ServiceName
    data_centre: DataCentreId
    state: str
    in_flight: int = 0
    in_flight_elsewhere: int = 0
    capacity: int = 0
    out_by: EntryRef | None = None


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one daemon and what it knows of the fleet."""

    instance_id: InstanceId
    data_centre: DataCentreId
    ready: bool
    not_ready_because: str = ''
    catalogue_version: CatalogueVersion = CatalogueVersion(0)
    table_reachable: bool = True
    in_progress: int = 0
    leader: str = ''
    instances: tuple[InstanceStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()


class KeyOwner(msgspec.Struct, frozen=True, kw_only=True):
    """Who owns a key just now, as the daemon that was asked knows it."""

    service: ServiceName
    key: Key
    slice_index: SliceIndex
    target_id: TargetId | None
    entry: EntryRef


class OperatorView(Protocol):
    """What the operators' endpoint needs of a daemon."""

    def not_ready_reason(self) -> str:
        """Return why the balancer should send nothing here, if so."""

    def metrics(self) -> bytes:
        """Return all metrics in Prometheus' text form."""

    def status(self) -> Status:
        """Return the state of this daemon."""

    def owner(self, service: ServiceName, key: Key) -> KeyOwner | Failure:
        """Return who owns a key."""

    def explain(self, query: DecisionQuery) -> Sequence[Explanation]:
        """Return what was decided, the newest first."""

    def dump(self) -> msgspec.Struct:
        """Return the inner state for debugging, with no secret in it."""
