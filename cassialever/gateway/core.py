"""What every daemon has, whichever servers it shows to callers."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

from cassialever.clock import SystemClock, seeded_random
from cassialever.fleet import messages
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.gossip import LoadGossip
from cassialever.fleet.membership import (
    Membership,
    MemberState,
    election_delay,
)
from cassialever.fleet.operator_rows import OperatorRowHandler
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import FleetView
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.sender import TargetSender
from cassialever.gateway.settings import GatewaySettings
from cassialever.keys.heat import FOLD_EVERY
from cassialever.keys.keeper import Keeper
from cassialever.platform.store import StoreClient
from cassialever.platform.targets import TargetOrders
from cassialever.policy.loads import LoadBook
from cassialever.tasks import Tasks
from cassialever.types import MILLISECONDS


#: Counts of daemons of which the largest holds: 10 s of them. A new leader
#: knows few followers at first, and whoever takes them for all would send
#: cold targets more than its part.
DAEMONS_COUNTED: Final = 40


class Core:
    """The view of the deployment, the request path and the keys' keeper."""

    def __init__(
        self,
        settings: GatewaySettings,
        operators: OperatorRowHandler | None = None,
        seed: int | None = None,
    ) -> None:
        """Make every part; nothing is started."""
        self.settings = settings
        self.clock = SystemClock()
        random_source = seeded_random(seed)
        self.view = FleetView(self.clock, operators)
        self.store = StoreClient(settings.store)
        self.loads = LoadBook()
        self._sender = TargetSender(self.loads, self.clock)
        self.forwarder = Forwarder(
            settings,
            self.view,
            self._sender,
            self.loads,
            self.clock,
            random_source,
        )
        longest_hold = settings.bounds.hold_max_ms / MILLISECONDS
        self._orders = TargetOrders(longest_hold)
        own = messages.Hello(
            settings.instance.instance_id,
            # The wall clock makes each incarnation higher than the last.
            time.time_ns(),
            settings.internal_address,
            {},
        )
        self._relay = Relay(self.view, own, settings.fleet_key)
        self.membership = Membership(
            self.store,
            self.view,
            self._relay,
            LeaderLink(self.view, own, settings.fleet_key),
            self.clock,
            random_source,
        )
        self.membership.seeds = settings.seeds
        self.membership.election_delay = election_delay(
            settings.instance.link_mbps,
        )
        self.keeper = Keeper(
            self.view,
            self._relay,
            self._orders,
            self.clock,
        )
        self._gossip = LoadGossip(
            settings.instance.instance_id,
            self.loads,
            self.clock,
            self.membership.peers,
        )
        self.membership.run_leader = self.keeper.run
        self._relay.on_keys_asked = self.keeper.count
        #: Set once a part has failed, so that the daemon has to end.
        self.failed = asyncio.Event()
        self.tasks = Tasks(self.failed.set)

    async def start(self) -> None:
        """Start every part."""
        for part in (self.store, self._sender, self._orders, self._relay):
            await part.start()
        await self._gossip.start(self.settings.internal_address)
        for work in (
            self._gossip.run(),
            self.membership.run(),
            self._report_keys(),
        ):
            self.tasks.start(work)

    async def abort(self) -> None:
        """Close everything at once, without a word to anybody."""
        self.tasks.stop()
        self._gossip.stop()
        for part in (self._relay, self._orders, self._sender, self.store):
            await part.stop()

    async def run_until(
        self,
        stop_asked: asyncio.Event,
        stop: Callable[[], Awaitable[None]],
    ) -> bool:
        """Stop when asked to; end at once, and return false, on a fault."""
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (stop_asked, self.failed)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if self.failed.is_set():
            return False
        await stop()
        return True

    async def _report_keys(self) -> None:
        """Tell the leader which keys callers ask for."""
        counts: deque[int] = deque(maxlen=DAEMONS_COUNTED)
        while True:
            await asyncio.sleep(FOLD_EVERY)
            counts.append(self.membership.daemon_count)
            self.forwarder.daemons = max(counts)
            self.loads.keep_only(self.view.targets.by_id)
            asked = messages.KeysAsked(
                {**self.forwarder.keys_asked},
                self.loads.take_times(),
            )
            self.forwarder.keys_asked.clear()
            if self.membership.state is MemberState.leading:
                self.keeper.count(asked)
            elif asked.keys_by_service:
                self.membership.link.report(asked)
