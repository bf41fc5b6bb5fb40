"""The parts of a daemon that exchange requests with targets."""

import functools
from collections.abc import Callable

from cassialever.clock import SystemClock
from cassialever.fleet.view import FleetView
from cassialever.gateway.connection_guard import (
    ConnectionGuard,
    usual_limits,
)
from cassialever.gateway.carrying import CarryingPolicy
from cassialever.gateway.crash_evidence import CrashEvidence
from cassialever.gateway.crash_exchange import CrashExchange
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.dispatcher import TargetDispatcher
from cassialever.gateway.hop_client import HopClient
from cassialever.gateway.hop_server import HopServer
from cassialever.gateway.reachability import Reachability
from cassialever.gateway.sender import TargetSender
from cassialever.gateway.settings import GatewaySettings
from cassialever.gateway.tables_state import TablesState
from cassialever.policy.loads import LoadTracker
from cassialever.policy.connection_limits import connection_limits
from cassialever.policy.memory import MemoryBudget
from cassialever.policy.placing import withdrawal_reason
from cassialever.policy.reach import TargetReach
from cassialever.tasks import log_failure


class TargetExchanges:
    """Exchanges with targets, directly, through others and for others."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        loads: LoadTracker,
        reachability: Reachability,
        clock: SystemClock,
    ) -> None:
        """Create every part without starting any."""
        #: Returns the state of this daemon's tables.
        self.tables: Callable[[], TablesState] = TablesState
        self.memory = MemoryBudget(settings.instance.memory_mb)
        self._guard = ConnectionGuard(
            connection_limits(
                settings.instance.memory_mb, settings.instance.max_descriptors
            ),
            lambda: (
                view.configuration.limits
                if view.configuration
                else usual_limits()
            ),
            self.memory,
        )
        self.reach = TargetReach(loads, reachability.paths)
        self._sender = TargetSender(
            loads, view.targets.limits, reachability.paths, clock
        )
        self._sender.withdrawal_reason = functools.partial(
            withdrawal_reason, view
        )
        self.crashes = CrashGuard(settings.instance.instance_id, clock)
        self.crash_evidence = CrashEvidence(
            self.crashes, view, clock, reachability.is_cut_off
        )
        self._sender.on_broken = self.crash_evidence.record_broken
        self._sender.on_refused = self.crash_evidence.record_refused
        self.crash_exchange = CrashExchange(
            settings.instance.instance_id,
            self.crashes,
            reachability.socket,
            clock,
            # The peers are known to the reachability later than this.
            lambda: reachability.peers(),  # noqa: WPS506
        )
        self._hops = HopClient(
            settings,
            view,
            self._sender.answers,
            clock,
            reachability.paths.connect_times,
        )
        self.dispatcher = TargetDispatcher(
            self._sender, self._hops, self.reach, clock, self.crashes
        )
        self.carrying = CarryingPolicy(
            settings.instance,
            view,
            loads,
            self.reach,
            self.dispatcher.counters,
            clock,
        )
        # It is set later than this.
        self.carrying.tables = lambda: self.tables()  # noqa: WPS506
        self.hop_server = HopServer(
            settings,
            self.carrying,
            self._sender,
            self.crashes,
            self._guard,
        )
        self.has_connection = self._sender.has_connection
        reachability.prober.on_down = self._sender.close_idle
        reachability.prober.connecting = self._sender.connecting
        reachability.reporter.count_carried = self.carrying.count_open

    @property
    def guard(self) -> ConnectionGuard:
        """Return what watches the connections of callers and daemons."""
        return self._guard

    async def start(self) -> None:
        """Open the connection pools and listen for other daemons."""
        for part in (self._sender, self._hops, self.hop_server):
            await part.start()

    async def stop(self) -> None:
        """Close every connection."""
        for part in (self.hop_server, self._hops, self._sender):
            await log_failure(type(part).__name__, part.stop())
