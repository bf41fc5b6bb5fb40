"""Tests of the store's client against a store that misbehaves."""

import asyncio
import contextlib
import unittest
from unittest import mock

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows, store
from cassialever.platform.store import StoreClient
from standins.listening import LOOPBACK
from standins.rowstore import PAGE, RowStoreServer

WRITE = rows.Transaction(
    (rows.Precondition('t', 'a', 0),),
    (rows.Write('t', 'a', b'content'),),
)
#: The limits of calls while these tests run, in seconds.
SHORT = store.aiohttp.ClientTimeout(total=0.3, connect=0.1)


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A client and a store."""

    async def asyncSetUp(self) -> None:
        self.server = RowStoreServer()
        await self.server.start()
        self.client = StoreClient(self.server.address)
        await self.client.start()

    async def asyncTearDown(self) -> None:
        await self.client.stop()
        await self.server.stop()

    def failed(self, found: object) -> ErrorKind:
        assert isinstance(found, Failure), found
        return found.kind


class TransactionTest(StoreCase):
    """What is said of a write is true."""

    async def test_written_once(self) -> None:
        first = await self.client.commit(WRITE)
        assert isinstance(first, rows.Committed)
        second = await self.client.commit(WRITE)
        assert isinstance(second, rows.Conflict)
        self.assertEqual(second.rows[0].content, b'content')
        self.assertEqual(second.rows[0].version, first.version)

    async def test_all_or_nothing(self) -> None:
        both = rows.Transaction(
            (
                rows.Precondition('t', 'a', 0),
                rows.Precondition('t', 'b', 7),
            ),
            (rows.Write('t', 'a', b'1'), rows.Write('t', 'b', b'2')),
        )
        self.assertIsInstance(await self.client.commit(both), rows.Conflict)
        found = await self.client.read_all('t')
        assert isinstance(found, rows.Rows)
        self.assertEqual(found.rows, ())

    async def test_lost_answer_leaves_doubt_and_the_conflict_settles(
        self,
    ) -> None:
        self.server.loses_answers = True
        lost = await self.client.commit(WRITE)
        self.assertIs(self.failed(lost), ErrorKind.table_answer_lost)
        self.server.loses_answers = False
        again = await self.client.commit(WRITE)
        assert isinstance(again, rows.Conflict)
        self.assertEqual(again.rows[0].content, b'content')

    async def test_refused_writes_are_known_not_to_stand(self) -> None:
        for status in (429, 503):
            self.server.refuse_with = status
            found = await self.client.commit(WRITE)
            self.assertIs(self.failed(found), ErrorKind.table_unavailable)
        self.server.refuse_with = None
        self.assertIsInstance(await self.client.commit(WRITE), rows.Committed)

    async def test_nobody_listens(self) -> None:
        await self.server.stop()
        found = await self.client.commit(WRITE)
        self.assertIs(self.failed(found), ErrorKind.table_unavailable)


class ReadingTest(StoreCase):
    """Pages, and what changed."""

    async def test_table_of_many_pages(self) -> None:
        for number in range(2 * PAGE + 3):
            self.server.put('t', f'{number:05}', number)
        found = await self.client.read_all('t')
        assert isinstance(found, rows.Rows)
        self.assertEqual(len(found.rows), 2 * PAGE + 3)
        self.assertEqual(len({row.name for row in found.rows}), 2 * PAGE + 3)

    async def test_change_ends_the_wait(self) -> None:
        self.server.put('t', 'a', 1)
        waiting = asyncio.create_task(self.client.wait_for_changes('t', 1))
        await asyncio.sleep(0.05)
        self.server.put('t', 'b', 2)
        async with asyncio.timeout(0.5):
            found = await waiting
        assert isinstance(found, rows.Rows)
        self.assertEqual([row.name for row in found.rows], ['b'])

    async def test_removed_row(self) -> None:
        self.server.put('t', 'a', 1)
        self.server.drop('t', 'a')
        found = await self.client.wait_for_changes('t', 1)
        assert isinstance(found, rows.Rows)
        self.assertIsNone(found.rows[0].content)

    async def test_history_that_is_gone(self) -> None:
        self.server.put('t', 'a', 1)
        self.server.put('t', 'b', 1)
        self.server.rows.forget()
        found = await self.client.wait_for_changes('t', 1)
        self.assertIs(self.failed(found), ErrorKind.table_conflict)


class RubbishTest(unittest.IsolatedAsyncioTestCase):
    """A store that is silent or answers what is no answer."""

    async def ask(self, reply: bytes | None) -> list[object]:
        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                if reply is None:
                    await reader.read()
                else:
                    writer.write(reply)
            writer.close()

        server = await asyncio.start_server(talk, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = StoreClient(f'{host}:{port}')
        await client.start()
        with (
            mock.patch.object(store, '_TIMEOUT', SHORT),
            mock.patch.object(store, '_LONG_POLL_TIMEOUT', SHORT),
        ):
            found = [
                await client.commit(WRITE),
                await client.read_all('t'),
                await client.wait_for_changes('t', 0),
            ]
        await client.stop()
        server.close()
        return found

    async def test_silence_ends_in_time(self) -> None:
        async with asyncio.timeout(2):
            for found in await self.ask(None):
                assert isinstance(found, Failure)
                self.assertIs(found.kind, ErrorKind.table_answer_lost)

    async def test_rubbish_is_no_answer(self) -> None:
        for body in (b'', b'[]', b'{"rows": 1}', b'\xff', b'{"rows": [{}]}'):
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            with self.subTest(body=body):
                for found in await self.ask(head.encode() + body):
                    self.assertIsInstance(found, Failure)

    async def test_cut_answer_is_no_answer(self) -> None:
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"ver": 3'
        for found in await self.ask(reply):
            self.assertIsInstance(found, Failure)


if __name__ == '__main__':
    unittest.main()
