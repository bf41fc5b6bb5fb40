"""Tests of answers to calls of the daemon whose body never ends."""

import asyncio
import unittest
import zlib

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import KeyRange
from cassialever.platform import rows
from cassialever.platform.store import (
    MAX_ANSWER_BYTES as MAX_STORE_ANSWER_BYTES,
)
from cassialever.platform.store import StoreClient
from cassialever.platform.targets import (
    MAX_ANSWER_BYTES,
    CallOutcome,
    TargetClient,
)
from cassialever.types import RowVersion
from standins.rowstore import RowStoreServer
from tests.endless_peer import ENDLESS_BYTES, endless_peer

#: Most that may be sent and not be read: buffers of the sockets, and one read.
MAX_SENT_BYTES = 16 * 2**20
#: Time in which an answer beyond its limits is given up, in seconds.
REJECTION_TIME = 0.3
#: The largest page of the store and the largest row, in bytes.
PAGE_BYTES = 2**20
ROW_BYTES = 65_536
TRANSACTION = rows.Transaction((), (rows.Write('t', 'a', b'content'),))
KEYS = KeyRange(0, 99, 't0', 1, 1)
OK = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
#: Beginnings of answers without end, and what is repeated in them.
ENDLESS_BODIES = (
    (OK + b'\r\n', b'x' * 65_536),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK),
    (OK + b'Content-Length: 100000000000\r\n\r\n', b'x' * 65_536),
)


class KeyCallTest(unittest.IsolatedAsyncioTestCase):
    """Calls that grant or release keys."""

    async def asyncSetUp(self) -> None:
        self.client = TargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def test_answer_without_end_to_a_grant_is_kept_in_memory(
        self,
    ) -> None:
        # It was read until the time of the call was over.
        for beginning, piece in ENDLESS_BODIES:
            with (
                self.subTest(beginning=beginning),
                endless_peer(beginning, piece) as peer,
            ):
                loop = asyncio.get_running_loop()
                begun_at = loop.time()
                result = await self.client.grant(peer.address, KEYS, 2.3)
                self.assertIs(result.outcome, CallOutcome.unknown, result)
                self.assertLess(loop.time() - begun_at, REJECTION_TIME)
                self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)

    async def test_body_of_an_answer_to_a_release_is_not_read(self) -> None:
        # Its head tells that the work on the keys has ended.
        for beginning, piece in ENDLESS_BODIES:
            with endless_peer(beginning, piece) as peer:
                result = await self.client.release(peer.address, KEYS)
                self.assertIs(result.outcome, CallOutcome.done, result)
                self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)

    async def test_compressed_answer_is_not_unpacked(self) -> None:
        bomb = zlib.compress(bytes(2**20))
        self.assertLess(len(bomb), MAX_ANSWER_BYTES)
        head = (
            OK + b'Content-Encoding: deflate\r\nContent-Length: %d\r\n\r\n'
        ) % len(bomb)
        with endless_peer(head + bomb, b'') as peer:
            result = await self.client.grant(peer.address, KEYS, 2.3)
        self.assertIs(result.outcome, CallOutcome.done, result)


class StoreCallTest(unittest.IsolatedAsyncioTestCase):
    """Calls of the store."""

    async def failures(
        self, beginning: bytes, piece: bytes
    ) -> list[tuple[ErrorKind, str]]:
        found = []
        for call in (
            lambda client: client.commit(TRANSACTION),
            lambda client: client.read_all('t'),
            lambda client: client.wait_for_changes('t', RowVersion(1)),
        ):
            with endless_peer(beginning, piece) as peer:
                client = StoreClient(peer.address)
                await client.start()
                failure = await call(client)
                await client.stop()
                self.assertLess(peer.sent_bytes, MAX_SENT_BYTES)
            assert isinstance(failure, Failure), failure
            found.append((failure.kind, failure.reason))
        return found

    async def test_answer_without_end_of_the_store_is_kept_in_memory(
        self,
    ) -> None:
        # It was read for as long as its bytes arrived, up to 10 s.
        reason = f'the answer is longer than {MAX_STORE_ANSWER_BYTES} bytes'
        for beginning, piece in ENDLESS_BODIES:
            with self.subTest(beginning=beginning):
                self.assertEqual(
                    await self.failures(beginning, piece),
                    [
                        (ErrorKind.table_answer_lost, reason),
                        (ErrorKind.table_answer_lost, reason),
                        (ErrorKind.table_conflict, reason),
                    ],
                )

    async def test_compressed_answer_is_limited_as_it_is_unpacked(
        self,
    ) -> None:
        bomb = zlib.compress(bytes(ENDLESS_BYTES))
        head = (
            OK + b'Content-Encoding: deflate\r\nContent-Length: %d\r\n\r\n'
        ) % len(bomb)
        for _, reason in await self.failures(head + bomb, b''):
            self.assertIn('longer', reason)

    async def test_longest_page_is_read(self) -> None:
        server = RowStoreServer()
        await server.start()
        self.addAsyncCleanup(server.stop)
        client = StoreClient(server.address)
        await client.start()
        self.addAsyncCleanup(client.stop)
        for number in range(PAGE_BYTES // ROW_BYTES):
            transaction = rows.Transaction(
                (), (rows.Write('t', f'k{number}', bytes(ROW_BYTES)),)
            )
            committed = await client.commit(transaction)
            self.assertIsInstance(committed, rows.Committed)
        page = await client.read('t')
        assert isinstance(page, rows.Rows), page
        self.assertEqual(len(page.rows), PAGE_BYTES // ROW_BYTES)


if __name__ == '__main__':
    unittest.main()
