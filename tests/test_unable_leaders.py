"""Daemons whose terms end by themselves: others lead in their place."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.deference import (
    DEFERENCE_STEP,
    MAX_DEFERENCE_STEPS,
    Deference,
)
from cassialever.fleet.lease import LEASE_TABLE, Lease, find_lease
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.lease_writes import release_lease
from cassialever.fleet.model import KeyMap, KeyRange, StoreRow
from cassialever.fleet.term_ends import SHORT_TERM, TermEnd, TermResult
from cassialever.fleet.view import OWN_TABLE
from cassialever.keys.assignments import MAX_FIRST_FENCE
from cassialever.keys.mapwriter import row_name
from cassialever.platform import rows
from cassialever.types import RowVersion, ServiceName, TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon
from tests.ownership_fakes import World
from tests.test_fleet_elections import ElectionCase, stored_lease

DAEMONS = 9
#: Time in which a fleet has a leader that goes on, in seconds.
LED_LIMIT = 3.0
#: How long a term lasts that ends by itself, in seconds.
TERM_TIME = 0.07
#: Ends of terms whose daemon still has the lease.
ENDS = (
    TermEnd.leader_row_changed,
    TermEnd.key_map_changed,
    TermEnd.failed,
)
#: Time in which a leader has granted and written keys, in seconds.
SETTLING_TIME = 2.0


def end_terms(daemon: RigDaemon, cause: TermEnd) -> list[float]:
    """End each term of a daemon soon, also the present one; return when."""
    ended_at: list[float] = []
    loop = daemon.machine.loop

    async def work(term: LeaderTerm) -> None:
        await asyncio.sleep(TERM_TIME)
        ended_at.append(loop.time())
        term.end(cause)

    daemon.member.run_leader = work
    present = daemon.member.leader_term
    if present is not None:
        ended_at.append(loop.time())
        present.end(cause)
    return ended_at


class UnableLeaderTest(ElectionCase):
    """One of nine daemons can't lead."""

    def check(self, cause: TermEnd, *, deference: int) -> None:
        """Expect another leader, though all others leave it the lease."""

        async def scenario(rig: Rig) -> None:
            victim = rig.leader()
            for daemon in rig.daemons:
                daemon.member.election_delay = 0
                if daemon is not victim:
                    daemon.member._election.deference.unanswered = deference
            ended_at = end_terms(victim, cause)
            while rig.find_leader() in (victim, None):
                await asyncio.sleep(CHECK_INTERVAL)
                self.assertLess(rig.loop.time() - ended_at[0], LED_LIMIT)
            await asyncio.sleep(2 * LED_LIMIT)
            self.assertIsNot(rig.leader(), victim)

        self.play(scenario, count=DAEMONS)

    def test_lease_is_released_before_followers_are_left(self) -> None:
        """They found it in force, and waited."""

        async def scenario(rig: Rig) -> None:
            victim = rig.leader()
            term = victim.member.leader_term
            assert term is not None
            term.end(TermEnd.key_map_changed)
            while victim.member.leader_term is term:
                await asyncio.sleep(CHECK_INTERVAL / 10)
            self.assertTrue(stored_lease(rig).is_resigned)

        self.play(scenario)

    def test_others_lead_at_once(self) -> None:
        """They waited until its lease had lapsed."""
        for cause in ENDS:
            with self.subTest(cause=cause):
                self.check(cause, deference=0)

    def test_others_lead_though_they_leave_leases_to_others(self) -> None:
        """It led again before them, each time."""
        for cause in ENDS:
            with self.subTest(cause=cause):
                self.check(cause, deference=MAX_DEFERENCE_STEPS)

    def test_killed_leader_is_replaced_though_no_term_lasted(self) -> None:
        """All nine left its lease to others for 2.4 s after it had lapsed."""

        async def scenario(rig: Rig) -> None:
            victim = rig.leader()
            for daemon in rig.daemons:
                daemon.member.election_delay = 0
                deference = daemon.member._election.deference
                deference.short_terms = MAX_DEFERENCE_STEPS
            killed_at = rig.loop.time()
            victim.kill()
            while rig.find_leader() in (victim, None):
                await asyncio.sleep(CHECK_INTERVAL)
                self.assertLess(rig.loop.time() - killed_at, LED_LIMIT)

        self.play(scenario, count=DAEMONS)

    def test_daemon_that_is_alone_tries_again(self) -> None:
        async def scenario(rig: Rig) -> None:
            victim = rig.leader()
            for daemon in rig.daemons:
                if daemon is not victim:
                    daemon.kill()
            ended_at = end_terms(victim, TermEnd.key_map_changed)
            await asyncio.sleep(4 * LED_LIMIT)
            gaps = [later - at for at, later in zip(ended_at, ended_at[1:])]
            self.assertGreater(len(gaps), 2)
            self.assertLess(max(gaps), LED_LIMIT)

        self.play(scenario, count=3)

    def test_lease_whose_release_was_refused_is_released_later(self) -> None:
        """The daemon waited for its own lease, as did all others."""

        async def scenario(rig: Rig) -> None:
            victim = rig.leader()
            for daemon in rig.daemons:
                daemon.member.election_delay = 0
            commit = victim.store.commit

            async def refuse(transaction: rows.Transaction) -> Any:
                victim.store.commit = commit  # type: ignore[method-assign]
                return Failure(ErrorKind.table_unavailable, 'refused')

            term = victim.member.leader_term
            assert term is not None
            await term.commit(rows.Transaction((), ()))
            victim.store.commit = refuse  # type: ignore[method-assign]
            term.end(TermEnd.key_map_changed)
            begun_at = rig.loop.time()
            while not stored_lease(rig).is_resigned:
                await asyncio.sleep(CHECK_INTERVAL)
                self.assertLess(rig.loop.time() - begun_at, 1)

        self.play(scenario)


class DeferenceTest(unittest.TestCase):
    """How many steps a daemon leaves the lease to others."""

    def note(
        self, deference: Deference, cause: TermEnd, lasted: float, times: int
    ) -> None:
        result = TermResult(RowVersion(7), lasted, cause)
        for _ in range(times):
            deference.note_term(result)

    def test_daemon_whose_terms_are_short_defers_to_all_others(self) -> None:
        others = Deference()
        others.unanswered = others.unread = 9
        for times in (1, 2, 100):
            unable = Deference()
            self.note(unable, TermEnd.key_map_changed, TERM_TIME, times)
            self.assertGreater(unable.steps, others.steps)
            self.assertLess(unable.steps * DEFERENCE_STEP, LED_LIMIT)
            for has_lapsed in (False, True):
                self.assertGreater(
                    unable.delay(has_lapsed=has_lapsed),
                    others.delay(has_lapsed=has_lapsed),
                )

    def test_term_that_failed_after_a_while_is_left_to_others_once(
        self,
    ) -> None:
        deference = Deference()
        self.note(deference, TermEnd.failed, SHORT_TERM, 3)
        self.assertEqual(deference.steps, 1)

    def test_ends_that_are_no_failure_count_for_nothing(self) -> None:
        deference = Deference()
        for cause in (TermEnd.resigned, TermEnd.lease_lost, TermEnd.later_term):
            self.note(deference, cause, TERM_TIME, 2)
        self.assertEqual(deference.steps, 0)

    def test_daemon_that_led_for_a_while_forgets(self) -> None:
        deference = Deference()
        deference.unread = 2
        self.note(deference, TermEnd.failed, TERM_TIME, 2)
        self.note(deference, TermEnd.resigned, SHORT_TERM, 1)
        self.assertEqual(deference.steps, 0)


class FollowedLeaderTest(ElectionCase):
    """A daemon that has followed a leader counts from 0 again."""

    def test_followers_forget_their_failures(self) -> None:
        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            others = [one for one in rig.daemons if one is not leader]
            for daemon in others:
                daemon.member._election.deference.unanswered = 3
            await asyncio.sleep(2 * SHORT_TERM)
            leader.kill()
            await asyncio.sleep(0.5)
            for daemon in others:
                self.assertEqual(daemon.member._election.deference.steps, 0)

        self.play(scenario, count=4)


class ReleaseTest(unittest.TestCase):
    """What the release of a lease after a term expects."""

    def play(self, scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            for name in ('edge-1', 'edge-2'):
                world.add_daemon(name)
            world.publish_targets()
            await scenario(world)
            self.assertEqual(world.violations, [])
            for daemon in world.daemons:
                daemon.kill()

        run_virtually(main)

    async def lease(self, world: World) -> Lease:
        answer = await world.daemons[0].store.read(LEASE_TABLE)
        lease, _ = find_lease(answer.rows)
        assert lease is not None
        return lease

    def test_lease_of_another_daemon_is_left_alone(self) -> None:
        async def scenario(world: World) -> None:
            first, second = world.daemons
            self.assertTrue(await first.take_over())
            held = await self.lease(world)
            first.kill()
            await asyncio.sleep(SETTLING_TIME)
            self.assertTrue(await second.take_over())
            await release_lease(first.store, held)
            lease = await self.lease(world)
            self.assertEqual(lease.instance_id, 'edge-2')
            self.assertFalse(lease.is_resigned)

        self.play(scenario)

    def test_lease_stands_while_a_grant_is_under_way(self) -> None:
        """A later process of its target would take it."""

        async def scenario(world: World) -> None:
            first = world.daemons[0]
            self.assertTrue(await first.take_over())
            term = first.leader_term
            assert term is not None
            await asyncio.sleep(SETTLING_TIME)
            term.grants_in_progress += 1
            term.end(TermEnd.key_map_changed)
            await asyncio.sleep(0.4)
            self.assertFalse((await self.lease(world)).is_resigned)
            term.grants_in_progress -= 1
            await asyncio.sleep(0.4)
            self.assertTrue((await self.lease(world)).is_resigned)

        self.play(scenario)

    def test_no_term_begins_with_a_map_that_the_store_lacks(self) -> None:
        """The known map had a later version than the stored one."""

        async def scenario(world: World) -> None:
            first, second = world.daemons
            self.assertTrue(await first.take_over())
            await asyncio.sleep(SETTLING_TIME)
            stored = await second.store.read_all(OWN_TABLE)
            second.view.replace(OWN_TABLE, stored.rows, stored.version)
            name = row_name(ServiceName('registry'))
            keys = KeyRange(0, 65535, TargetId('t1'), 1000, MAX_FIRST_FENCE)
            content = msgspec.msgpack.encode(
                KeyMap(ServiceName('registry'), (keys,))
            )
            version = RowVersion(stored.version + 1000)
            second.view.apply(
                OWN_TABLE, [StoreRow(OWN_TABLE, name, content, version)], 1
            )
            first.kill()
            await asyncio.sleep(SETTLING_TIME)
            if await second.take_over():
                known = second.view.rows.by_table_and_name[OWN_TABLE, name]
                stored = await second.store.read_all(OWN_TABLE)
                self.assertIn(
                    known.content, [one.content for one in stored.rows]
                )
            await asyncio.sleep(SETTLING_TIME)
            granted = [
                fence
                for target in world.targets.values()
                for _, _, fence in target.seen_fences
            ]
            self.assertLess(max(granted), MAX_FIRST_FENCE)

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
