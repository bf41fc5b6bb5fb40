"""What a daemon shows to operators, gathered from its parts."""

import collections
from collections.abc import Iterator, Mapping, Sequence

import msgspec

from cassialever.catalogue import CatalogueIndex, TargetEntry
from cassialever.decisions import Question
from cassialever.errors import ErrorKind, Failure
from cassialever.explain import Explanation, explain
from cassialever.gates import Gates
from cassialever.instances import Instance
from cassialever.limits import TargetGate
from cassialever.operator_view import (
    InstanceStatus,
    KeyOwner,
    Status,
    TargetStatus,
)
from cassialever.placement import Placement
from cassialever.settings import Settings
from cassialever.table_watch import WatchedTable
from cassialever.telemetry import Telemetry
from cassialever.types import (
    CatalogueVersion,
    DataCentreId,
    Epoch,
    InstanceId,
    Key,
    RoutingClass,
    ServiceName,
    TargetState,
)

#: What is shown of a target whose lease another instance holds.
UNKNOWN_STATE = 'held elsewhere'


class Dump(msgspec.Struct, frozen=True, kw_only=True):
    """The inner state of a daemon, for debugging."""

    status: Status
    epoch_by_data_centre: Mapping[DataCentreId, Epoch]
    table_calls: Mapping[str, int]
    decisions: tuple[Explanation, ...]


class DaemonView:
    """Show one daemon; implements `operator_view.OperatorView`."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        gates: Gates,
        table: WatchedTable,
        telemetry: Telemetry,
    ) -> None:
        """Take the parts; the rest is set as it becomes known."""
        self._settings = settings
        self._placement = placement
        self._gates = gates
        self._table = table
        self._telemetry = telemetry
        #: Why the balancer should send nothing here; empty once it may.
        self.unready_reason = 'the daemon is starting'
        self.instance_by_id: Mapping[InstanceId, Instance] = {}
        self.in_progress = 0

    def not_ready(self) -> str:
        """Return why the balancer should send nothing here, if so."""
        if self._placement.index is None:
            return 'there is no catalogue yet'
        return self.unready_reason

    def metrics(self) -> bytes:
        """Return all metrics in Prometheus' text form."""
        return self._telemetry.metrics.exposition()

    def status(self) -> Status:
        """Return the state of this daemon."""
        instance = self._settings.instance
        reason = self.not_ready()
        return Status(
            instance_id=instance.instance_id,
            data_centre=instance.data_centre,
            ready=not reason,
            not_ready_because=reason,
            catalogue_version=self._version(),
            table_reachable=self._table.is_reachable,
            in_progress=self.in_progress,
            instances=tuple(map(_instance_status, self._instances())),
            targets=tuple(self._targets()),
        )

    def owner(self, service: ServiceName, key: Key) -> KeyOwner | Failure:
        """Return who owns a key."""
        entry = self._placement.service(service)
        if entry is None:
            return Failure(
                ErrorKind.unknown_service,
                f'the catalogue has no service named "{service}"',
            )
        if entry.routing is RoutingClass.any_target:
            return Failure(
                ErrorKind.no_owner,
                f'any target of {service} may serve any key',
                entry.ref(),
            )
        place = self._placement.place(entry, key)
        if isinstance(place, Failure):
            return place
        holder = None
        if place.owner is not None:
            holder = self._placement.holder(place.owner)
        return KeyOwner(
            service=service,
            key=key,
            slice_index=place.slice_index,
            target_id=place.owner,
            holder=holder,
            entry=entry.ref(),
        )

    def explain(self, question: Question) -> Sequence[Explanation]:
        """Return what was decided, the newest first."""
        return [
            explain(decision, self._placement.index)
            for decision in self._telemetry.decisions.about(question)
        ]

    def dump(self) -> Dump:
        """Return the inner state, with no secret in it."""
        epochs = {
            data_centre: routing_map.epoch
            for data_centre, routing_map in (
                self._placement.map_by_data_centre.items()
            )
        }
        return Dump(
            status=self.status(),
            epoch_by_data_centre=epochs,
            table_calls=self._table.calls,
            decisions=tuple(self.explain(Question())),
        )

    def imbalance(self) -> Mapping[str, float]:
        """Return the busiest target's load over the mean, by service.

        Of the targets that this daemon holds; the fleet's own imbalance is
        had by adding up the loads of all daemons.
        """
        loads_by_service = collections.defaultdict(list)
        for target in self._targets():
            if target.capacity:
                loads_by_service[target.service].append(target.in_flight)
        return {
            service: max(loads) * len(loads) / sum(loads)
            for service, loads in loads_by_service.items()
            if sum(loads)
        }

    def _version(self) -> CatalogueVersion:
        index = self._placement.index
        return index.version if index else CatalogueVersion(0)

    def _instances(self) -> list[Instance]:
        return [one for _, one in sorted(self.instance_by_id.items())]

    def _targets(self) -> Iterator[TargetStatus]:
        index = self._placement.index
        if index is None:
            return
        for entry in index.catalogue.targets:
            yield self._target_status(entry, index)

    def _target_status(
        self,
        entry: TargetEntry,
        index: CatalogueIndex,
    ) -> TargetStatus:
        status = TargetStatus(
            target_id=entry.target_id,
            service=entry.service,
            data_centre=entry.data_centre,
            state=UNKNOWN_STATE,
            holder=self._placement.holder(entry.target_id),
            out_by=index.is_out(entry),
        )
        if status.holder != self._settings.instance.instance_id:
            return status
        waiting = self._gates.gate_by_target.get(entry.target_id)
        return _with_load(status, waiting.gate if waiting else None)


def _instance_status(instance: Instance) -> InstanceStatus:
    return InstanceStatus(
        instance.instance_id,
        instance.data_centre,
        instance.state.value,
    )


def _with_load(status: TargetStatus, gate: TargetGate | None) -> TargetStatus:
    if gate is None:
        # A gate is made at the first request, and starts cold.
        cold = TargetState.cold.value
        return msgspec.structs.replace(status, state=cold)
    load = gate.load()
    ramp = gate.slots.ramp
    return msgspec.structs.replace(
        status,
        state=ramp.state.value,
        in_flight=load.in_flight,
        queued=load.queued,
        capacity=load.capacity,
    )
