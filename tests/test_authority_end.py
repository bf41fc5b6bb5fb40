"""Tests of calls about keys at the moment in which authority ends."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from cassialever.fleet.lease import AUTHORITY_TERM
from cassialever.invariants import violations_by_invariant
from cassialever.keys.assignments import Assignment, AssignmentState
from cassialever.keys.granting import Granter
from cassialever.types import ServiceName, TargetId
from tests.fleet_helpers import LoopClock, VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, FakeTargetClient, World

#: Readings of the clock within a call, at most.
MAX_READINGS = 40
#: How far before and after the end the clock stands, in seconds.
DISTANCE = 0.001
OWNER = TargetId('t1')

Call = Callable[[Granter, list[Assignment]], Awaitable[None]]


class EndingClock(LoopClock):
    """A clock that passes a moment at one of its readings."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.end: float | None = None
        self.readings_left = 0
        self.has_passed = False

    def boot(self) -> float:
        if self.end is None:
            return super().boot()
        self.has_passed = self.readings_left <= 0
        self.readings_left -= 1
        return self.end + (DISTANCE if self.has_passed else -DISTANCE)


class WatchedClient(FakeTargetClient):
    """Notes whether authority was known to have ended when a call was made."""

    def __init__(self, world: World, clock: EndingClock) -> None:
        super().__init__(world)
        self.clock = clock
        self.had_passed: list[bool] = []

    async def grant(self, *arguments: Any, **options: Any) -> Any:
        self.had_passed.append(self.clock.has_passed)
        return await super().grant(*arguments, **options)

    async def raise_fence(self, *arguments: Any) -> Any:
        self.had_passed.append(self.clock.has_passed)
        return await super().raise_fence(*arguments)


class AuthorityEndTest(unittest.TestCase):
    """Authority may end between any two readings of the clock."""

    def check(self, call: Call) -> None:
        """Have authority end at each reading in turn; no call follows it."""
        sent: list[int] = []
        for readings in range(MAX_READINGS):
            with self.subTest(readings=readings):
                had_passed = self.played(call, readings)
                self.assertNotIn(True, had_passed)
                sent.append(len(had_passed))
        self.assertEqual(sent[0], 0)
        self.assertGreater(sent[-1], 0)
        self.assertEqual(violations_by_invariant.total(), 0)

    def played(self, call: Call, readings: int) -> list[bool]:
        """Return whether authority was known to be over, for each call."""
        had_passed: list[bool] = []

        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            clock = world.clock = EndingClock(loop)
            daemon = world.add_daemon('edge-1')
            world.publish_targets()
            assert await daemon.take_over()
            await asyncio.sleep(2)
            granter, assignments = self.stopped(daemon)
            client = WatchedClient(world, clock)
            client.connection_count = daemon.target_client.connection_count
            client.process_by_address = daemon.target_client.process_by_address
            granter._target_client = client  # type: ignore[assignment]
            assert daemon.leader_term is not None
            clock.end = daemon.leader_term._confirmed_at + AUTHORITY_TERM
            clock.readings_left = readings
            await call(granter, assignments)
            had_passed.extend(client.had_passed)
            daemon.kill()

        run_virtually(main)
        return had_passed

    def stopped(self, daemon: Daemon) -> tuple[Granter, list[Assignment]]:
        """Stop a leader's own work; return what one target holds."""
        context = daemon.assigner._context
        assert context is not None
        service = daemon.assigner.assigner_by_service[ServiceName('registry')]
        assignments = service.assignments.held_by(OWNER)
        for task in daemon.tasks:
            task.cancel()
        return context.granter, assignments

    def test_renewals(self) -> None:
        async def renew(granter: Granter, owned: list[Assignment]) -> None:
            await granter.grant(OWNER, owned)

        self.check(renew)

    def test_fence_that_is_raised_before_a_release(self) -> None:
        async def release(granter: Granter, owned: list[Assignment]) -> None:
            called = granter.addresses.reported(OWNER)
            assert called is not None
            granter._leader_term.store_age = lambda: 0  # type: ignore
            owned[0].state = AssignmentState.releasing
            owned[0].unsettled_until = granter._clock.boot() + 1
            await granter.release(owned[0], called)

        self.check(release)


if __name__ == '__main__':
    unittest.main()
