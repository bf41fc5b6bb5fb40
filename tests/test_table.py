"""Tests of cassialever.table on a real socket, with the stand-in's faults."""

import asyncio
import random
import unittest

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import ABSENT, Committed, RowWrite, Transaction
from cassialever.settings import PlatformSettings
from cassialever.table import HttpTable
from cassialever.types import ChangeId, RowName
from standins.table import TableServer

NAME = RowName('row')


def change(change_id: str, expected: int = ABSENT) -> Transaction:
    """Return a transaction that writes one row."""
    write = RowWrite(NAME, expected, change_id.encode())
    return Transaction(ChangeId(change_id), (write,))


class TestTable(unittest.IsolatedAsyncioTestCase):
    """The client against the stand-in."""

    async def asyncSetUp(self) -> None:
        """Serve a table and open a client with short times."""
        self.server = TableServer()
        self.settings = PlatformSettings(
            table_url=await self.server.start(),
            instances_url='http://127.0.0.1:1',
            timeout_seconds=0.1,
            reads_per_second=1000,
            writes_per_second=1000,
            resolve_seconds=0.5,
            shortest_backoff_seconds=0.002,
            longest_backoff_seconds=0.01,
        )
        self.table = HttpTable(self.settings, SystemClock(), random.Random(1))
        await self.table.start()

    async def asyncTearDown(self) -> None:
        """Close both."""
        await self.table.stop()
        await self.server.stop()

    def assert_fails(self, kind: ErrorKind, outcome: object) -> None:
        """Check that an outcome is a failure of a kind."""
        assert isinstance(outcome, Failure), outcome
        self.assertIs(kind, outcome.kind)

    async def body(self) -> bytes:
        """Return the row's body, as another daemon reads it."""
        rows = await self.table.read([NAME])
        assert not isinstance(rows, Failure)
        return rows[NAME].body

    async def test_lost_orders_and_answers_are_resolved(self) -> None:
        """Either way the change is written once and said to be."""
        self.server.faults.answers_lost = 1
        outcome = await self.table.commit(change('one'))
        self.assertEqual(Committed({NAME: 1}), outcome)
        self.server.faults.orders_lost = 2
        outcome = await self.table.commit(change('two', expected=1))
        self.assertEqual(Committed({NAME: 2}), outcome)
        self.assertEqual(b'two', await self.body())
        self.assertEqual(2, self.server.rows.writes)

    async def test_a_racing_change_is_a_conflict(self) -> None:
        """Who comes second is told so."""
        await self.table.commit(change('one'))
        outcome = await self.table.commit(change('two'))
        self.assert_fails(ErrorKind.table_conflict, outcome)
        self.assertEqual(b'one', await self.body())

    async def test_an_outage_is_met_with_few_tries(self) -> None:
        """Operations fail at once, and the table's return is noticed."""
        self.server.faults.is_down = True
        outcome = await self.table.commit(change('one'))
        self.assert_fails(ErrorKind.table_answer_lost, outcome)
        refused = await self.table.scan('')
        self.assert_fails(ErrorKind.table_unavailable, refused)
        self.server.faults.is_down = False
        for _ in range(200):
            outcome = await self.table.commit(change('one'))
            if isinstance(outcome, Committed):
                break
            await asyncio.sleep(0.002)
        self.assertEqual(Committed({NAME: 1}), outcome)
        self.assertEqual(1, self.server.rows.writes)

    async def test_a_change_given_up_is_settled_later(self) -> None:
        """Sent again after it was overwritten, it still counts as written."""
        other = HttpTable(self.settings, SystemClock(), random.Random(2))
        await other.start()
        self.addAsyncCleanup(other.stop)
        self.server.faults.answers_lost = 1
        sending = asyncio.create_task(self.table.commit(change('one')))
        while not self.server.rows.writes and not sending.done():
            await asyncio.sleep(0)
        self.server.faults.is_down = True
        self.assert_fails(ErrorKind.table_answer_lost, await sending)
        self.server.faults.is_down = False
        await other.read([NAME])
        self.assertEqual(
            Committed({NAME: 2}),
            await other.commit(change('two', expected=1)),
        )
        await asyncio.sleep(0.02)
        outcome = await self.table.commit(change('one'))
        self.assertEqual(Committed({NAME: 1}), outcome)
        self.assertEqual(b'two', await self.body())

    async def test_over_the_limit_nothing_is_written(self) -> None:
        """A refusal by the table's limit is known to be one."""
        self.server.faults.writes_per_second = 0
        outcome = await self.table.commit(change('one'))
        self.assert_fails(ErrorKind.table_unavailable, outcome)
        self.assertEqual(0, self.server.rows.writes)

    async def test_a_slow_table_is_lost_in_time(self) -> None:
        """An answer after the time limit does not hold up the caller."""
        self.server.faults.delay = 0.15
        outcome = await self.table.commit(change('one'))
        self.assert_fails(ErrorKind.table_answer_lost, outcome)

    async def test_reads_at_once_go_as_one(self) -> None:
        """Many readers of the same moment cost one read."""
        await self.table.commit(change('one'))
        before = self.server.rows.reads
        found = await asyncio.gather(
            *(self.table.read([NAME, RowName(str(one))]) for one in range(50)),
        )
        self.assertEqual(1, self.server.rows.reads - before)
        for rows in found:
            assert not isinstance(rows, Failure)
            self.assertEqual([NAME], list(rows))

    async def test_the_budget_refuses_what_cannot_wait(self) -> None:
        """A daemon that asks too much is held back, not the table."""
        outcomes = await asyncio.gather(
            *(self.table.scan('x') for _ in range(600)),
        )
        refused = [one for one in outcomes if isinstance(one, Failure)]
        self.assertTrue(refused)
        self.assertLess(self.server.rows.reads, 400)
