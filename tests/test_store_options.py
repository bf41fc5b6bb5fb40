"""The options of the stand-in store beside faults of single calls."""

import asyncio
import unittest

from cassialever.errors import Failure
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import RowVersion
from standins.call_faults import COMMIT_PATH, CallFault, CallOutcome
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import until

TABLE = 'own'


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in store and a client of it."""

    async def asyncSetUp(self) -> None:
        self.server = RowStoreServer()
        await self.server.start()
        self.client = StoreClient(self.server.address)
        await self.client.start()

    async def asyncTearDown(self) -> None:
        await self.client.stop()
        await self.server.stop()

    async def write(self, name: str = 'row', version: int = 0) -> RowVersion:
        """Write a row that has a version; return what the answer tells."""
        transaction = rows.Transaction(
            (rows.Precondition(TABLE, name, RowVersion(version)),),
            (rows.Write(TABLE, name, b'content'),),
        )
        answer = await self.client.commit(transaction)
        assert isinstance(answer, rows.Committed), answer
        return answer.version

    async def read(self) -> rows.Rows:
        """Read the table that `write` writes."""
        answer = await self.client.read(TABLE)
        assert not isinstance(answer, Failure)
        return answer


class OtherWritersTest(StoreCase):
    """Other writers commit between a transaction and its answer."""

    async def test_answers_have_the_rows_version_by_default(self) -> None:
        answered = await self.write()
        self.assertEqual((await self.read()).rows[0].version, answered)

    async def test_answers_have_later_versions(self) -> None:
        self.server.pace.other_writers.share = 1
        self.server.pace.other_writers.burst = 3
        answered = await self.write()
        stored = (await self.read()).rows[0].version
        self.assertEqual(answered, stored + 3)

    async def test_only_one_transaction_is_concerned(self) -> None:
        self.server.pace.other_writers.share = 1
        self.server.pace.other_writers.transactions_left = 1
        self.assertEqual(await self.write('first'), 2)
        self.assertEqual(await self.write('second'), 3)

    async def test_transactions_are_chosen(self) -> None:
        self.server.pace.other_writers.share = 1
        self.server.pace.other_writers.concerns = lambda body: b'second' in body
        self.assertEqual(await self.write('first'), 1)
        self.assertEqual(await self.write('second'), 3)

    async def test_refused_transactions_are_followed_by_no_rows(self) -> None:
        self.server.pace.other_writers.share = 1
        with self.assertRaises(AssertionError):
            await self.write(version=9)
        self.assertEqual(self.server.pace.other_writers.count, 0)


class StandstillTest(StoreCase):
    """A store that reads calls and does no more."""

    async def test_queued_calls_are_performed_and_answered_late(self) -> None:
        self.server.pace.standstill.begin()
        first = asyncio.create_task(self.write('first'))
        await until(lambda: self.server.pace.standstill.waiting == 1)
        second = asyncio.create_task(self.write('second'))
        await until(lambda: self.server.pace.standstill.waiting == 2)
        self.assertEqual(self.server.rows.version, 0)
        await self.server.pace.standstill.end()
        self.assertEqual(await asyncio.gather(first, second), [1, 2])
        self.assertEqual(await self.write('third'), 3)

    async def test_calls_of_callers_that_have_gone_are_performed(self) -> None:
        self.server.pace.standstill.begin()
        with self.assertRaises(AssertionError):
            await self.write()
        self.assertEqual(self.server.rows.version, 0)
        await self.server.pace.standstill.end()
        await until(lambda: self.server.rows.version == 1)

    async def test_late_transactions_expect_their_rows(self) -> None:
        self.server.pace.standstill.begin()
        with self.assertRaises(AssertionError):
            await self.write()
        self.server.put(TABLE, 'row', 'of another writer')
        await self.server.pace.standstill.end()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.rows.version, 1)

    async def test_calls_take_turns_after_it(self) -> None:
        standstill = self.server.pace.standstill
        standstill.step = 0.1
        standstill.begin()
        first = asyncio.create_task(self.write('first'))
        await until(lambda: standstill.waiting == 1)
        second = asyncio.create_task(self.write('second'))
        await until(lambda: standstill.waiting == 2)
        ending = asyncio.create_task(standstill.end())
        await first
        third = asyncio.create_task(self.write('third'))
        self.assertEqual((await second, await third), (2, 3))
        await ending
        self.assertFalse(standstill.is_on)


class SlownessTest(StoreCase):
    """A store that takes long for each call."""

    async def test_answers_have_the_newest_version_of_their_time(self) -> None:
        self.server.pace.slowness.delays = (0.2, 0.2)
        self.server.pace.slowness.part_before = 0
        first = asyncio.create_task(self.write('first'))
        await until(lambda: self.server.rows.version == 1)
        second = asyncio.create_task(self.write('second'))
        self.assertEqual(await asyncio.gather(first, second), [2, 2])

    async def test_conflicts_are_answered_late_too(self) -> None:
        self.server.pace.slowness.delays = (0.2, 0.2)
        started_at = asyncio.get_running_loop().time()
        with self.assertRaises(AssertionError):
            await self.write(version=9)
        waited = asyncio.get_running_loop().time() - started_at
        self.assertGreaterEqual(waited, 0.2)

    async def test_calls_of_other_machines_take_no_time(self) -> None:
        self.server.pace.slowness.delays = (9, 9)
        self.server.pace.slowness.machines = ('edge-1',)
        self.assertEqual(await self.write(), 1)


class LagTest(StoreCase):
    """Reads that are some seconds behind."""

    async def test_whole_read_is_behind_with_its_version(self) -> None:
        await self.write('first')
        await asyncio.sleep(0.3)
        await self.write('second')
        self.server.delete(TABLE, 'first')
        self.server.pace.lag.seconds = 0.2
        shown = await self.read()
        self.assertEqual([row.name for row in shown.rows], ['first'])
        self.assertEqual(shown.version, 1)
        await asyncio.sleep(0.3)
        shown = await self.read()
        self.assertEqual([row.name for row in shown.rows], ['second'])
        self.assertEqual(shown.version, 3)

    async def test_changes_come_late(self) -> None:
        self.server.pace.lag.seconds = 0.3
        await self.write()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        changed = await self.client.wait_for_changes(TABLE, RowVersion(0), 1)
        assert isinstance(changed, rows.Rows)
        self.assertGreater(loop.time() - started_at, 0.2)
        self.assertEqual(changed.version, 1)
        self.assertEqual(len(changed.rows), 1)

    async def test_other_tables_and_machines_are_not_behind(self) -> None:
        await self.write()
        self.server.pace.lag.seconds = 9
        self.assertEqual((await self.read()).version, 0)
        self.server.pace.lag.tables = ('servers',)
        self.assertEqual((await self.read()).version, 1)
        self.server.pace.lag.tables = ()
        self.server.pace.lag.machines = ('edge-1',)
        self.assertEqual((await self.read()).version, 1)
        self.server.pace.lag.machines = ()
        self.server.pace.lag.concerns_reads = False
        self.assertEqual((await self.read()).version, 1)


class RateTest(StoreCase):
    """Calls beyond a rate are refused."""

    async def test_calls_beyond_the_rate_are_refused(self) -> None:
        self.server.pace.write_rate.per_second = 2
        await self.write('first')
        await self.write('second')
        with self.assertRaises(AssertionError):
            await self.write('third')
        await self.read()
        await asyncio.sleep(1.1)
        await self.write('third')
        self.assertEqual(self.server.pace.write_rate.refused, 1)


class LateCallTest(StoreCase):
    """A single call that is performed late."""

    async def test_call_is_performed_though_its_caller_has_gone(self) -> None:
        """It never was: callers wait for less time than the delay."""
        self.server.call_faults = [
            CallFault(CallOutcome.performed_late, (COMMIT_PATH,), None)
        ]
        with self.assertRaises(AssertionError):
            await self.write()
        self.assertEqual(self.server.rows.version, 0)
        await until(lambda: self.server.rows.version == 1, 2)


if __name__ == '__main__':
    unittest.main()
