"""One daemon on the platform: starts and stops its parts in order."""

import asyncio
import signal
from typing import Final

from cassialever.events import Event, record
from cassialever.exceptions import SettingsError
from cassialever.fleet.membership import MemberState
from cassialever.fleet.view import FleetView
from cassialever.gateway.core import Core
from cassialever.gateway.front import GatewayServer
from cassialever.gateway.keyed_requests import KeyedRequests
from cassialever.gateway.metrics import (
    MetricsServer,
    Reading,
    connection_readings,
    counter_readings,
    hop_readings,
    key_readings,
    store_readings,
)
from cassialever.gateway.own_state import follow_readings, leader_readings
from cassialever.gateway.place_ends import place_readings
from cassialever.gateway.settings import GatewaySettings, load_settings
from cassialever.gateway.standstill_watch import StandstillWatch
from cassialever.gateway.stop_limit import TIMEOUT_ANSWER_RESERVE
from cassialever.process_signals import ProcessSignals
from cassialever.signal_watcher import SignalWatcher
from cassialever.starting import StartEnd, start_daemon
from cassialever.tasks import log_failure
from cassialever.telemetry.stdlib_log import errors_by_place
from cassialever.types import Seconds

#: Largest share of the grace period in which requests are still accepted; the
#: rest is for answering them.
ACCEPTING_SHARE: Final = 0.5
#: Poll interval while waiting to become ready.
READINESS_POLL_INTERVAL: Final[Seconds] = 0.05
#: Part of the grace period that is reserved for closing connections.
CLOSE_RESERVE: Final[Seconds] = 0.5
#: Minimum time between two readings of the settings. Hang-ups within it are
#: answered by one reading, so that no number of them keeps the daemon busy.
RELOAD_INTERVAL: Final[Seconds] = 0.1


class Gateway:
    """One daemon."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Create every part without starting any."""
        self.settings = settings
        self.core = Core(settings)
        self.server = GatewayServer(
            settings,
            self.core.forwarder,
            self.core.clock,
            self.core.exchanges.memory,
            self.core.exchanges.guard,
        )
        self._keyed_requests = KeyedRequests(
            self.view, self.core.clock, self.core.forwarder.tables
        )
        self.core.forwarder.on_end = self._keyed_requests.note
        self._metrics = MetricsServer(
            settings, self._readings, self.core.exchanges.guard
        )
        self._standstills = StandstillWatch(self.core.clock)
        router = self.core.forwarder.router
        self._standstills.on_lag = router.strain.record_lag
        self._stop_requested = asyncio.Event()
        self._reload_requested = asyncio.Event()

    @property
    def view(self) -> FleetView:
        """Return this daemon's view of its deployment."""
        return self.core.view

    async def run(self, signals: ProcessSignals) -> bool:
        """Serve until asked to stop; return false if a part has failed."""
        watcher = self.signal_watcher(signals)
        watcher.start()
        try:
            return await self._run_until_stopped()
        finally:
            watcher.stop()

    def signal_watcher(self, signals: ProcessSignals) -> SignalWatcher:
        """Return the watcher that stops this daemon or reloads its settings."""
        return SignalWatcher(
            signals,
            {
                signal.SIGTERM: self._stop_requested.set,
                signal.SIGHUP: self._reload_requested.set,
            },
        )

    async def start(self) -> None:
        """Start every part, the server for callers last."""
        self.core.tasks.start(self._reload_when_requested())
        await self.core.start()
        await self.server.start()
        self.core.begin()
        for work in (
            self._watch_readiness(),
            self._keyed_requests.run(),
            self._standstills.run(),
            # Requests are served without them.
            self._metrics.start(),
        ):
            self.core.tasks.start(work)
        await self._metrics.was_tried.wait()
        record(Event.started, instance=self.settings.instance.instance_id)

    def reload(self) -> None:
        """Reload the settings and apply those that can change at run time.

        These are the store's address and the seeds. If the settings can't be
        loaded, nothing changes.
        """
        try:
            changed = load_settings()
        except SettingsError as error:
            record(Event.reload_failed, reason=str(error))
            return
        self.core.store.address = changed.store
        self.core.membership.seeds = changed.seeds
        record(Event.reloaded, store=changed.store, seeds=changed.seeds)

    async def stop(self) -> None:
        """Stop gracefully: become unready, finish open requests, close."""
        record(Event.stopping, instance=self.settings.instance.instance_id)
        self.server.is_stopping = True
        grace = self.settings.bounds.grace_s
        answered_by = self.core.clock.monotonic() + grace - CLOSE_RESERVE
        # The 504 comes later than the time limit of its request.
        answers_until = answered_by - TIMEOUT_ANSWER_RESERVE
        self.core.forwarder.stop_limit.begin(answers_until)
        hop_server = self.core.exchanges.hop_server
        hop_server.announce_stop(answers_until)
        # The store may take as long to answer as the balancer to notice.
        await asyncio.gather(
            log_failure('resign', self.core.hand_over()),
            self.server.wait_until_taken_out(grace * ACCEPTING_SHARE),
        )
        # The time that is left, as the loop may be late.
        timeout = max(0, answered_by - self.core.clock.monotonic())
        await asyncio.gather(
            log_failure('drain', self.server.drain(timeout)),
            log_failure('drain of carried requests', hop_server.drain(timeout)),
        )
        await self.abort()
        record(Event.stopped, instance=self.settings.instance.instance_id)

    async def abort(self) -> None:
        """Close everything immediately, without notifying anyone."""
        # A leader must not grant keys while the rest is closed.
        self.core.tasks.stop()
        await log_failure('callers', self.server.stop())
        await self.core.abort()
        # Its tries to listen end with the tasks of the core.
        await log_failure('metrics', self._metrics.stop())

    async def _run_until_stopped(self) -> bool:
        if self._stop_requested.is_set():
            # Nothing is open yet that a stop would have to close.
            record(Event.stopped, instance=self.settings.instance.instance_id)
            return True
        end = await start_daemon(
            self, self._stop_requested, self.settings.instance.instance_id
        )
        if end is not StartEnd.started:
            return end is StartEnd.stopped
        has_stopped = await self.core.run_until(self._stop_requested, self.stop)
        if not has_stopped:
            await self.abort()
        return has_stopped

    async def _reload_when_requested(self) -> None:
        while True:
            await self._reload_requested.wait()
            self._reload_requested.clear()
            self.reload()
            await asyncio.sleep(RELOAD_INTERVAL)

    def _readings(self) -> list[Reading]:
        """Return the metrics' current values."""
        configuration = self.view.configuration
        return [
            *counter_readings(self.core.forwarder.counters),
            *self._keyed_requests.readings(),
            *key_readings(self.core.key_assigner.counters),
            *hop_readings(self.core.exchanges.dispatcher.counters),
            Reading(
                'long_bodies_refused', self.core.loads.long_bodies.refused_count
            ),
            *store_readings(self.core.store),
            *self.core.shared_limits.readings(),
            *connection_readings(self.core.exchanges.guard),
            *follow_readings(self.core.membership),
            Reading('entries_rejected', self.view.rejected_count),
            Reading('entries_failed', self.view.faults.failed_count),
            Reading('daemons', self.core.membership.daemon_count),
            Reading('leads', self.core.membership.state is MemberState.leading),
            Reading(
                'configuration_version',
                configuration.version if configuration else 0,
            ),
            *leader_readings(self.core.membership),
            Reading(
                'tables_behind_seconds',
                self.core.reachability.catch_up.behind_for(),
            ),
            Reading('targets', len(self.view.targets.by_id)),
            Reading(
                'targets_unreachable',
                self.core.reachability.unreachable_count(),
            ),
            Reading(
                'cut_off_from_targets', self.core.reachability.is_cut_off()
            ),
            Reading(
                'requests_open',
                self.server.open_requests
                + self.core.exchanges.hop_server.open_requests,
            ),
            Reading(
                'targets_limited', len(self.view.targets.limits.in_force())
            ),
            Reading(
                'datagrams_unsent', self.core.reachability.socket.unsent_count
            ),
            Reading(
                'requests_quarantined',
                self.core.exchanges.crashes.quarantined_count(),
            ),
            Reading('body_bytes_held', self.core.exchanges.memory.held),
            Reading('bodies_refused', self.core.exchanges.memory.refused_count),
            *place_readings(self.core.reachability.places),
            Reading('stood_still_seconds', self._standstills.total),
            Reading('exceptions_unhandled', errors_by_place.total()),
        ]

    async def _watch_readiness(self) -> None:
        """Become ready once a configuration and a target are known."""
        while self.view.configuration is None or not self.view.targets.by_id:
            await asyncio.sleep(READINESS_POLL_INTERVAL)
        self.server.is_ready = True
