"""The implementation of `OperatorView` by a running daemon."""

from collections.abc import Sequence

import msgspec

from cassialever.callers.front import CallerServer
from cassialever.callers.intake import key_number, slice_of
from cassialever.catalogue.entries import CatalogueIndex, TargetEntry
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import KeyRange, Target
from cassialever.gateway.core import Core
from cassialever.operators.decisions import DecisionQuery
from cassialever.operators.explain import Explanation, explain
from cassialever.operators.view import (
    InstanceStatus,
    KeyOwner,
    Status,
    TargetStatus,
)
from cassialever.settings import Settings
from cassialever.telemetry.telemetry import Telemetry
from cassialever.types import (
    CatalogueVersion,
    InstanceId,
    Key,
    RowVersion,
    ServiceName,
    TargetState,
)


class Dump(msgspec.Struct, frozen=True):
    """The internal state of a daemon, for debugging.

    `version_by_table` is the latest version of each of the store's tables
    that this daemon has; `owners_by_service` has every key range and its
    owner.
    """

    state: str
    leader: str
    version_by_table: dict[str, RowVersion]
    owners_by_service: dict[ServiceName, tuple[KeyRange, ...]]
    addresses: dict[str, str]


class DaemonView:
    """Implement `OperatorView` for one daemon."""

    def __init__(
        self,
        settings: Settings,
        core: Core,
        telemetry: Telemetry,
        caller_server: CallerServer,
    ) -> None:
        self.is_stopping = False
        self._settings = settings
        self._core = core
        self.index: CatalogueIndex | None = None
        self._telemetry = telemetry
        self._caller_server = caller_server

    def adopt(self, index: CatalogueIndex) -> None:
        """Use this catalogue from now on."""
        self.index = index

    def not_ready_reason(self) -> str:
        """Return why this instance is not ready, or an empty string."""
        if self.is_stopping:
            return 'this instance is stopping'
        if self.index is None:
            return 'this instance knows no catalogue yet'
        if not self._core.view.targets.by_id:
            return 'this instance knows no target yet'
        return ''

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._telemetry.metrics.exposition()

    def status(self) -> Status:
        """Return the status of this daemon."""
        instance = self._settings.instance
        index = self.index
        reason = self.not_ready_reason()
        return Status(
            instance_id=instance.instance_id,
            data_centre=instance.data_centre,
            ready=not reason,
            not_ready_because=reason,
            catalogue_version=index.version if index else CatalogueVersion(0),
            table_reachable=self._core.membership.is_store_reachable(),
            in_progress=self._caller_server.in_progress,
            leader=self._core.view.leader_id,
            instances=tuple(
                InstanceStatus(InstanceId(name), address)
                for name, address in sorted(
                    self._core.membership.peers().items(),
                )
            ),
            targets=self._targets(index) if index else (),
        )

    def owner(self, service: ServiceName, key: Key) -> KeyOwner | Failure:
        """Return the owner of a key."""
        index = self.index
        entry = index.service_by_name.get(service) if index else None
        if entry is None:
            return Failure(
                ErrorKind.unknown_service,
                f'the catalogue has no service {service}',
            )
        owners = self._core.view.keys_by_service.get(service)
        key_range = owners.find(key_number(key, entry)) if owners else None
        return KeyOwner(
            service=service,
            key=key,
            slice_index=slice_of(key, entry),
            target_id=key_range.owner if key_range else None,
            entry=entry.ref(),
        )

    def explain(self, query: DecisionQuery) -> Sequence[Explanation]:
        """Return explanations of the matching decisions, newest first."""
        return [
            explain(decision, self.index)
            for decision in self._telemetry.decisions.matching(query)
        ]

    def dump(self) -> Dump:
        """Return the internal state for debugging, without secrets."""
        view = self._core.view
        return Dump(
            state=self._core.membership.state.value,
            leader=self._core.view.leader_id,
            version_by_table=dict(view.rows.version_by_table),
            owners_by_service=view.owners(),
            addresses=dict(self._core.membership.peers()),
        )

    def _targets(self, index: CatalogueIndex) -> tuple[TargetStatus, ...]:
        return tuple(
            self._target(entry, index) for entry in index.catalogue.targets
        )

    def _target(
        self,
        entry: TargetEntry,
        index: CatalogueIndex,
    ) -> TargetStatus:
        targets = self._core.view.targets
        target = targets.by_id.get(entry.target_id)
        load = self._core.loads.of(entry.target_id)
        return TargetStatus(
            target_id=entry.target_id,
            service=entry.service,
            data_centre=entry.data_centre,
            state=self._state(target).value,
            in_flight=load.open_requests,
            in_flight_elsewhere=load.open_elsewhere,
            capacity=target.slots if target else 0,
            out_by=index.out_of_service_entry(entry),
        )

    def _state(self, target: Target | None) -> TargetState:
        if target is None:
            return TargetState.lost
        targets = self._core.view.targets
        if not targets.is_usable(target):
            return TargetState.draining
        if targets.is_cold(target.target_id):
            return TargetState.cold
        return TargetState.warm
