"""Tests of many targets that end at once, in virtual time.

Daemons have unlike numbers of requests, so that one misses most of the targets
that have ended, and another hardly any.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cassialever.policy.paths import TargetPaths
from cassialever.types import Seconds
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import World
from tests.test_cut_off_leader import Fleet

TARGETS = 60
ENDED = TARGETS // 3
DAEMONS = 85
#: Time between two requests of the daemons in turn, in seconds; the leader
#: sends the most, and many send few, as in a fleet of small machines.
INTERVALS = (0.04, 4.0, 1.0, 4.0, 0.2, 4.0, 4.0, 1.0)
#: How long each scenario is watched, and how often, in seconds.
WATCHED = 8.0
CHECK_INTERVAL = 0.2
#: By when a leader that alone loses targets has begun to hand over.
HANDOVER_LIMIT = 1.5


def set_intervals(fleet: Fleet, intervals: tuple[float, ...]) -> None:
    """Give the daemons unlike numbers of requests."""
    for number, member in enumerate(fleet.members):
        member.request_interval = intervals[number % len(intervals)]


class EndedTargetsTest(unittest.TestCase):
    """A third of the targets ends, or is lost to the leader alone."""

    def play(
        self,
        scenario: Callable[[Fleet], Awaitable[None]],
        count: int = DAEMONS,
        intervals: tuple[float, ...] = INTERVALS,
        seeds: range = range(1, 3),
    ) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                run_virtually(
                    lambda loop, seed=seed: self._play(
                        loop, seed, scenario, count, intervals
                    )
                )

    async def _play(
        self,
        loop: VirtualLoop,
        seed: int,
        scenario: Callable[[Fleet], Awaitable[None]],
        count: int,
        intervals: tuple[float, ...],
    ) -> None:
        world = World(loop, seed, TARGETS)
        fleet = Fleet(world, count)
        set_intervals(fleet, intervals)
        await fleet.start()
        await scenario(fleet)
        for daemon in world.daemons:
            daemon.kill()
        self.assertEqual(world.violations, [])

    def end_targets(self, fleet: Fleet) -> None:
        for target in list(fleet.world.targets.values())[:ENDED]:
            target.is_up = False

    def test_leader_stays_when_targets_end_for_all(self) -> None:
        """It has most requests, and calls each owner of keys besides."""

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader()
            self.end_targets(fleet)
            await asyncio.sleep(WATCHED)
            self.assertEqual(fleet.handovers, [])
            self.assertIs(fleet.leader(), leader)

        self.play(scenario)

    def check_none(self, is_so: Callable[[TargetPaths, Seconds], bool]) -> None:
        """Check that no daemon is found to be so after targets have ended."""

        async def scenario(fleet: Fleet) -> None:
            self.end_targets(fleet)
            loop = asyncio.get_running_loop()
            found: set[str] = set()
            for _ in range(round(WATCHED / CHECK_INTERVAL)):
                await asyncio.sleep(CHECK_INTERVAL)
                found.update(
                    one.daemon.name
                    for one in fleet.members
                    if is_so(one.daemon.paths, loop.time())
                )
            self.assertEqual(found, set())

        self.play(scenario)

    def test_no_daemon_leaves_elections_to_others_when_targets_end(
        self,
    ) -> None:
        """Those with many requests did, so that a weak one led."""
        self.check_none(TargetPaths.misses_many_alone)

    def test_no_daemon_takes_itself_for_cut_off_when_targets_end(self) -> None:
        """One with few requests gets no answer between failures."""
        self.check_none(TargetPaths.is_cut_off)

    def test_leader_that_alone_loses_targets_hands_over(self) -> None:
        """Others have few requests, and no report lists what they reach."""

        for count in (3, 10, DAEMONS):

            async def scenario(fleet: Fleet) -> None:
                cut = fleet.leader()
                assert cut is not None
                loop = asyncio.get_running_loop()
                began_at = loop.time()
                lost = list(fleet.world.targets)[:ENDED]
                fleet.cut([cut], lost, hangs=False)
                await asyncio.sleep(WATCHED)
                self.assertTrue(fleet.handovers)
                after = fleet.handovers[0] - began_at
                print(f'{self.id()} {len(fleet.members)}: {after:.2f} s')
                self.assertLessEqual(after, HANDOVER_LIMIT)
                self.assertIsNot(fleet.leader(), cut)

            with self.subTest(count=count):
                self.play(scenario, count, (0.04, 1.0), range(1, 2))


if __name__ == '__main__':
    unittest.main()
