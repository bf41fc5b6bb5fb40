"""Keep the keys of every keyed service assigned, while this daemon leads."""

import asyncio
from typing import Final

from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import FleetView
from cassialever.keys.granting import Granting
from cassialever.keys.service import KeeperParts, ServiceKeeper
from cassialever.platform.targets import TargetClient
from cassialever.tasks import Tasks
from cassialever.types import Seconds, ServiceName, TargetId

#: Time between two looks at all holdings.
TICK: Final[Seconds] = 0.05


class Keeper:
    """The keys of all keyed services, while this daemon leads."""

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        orders: TargetClient,
        clock: SystemClock,
    ) -> None:
        """Take the view, the relay and the calls to targets."""
        self._view = view
        self._relay = relay
        self._orders = orders
        self._clock = clock
        self._parts: KeeperParts | None = None
        self._tasks = Tasks()
        self.keeper_by_service: dict[ServiceName, ServiceKeeper] = {}

    async def run(self, leading: LeaderTerm) -> None:
        """Keep the keys of every keyed service until cancelled."""
        parts = KeeperParts(
            self._view,
            self._relay,
            Granting(self._view, self._orders, leading, self._clock),
            leading,
            self._clock,
        )
        self._parts = parts
        try:
            while True:
                self._tick(parts)
                await asyncio.sleep(TICK)
        finally:
            self._stop()

    def count(self, asked: messages.KeysAsked) -> None:
        """Count the keys that a daemon's callers asked for."""
        for service, keys in asked.keys_by_service.items():
            keeper = self.keeper_by_service.get(service)
            if keeper is not None:
                keeper.heat.count(keys)
        if self._parts is None:
            return
        for target_id, (number, total) in asked.times_by_target.items():
            self._parts.times.report(target_id, number, total)

    def _tick(self, parts: KeeperParts) -> None:
        configuration = self._view.configuration
        if configuration is None:
            return
        now = self._clock.boot()
        for service in configuration.service_by_name.values():
            if not service.is_keyed:
                continue
            keeper = self.keeper_by_service.get(service.name)
            if keeper is None:
                keeper = ServiceKeeper(service.name, parts)
                self.keeper_by_service[service.name] = keeper
            keeper.tick(now)
        for target_id in parts.granting.due_tries():
            self._tasks.start(self._try_again(parts, target_id))

    async def _try_again(self, parts: KeeperParts, target_id: TargetId) -> None:
        """Try to reach a target that gets no keys until then."""
        if target_id not in self._view.targets.by_id:
            parts.granting.forget(target_id)
            return
        await parts.granting.reach(target_id)

    def _stop(self) -> None:
        self._tasks.stop()
        for keeper in self.keeper_by_service.values():
            keeper.stop()
        self.keeper_by_service.clear()
        self._parts = None
