"""Tests of owners whose addresses others have, by the calls of daemons.

Everything runs in virtual time. The checks are those of `World`.
"""

import asyncio
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from cassialever.fleet.limit_reports import make_report
from cassialever.fleet.model import Target
from cassialever.keys.assignments import MAX_GRANT_DURATION
from cassialever.keys.refused_calls import (
    FIRST_PROBE_DELAY,
    MAX_PROBE_DELAY,
    RefusedCalls,
)
from cassialever.platform.records import decode_target
from cassialever.platform.targets import Presence, TargetClient
from cassialever.policy.limits import TargetLimit, TargetLimits
from cassialever.types import TargetId
from standins.keyed_target import TargetServer
from tests.fleet_helpers import (
    VirtualLoop,
    deployment,
    run_virtually,
    target_entry,
)
from tests.gateway_helpers import wait_for_keys
from tests.ownership_fakes import Daemon, FakeTarget, World

ADDRESS = '10.1.64.1:8707'
OTHER_ADDRESS = '10.1.64.0:8707'
OWNER = TargetId('t1')
#: By when the keys of an owner are held again once a daemon knows that another
#: target has its address, in seconds.
LIMIT = 0.5
#: Time until the grants to an earlier life of an owner have lapsed, in seconds.
MAX_HOLD = MAX_GRANT_DURATION + LIMIT
#: Longest time that a test waits, in seconds.
MAX_WAIT = 20.0
#: The daemons of a large fleet, and the time that their reports take, in
#: seconds.
DAEMONS = 195
REPORT_TIME = 0.1
#: Time until the leader has taken up what it read, in seconds.
SETTLING_TIME = 0.1
#: Steps of a service in some 1.5 s: 20 a second, and one each 10 ms of those in
#: which reports come.
MAX_TICKS = 35
#: Rows written meanwhile: those of the key map, and the lease.
MAX_WRITES = 8
#: Moments of the report, over a renewal of all grants.
PHASES = tuple(step * 0.14 for step in range(5))
SEEDS = range(3)

Scenario = Callable[[World, Daemon], Awaitable[None]]


async def _settled_leader(world: World, followers: int) -> Daemon:
    """Return a leader that has granted all keys."""
    leader = world.add_daemon('edge-1')
    for number in range(followers):
        world.add_daemon(f'follower-{number}')
    world.publish_targets()
    assert await leader.take_over()
    await asyncio.sleep(2)
    assert not world.unheld_count()
    return leader


async def _time_until_held(world: World) -> float:
    begun = world.loop.time()
    while world.unheld_count():
        await asyncio.sleep(0.005)
        if world.loop.time() > begun + MAX_WAIT:
            break
    return world.loop.time() - begun


def _ranges_of(leader: Daemon, owner: str) -> int:
    """Return how many ranges have an owner, by the leader's assignments."""
    assigner = leader.assigner.assigner_by_service['registry']
    return sum(one.owner == owner for one in assigner.assignments.ordered)


def _count_ticks(leader: Daemon) -> Counter[str]:
    """Count the ticks of the service's assigner from now on."""
    assigner = leader.assigner.assigner_by_service['registry']
    counted: Counter[str] = Counter()
    tick = assigner.tick

    def count(now: float) -> None:
        counted['count'] += 1
        tick(now)

    assigner.tick = count  # type: ignore[method-assign]
    return counted


def _is_refusing(leader: Daemon) -> bool:
    context = leader.assigner._context
    return context is not None and context.granter.addresses.is_refusing(OWNER)


def _target(started_at: int = 1000, address: str = ADDRESS) -> Target:
    entry = target_entry(address=address, born=started_at)
    target = decode_target(OWNER, msgspec.json.encode(entry))
    assert isinstance(target, Target)
    return target


class ReplacedTestCase(unittest.TestCase):
    """Runs scenarios for several seeds and moments of a renewal."""

    def check_each(
        self, scenario: Scenario, targets: int = 4, followers: int = 2
    ) -> None:
        """Run all cases, and fail once with those that failed."""
        failed = []
        for seed in SEEDS:
            for phase in PHASES:
                try:
                    self.check(scenario, seed, phase, targets, followers)
                except AssertionError as error:
                    failed.append((seed, phase, str(error)))
        self.assertEqual(failed, [])

    def check(
        self,
        scenario: Scenario,
        seed: int,
        phase: float,
        targets: int,
        followers: int,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed, targets)
            leader = await _settled_leader(world, followers)
            await asyncio.sleep(phase)
            await scenario(world, leader)
            for daemon in world.daemons:
                daemon.kill()
            self.assertEqual(world.violations, [])

        run_virtually(main)


class ReportedTest(ReplacedTestCase):
    """Daemons report that another target has an owner's address."""

    def test_keys_of_a_reported_owner_are_held_again_in_time(self) -> None:
        # They waited for the end of grants that its address refused.
        async def scenario(world: World, _: Daemon) -> None:
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            world.report_replaced(OWNER)
            self.assertLess(await _time_until_held(world), LIMIT)

        self.check_each(scenario)

    def test_keys_of_all_reported_owners_are_held_again_in_time(self) -> None:
        # Owners that replace them are reported at the same time.
        async def scenario(world: World, leader: Daemon) -> None:
            addresses = tuple(world.targets)
            for number, address in enumerate(addresses):
                name = world.targets[address].name
                world.replace_target(address, f'o{number}', is_keyed=False)
                world.report_replaced(name)
            for number in range(len(addresses)):
                address = f'10.1.64.{50 + number}:8707'
                world.targets[address] = FakeTarget(f'n{number}', address)
            world.publish_targets()
            version = world.shared.version
            self.assertLess(await _time_until_held(world), LIMIT)
            # Rows of the key map, and of the lease.
            self.assertLess(world.shared.version - version, 8)

        self.check_each(scenario, followers=8)

    def test_reports_of_many_daemons_make_no_storm(self) -> None:
        # Each could begin a step, and each step a write.
        async def scenario(world: World, leader: Daemon) -> None:
            ended = [
                leader.view.targets.by_id[TargetId(target.name)]
                for target in world.targets.values()
            ]
            for number, entry in enumerate(ended):
                world.replace_target(
                    entry.address, f'o{number}', is_keyed=False
                )
                address = f'10.1.64.{50 + number}:8707'
                world.targets[address] = FakeTarget(f'n{number}', address)
            world.publish_targets(*world.ended)
            await asyncio.sleep(SETTLING_TIME)
            version = world.shared.version
            ticks = _count_ticks(leader)
            for entry in ended:
                limit = TargetLimit(
                    entry.target_id,
                    entry.started_at,
                    replaced_at=entry.address,
                )
                report = make_report(limit, world.loop.time())
                for _ in range(DAEMONS - 1):
                    delay = REPORT_TIME * world.random.random()
                    world.call_later(delay, leader.take_report, report)
            self.assertLess(await _time_until_held(world), LIMIT)
            await asyncio.sleep(1 - REPORT_TIME)
            self.assertLess(ticks['count'], MAX_TICKS)
            self.assertLess(world.shared.version - version, MAX_WRITES)

        self.check_each(scenario, targets=16)

    def test_ended_owner_is_called_once_at_most(self) -> None:
        # Keys were assigned to it again and again.
        async def scenario(world: World, leader: Daemon) -> None:
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            world.report_replaced(OWNER)
            await asyncio.sleep(0.1)
            refused = len(world.refused_at)
            await asyncio.sleep(3)
            self.assertLessEqual(len(world.refused_at), max(refused, 1))
            self.assertEqual(_ranges_of(leader, OWNER), 0)

        self.check_each(scenario)

    def test_next_leader_learns_of_the_end(self) -> None:
        # It inherits the owner, whose entry is still there.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.store.is_cut = True
            leader.is_isolated = True
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            world.report_replaced(OWNER)
            second = world.daemons[1]
            while not await second.take_over():
                await asyncio.sleep(0.05)
            await asyncio.sleep(LIMIT)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_report_before_the_entry_counts_once_that_is_read(self) -> None:
        # Keys were assigned to the life that had ended.
        async def scenario(world: World, leader: Daemon) -> None:
            reborn = world.targets[ADDRESS]
            world.restart_target(reborn)
            entry = _target(started_at=reborn.started_at)
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            leader.view.targets.limits.record_replaced(entry)
            await asyncio.sleep(0.1)
            world.publish_targets(reborn)
            await asyncio.sleep(MAX_HOLD)
            self.assertEqual(world.unheld_count(), 0)
            self.assertEqual(_ranges_of(leader, OWNER), 0)

        self.check_each(scenario)

    def test_report_of_an_earlier_life_ends_no_later_one(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            follower = world.daemons[1]
            stale = follower.view.targets.by_id[OWNER]
            world.restart_target(world.targets[ADDRESS])
            world.publish_targets()
            await asyncio.sleep(1)
            leader.view.targets.limits.record_replaced(stale)
            await asyncio.sleep(1)
            self.assertEqual(world.unheld_count(), 0)
            self.assertTrue(_ranges_of(leader, OWNER))

        self.check_each(scenario)

    def test_report_of_another_address_ends_no_owner(self) -> None:
        # A daemon has read an entry with a wrong address.
        async def scenario(world: World, leader: Daemon) -> None:
            owner = world.targets[OTHER_ADDRESS]
            follower = world.daemons[1]
            entry = follower.view.targets.by_id[TargetId(owner.name)]
            wrong = msgspec.structs.replace(entry, address=ADDRESS)
            leader.view.targets.limits.record_replaced(wrong)
            await asyncio.sleep(1)
            self.assertTrue(_ranges_of(leader, owner.name))

        self.check_each(scenario)

    def test_relocated_owner_is_not_ended(self) -> None:
        # Another writer's entry sent the daemons to another target.
        async def scenario(world: World, leader: Daemon) -> None:
            owner = world.targets[OTHER_ADDRESS]
            owner.address = ADDRESS
            world.publish_targets()
            owner.address = OTHER_ADDRESS
            world.report_replaced(owner.name)
            await asyncio.sleep(3)
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class OrderTest(ReplacedTestCase):
    """Entries of two ids at one address, in each order."""

    def test_entry_of_the_next_target_comes_first(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            ended = world.targets[ADDRESS]
            world.replace_target(ADDRESS, 'next')
            world.publish_targets(ended)
            world.report_replaced(OWNER)
            self.assertLess(await _time_until_held(world), LIMIT)
            world.publish_targets()
            await asyncio.sleep(2)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_entry_of_the_ended_target_is_removed_first(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            world.report_replaced(OWNER)
            world.targets[ADDRESS].is_up = False
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(0.1)
            self.assertLess(await _time_until_held(world), LIMIT)
            world.publish_targets()
            await asyncio.sleep(2)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_owners_that_swap_their_addresses(self) -> None:
        # Each has ended, and started again under a new id at the other's.
        async def scenario(world: World, leader: Daemon) -> None:
            names = [
                world.targets[address].name
                for address in (ADDRESS, OTHER_ADDRESS)
            ]
            world.replace_target(ADDRESS, 'new-0')
            world.replace_target(OTHER_ADDRESS, 'new-1')
            for name in names:
                world.report_replaced(name)
            self.assertLess(await _time_until_held(world), LIMIT)
            world.publish_targets()
            await asyncio.sleep(2)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class RefusedTest(ReplacedTestCase):
    """Addresses refuse calls about keys, and no daemon reports why."""

    def test_address_that_refuses_gets_no_keys_again_and_again(self) -> None:
        # It accepts connections, and keys were assigned to it at each probe.
        async def scenario(world: World, leader: Daemon) -> None:
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)
            self.assertLessEqual(len(world.refused_at), 4)

        self.check_each(scenario)

    def test_refusal_is_no_sign_of_life(self) -> None:
        # The next grant to the owner was too long.
        async def scenario(world: World, leader: Daemon) -> None:
            context = leader.assigner._context
            assert context is not None
            silence = context.granter._signs.silence_of(OWNER)
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            while not _is_refusing(leader):
                await asyncio.sleep(0.01)
            self.assertGreater(
                context.granter._signs.silence_of(OWNER), silence
            )

        self.check_each(scenario)

    def test_owner_that_refuses_for_a_moment_keeps_its_keys(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            ranges = _ranges_of(leader, OWNER)
            world.targets[ADDRESS].refuses_grants = True
            await asyncio.sleep(1)
            world.targets[ADDRESS].refuses_grants = False
            for _ in range(40):
                await asyncio.sleep(0.1)
                self.assertEqual(world.unheld_count(), 0)
            self.assertEqual(_ranges_of(leader, OWNER), ranges)

        self.check_each(scenario)

    def test_owner_that_takes_no_new_connection_is_called_again(self) -> None:
        # The calls go over the connections that it has.
        async def scenario(world: World, leader: Daemon) -> None:
            world.resets_new_at.add(ADDRESS)
            ranges = _ranges_of(leader, OWNER)
            assigner = leader.assigner.assigner_by_service['registry']
            assigner._suspects.suspect(OWNER)
            leader.target_client.process_by_address.pop(ADDRESS)
            for _ in range(30):
                await asyncio.sleep(0.1)
                self.assertEqual(world.unheld_count(), 0)
            self.assertEqual(_ranges_of(leader, OWNER), ranges)

        self.check_each(scenario)

    def test_keys_of_an_owner_that_refuses_move(self) -> None:
        # They move once its hold is over.
        async def scenario(world: World, leader: Daemon) -> None:
            world.targets[ADDRESS].refuses_grants = True
            await asyncio.sleep(3.4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_service_whose_targets_all_refuse_recovers(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            for target in world.targets.values():
                target.refuses_grants = True
            await asyncio.sleep(8)
            refused = len(world.refused_at)
            for target in world.targets.values():
                target.refuses_grants = False
            self.assertLess(
                await _time_until_held(world), MAX_PROBE_DELAY + LIMIT
            )
            # Each target's renewals with and without a known process.
            self.assertLess(refused, 8 / 0.25 * 4)

        self.check_each(scenario)

    def test_reborn_target_gets_keys_at_once(self) -> None:
        # The refusals were those of another process at its address.
        async def scenario(world: World, leader: Daemon) -> None:
            ended = world.replace_target(ADDRESS, 'other', is_keyed=False)
            while not _is_refusing(leader):
                await asyncio.sleep(0.01)
            reborn = FakeTarget(OWNER, ADDRESS)
            reborn.started_at = ended.started_at + 1
            world.targets[ADDRESS] = reborn
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(world.unheld_count(), 0)
            self.assertFalse(_is_refusing(leader))

        self.check_each(scenario)


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """What a probe over sockets finds at an address."""

    async def test_only_a_target_with_keys_is_present(self) -> None:
        # Any process at the address accepts a connection.
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        for is_keyed, found in (
            (True, Presence.keyed),
            (False, Presence.other),
        ):
            target = TargetServer('t1', 'registry', is_keyed=is_keyed)
            await target.start()
            with self.subTest(is_keyed=is_keyed):
                self.assertIs(await client.probe(target.address), found)
            await target.stop()
            self.assertIs(
                await client.probe(target.address), Presence.unreached
            )

    async def test_address_without_answers_shows_nothing(self) -> None:
        server = await asyncio.start_server(_hang_up, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        host, port = server.sockets[0].getsockname()
        self.assertIs(await client.probe(f'{host}:{port}'), Presence.unknown)


class ReplacedPathTest(unittest.IsolatedAsyncioTestCase):
    """The path to an owner that was cut off before its end."""

    async def test_path_to_a_replaced_owner_is_no_evidence(self) -> None:
        # A leader that knew of the most such owners handed its term over.
        async with deployment(keyed=2) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            paths = gateway.core.reachability.paths
            limits = gateway.view.targets.limits
            for target in tuple(gateway.view.targets.by_id.values()):
                now = time.monotonic()
                paths.record_failure(target.target_id, now)
                self.assertTrue(paths.direct.is_down(target.target_id, now))
                limits.record_replaced(target)
                self.assertFalse(paths.direct.is_down(target.target_id, now))


async def _hang_up(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close a connection without an answer to what it brings."""
    await reader.readuntil(b'}')
    writer.close()


class RefusedCallsTest(unittest.TestCase):
    """When a target that refuses is called again."""

    def test_delay_of_the_next_probe_doubles(self) -> None:
        refused, now, delays = RefusedCalls(), 10.0, []
        refused.record(_target(), now)
        for _ in range(5):
            begun = now
            # Refusals of calls that were under way prolong nothing.
            refused.record(_target(), now + 0.1)
            while not refused.due_probes(now):
                now += 0.125
            delays.append(now - begun)
        self.assertEqual(delays[0], FIRST_PROBE_DELAY)
        self.assertEqual(delays, [1, 2, 4, 4, 4])

    def test_target_that_is_present_and_refuses_again_waits_longer(
        self,
    ) -> None:
        refused = RefusedCalls()
        refused.record(_target(), 10)
        refused.record_probe(OWNER)
        self.assertFalse(refused.is_in_force(_target()))
        refused.record(_target(), 20)
        self.assertTrue(refused.is_in_force(_target()))
        self.assertEqual(refused.due_probes(20 + FIRST_PROBE_DELAY), [])
        self.assertEqual(
            refused.due_probes(20 + 2 * FIRST_PROBE_DELAY), [OWNER]
        )

    def test_answer_or_new_life_ends_the_refusal(self) -> None:
        refused = RefusedCalls()
        refused.record(_target(), 10)
        self.assertTrue(refused.is_in_force(_target()))
        for other in (_target(started_at=2000), _target(address=OTHER_ADDRESS)):
            self.assertFalse(refused.is_in_force(other))
        refused.end(OWNER)
        self.assertFalse(refused.is_in_force(_target()))


class LateReportTest(ReplacedTestCase):
    """A report that is older than a grant which the owner has accepted."""

    def test_report_from_before_a_grant_frees_no_keys(self) -> None:
        # The entry names the first life all the while: the leader's rows come
        # late. The daemon that has seen the other process was frozen.
        self.check_each(self._scenario(is_reported=True))

    def test_without_the_report_no_key_has_two_owners(self) -> None:
        # Shows that the report alone is what does it above.
        self.check_each(self._scenario(is_reported=False))

    def _scenario(self, *, is_reported: bool) -> Scenario:
        async def scenario(world: World, leader: Daemon) -> None:
            limits = TargetLimits()
            limits.record_replaced(leader.view.targets.by_id[OWNER])
            known = limits.of(OWNER)
            assert known is not None
            report = make_report(known, world.loop.time())
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            await asyncio.sleep(2 * MAX_HOLD)
            reborn = FakeTarget(OWNER, ADDRESS)
            reborn.started_at = 1002
            world.targets[ADDRESS] = reborn
            # The keys of others need an owner.
            for address, target in world.targets.items():
                if address != ADDRESS and address != OTHER_ADDRESS:
                    target.is_up = False
            await asyncio.sleep(3 * MAX_HOLD)
            self.assertTrue(reborn.grants, 'the scenario is void')
            if is_reported:
                leader.take_report(report)
            await asyncio.sleep(MAX_HOLD)

        return scenario


if __name__ == '__main__':
    unittest.main()
