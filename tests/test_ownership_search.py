"""Tests of what the search for two owners has found, and of the search."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cassialever.fleet.lease import AUTHORITY_TERM, LEASE_ROW, LEASE_TABLE
from cassialever.keys.mapwriter import row_name
from cassialever.types import ServiceName, TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_search import (
    SearchDaemon,
    SearchWorld,
    make_task,
)

ADDRESS = '10.1.64.1:8707'
KEY_MAP_ROW = ('cassialever', row_name(ServiceName('registry')))
SEEDS = range(8)

Scenario = Callable[[SearchWorld, SearchDaemon], Awaitable[None]]


class LeadersTest(unittest.TestCase):
    """Leaders that follow one another while the earlier one lives on."""

    def check(self, scenario: Scenario) -> None:
        """Run a scenario for each seed, and fail once with those that fail."""
        failed = []
        for seed in SEEDS:
            violations: list[str] = []

            async def main(loop: VirtualLoop) -> None:
                loop.set_task_factory(make_task)
                world = SearchWorld(loop, seed)
                leader = world.add_daemon('edge-1')
                world.publish_targets()
                assert await leader.take_over()
                await asyncio.sleep(2)
                assert not world.unheld_count()
                await scenario(world, leader)
                for daemon in world.daemons:
                    daemon.kill()
                violations.extend(world.violations)

            run_virtually(main)
            if violations:
                failed.append((seed, violations[0]))
        self.assertEqual(failed, [])

    def test_thawed_leader_grants_no_fence_for_the_first_time(self) -> None:
        # A later life of the owner took it, after one of the next leader.
        async def scenario(world: SearchWorld, leader: SearchDaemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            assigner = leader.assigner.assigner_by_service['registry']
            assigner._suspects.suspect(TargetId('t1'))
            version = world.shared.row_by_name[KEY_MAP_ROW].ver
            while world.shared.row_by_name[KEY_MAP_ROW].ver == version:
                await asyncio.sleep(0.001)
            leader.freeze()
            while not await second.take_over():
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.5)
            world.restart_target(world.targets[ADDRESS])
            leader.thaw()
            await asyncio.sleep(3)

        self.check(scenario)

    def test_map_that_cannot_be_read_is_not_replaced_by_an_earlier(
        self,
    ) -> None:
        # The next leader granted fences that others had had since.
        async def scenario(world: SearchWorld, leader: SearchDaemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            self.assertFalse(await second.take_over())
            assigner = leader.assigner.assigner_by_service['registry']
            for _ in range(4):
                for moved in assigner.assignments.held_by(TargetId('t1')):
                    assigner._reclaim(moved, 'a move')
                await asyncio.sleep(1)
            leader.kill()
            world.restart_target(world.targets[ADDRESS])
            world.shared.put(*KEY_MAP_ROW, b'of a later build')
            await asyncio.sleep(2)
            while not await second.take_over():
                await asyncio.sleep(0.1)
            await asyncio.sleep(20)

        self.check(scenario)

    def test_unreadable_lease_may_be_that_of_a_leader(self) -> None:
        # Its owner went on being renewed while the keys were given on.
        async def scenario(world: SearchWorld, leader: SearchDaemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            second.target_client.unreachable.add(ADDRESS)
            leader.store.is_cut = leader.is_isolated = True
            world.shared.put(LEASE_TABLE, LEASE_ROW, b'unreadable')
            while not await second.take_over():
                await asyncio.sleep(0.1)
            await asyncio.sleep(AUTHORITY_TERM + 8)
            self.assertEqual(world.unheld_count(), 0)

        self.check(scenario)


if __name__ == '__main__':
    unittest.main()
