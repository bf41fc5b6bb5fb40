"""Tests of how requests wait for their turn, and how they leave."""

import asyncio
import random
import unittest
from collections import Counter

import msgspec

from cassialever.fleet.model import RequestKind, Route, Target
from cassialever.gateway.counters import WaitingCounters
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.waiting_lines import (
    CHECK_INTERVAL,
    Turn,
    WaitingLines,
)
from cassialever.policy.full_services import FullServices
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import NoTargetReason, PlacementRequest
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    add_targets,
    configured_view,
    run_virtually,
)

SERVICE = 'registry'


class Owners:
    """Two owners of keys, in place of a selector; all targets start full."""

    def __init__(self, targets: dict[str, Target]) -> None:
        self.targets = targets
        self.owner_by_key = {1: 'a', 2: 'b'}
        self.full_ids = {'a', 'b'}
        self.full = FullServices()
        self.waiting_by_service: Counter[str] = Counter()
        self.looks: list[int] = []

    def owner_of(self, request: PlacementRequest) -> Target:
        return self.targets[self.owner_by_key[request.key]]

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Target | NoTargetReason:
        self.looks.append(request.key)
        owner = self.owner_of(request)
        is_full = owner.target_id in self.full_ids
        return NoTargetReason.full if is_full else owner


class LinesCase(unittest.TestCase):
    """Waiting lines at two owners of keys."""

    def run_lines(self, scenario) -> None:
        async def main(loop: VirtualLoop) -> None:
            self.loop = loop
            view = configured_view(LoopClock(loop), targets=0)
            add_targets(view, ['a', 'b'], SERVICE)
            self.owners = Owners(view.targets.by_id)
            route = view.routes.find('registry.example', '/lookup/1')
            assert route is not None
            self.route: Route = route
            self.lines = WaitingLines(
                view,
                self.owners,
                LoadTracker(),
                WaitingCounters(),
                LoopClock(loop),
                random.Random(1),
            )
            await scenario()
            self.assertFalse(any(self.lines._queue_by_key.values()))

        run_virtually(main)

    def turn(self, key: int = 1, rank: int = 1) -> Turn:
        now = self.loop.time()
        routed = RoutedRequest(
            TargetRequest('x', 'GET', '/lookup/1', {}, b''),
            msgspec.structs.replace(self.route, rank=rank),
            key,
            now,
            now + 1,
        )
        placement = PlacementRequest(
            SERVICE, RequestKind.safe, key, self.route.objective
        )
        return self.lines.turn(routed, placement)

    async def place(self, turn: Turn) -> Target | None:
        """Wait as a forwarder does; return None if the request is out."""
        with turn:
            while True:
                now = self.loop.time()
                chosen = turn.choose(now)
                if isinstance(chosen, Target):
                    return chosen
                if turn.is_out(chosen, now):
                    return None
                await turn.wait(0.015)


class OrderTest(LinesCase):
    """Who looks, and who is served."""

    def test_only_the_first_of_each_owner_looks(self) -> None:
        async def scenario() -> None:
            waits = [
                asyncio.create_task(self.place(self.turn(key)))
                for key in (1, 1, 2)
            ]
            await asyncio.sleep(0.05)
            looks = Counter(self.owners.looks)
            # The second one of key 1 has not looked once.
            self.assertAlmostEqual(looks[1], looks[2], delta=1)
            self.owners.full_ids = set()
            served = await asyncio.gather(*waits)
            self.assertEqual([one.target_id for one in served], [*'aab'])

        self.run_lines(scenario)

    def test_more_urgent_newcomer_goes_first(self) -> None:
        async def scenario() -> None:
            ordinary = asyncio.create_task(self.place(self.turn(rank=1)))
            await asyncio.sleep(0.02)
            urgent = asyncio.create_task(self.place(self.turn(rank=0)))
            await asyncio.sleep(0.02)
            self.owners.full_ids = set()
            await urgent
            self.assertFalse(ordinary.done())
            await ordinary

        self.run_lines(scenario)

    def test_newcomer_does_not_pass_those_that_wait(self) -> None:
        async def scenario() -> None:
            first = asyncio.create_task(self.place(self.turn()))
            await asyncio.sleep(0.01)
            self.owners.full_ids = set()
            with self.turn() as newcomer:
                chosen = newcomer.choose(self.loop.time())
            self.assertIs(chosen, NoTargetReason.full)
            self.assertIsNotNone(await first)

        self.run_lines(scenario)

    def test_end_of_a_request_wakes_the_first(self) -> None:
        async def scenario() -> None:
            waiting = asyncio.create_task(self.place(self.turn()))
            await asyncio.sleep(0.001)
            self.owners.full_ids = set()
            self.lines.wake(self.owners.targets['a'])
            await asyncio.sleep(0.001)
            self.assertTrue(waiting.done())

        self.run_lines(scenario)


class LeavingTest(LinesCase):
    """Every way out leaves the queue clean."""

    def test_caller_that_leaves_gives_its_turn_to_the_next(self) -> None:
        async def scenario() -> None:
            first, second = (
                asyncio.create_task(self.place(self.turn())) for _ in range(2)
            )
            await asyncio.sleep(0.005)
            first.cancel()
            self.owners.full_ids = set()
            begun = self.loop.time()
            self.assertIsNotNone(await second)
            self.assertLess(self.loop.time() - begun, CHECK_INTERVAL / 2)

        self.run_lines(scenario)

    def test_request_follows_its_key_to_another_owner(self) -> None:
        async def scenario() -> None:
            waits = [
                asyncio.create_task(self.place(self.turn(key)))
                for key in (1, 1)
            ]
            await asyncio.sleep(0.01)
            self.owners.owner_by_key[1] = 'b'
            self.owners.full_ids = {'a'}
            served = await asyncio.gather(*waits)
            self.assertEqual([one.target_id for one in served], ['b', 'b'])

        self.run_lines(scenario)

    def test_one_that_waits_for_something_else_holds_up_no_one(self) -> None:
        async def scenario() -> None:
            with self.turn() as first:
                now = self.loop.time()
                self.assertFalse(first.is_out(first.choose(now), now))
                self.assertFalse(first.is_out(NoTargetReason.moving, now))
                self.owners.full_ids = set()
                self.assertIsNotNone(await self.place(self.turn()))

        self.run_lines(scenario)

    def test_queues_are_forgotten_after_the_contention(self) -> None:
        async def scenario() -> None:
            waiting = asyncio.create_task(self.place(self.turn()))
            await asyncio.sleep(0.01)
            self.owners.full_ids = set()
            await waiting
            await asyncio.sleep(3)
            self.assertTrue(self.lines.is_idle(self.loop.time()))
            self.assertEqual(self.lines._queue_by_key, {})

        self.run_lines(scenario)


if __name__ == '__main__':
    unittest.main()
