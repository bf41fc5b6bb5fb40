"""Assign the keys of every keyed service while this daemon is the leader."""

import asyncio
from typing import Final

from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import FleetView
from cassialever.keys.granting import Granter
from cassialever.keys.key_events import KeyCounters, KeyLog
from cassialever.keys.service import ServiceAssigner, TermContext
from cassialever.platform.targets import TargetClient
from cassialever.platform.entry_limits import DEFAULT_ROW_BYTES
from cassialever.policy.paths import TargetPaths
from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds, ServiceName, TargetId

#: Time between two passes over all assignments.
TICK_INTERVAL: Final[Seconds] = 0.05


class KeyAssigner:
    """Assigns the keys of all keyed services while this daemon leads."""

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        target_client: TargetClient,
        clock: SystemClock,
        paths: TargetPaths,
    ) -> None:
        """Start without a term; `run` begins one."""
        #: Size of the store's rows, which each bound a key map.
        self.row_bytes = DEFAULT_ROW_BYTES
        self.counters = KeyCounters()
        self._paths = paths
        self._view = view
        self._relay = relay
        self._target_client = target_client
        self._clock = clock
        self._context: TermContext | None = None
        self._tasks = BackgroundTasks()
        self.assigner_by_service: dict[ServiceName, ServiceAssigner] = {}

    async def run(self, leader_term: LeaderTerm) -> None:
        """Keep the keys of every keyed service assigned until cancelled."""
        context = TermContext(
            self._view,
            self._relay,
            Granter(
                self._view,
                self._target_client,
                leader_term,
                self._clock,
                self._paths,
                KeyLog(leader_term.term, self.counters),
            ),
            leader_term,
            self._clock,
            self.row_bytes,
        )
        self._context = context
        on_replaced = self._view.targets.limits.on_replaced
        on_replaced.append(self._tick_soon)
        try:
            while True:
                self._tick(context)
                await asyncio.sleep(TICK_INTERVAL)
        finally:
            on_replaced.remove(self._tick_soon)
            self._stop()

    def add_report(self, report: messages.KeysAsked) -> None:
        """Add the requested keys and the latencies that a daemon reports."""
        for service, keys in report.keys_by_service.items():
            assigner = self.assigner_by_service.get(service)
            if assigner is not None:
                assigner.heats.count(keys)
        if self._context is None:
            return
        now = self._clock.boot()
        for target_id, (count, total) in report.times_by_target.items():
            self._context.latencies.report(target_id, count, total, now)
        for target_id, (count, total) in report.service_times_by_target.items():
            self._context.latencies.report_service_times(
                target_id, count, total
            )

    def _tick(self, context: TermContext) -> None:
        if context.violation.error is not None:
            raise context.violation.error
        configuration = self._view.configuration
        if configuration is None:
            return
        now = self._clock.boot()
        context.latencies.note_lives(self._view.targets.by_id)
        for service in configuration.service_by_name.values():
            if not service.is_keyed:
                continue
            assigner = self.assigner_by_service.get(service.name)
            if assigner is None:
                assigner = ServiceAssigner(service.name, context)
                self.assigner_by_service[service.name] = assigner
            assigner.tick(now)
        for target_id in context.granter.due_probes():
            self._tasks.start(self._probe(context, target_id))

    def _tick_soon(self) -> None:
        for assigner in self.assigner_by_service.values():
            assigner.steps.start()

    async def _probe(self, context: TermContext, target_id: TargetId) -> None:
        """Probe an unreachable target, or forget it if it was removed."""
        if target_id not in self._view.targets.by_id:
            context.granter.forget(target_id)
            return
        await context.granter.probe(target_id)

    def _stop(self) -> None:
        self._tasks.stop()
        for assigner in self.assigner_by_service.values():
            assigner.stop()
        self.assigner_by_service.clear()
        self._context = None
