"""Terms of one daemon that follow each other, and outages of the store."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.lease import AUTHORITY_TERM, LEASE_TABLE, Lease
from cassialever.fleet.store_clock import MAX_CALL_TIME, StoreClock
from cassialever.fleet.suspected_moves import MAX_MOVES, SuspectedMoves
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.model import SuspectedMove
from cassialever.platform import rows
from cassialever.platform.store import CALL_TIMEOUT
from cassialever.types import ServiceName, TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon
from tests.ownership_fakes import Daemon, World
from tests.test_fleet_elections import (
    ElectionCase,
    lose_committed,
    stored_lease,
)

#: How long the store is away, in seconds: its longest outages.
OUTAGE = 9.0


def lease_written(transaction: rows.Transaction) -> Lease | None:
    """Return the lease that a transaction writes, if it writes one."""
    for write in transaction.writes:
        if write.table == LEASE_TABLE:
            return msgspec.msgpack.decode(write.content, type=Lease)
    return None


class HeldRelease:
    """Holds up a daemon's release of the lease before it is performed."""

    def __init__(self, daemon: RigDaemon) -> None:
        self._commit = daemon.store.commit
        self.is_held = False
        self.passes = asyncio.Event()
        daemon.store.commit = self.commit  # type: ignore[method-assign]

    async def commit(self, transaction: rows.Transaction) -> Any:
        lease = lease_written(transaction)
        if lease is not None and lease.is_resigned and not self.is_held:
            self.is_held = True
            await self.passes.wait()
        return await self._commit(transaction)


class LaterTermTest(ElectionCase):
    """A leader hands over; its term ends, and it leads again, meanwhile."""

    def test_handing_over_an_ended_term_leaves_the_later_one_alone(
        self,
    ) -> None:
        """It released that term's lease, and its relay did not lead."""

        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            for daemon in rig.daemons:
                daemon.member.candidacy = mock.Mock(
                    should_hand_over=lambda _: False,
                    may_lead=lambda _, one=daemon: one is leader,
                )
            release = HeldRelease(leader)
            first = leader.member.leader_term
            assert first is not None
            leader.member.candidacy.should_hand_over = lambda _: (
                not release.is_held
            )
            while not release.is_held:
                await asyncio.sleep(CHECK_INTERVAL)
            first.end(TermEnd.later_term)
            while leader.member.leader_term in (first, None):
                await asyncio.sleep(CHECK_INTERVAL)
            release.passes.set()
            await asyncio.sleep(2)
            self.assertTrue(leader.relay.is_leader)
            self.assertEqual(
                len(leader.relay.follower_by_id), len(rig.daemons) - 1
            )
            self.assertFalse(stored_lease(rig).is_resigned)

        self.play(scenario, count=3, seeds=range(1))


class OutageTest(ElectionCase):
    """The store is away for all daemons."""

    def test_leader_keeps_its_authority_and_one_is_confirmed_soon(self) -> None:
        """Keys are served all the while, and may move again."""

        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            term = leader.member.leader_term
            assert term is not None
            for daemon in rig.daemons:
                daemon.store.is_cut = True
            ends_at = rig.loop.time() + OUTAGE
            while rig.loop.time() < ends_at:
                await asyncio.sleep(0.1)
                self.assertTrue(term.has_authority())
            for daemon in rig.daemons:
                daemon.store.is_cut = False
            await asyncio.sleep(2)
            confirmed = rig.leader().member.leader_term
            assert confirmed is not None
            self.assertLess(confirmed.store_age(), 1)

        self.play(scenario)


class AuthorityTest(unittest.TestCase):
    """How long a leader may grant, as it and the next one count it."""

    def test_authority_ends_with_what_the_lease_tells(self) -> None:
        """It ended later by as much as the answer to a read took."""

        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            daemon = world.add_daemon('edge-1')
            read = daemon.store.read
            written: list[Lease] = []
            commit = daemon.store.commit

            async def read_slowly(table: str, start: str = '') -> Any:
                answer = await read(table, start)
                await asyncio.sleep(0.9)
                return answer

            async def note(transaction: rows.Transaction) -> Any:
                lease = lease_written(transaction)
                assert lease is not None
                written.append(lease)
                return await commit(transaction)

            daemon.store.read = read_slowly
            daemon.store.commit = note
            term = await daemon.election.attempt(0)
            assert term is not None
            until = written[0].renewed_at + AUTHORITY_TERM
            await asyncio.sleep(until - loop.time() + 0.001)
            self.assertFalse(term.has_authority())

        run_virtually(main)


class OwnersTest(unittest.TestCase):
    """Keys while a daemon's commits are performed and not answered."""

    def play(self, seed: int, loses_answers: Callable[[Daemon], None]) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed, 4)
            leader = world.add_daemon('edge-1')
            other = world.add_daemon('edge-2')
            world.publish_targets()
            assert await leader.take_over()
            await asyncio.sleep(2)
            loses_answers(leader)
            until = loop.time() + 2 * AUTHORITY_TERM
            targets = list(world.targets.values())
            while loop.time() < until:
                await asyncio.sleep(world.random.uniform(0.1, 0.4))
                if world.draw(0.1):
                    world.restart_target(world.random.choice(targets))
                for daemon in (leader, other):
                    if not daemon.is_leading():
                        await daemon.take_over()
            await asyncio.sleep(4)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.unheld_count(), 0)
            for daemon in world.daemons:
                daemon.kill()

        run_virtually(main)

    def test_answers_of_performed_commits_are_lost(self) -> None:
        def lose(daemon: Daemon) -> None:
            daemon.store.commit = lose_committed(daemon.store.commit)

        for seed in range(2):
            with self.subTest(seed=seed):
                self.play(seed, lose)

    def test_all_answers_to_commits_are_lost(self) -> None:
        def lose(daemon: Daemon) -> None:
            commit = daemon.store.commit

            async def call(transaction: rows.Transaction) -> Any:
                await commit(transaction)
                await asyncio.sleep(CALL_TIMEOUT)
                return Failure(ErrorKind.table_answer_lost, 'silent')

            daemon.store.commit = call

        for seed in range(2):
            with self.subTest(seed=seed):
                self.play(seed, lose)


class StoreClockTest(unittest.TestCase):
    """What the store's clock may show, by its answers."""

    def test_stop_within_a_call_does_not_advance_the_clock(self) -> None:
        clock = StoreClock(1000.0, 10.0)
        clock.note(1005.0, 10.5, 10.5 + MAX_CALL_TIME + 4)
        self.assertEqual(clock.at(16), 1006.0)

    def test_estimate_below_an_answer_is_corrected(self) -> None:
        """A clock that is too late would end authority too late."""
        clock = StoreClock(1000.0, 10.0)
        clock.note(1020.0, 10.5, 10.5 + MAX_CALL_TIME + 4)
        self.assertEqual(clock.at(10.5), 1020.0)

    def test_usual_answers_are_adopted(self) -> None:
        clock = StoreClock(1000.0, 10.0)
        clock.note(1000.4, 10.5, 10.6)
        self.assertAlmostEqual(clock.at(10.5), 1000.4)


class MovesTest(unittest.TestCase):
    """The moves on suspicion that a lease carries."""

    def test_many_moves_fit_into_a_lease(self) -> None:
        service = ServiceName('registry')
        moves = SuspectedMoves(
            tuple(
                SuspectedMove(service, TargetId(f't{number}'), 2, 100.0)
                for number in range(3 * MAX_MOVES)
            ),
            lambda: 101.0,
        )
        self.assertEqual(len(moves.recent()), MAX_MOVES)
        count_by_owner = moves.count_by_owner(service)
        self.assertEqual(sum(count_by_owner.values()), 6 * MAX_MOVES)


if __name__ == '__main__':
    unittest.main()
