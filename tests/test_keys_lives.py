"""Tests of key ownership where processes follow one another at an address.

Everything runs in virtual time. The checks are those of `World`.
"""

import asyncio
import contextlib
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cassialever.fleet.lease import AUTHORITY_TERM, RENEWAL_INTERVAL
from cassialever.fleet.model import KeyRange, StartedAt, Target
from cassialever.keys.assignments import (
    GRANT_RENEWAL_INTERVAL,
    MAX_GRANT_DURATION,
    Assignments,
    AssignmentState,
)
from cassialever.keys.lives import EndedLives
from cassialever.platform.entry_limits import MAX_INTEGER
from cassialever.platform.records import decode_target
from cassialever.platform.identity import is_refused_by_another
from cassialever.platform.processes import TargetProcesses
from cassialever.platform.spare_connections import IDLE_CONNECTIONS
from cassialever.platform.targets import (
    CallOutcome,
    TargetClient,
)
from cassialever.types import ServiceName, TargetId
from standins.keyed_target import TargetServer
from tests.fleet_helpers import VirtualLoop, run_virtually, target_entry
from tests.ownership_fakes import Daemon, FakeTarget, World

ADDRESS = '10.1.64.1:8707'
OTHER_ADDRESS = '10.1.64.0:8707'
#: By when the keys of a process that has ended are held again, in seconds: a
#: renewal, and what follows the answer of the next process.
LIMIT = GRANT_RENEWAL_INTERVAL + 0.5
#: Moments at which a process ends, over a renewal of all grants.
PHASES = tuple(step * 0.09 for step in range(8))
SEEDS = range(4)
#: Time for what goes on in the background, in seconds.
SETTLING_TIME = 0.1

Scenario = Callable[[World, Daemon], Awaitable[None]]


async def _settled_leader(world: World) -> Daemon:
    """Return a leader that has granted all keys."""
    leader = world.add_daemon('edge-1')
    world.publish_targets()
    assert await leader.take_over()
    await asyncio.sleep(2)
    assert not world.unheld_count()
    return leader


class LivesTest(unittest.TestCase):
    """Runs scenarios for several seeds and moments of a renewal."""

    def check_each(self, scenario: Scenario) -> None:
        """Run all cases, and fail once with those that failed."""
        failed = []
        for seed in SEEDS:
            for phase in PHASES:
                try:
                    self.check(scenario, seed, phase)
                except AssertionError as error:
                    failed.append((seed, phase, str(error)))
        self.assertEqual(failed, [])

    def check(self, scenario: Scenario, seed: int, phase: float) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed)
            leader = await _settled_leader(world)
            await asyncio.sleep(phase)
            await scenario(world, leader)
            for daemon in world.daemons:
                daemon.kill()
            self.assertEqual(world.violations, [])

        run_virtually(main)


class NewIdTest(LivesTest):
    """A target crashes, and another one has its address at once."""

    def test_next_target_at_the_address_gets_no_renewal(self) -> None:
        # It took the renewal that was meant for the earlier one.
        async def scenario(world: World, _: Daemon) -> None:
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            world.publish_targets()
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_next_target_gets_no_renewal_while_the_store_is_down(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            leader.store.is_cut = True
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(5)
            leader.store.is_cut = False
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_keys_of_the_ended_target_are_held_again_in_time(self) -> None:
        # They waited for the end of a grant whose owner had ended.
        async def scenario(world: World, _: Daemon) -> None:
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(LIMIT)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_keys_are_held_again_soon_after_the_first_answer(self) -> None:
        # A call is refused once; its keys need not wait any more.
        async def scenario(world: World, _: Daemon) -> None:
            world.replace_target(ADDRESS, 'next')
            while not world.misdirected_at:
                await asyncio.sleep(0.01)
            while world.unheld_count():
                await asyncio.sleep(0.01)
            outage = world.loop.time() - world.misdirected_at[0]
            self.assertLess(outage, 0.1)
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(len(world.misdirected_at), 1)

        self.check_each(scenario)

    def test_ended_target_is_called_once_at_most_without_the_store(
        self,
    ) -> None:
        # Call after call reached the next process, each renewal and probe.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.store.is_cut = True
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(5)
            self.assertLessEqual(len(world.misdirected_at), 1)

        self.check_each(scenario)

    def test_inherited_keys_of_the_ended_target_are_held_again(self) -> None:
        # The earlier leader lives on and could renew what it had granted.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.store.is_cut = True
            leader.is_isolated = True
            second = world.add_daemon('edge-2')
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            while not await second.take_over():
                await asyncio.sleep(0.1)
            await asyncio.sleep(LIMIT)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_next_target_may_hold_what_an_unnamed_call_gave_it(self) -> None:
        # The build before leads first: the next process took its renewal.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.run_build_before()
            second = world.add_daemon('edge-2')
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(0.9)
            leader.kill()
            world.violations.clear()
            while not await second.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(4)

        self.check_each(scenario)

    def test_keys_are_held_again_after_unnamed_calls(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            leader.run_build_before()
            second = world.add_daemon('edge-2')
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(0.9)
            assert leader.leader_term is not None
            await leader.leader_term.resign()
            leader.kill()
            world.violations.clear()
            while not await second.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(MAX_GRANT_DURATION + LIMIT)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_unnamed_renewal_that_is_sent_after_the_takeover(self) -> None:
        # The leader before, cut off from the store, called the next process,
        # and the keys of the ended owner were given on at once.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.run_build_before()
            await asyncio.sleep(RENEWAL_INTERVAL)
            leader.store.is_cut = leader.is_isolated = True
            second = world.add_daemon('edge-2')
            world.publish_targets()
            while not await second.take_over():
                await asyncio.sleep(0.1)
            while not _has_confirmed(second, 't1'):
                await asyncio.sleep(0.001)
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(4)
            self.assertTrue(_taken_by('next', world))
            await asyncio.sleep(AUTHORITY_TERM + MAX_GRANT_DURATION)
            self.assertEqual(world.unheld_count(), 0)
            for violation in _taken_by('next', world):
                world.violations.remove(violation)

        self.check_each(scenario)

    def test_unnamed_call_of_the_leader_before_the_last(self) -> None:
        # The one between had led for a moment, and named its targets.
        async def scenario(world: World, leader: Daemon) -> None:
            leader.run_build_before()
            second = world.add_daemon('edge-2')
            third = world.add_daemon('edge-3')
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(0.9)
            assert leader.leader_term is not None
            await leader.leader_term.resign()
            leader.kill()
            world.violations.clear()
            while not await second.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.2)
            assert second.leader_term is not None
            await second.leader_term.resign()
            second.kill()
            while not await third.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(MAX_GRANT_DURATION + LIMIT)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_inherited_owner_with_a_wrong_address_has_not_ended(self) -> None:
        # Another writer's entry sent the next leader to another target.
        async def scenario(world: World, leader: Daemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            owner = world.targets[OTHER_ADDRESS]
            owner.address = ADDRESS
            world.publish_targets()
            owner.address = OTHER_ADDRESS
            await asyncio.sleep(0.3)
            leader.kill()
            while not await second.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(4)

        self.check_each(scenario)

    def test_release_for_the_ended_target_reaches_no_other(self) -> None:
        # The next process answered in its place, with a handover of its own.
        async def scenario(world: World, leader: Daemon) -> None:
            world.targets[ADDRESS].is_draining = True
            world.publish_targets()
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(0.5)
            self.assertEqual(world.unheld_count(), 0)
            self.assertEqual(world.misdirected_releases, 0)

        self.check_each(scenario)


def _has_confirmed(leader: Daemon, owner: str) -> bool:
    """Return whether an owner has proved in this term that it has keys."""
    assigner = leader.assigner.assigner_by_service.get(ServiceName('registry'))
    if assigner is None:
        return False
    held = assigner.assignments.held_by(TargetId(owner))
    return any(not one.is_inherited for one in held)


def _taken_by(name: str, world: World) -> list[str]:
    """Return the violations by grants that a target took."""
    return [
        one
        for one in world.violations
        if f' {name} and ' in one or f' of {name} is not above ' in one
    ]


class SameIdTest(LivesTest):
    """A target starts again under its id, which its entry tells later."""

    def test_next_life_gets_no_renewal(self) -> None:
        # It took the renewal of a fence that only its earlier life had seen.
        async def scenario(world: World, _: Daemon) -> None:
            world.restart_target(world.targets[ADDRESS])
            await asyncio.sleep(LIMIT)
            self.assertEqual(world.unheld_count(), 0)
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_next_life_gets_no_renewal_while_the_store_is_down(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            leader.store.is_cut = True
            world.restart_target(world.targets[ADDRESS])
            await asyncio.sleep(5)
            leader.store.is_cut = False
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class CopiedAnswerTest(LivesTest):
    """Copies of earlier answers come where those to grants are expected."""

    def check_copies(
        self, copied: CallOutcome, *, is_cut: bool = False
    ) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            world.copied_by_address[ADDRESS] = copied
            await asyncio.sleep(GRANT_RENEWAL_INTERVAL)
            world.copied_by_address.clear()
            if is_cut:
                leader.target_client.unreachable.add(ADDRESS)
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_copied_refusal_of_another_target_ends_no_owner(self) -> None:
        # Its keys went to others at once, and it held them, too.
        self.check_copies(CallOutcome.ended)

    def test_copied_refusal_of_a_fence_shortens_no_hold(self) -> None:
        # The grant was carried out; its keys went on by the one before.
        self.check_copies(CallOutcome.outdated)

    def test_copied_refusal_shortens_no_hold(self) -> None:
        # Its owner can't be reached any more.
        self.check_copies(CallOutcome.refused, is_cut=True)

    def test_copied_acceptance_tells_not_when_the_grant_arrived(self) -> None:
        # The copy came first; the keys went on before the hold had run out.
        async def scenario(world: World, leader: Daemon) -> None:
            world.copied_by_address[ADDRESS] = CallOutcome.done
            world.transit_time = 0.09
            await asyncio.sleep(GRANT_RENEWAL_INTERVAL)
            world.copied_by_address.clear()
            world.transit_time = 0
            leader.target_client.unreachable.add(ADDRESS)
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_copied_acceptance_of_a_new_fence_ends_no_earlier_grant(
        self,
    ) -> None:
        # The target had not seen the fence, and carried out an earlier grant
        # after it had released the keys.
        async def scenario(world: World, _: Daemon) -> None:
            world.grant_delays = (1.0, 2.2)
            world.delayed_calls = 1.0
            await asyncio.sleep(GRANT_RENEWAL_INTERVAL)
            world.delayed_calls = 0.0
            world.copied_by_address[ADDRESS] = CallOutcome.done
            world.loses_copied_calls = True
            await asyncio.sleep(0.5)
            world.copied_by_address.clear()
            world.targets[ADDRESS].is_draining = True
            world.publish_targets()
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class HiddenGrantTest(LivesTest):
    """A copied answer hides a grant that is carried out late."""

    #: Delays of the hidden grants, which have time left then, in seconds.
    DELAYS = (1.6, 2.25)

    async def hide(
        self,
        world: World,
        duration: float,
        copied: CallOutcome = CallOutcome.done,
    ) -> None:
        """Hide the grants that are sent to a target during a time."""
        world.grant_delays = self.DELAYS
        world.copied_by_address[ADDRESS] = copied
        world.delays_copied_calls = True
        await asyncio.sleep(duration)
        world.delays_copied_calls = False
        world.copied_by_address.clear()

    async def lose(self, world: World, duration: float) -> None:
        """Have copies answer grants that a target never carries out."""
        world.copied_by_address[ADDRESS] = CallOutcome.done
        world.loses_copied_calls = True
        await asyncio.sleep(duration)
        world.loses_copied_calls = False
        world.copied_by_address.clear()

    async def drain(self, world: World) -> None:
        """Have the target leave, and wait until its keys are held again."""
        world.targets[ADDRESS].is_draining = True
        world.publish_targets()
        await asyncio.sleep(4)
        self.assertEqual(world.unheld_count(), 0)

    def test_released_owner_carries_a_hidden_renewal_out(self) -> None:
        # It had its keys again beside the next owner, with the lower fence.
        async def scenario(world: World, _: Daemon) -> None:
            await self.hide(world, GRANT_RENEWAL_INTERVAL)
            await self.drain(world)

        self.check_each(scenario)

    def test_two_copies_in_a_row_hide_two_renewals(self) -> None:
        # The second copy was taken for the proof of what the first one said.
        async def scenario(world: World, _: Daemon) -> None:
            await self.hide(world, 2 * GRANT_RENEWAL_INTERVAL)
            await self.drain(world)

        self.check_each(scenario)

    def test_two_copies_in_a_row_prove_no_higher_fence(self) -> None:
        # The owner had not seen the higher fence, and carried a grant out
        # that it had not answered before.
        async def scenario(world: World, leader: Daemon) -> None:
            assigner = leader.assigner.assigner_by_service['registry']
            owner = world.targets[ADDRESS].name
            assert leader.assigner._context is not None
            signs = leader.assigner._context.granter._signs
            # The first renewal is short, and the next ones last in full.
            while signs.silence_of(TargetId(owner)) > 0.01:
                await asyncio.sleep(0.0001)
            world.grant_delays = (1.9, 2.25)
            world.delayed_calls = 1.0
            while not any(
                one.is_suspect
                for one in assigner.assignments.held_by(TargetId(owner))
            ):
                await asyncio.sleep(0.001)
            world.delayed_calls = 0.0
            await self.lose(world, 1.2)
            await self.drain(world)

        self.check_each(scenario)

    def test_owner_whose_entry_goes_carries_a_hidden_renewal_out(self) -> None:
        # Its keys were free with the answer to the release.
        async def scenario(world: World, _: Daemon) -> None:
            await self.hide(world, GRANT_RENEWAL_INTERVAL)
            removed = world.targets.pop(ADDRESS)
            world.publish_targets()
            world.targets[ADDRESS] = removed
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_grant_that_is_repeated_after_a_copied_refusal(self) -> None:
        # The first answer to the repeated call was taken for that to both.
        async def scenario(world: World, _: Daemon) -> None:
            world.targets[OTHER_ADDRESS].is_draining = True
            world.publish_targets()
            await self.hide(world, 0.6, CallOutcome.outdated)
            await self.drain(world)

        self.check_each(scenario)

    def test_failed_renewal_after_a_hidden_one(self) -> None:
        # The copied answer to the next fence was taken for its proof.
        async def scenario(world: World, leader: Daemon) -> None:
            await self.hide(world, GRANT_RENEWAL_INTERVAL)
            leader.target_client.unreachable.add(ADDRESS)
            await asyncio.sleep(0.2)
            leader.target_client.unreachable.clear()
            await self.lose(world, 0.6)
            await self.drain(world)

        self.check_each(scenario)

    def test_change_of_leader_after_a_hidden_renewal(self) -> None:
        async def scenario(world: World, leader: Daemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            await self.hide(world, GRANT_RENEWAL_INTERVAL)
            leader.kill()
            world.targets[ADDRESS].is_draining = True
            world.publish_targets()
            while not await second.take_over():
                await asyncio.sleep(0.1)
            second.exchange_hello(leader)
            await asyncio.sleep(8)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_new_life_after_a_hidden_renewal(self) -> None:
        # A process that starts takes nothing that was sent to the earlier one.
        async def scenario(world: World, _: Daemon) -> None:
            await self.hide(world, GRANT_RENEWAL_INTERVAL)
            world.restart_target(world.targets[ADDRESS])
            await self.drain(world)

        self.check_each(scenario)


class LaterLifeTest(LivesTest):
    """A target ends, and starts elsewhere under its id at a strange time."""

    def check_started_at(self, ended_at: int, started_at: int) -> None:
        async def scenario(world: World, _: Daemon) -> None:
            world.targets[ADDRESS].started_at = ended_at
            world.publish_targets()
            await asyncio.sleep(1)
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            later = FakeTarget('t1', '10.1.64.9:8707')
            later.started_at = started_at
            for target in world.targets.values():
                target.is_draining = True
            world.targets[later.address] = later
            world.publish_targets()
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_start_before_that_of_the_ended_life(self) -> None:
        # It got no keys as long as the leader stayed.
        self.check_started_at(1000, 500)

    def test_start_after_a_huge_one(self) -> None:
        self.check_started_at(MAX_INTEGER, 2000)

    def test_later_start(self) -> None:
        self.check_started_at(1000, 2000)

    def test_equal_start(self) -> None:
        """It can't be told from the ended life, and gets no keys."""

        async def scenario(world: World, _: Daemon) -> None:
            world.replace_target(ADDRESS, 'next')
            await asyncio.sleep(1)
            later = FakeTarget('t1', '10.1.64.9:8707')
            world.targets[later.address] = later
            world.publish_targets()
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)

    def test_leader_with_an_old_entry(self) -> None:
        # The later life holds the keys; another target is at the old address.
        async def scenario(world: World, leader: Daemon) -> None:
            second = world.add_daemon('edge-2')
            world.publish_targets()
            world.daemons.remove(second)
            world.replace_target(ADDRESS, 'next')
            later = FakeTarget('t1', '10.1.64.9:8707')
            later.started_at = 500
            world.targets[later.address] = later
            world.publish_targets()
            await asyncio.sleep(3)
            for target in world.targets.values():
                target.is_draining = target is not later
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(world.unheld_count(), 0)
            world.daemons.append(second)
            leader.kill()
            while not await second.take_over():
                await asyncio.sleep(0.02)
            await asyncio.sleep(1)
            world.publish_targets()
            await asyncio.sleep(20)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class SharedAddressTest(LivesTest):
    """The entries of two targets name the same address."""

    def test_leader_that_has_granted_keys_to_both(self) -> None:
        async def scenario(world: World, _: Daemon) -> None:
            owner = world.targets[OTHER_ADDRESS]
            owner.address = ADDRESS
            world.publish_targets()
            owner.address = OTHER_ADDRESS
            await asyncio.sleep(4)
            world.publish_targets()
            await asyncio.sleep(3)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


class MovedLifeTest(LivesTest):
    """A target starts again at another address while it is given keys."""

    def test_later_life_gets_no_keys_of_the_ended_one(self) -> None:
        # A release at the earlier address freed what the later life held.
        async def scenario(world: World, leader: Daemon) -> None:
            assigner = leader.assigner.assigner_by_service['registry']
            _delay_commits(leader, 0.3)
            _delay_releases(leader, ADDRESS, 0.5)
            world.transit_time = 0.1
            for target in world.targets.values():
                target.is_draining = target.name != 't1'
            world.publish_targets()
            while not _is_assigned_to(assigner.assignments, 't1'):
                await asyncio.sleep(0.001)
            world.replace_target(ADDRESS, 'next')
            later = FakeTarget('t1', '10.1.64.9:8707')
            later.started_at = 2000
            world.targets[later.address] = later
            held = assigner.assignments.held_by(TargetId('t1'))
            assigner._reclaim(held[0], 'a move')
            await asyncio.sleep(0.02)
            world.publish_targets()
            # Keys that move for load wait for the delays above, too.
            await asyncio.sleep(8)
            self.assertEqual(world.unheld_count(), 0)

        self.check_each(scenario)


def _is_assigned_to(assignments: Assignments, owner: str) -> bool:
    """Return whether free keys are being written as those of an owner."""
    free = assignments.in_state(AssignmentState.free)
    return any(assignment.owner == owner for assignment in free)


def _delay_commits(daemon: Daemon, delay: float) -> None:
    commit = daemon.store.commit

    async def delayed(transaction: Any) -> Any:
        await asyncio.sleep(delay)
        return await commit(transaction)

    daemon.store.commit = delayed


def _delay_releases(daemon: Daemon, address: str, delay: float) -> None:
    """Delay the answers to releases at an address."""
    release = daemon.target_client.release

    async def delayed(called: str, keys: KeyRange) -> Any:
        result = await release(called, keys)
        if called == address:
            await asyncio.sleep(delay)
        return result

    daemon.target_client.release = delayed


class ProbeTest(unittest.TestCase):
    """What a connection to the address of an owner shows."""

    def test_accepted_connection_is_no_sign_of_life(self) -> None:
        # Any process at the address accepts it: the next grant was too long.
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            leader = await _settled_leader(world)
            context = leader.assigner._context
            assert context is not None
            granter = context.granter
            silence = granter._signs.silence_of(TargetId('t1'))
            world.replace_target(ADDRESS, 'next')
            self.assertTrue(await granter.probe(TargetId('t1')))
            self.assertGreater(
                granter._signs.silence_of(TargetId('t1')), silence
            )
            leader.kill()

        run_virtually(main)


class EndedLivesTest(unittest.TestCase):
    """What follows from the answer of another target at an address."""

    def test_process_that_was_called_is_over(self) -> None:
        lives = EndedLives()
        self.assertTrue(lives.end(_target(started_at=2000)))
        self.assertTrue(lives.end(_target(started_at=2000)))
        self.assertTrue(lives.is_over(TargetId('t1'), StartedAt(2000)))
        self.assertFalse(lives.is_over(TargetId('t2'), StartedAt(2000)))

    def test_no_other_process_of_the_target_is_over(self) -> None:
        # A later one whose machine's clock had stepped back got no keys.
        lives = EndedLives()
        for ended in (2000, 1500, MAX_INTEGER):
            self.assertTrue(lives.end(_target(started_at=ended)))
            self.assertTrue(lives.is_over(TargetId('t1'), StartedAt(ended)))
        for started_at in (0, 1, 1000, 1499, 1501, 1999, 2001, MAX_INTEGER - 1):
            self.assertFalse(
                lives.is_over(TargetId('t1'), StartedAt(started_at))
            )

    def test_process_that_accepted_keys_elsewhere_is_not_over(self) -> None:
        lives = EndedLives()
        lives.confirm(_target(address='10.1.64.2:8707'))
        self.assertFalse(lives.end(_target()))
        self.assertFalse(lives.is_over(TargetId('t1'), StartedAt(1000)))

    def test_next_process_that_moved_is_over(self) -> None:
        lives = EndedLives()
        lives.confirm(_target(address='10.1.64.2:8707'))
        self.assertTrue(lives.end(_target(started_at=2000)))


def _target(started_at: int = 1000, address: str = ADDRESS) -> Target:
    entry = target_entry(address=address, born=started_at)
    target = decode_target('t1', msgspec.json.encode(entry))
    assert isinstance(target, Target)
    return target


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls over sockets to an address that another target has."""

    async def test_calls_for_another_target_are_not_carried_out(self) -> None:
        # The process at the address took keys that were granted to another.
        await self.check_calls_for_another_target(hides_id=False)

    async def test_refusal_without_an_id_says_that_another_answered(
        self,
    ) -> None:
        # It was taken for a refusal of the owner, and call after call followed.
        await self.check_calls_for_another_target(hides_id=True)

    async def test_target_of_another_service_takes_no_keys(self) -> None:
        await self.check_calls_for_another_target(
            hides_id=True, service='library'
        )

    async def check_calls_for_another_target(
        self, *, hides_id: bool, service: str = 'registry'
    ) -> None:
        target = await self.started('next', service=service)
        target.faults.hides_id = hides_id
        client = await self.client()
        keys = KeyRange(0, 99, 'ended', 1000, 7)
        granted = await client.grant(target.address, keys, 2.3)
        self.assertFalse(target.holds(50))
        self.assertIs(granted.outcome, CallOutcome.ended)
        own = KeyRange(0, 99, 'next', 1000, 8)
        accepted = await client.grant(target.address, own, 2.3)
        self.assertIs(accepted.outcome, CallOutcome.done)
        released = await client.release(target.address, keys)
        self.assertTrue(target.holds(50))
        self.assertIs(released.outcome, CallOutcome.ended)

    def test_refusal_by_the_target_itself(self) -> None:
        headers = {'Instance-Id': 't1'}
        self.assertFalse(is_refused_by_another(421, headers, TargetId('t1')))
        self.assertFalse(is_refused_by_another(409, {}, TargetId('t1')))

    async def test_next_life_is_not_called_with_the_fence_of_the_earlier(
        self,
    ) -> None:
        # It had the same id and took a renewal over a new connection.
        target = await self.started('t0')
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        granted = await client.grant(target.address, keys, 2.3)
        port = int(target.address.rpartition(':')[2])
        await target.stop()
        restarted = await self.started('t0', port)
        renewed = await client.grant(
            restarted.address, keys, 2.3, granted.process
        )
        self.assertIs(renewed.outcome, CallOutcome.unproven)
        self.assertFalse(restarted.holds(50))
        raised = KeyRange(0, 99, 't0', 1001, 8)
        accepted = await client.grant(restarted.address, raised, 2.3)
        self.assertIs(accepted.outcome, CallOutcome.done)

    async def test_spare_connection_carries_on_when_the_other_ends(
        self,
    ) -> None:
        target = await self.started('t0')
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        granted = await client.grant(target.address, keys, 2.3)
        process = granted.process
        assert process is not None
        (first,) = process.connections
        await asyncio.sleep(2 * SETTLING_TIME)
        renewed = await client.grant(target.address, keys, 2.3, process)
        self.assertIs(renewed.outcome, CallOutcome.done)
        self.assertEqual(len(process.connections), 2)
        first.close()
        renewed = await client.grant(target.address, keys, 2.3, process)
        self.assertIs(renewed.outcome, CallOutcome.done)

    async def started(
        self, name: str, port: int = 0, service: str = 'registry'
    ) -> TargetServer:
        target = TargetServer(name, service)
        await target.start(port)
        self.addAsyncCleanup(target.stop)
        return target

    async def client(self) -> TargetClient:
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        return client

    async def test_copy_of_an_earlier_answer_ends_no_release(self) -> None:
        # Its keys were given on while their owner was still at work on them.
        for earlier in ('grant', 'release'):
            with self.subTest(earlier=earlier):
                await self.check_release_after(earlier)

    async def check_release_after(self, earlier: str) -> None:
        target = await self.started('t0')
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        # All idle connections have answered then, the spare one too.
        for _ in range(3):
            await client.grant(target.address, keys, 2.3)
        for _ in range(3 if earlier == 'release' else 0):
            await client.release(target.address, keys)
        target.faults.repeats_call_answers = True
        target.faults.release_time = 0.3
        started_at = time.monotonic()
        released = await client.release(target.address, keys)
        self.assertIs(released.outcome, CallOutcome.done)
        self.assertGreaterEqual(
            time.monotonic() - started_at, target.faults.release_time
        )
        self.assertEqual(released.handover, 'h')

    async def test_release_at_a_target_that_takes_no_connection(self) -> None:
        # It was reset, and the keys waited for the end of their hold.
        address = await self.started_full(connections=IDLE_CONNECTIONS)
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        for _ in range(3):
            await client.grant(address, keys, 2.3)
            await asyncio.sleep(SETTLING_TIME)
        released = await client.release(address, keys)
        self.assertIs(released.outcome, CallOutcome.done)
        self.assertEqual(released.handover, 'h')
        renewed = await client.grant(address, keys, 2.3)
        self.assertIs(renewed.outcome, CallOutcome.done)

    async def test_copied_grant_ends_no_release_at_a_full_target(self) -> None:
        address = await self.started_full(IDLE_CONNECTIONS, copies=True)
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        for _ in range(3):
            await client.grant(address, keys, 2.3)
            await asyncio.sleep(SETTLING_TIME)
        released = await client.release(address, keys)
        self.assertIs(released.outcome, CallOutcome.unknown)

    async def test_last_connection_to_a_full_target_is_kept(self) -> None:
        address = await self.started_full(connections=1)
        client = await self.client()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        granted = await client.grant(address, keys, 2.3)
        await asyncio.sleep(SETTLING_TIME)
        released = await client.release(address, keys)
        self.assertIs(released.outcome, CallOutcome.unknown)
        renewed = await client.grant(address, keys, 2.3, granted.process)
        self.assertIs(renewed.outcome, CallOutcome.done)

    async def started_full(
        self, connections: int, *, copies: bool = False
    ) -> str:
        """Start a target that resets further connections.

        With `copies`, that of a grant's answer comes before each answer to a
        release.
        """
        accepted = 0
        copy = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal accepted
            accepted += 1
            if accepted > connections:
                writer.transport.abort()
                return
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    await reader.readuntil(b'}')
                    handover = b'' if b'grant' in head else b'Handover: h\r\n'
                    if handover and copies:
                        writer.write(copy)
                    is_asked = b'Expect-Instance: -' in head
                    status = b'421 Misdirected' if is_asked else b'200 OK'
                    writer.write(
                        b'HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n'
                        % (status, handover)
                    )

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def test_redirect_ends_no_release(self) -> None:
        # The answer of another path was taken for that of the target.
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError, EOFError):
                while head := await reader.readuntil(b'\r\n\r\n'):
                    status = b'200 OK' if b' /other ' in head else b'302 Found'
                    writer.write(
                        b'HTTP/1.1 %b\r\nLocation: /other\r\n'
                        b'Content-Length: 0\r\n\r\n' % status
                    )

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = await self.client()
        host, port = server.sockets[0].getsockname()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        released = await client.release(f'{host}:{port}', keys)
        self.assertIs(released.outcome, CallOutcome.unknown)

    async def test_copy_of_a_refusal_hides_no_grant(self) -> None:
        # A grant that was carried out was taken for one that was refused.
        target = await self.started('t0')
        client = await self.client()
        outcomes = []
        for fence in (7, 5, 8, 9, 10):
            target.faults.repeats_call_answers = fence > 7
            keys = KeyRange(0, 99, 't0', 1000, fence)
            granted = await client.grant(target.address, keys, 2.3)
            outcomes.append(granted.outcome)
        self.assertEqual(
            outcomes[2:],
            [CallOutcome.unknown, CallOutcome.done, CallOutcome.done],
        )
        self.assertEqual([one.fence for one in target.keys.grants], [10])

    async def test_refused_grant_is_repeated_on_a_new_connection(self) -> None:
        # Each refusal on a kept connection cost another fence.
        target = await self.started('t0')
        client = await self.client()
        for fence in (7, 7, 7, 5):
            keys = KeyRange(0, 99, 't0', 1000, fence)
            granted = await client.grant(target.address, keys, 2.3)
        self.assertIs(granted.outcome, CallOutcome.outdated)
        self.assertTrue(granted.is_first)

    async def test_refusal_on_a_kept_connection_proves_nothing(self) -> None:
        # The answer to another call ended a target, or shortened its hold.
        for status in (409, 421, 503):
            with self.subTest(status=status):
                await self.check_answers(status)

    async def check_answers(self, status: int) -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError, EOFError):
                for each in (200, status):
                    await reader.readuntil(b'}')
                    writer.write(
                        b'HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n' % each
                    )

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = await self.client()
        host, port = server.sockets[0].getsockname()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        granted = await client.grant(f'{host}:{port}', keys, 2.3)
        self.assertIs(granted.outcome, CallOutcome.done)
        assert granted.process is not None
        (connection,) = granted.process.connections
        renewed = await client.grant(
            f'{host}:{port}', keys, 2.3, granted.process
        )
        self.assertIs(renewed.outcome, CallOutcome.unknown)
        self.assertFalse(connection.is_connected())

    async def test_failure_of_a_target_may_hide_a_grant(self) -> None:
        # It was taken for a refusal, and the keys were free at once.
        for head, outcome in (
            (b'500 Failed', CallOutcome.unknown),
            (b'503 Busy', CallOutcome.unknown),
            (b'504 Late', CallOutcome.unknown),
            (b'503 Busy\r\nNot-Executed: 1', CallOutcome.refused),
        ):
            with self.subTest(head=head):
                await self.check_first_answer(head, outcome)

    async def check_first_answer(
        self, head: bytes, outcome: CallOutcome
    ) -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError, EOFError):
                await reader.readuntil(b'}')
                writer.write(b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % head)

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = await self.client()
        host, port = server.sockets[0].getsockname()
        keys = KeyRange(0, 99, 't0', 1000, 7)
        granted = await client.grant(f'{host}:{port}', keys, 2.3)
        self.assertIs(granted.outcome, outcome)

    async def test_late_copy_of_a_refusal_ends_no_other_target(self) -> None:
        # The next target at the address was taken for ended, and holds keys.
        server = await asyncio.start_server(_repeat_refusals, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        host, port = server.sockets[0].getsockname()
        outcomes = []
        for owner in ('ended', 'next'):
            keys = KeyRange(0, 99, owner, 1000, 7)
            granted = await client.grant(f'{host}:{port}', keys, 2.3)
            outcomes.append(granted.outcome)
        self.assertEqual(outcomes, [CallOutcome.ended, CallOutcome.done])


class TargetProcessesTest(unittest.TestCase):
    """Which connections are known to reach the same process."""

    def test_connection_made_between_two_answers(self) -> None:
        processes, first, spare = TargetProcesses(), _Socket(), _Socket()
        process = processes.record_answer(first, 1.0, 1.1, [])
        processes.record_made(spare, 1.2)
        # An answer on the first alone: it may wait at a proxy.
        processes.record_answer(first, 1.4, 1.5, [spare])
        self.assertNotIn(spare, process.connections)
        processes.record_answer(spare, 1.6, 1.8, [first])
        # The earlier process may have sent it before that answer.
        processes.record_answer(first, 1.7, 1.9, [spare])
        self.assertNotIn(spare, process.connections)
        processes.record_answer(first, 1.8, 1.9, [spare])
        self.assertIn(spare, process.connections)
        self.assertIs(processes.record_answer(spare, 2, 2.1, []), process)

    def test_answer_with_the_status_of_the_last_one_may_be_a_copy(self) -> None:
        # One that came late proved that its process was still there.
        processes, connection = TargetProcesses(), _Socket()
        self.assertTrue(processes.record_status(connection, 200))
        self.assertFalse(processes.record_status(connection, 200))
        self.assertTrue(processes.record_status(connection, 421))
        self.assertFalse(processes.record_status(connection, 421))
        self.assertTrue(processes.record_status(connection, 200))

    def test_connection_that_can_be_proven(self) -> None:
        processes, first, spare = TargetProcesses(), _Socket(), _Socket()
        process = processes.record_answer(first, 1.0, 1.1, [])
        processes.record_made(spare, 1.2)
        self.assertFalse(processes.has_unproven(process, [spare]))
        other = processes.record_answer(spare, 1.3, 1.4, [])
        self.assertTrue(processes.has_unproven(process, [spare]))
        # It was made before the answer on the spare one.
        self.assertFalse(processes.has_unproven(other, [first]))
        processes.record_answer(first, 1.5, 1.6, [spare])
        self.assertFalse(processes.has_unproven(process, [first, spare]))

    def test_answer_on_a_later_connection_proves_nothing(self) -> None:
        # The earlier connection may lead to the process before.
        processes, earlier, later = TargetProcesses(), _Socket(), _Socket()
        processes.record_made(earlier, 1.0)
        process = processes.record_answer(later, 1.5, 1.6, [earlier])
        processes.record_answer(later, 1.7, 1.8, [earlier])
        self.assertNotIn(earlier, process.connections)


class _Socket:
    """A connection."""


async def _repeat_refusals(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each call as `next`, and copy a refusal into the next answer."""
    refusal = b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
    copied = b''
    try:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readuntil(b'}')
            writer.write(copied)
            copied = b'' if b'Expect-Instance: next' in head else refusal
            accepted = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            writer.write(copied or accepted)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


if __name__ == '__main__':
    unittest.main()
