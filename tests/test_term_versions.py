"""Leaders whose writes are answered with another version than their rows'.

Answers about rows name the newest version of the store, which is that of
another writer's row if it commits before the answer is made.
"""

import asyncio
import base64
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.attempts import Hindrance
from cassialever.fleet.leading import MAX_UNANSWERED
from cassialever.fleet.lease import (
    EMPTY_TRANSACTION,
    LEASE_ROW,
    LEASE_TABLE,
    find_lease,
)
from cassialever.fleet.model import KeyMap, KeyRange, StoreRow
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.keys.mapwriter import MAX_ATTEMPTS, MapWriter, row_name
from cassialever.platform import rows
from cassialever.types import Fence, RowVersion, ServiceName, TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, World
from tests.test_fleet_elections import lose_committed

#: Time in which a leader has granted and written keys, in seconds.
SETTLING_TIME = 2.0
#: Time in which a leader renews its lease several times, in seconds.
LEADING_TIME = 3.0

UNREAD = Failure(ErrorKind.table_answer_lost, 'no answer')
KEY_MAP = row_name(ServiceName('registry'))


def key_map(fence: int) -> KeyMap:
    """Return a map with one owner and a fence."""
    keys = KeyRange(0, 65535, TargetId('t1'), 1000, Fence(fence))
    return KeyMap(ServiceName('registry'), (keys,))


#: The map from which a term began, the next one, and one of another writer.
BEGUN, NEXT, OTHER = key_map(1), key_map(2), key_map(7)


def stored_map(content: KeyMap, version: int) -> StoreRow:
    """Return the row with a key map."""
    encoded = msgspec.msgpack.encode(content)
    return StoreRow(OWN_TABLE, KEY_MAP, encoded, RowVersion(version))


def leader_row(version: int) -> StoreRow:
    """Return the leader's row."""
    return StoreRow(OWN_TABLE, LEADER_ROW, b'', RowVersion(version))


def is_takeover(transaction: rows.Transaction) -> bool:
    """Return whether a transaction makes a daemon the leader."""
    return any(write.name == LEADER_ROW for write in transaction.writes)


def version_of(world: World, table: str, name: str) -> int:
    """Return the version of a row in the store."""
    return world.shared.row_by_name[table, name].ver


class VersionCase(unittest.TestCase):
    """Scenarios with one or more daemons, in virtual time."""

    def play(self, scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            await scenario(world)
            self.assertEqual(world.violations, [])
            for daemon in world.daemons:
                daemon.kill()

        run_virtually(main)

    def add_daemon(self, world: World, name: str) -> Daemon:
        daemon = world.add_daemon(name)
        world.publish_targets()
        return daemon


class TakeoverTest(VersionCase):
    """The answer to a takeover names another writer's version."""

    def test_term_is_numbered_by_the_leaders_row(self) -> None:
        """Its first write of a key map ended it."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            world.newest_answers = 1
            world.newest_tables = {OWN_TABLE, LEASE_TABLE}
            commit = daemon.store.commit

            async def answer_exactly(transaction: rows.Transaction) -> Any:
                if not is_takeover(transaction):
                    world.newest_answers = 0
                return await commit(transaction)

            daemon.store.commit = answer_exactly
            self.assertTrue(await daemon.take_over())
            term = daemon.leader_term
            assert term is not None
            self.assertEqual(
                term.term, version_of(world, OWN_TABLE, LEADER_ROW)
            )
            await asyncio.sleep(SETTLING_TIME)
            self.assertTrue(daemon.is_leading())
            self.assertEqual(world.unheld_count(), 0)

        self.play(scenario)

    def test_row_that_names_another_process_ends_the_attempt(self) -> None:
        """It led beside the daemon that had taken over meanwhile."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            other = self.add_daemon(world, 'edge-2')
            commit = daemon.store.commit

            async def take_over_meanwhile(transaction: rows.Transaction) -> Any:
                answer = await commit(transaction)
                if not is_takeover(transaction):
                    return answer
                own = other.hello
                world.shared.put(
                    OWN_TABLE,
                    LEADER_ROW,
                    msgspec.msgpack.encode(
                        Leadership(
                            own.instance_id, own.address, own.incarnation
                        )
                    ),
                )
                return answer

            daemon.store.commit = take_over_meanwhile
            self.assertFalse(await daemon.take_over())
            self.assertEqual(daemon.election.holder_id, 'edge-2')
            # It has released what it does not lead by.
            daemon.store.commit = commit
            self.assertTrue(await other.take_over())

        self.play(scenario)

    def test_read_of_before_the_takeover_begins_no_term(self) -> None:
        """It names this process, as the leader of its earlier term."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            term = await daemon.election.attempt(0)
            assert term is not None
            earlier = await daemon.store.read_all(OWN_TABLE)
            term.end(TermEnd.failed)
            await term.release()
            read_all = daemon.store.read_all

            async def read_behind(table: str) -> Any:
                return earlier if table == OWN_TABLE else await read_all(table)

            daemon.store.read_all = read_behind
            self.assertIsNone(await daemon.election.attempt(0))
            failed = daemon.election.failed
            assert failed is not None
            self.assertIs(failed.hindrance, Hindrance.tables_unread)
            daemon.store.read_all = read_all
            await asyncio.sleep(LEADING_TIME)
            self.assertIsNotNone(await daemon.election.attempt(0))

        self.play(scenario)

    def test_takeover_that_is_given_up_takes_no_lease_of_others(self) -> None:
        """It expected the version in its answer, and released theirs."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            other = self.add_daemon(world, 'edge-2')
            commit = daemon.store.commit
            stored = []

            async def lead_meanwhile(transaction: rows.Transaction) -> Any:
                answer = await commit(transaction)
                if not is_takeover(transaction):
                    return answer
                lease = world.shared.row_by_name[LEASE_TABLE, LEASE_ROW]
                world.shared.delete(LEASE_TABLE, LEASE_ROW)
                assert await other.take_over()
                stored.append(lease)
                return rows.Committed(world.shared.version, world.loop.time())

            daemon.store.commit = lead_meanwhile
            self.assertFalse(await daemon.take_over())
            self.assertEqual(len(stored), 1)
            await asyncio.sleep(LEADING_TIME)
            self.assertTrue(other.is_leading())

        self.play(scenario)


class WriteTest(VersionCase):
    """The answers to a leader's writes name another writer's version."""

    def test_leader_goes_on(self) -> None:
        """The second write of a key map ended the term."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            world.newest_answers = 1
            self.assertTrue(await daemon.take_over())
            term = daemon.leader_term
            for _ in range(8):
                await asyncio.sleep(SETTLING_TIME)
                world.restart_target(next(iter(world.targets.values())))
                world.publish_targets()
            await asyncio.sleep(SETTLING_TIME)
            self.assertIs(daemon.leader_term, term)
            self.assertEqual(world.unheld_count(), 0)

        self.play(scenario)

    def test_published_rows_are_not_above_those_in_the_store(self) -> None:
        """A daemon that had read a row of the next leader ignored it."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            world.newest_answers = 1
            applied: list[StoreRow] = []
            daemon.view.on_change = lambda table, changed, _: (
                applied.extend(changed) if table == OWN_TABLE else None
            )
            self.assertTrue(await daemon.take_over())
            for _ in range(4):
                await asyncio.sleep(SETTLING_TIME)
                world.restart_target(next(iter(world.targets.values())))
                world.publish_targets()
            published = [row for row in applied if row.name == KEY_MAP]
            self.assertGreater(len(published), 3)
            stored = [row for row in world.shared.history if row.key == KEY_MAP]
            for row, later in zip(published, published[1:]):
                self.assertGreater(later.version, row.version)
            for row in published:
                content = base64.b64encode(row.content or b'').decode()
                versions = [one.ver for one in stored if one.value == content]
                self.assertLessEqual(row.version, versions[0])
                earlier = [one.ver for one in stored if one.ver < versions[0]]
                self.assertGreater(row.version, max(earlier, default=0))

        self.play(scenario)

    def test_renewal_leaves_the_lease_of_another_daemon_alone(self) -> None:
        """It expected the version in its answer: that of their takeover."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            other = self.add_daemon(world, 'edge-2')
            self.assertTrue(await daemon.take_over())
            await asyncio.sleep(SETTLING_TIME)
            commit = daemon.store.commit

            async def answer_after_takeover(
                transaction: rows.Transaction,
            ) -> Any:
                answer = await commit(transaction)
                daemon.store.commit = commit
                lease = world.shared.row_by_name.pop((LEASE_TABLE, LEASE_ROW))
                assert lease is not None
                assert await other.election.attempt(0)
                return rows.Committed(
                    version_of(world, LEASE_TABLE, LEASE_ROW),
                    world.loop.time(),
                    answer.lower_bound,
                )

            daemon.store.commit = answer_after_takeover
            await asyncio.sleep(LEADING_TIME)
            self.assertFalse(daemon.is_leading())
            answer = await other.store.read(LEASE_TABLE)
            lease, _ = find_lease(answer.rows)
            assert lease is not None
            self.assertEqual(lease.instance_id, 'edge-2')

        self.play(scenario)

    def test_key_map_that_was_removed_is_written_again(self) -> None:
        """The next term began with fences that were in use."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            self.assertTrue(await daemon.take_over())
            await asyncio.sleep(SETTLING_TIME)
            world.shared.delete(OWN_TABLE, KEY_MAP)
            target = next(iter(world.targets.values()))
            world.restart_target(target)
            world.publish_targets()
            await asyncio.sleep(SETTLING_TIME)
            self.assertTrue(daemon.is_leading())
            self.assertIn((OWN_TABLE, KEY_MAP), world.shared.row_by_name)
            self.assertEqual(world.unheld_count(), 0)

        self.play(scenario)


class RenewalTest(VersionCase):
    """Renewals that expect a version which was a guess."""

    def test_wrong_guess_is_no_answer_that_was_lost(self) -> None:
        """The lease was left to lapse after two lost answers, not three."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            term = await daemon.election.attempt(0)
            assert term is not None
            world.newest_answers = 1
            await term.commit(EMPTY_TRANSACTION)
            world.newest_answers = 0
            commit, read = daemon.store.commit, daemon.store.read
            daemon.store.commit = lose_committed(commit)
            daemon.store.read = mock.AsyncMock(return_value=UNREAD)
            for _ in range(MAX_UNANSWERED):
                lost = await term.commit(EMPTY_TRANSACTION)
                self.assertIsInstance(lost, Failure)
            daemon.store.commit, daemon.store.read = commit, read
            answer = await term.commit(EMPTY_TRANSACTION)
            self.assertIsInstance(answer, rows.Committed)

        self.play(scenario)


class WriterTest(unittest.TestCase):
    """What the writer of a key map takes for its own row."""

    def write(self, *answers: Any) -> tuple[Any, mock.Mock]:
        """Write a map that was preceded by another; return row and term."""
        term = mock.Mock(term=5)
        term.commit = mock.AsyncMock(side_effect=answers)
        writer = MapWriter(ServiceName('registry'), term)
        writer.start_from(stored_map(BEGUN, 20))
        return asyncio.run(writer.write(NEXT)), term

    def test_version_that_differs_is_adopted_in_the_same_call(self) -> None:
        row, term = self.write(
            rows.Conflict((leader_row(5), stored_map(BEGUN, 18)), 1.0),
            rows.Committed(RowVersion(30), 1.0, RowVersion(27)),
        )
        self.assertEqual(row, stored_map(NEXT, 27))
        self.assertEqual(self.expected(term), [20, 18])

    def test_write_that_stands_is_not_sent_again(self) -> None:
        row, term = self.write(
            rows.Conflict((leader_row(5), stored_map(NEXT, 21)), 1.0)
        )
        self.assertEqual(row, stored_map(NEXT, 21))
        term.end.assert_not_called()

    def test_map_of_another_writer_ends_the_term(self) -> None:
        for stored in (stored_map(OTHER, 20), stored_map(OTHER, 22)):
            with self.subTest(version=stored.version):
                row, term = self.write(
                    rows.Conflict((leader_row(5), stored), 1.0)
                )
                self.assertIsNone(row)
                cause = term.end.call_args.args[0]
                self.assertIs(cause, TermEnd.key_map_changed)

    def test_earlier_map_of_a_store_that_went_back_is_written_over(
        self,
    ) -> None:
        """The term ended, and the next one began with that map."""
        row, term = self.write(
            rows.Conflict((leader_row(5), stored_map(OTHER, 18)), 1.0),
            rows.Committed(RowVersion(19), 1.0, RowVersion(19)),
        )
        self.assertEqual(row, stored_map(NEXT, 19))
        self.assertEqual(self.expected(term), [20, 18])
        term.end.assert_not_called()

    def test_another_leader_ends_the_term(self) -> None:
        row, term = self.write(
            rows.Conflict((leader_row(6), stored_map(BEGUN, 20)), 1.0)
        )
        self.assertIsNone(row)
        cause = term.end.call_args.args[0]
        self.assertIs(cause, TermEnd.leader_row_changed)

    def test_refusal_without_a_reason_ends_no_term(self) -> None:
        row, term = self.write(
            rows.Conflict((leader_row(5), stored_map(BEGUN, 20)), 1.0)
        )
        self.assertIsNone(row)
        term.end.assert_not_called()

    def test_attempts_are_limited(self) -> None:
        conflicts = [
            rows.Conflict((leader_row(5), stored_map(BEGUN, 30 + one)), 1.0)
            for one in range(MAX_ATTEMPTS)
        ]
        row, term = self.write(*conflicts)
        self.assertIsNone(row)
        self.assertEqual(term.commit.await_count, MAX_ATTEMPTS)

    def expected(self, term: mock.Mock) -> list[int]:
        """Return the versions that the writes have expected."""
        return [
            call.args[0].preconditions[0].version
            for call in term.commit.await_args_list
        ]


if __name__ == '__main__':
    unittest.main()
