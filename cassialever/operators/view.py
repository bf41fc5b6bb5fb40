"""What operators can query of a daemon: typed data without secrets."""

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
    """One instance, as known to the daemon that reports it."""

    instance_id: InstanceId
    address: str


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One target and its open requests.

    `in_flight_elsewhere` is what the other daemons last reported; `out_by` is
    the entry that takes the target out of service, if any.
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
    """The status of one daemon and its view of the fleet."""

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
    """The current owner of a key, as known to the daemon that reports it."""

    service: ServiceName
    key: Key
    slice_index: SliceIndex
    target_id: TargetId | None
    entry: EntryRef


class OperatorView(Protocol):
    """The interface of a daemon that the operators' endpoint uses."""

    def not_ready_reason(self) -> str:
        """Return why this instance is not ready, or an empty string."""

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def status(self) -> Status:
        """Return the status of this daemon."""

    def owner(self, service: ServiceName, key: Key) -> KeyOwner | Failure:
        """Return the owner of a key."""

    def explain(self, query: DecisionQuery) -> Sequence[Explanation]:
        """Return explanations of the matching decisions, newest first."""

    def dump(self) -> msgspec.Struct:
        """Return the internal state for debugging, without secrets."""
