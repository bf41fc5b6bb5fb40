"""The options of the stand-in store beside faults of single calls."""

import unittest

from cassialever.errors import Failure
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import RowVersion
from standins.rowstore import RowStoreServer

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
        self.server.other_writers.share = 1
        self.server.other_writers.burst = 3
        answered = await self.write()
        stored = (await self.read()).rows[0].version
        self.assertEqual(answered, stored + 3)

    async def test_only_one_transaction_is_concerned(self) -> None:
        self.server.other_writers.share = 1
        self.server.other_writers.transactions_left = 1
        self.assertEqual(await self.write('first'), 2)
        self.assertEqual(await self.write('second'), 3)

    async def test_transactions_are_chosen(self) -> None:
        self.server.other_writers.share = 1
        self.server.other_writers.concerns = lambda body: b'second' in body
        self.assertEqual(await self.write('first'), 1)
        self.assertEqual(await self.write('second'), 3)

    async def test_refused_transactions_are_followed_by_no_rows(self) -> None:
        self.server.other_writers.share = 1
        with self.assertRaises(AssertionError):
            await self.write(version=9)
        self.assertEqual(self.server.other_writers.count, 0)


if __name__ == '__main__':
    unittest.main()
