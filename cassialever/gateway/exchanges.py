"""The parts of a daemon that exchange requests with targets."""

import functools

from cassialever.clock import SystemClock
from cassialever.fleet.view import FleetView
from cassialever.gateway.carrying import CarryingPolicy
from cassialever.gateway.dispatcher import TargetDispatcher
from cassialever.gateway.hop_client import HopClient
from cassialever.gateway.hop_server import HopServer
from cassialever.gateway.reachability import Reachability
from cassialever.gateway.sender import TargetSender
from cassialever.gateway.settings import GatewaySettings
from cassialever.policy.loads import LoadTracker
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
        self.reach = TargetReach(loads, reachability.paths)
        self._sender = TargetSender(
            loads, view.targets.limits, reachability.paths, clock
        )
        self._sender.withdrawal_reason = functools.partial(
            withdrawal_reason, view
        )
        self._hops = HopClient(
            settings,
            view,
            self._sender.answers,
            clock,
            reachability.paths.connect_times,
        )
        self.dispatcher = TargetDispatcher(
            self._sender, self._hops, self.reach, clock
        )
        policy = CarryingPolicy(
            settings.instance,
            view,
            loads,
            self.reach,
            self.dispatcher.counters,
            clock,
        )
        self.hop_server = HopServer(settings, policy, self._sender)
        self.has_connection = self._sender.has_connection
        reachability.prober.on_down = self._sender.close_idle
        reachability.prober.connecting = self._sender.connecting
        reachability.reporter.count_carried = policy.count_open

    async def start(self) -> None:
        """Open the connection pools and listen for other daemons."""
        for part in (self._sender, self._hops, self.hop_server):
            await part.start()

    async def stop(self) -> None:
        """Close every connection."""
        for part in (self.hop_server, self._hops, self._sender):
            await log_failure(type(part).__name__, part.stop())
