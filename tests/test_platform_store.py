"""Tests of the store's client, also against a faulty store."""

import asyncio
import base64
import contextlib
import random
import unittest
from unittest import mock

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.following import StoreFollower
from cassialever.fleet.view import FleetView
from cassialever.gateway.metrics import store_readings
from cassialever.platform import rows, store
from cassialever.platform.store import StoreClient
from standins.listening import LOOPBACK
from standins.rowstore import PAGE_SIZE, RowStoreServer
from tests.fleet_helpers import until

TRANSACTION = rows.Transaction(
    (rows.Precondition('t', 'a', 0),),
    (rows.Write('t', 'a', b'content'),),
)
#: They replace the timeouts of calls, in seconds.
NO_TIMEOUT = store.aiohttp.ClientTimeout(total=None)
SHORT_TIMEOUT = store.aiohttp.ClientTimeout(total=0.3, connect=0.1)


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

    def failure_kind(self, result: object) -> ErrorKind:
        assert isinstance(result, Failure), result
        return result.kind


class AnsweredStore(StoreClient):
    """A client whose first waits for changes end when a test says so."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.answered = asyncio.Event()

    async def wait_for_changes(
        self, table: str, after: int, *arguments: float, **options: float
    ) -> rows.Rows | Failure:
        if self.answered.is_set():
            return await super().wait_for_changes(
                table, after, *arguments, **options
            )
        await self.answered.wait()
        return rows.Rows((), after, 0)


class StopTest(StoreCase):
    """Calls of parts that end after the client was stopped."""

    async def test_call_after_the_stop_raises(self) -> None:
        await self.client.stop()
        for call in (
            self.client.read_all('t'),
            self.client.wait_for_changes('t', 1),
            self.client.commit(TRANSACTION),
        ):
            self.assertIs(
                self.failure_kind(await call), ErrorKind.table_unavailable
            )

    async def test_answer_at_the_stop_fails_the_follower(self) -> None:
        """Its tables are followed by tasks that are cancelled a step later."""
        client = AnsweredStore(self.server.address)
        await client.start()
        view = FleetView(SystemClock())
        follower = StoreFollower(client, view, random.Random(1), view.tables)
        following = asyncio.create_task(follower.run())
        await until(lambda: len(view.rows.version_by_table) == len(view.tables))
        client.answered.set()
        await client.stop()
        following.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await following


class VersionBoundsTest(StoreCase):
    """The versions that the rows of a commit can have."""

    async def commit(self) -> rows.Committed | rows.Conflict | Failure:
        with mock.patch.object(store, '_COMMIT_TIMEOUT', NO_TIMEOUT):
            return await self.client.commit(TRANSACTION)

    async def test_rows_are_above_what_any_answer_has_told(self) -> None:
        for call in (
            lambda: self.client.read('t'),
            lambda: self.client.wait_for_changes('t', 0, 0),
            self.commit,
            self.commit,
        ):
            self.server.put('others', 'row', {})
            answer = await call()
            assert not isinstance(answer, Failure), answer
            told = rows.newest_version(answer)
            self.assertEqual(told, self.server.rows.version)
            self.server.put('others', 'row', {})
            self.server.delete('t', 'a')
            committed = await self.commit()
            assert isinstance(committed, rows.Committed), committed
            self.assertEqual(committed.lower_bound, told + 1)
            self.assertEqual(committed.version, told + 3)
            self.server.delete('t', 'a')

    async def test_version_that_is_too_low_is_no_answer(self) -> None:
        """Readers would have taken the row for an earlier one."""
        self.server.put('others', 'row', {})
        self.server.put('others', 'row', {})
        await self.client.read('others')
        with mock.patch.object(self.server.rows, 'transact', return_value=1):
            self.server.rows.version = 1
            answer = await self.commit()
        self.assertIs(self.failure_kind(answer), ErrorKind.table_answer_lost)

    async def test_lower_version_of_reads_in_a_row_is_believed(self) -> None:
        """Each commit counted as lost until the process ended."""
        for _ in range(9):
            self.server.put('others', 'row', {})
        await self.client.read('others')
        self.server.rows.version = 1
        for is_believed in (False, True):
            self.server.rows.row_by_name.clear()
            answer = await self.commit()
            self.assertEqual(isinstance(answer, Failure), not is_believed)
            for _ in range(2):
                await self.client.read('others')

    def test_answer_that_cannot_be_read_may_have_taken_effect(self) -> None:
        """It counted as refused, and its lease stayed in force."""
        for body in (b'', b'{"ver": "x"}', b'[]'):
            with self.subTest(body=body):
                answer = rows.decode_committed(body)
                self.assertIs(
                    self.failure_kind(answer), ErrorKind.table_answer_lost
                )


class TransactionTest(StoreCase):
    """Outcomes of commits."""

    async def test_second_commit_conflicts(self) -> None:
        first = await self.client.commit(TRANSACTION)
        assert isinstance(first, rows.Committed)
        second = await self.client.commit(TRANSACTION)
        assert isinstance(second, rows.Conflict)
        self.assertEqual(second.rows[0].content, b'content')
        self.assertEqual(second.rows[0].version, first.version)

    async def test_failed_precondition_discards_every_write(self) -> None:
        both = rows.Transaction(
            (
                rows.Precondition('t', 'a', 0),
                rows.Precondition('t', 'b', 7),
            ),
            (rows.Write('t', 'a', b'1'), rows.Write('t', 'b', b'2')),
        )
        self.assertIsInstance(await self.client.commit(both), rows.Conflict)
        result = await self.client.read_all('t')
        assert isinstance(result, rows.Rows)
        self.assertEqual(result.rows, ())

    async def test_conflict_shows_that_a_commit_without_answer_took_effect(
        self,
    ) -> None:
        self.server.drops_responses = True
        # The store shares the loop, so that a late one would end calls.
        with mock.patch.object(store, '_COMMIT_TIMEOUT', NO_TIMEOUT):
            unanswered = await self.client.commit(TRANSACTION)
            self.assertIs(
                self.failure_kind(unanswered), ErrorKind.table_answer_lost
            )
            self.server.drops_responses = False
            again = await self.client.commit(TRANSACTION)
        assert isinstance(again, rows.Conflict), again
        self.assertEqual(again.rows[0].content, b'content')

    async def test_refused_commit_has_no_effect(self) -> None:
        for status in (429, 503):
            self.server.error_status = status
            result = await self.client.commit(TRANSACTION)
            self.assertIs(
                self.failure_kind(result), ErrorKind.table_unavailable
            )
        self.server.error_status = None
        self.assertIsInstance(
            await self.client.commit(TRANSACTION), rows.Committed
        )

    async def test_commit_fails_if_connection_is_refused(self) -> None:
        await self.server.stop()
        result = await self.client.commit(TRANSACTION)
        self.assertIs(self.failure_kind(result), ErrorKind.table_unavailable)


class WrongAddressTest(unittest.IsolatedAsyncioTestCase):
    """The settings name a store whose address is none."""

    async def test_host_that_cannot_be_encoded_is_a_failure(self) -> None:
        """It ended the daemon, also one that was told to read them again."""
        for address in ('store..example:80', f'{"a" * 64}.example:80', 'a:b'):
            client = StoreClient(address)
            await client.start()
            with self.subTest(address=address):
                read = await client.read('t')
                assert isinstance(read, Failure)
                self.assertIs(read.kind, ErrorKind.table_unavailable)
            await client.stop()


class PurposeTest(StoreCase):
    """The numbers of calls by what they are for."""

    async def test_calls_are_counted_by_purpose_and_table(self) -> None:
        """All calls counted as one number."""
        self.server.put('t', 'a', 1)
        for number in range(PAGE_SIZE):
            self.server.put('u', f'{number:05}', number)
        self.server.put('u', 'last', 1)
        await self.client.read_all('t')
        await self.client.read_all('u')
        await self.client.wait_for_changes('t', 0, 0)
        await self.client.wait_for_changes('t', 0)
        await self.client.commit(TRANSACTION)
        self.assertEqual(
            {
                tuple(reading.labels.values()): reading.value
                for reading in store_readings(self.client)
                if reading.name == 'store_calls_by_purpose'
            },
            {
                ('whole_read', 't'): 1,
                ('whole_read', 'u'): 2,
                ('poll', 't'): 1,
                ('long_poll', 't'): 1,
                ('commit', ''): 1,
            },
        )
        self.assertEqual(self.client.calls, 6)


class ReadingTest(StoreCase):
    """Reads of whole tables and waits for changes."""

    async def test_table_of_many_pages_is_read_whole(self) -> None:
        for number in range(2 * PAGE_SIZE + 3):
            self.server.put('t', f'{number:05}', number)
        result = await self.client.read_all('t')
        assert isinstance(result, rows.Rows)
        self.assertEqual(len(result.rows), 2 * PAGE_SIZE + 3)
        self.assertEqual(
            len({row.name for row in result.rows}), 2 * PAGE_SIZE + 3
        )

    async def test_wait_ends_with_a_change(self) -> None:
        self.server.put('t', 'a', 1)
        wait = asyncio.create_task(self.client.wait_for_changes('t', 1))
        await asyncio.sleep(0.05)
        self.server.put('t', 'b', 2)
        async with asyncio.timeout(0.5):
            result = await wait
        assert isinstance(result, rows.Rows)
        self.assertEqual([row.name for row in result.rows], ['b'])

    async def test_removed_row_has_no_content(self) -> None:
        self.server.put('t', 'a', 1)
        self.server.delete('t', 'a')
        result = await self.client.wait_for_changes('t', 1)
        assert isinstance(result, rows.Rows)
        self.assertIsNone(result.rows[0].content)

    async def test_wait_for_dropped_changes_conflicts(self) -> None:
        self.server.put('t', 'a', 1)
        self.server.put('t', 'b', 1)
        self.server.rows.truncate_history()
        result = await self.client.wait_for_changes('t', 1)
        self.assertIs(self.failure_kind(result), ErrorKind.table_conflict)


class FaultyStoreTest(unittest.IsolatedAsyncioTestCase):
    """A store that is silent or sends malformed answers."""

    async def call_each(self, reply: bytes | None) -> list[object]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                if reply is None:
                    await reader.read()
                else:
                    writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = StoreClient(f'{host}:{port}')
        await client.start()
        with (
            mock.patch.object(store, '_COMMIT_TIMEOUT', SHORT_TIMEOUT),
            mock.patch.object(store, '_READ_TIMEOUT', SHORT_TIMEOUT),
            mock.patch.object(
                store, '_long_poll_timeout', return_value=SHORT_TIMEOUT
            ),
        ):
            results = [
                await client.commit(TRANSACTION),
                await client.read_all('t'),
                await client.wait_for_changes('t', 0),
            ]
        await client.stop()
        server.close()
        return results

    async def test_silent_store_times_out(self) -> None:
        async with asyncio.timeout(2):
            for result in await self.call_each(None):
                assert isinstance(result, Failure)
                self.assertIs(result.kind, ErrorKind.table_answer_lost)

    async def test_malformed_answer_is_a_failure(self) -> None:
        for body in (b'', b'[]', b'{"rows": 1}', b'\xff', b'{"rows": [{}]}'):
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            with self.subTest(body=body):
                for result in await self.call_each(head.encode() + body):
                    self.assertIsInstance(result, Failure)

    async def test_truncated_answer_is_a_failure(self) -> None:
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"ver": 3'
        for result in await self.call_each(reply):
            self.assertIsInstance(result, Failure)


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Open connections go silent for good, while new ones are served."""

    async def test_call_after_a_silent_one_takes_a_new_connection(self) -> None:
        """Each of the idle connections held up one call more."""
        body = msgspec.json.encode({'rows': [], 'ver': 5, 'now_ms': 1})
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        silent: set[asyncio.StreamWriter] = set()
        served: set[asyncio.StreamWriter] = set()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            served.add(writer)
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    await reader.readuntil(b'\r\n\r\n')
                    if writer in silent:
                        await reader.read()
                        break
                    await asyncio.sleep(0.05)
                    writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = StoreClient(f'{host}:{port}')
        await client.start()
        with mock.patch.object(store, '_READ_TIMEOUT', SHORT_TIMEOUT):
            await asyncio.gather(*[client.read_all('t') for _ in range(4)])
            silent |= served
            first = await client.read_all('t')
            second = await client.read_all('t')
        await client.stop()
        server.close()
        self.assertEqual(len(silent), 4)
        self.assertIsInstance(first, Failure)
        self.assertIsInstance(second, rows.Rows)


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Answers that keep arriving for longer than a silent store may take."""

    async def test_large_answer_that_arrives_slowly_is_read(self) -> None:
        value = base64.b64encode(b'x' * 60_000).decode()
        row = {'table': 't', 'part': '', 'key': 'a', 'ver': 5, 'value': value}
        body = msgspec.json.encode({'rows': [row], 'ver': 5, 'now_ms': 1})
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        reply = head.encode() + body
        chunk_count = 16
        chunk_bytes = len(reply) // chunk_count + 1

        async def serve_slowly(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await reader.readuntil(b'\r\n\r\n')
                for start in range(0, len(reply), chunk_bytes):
                    writer.write(reply[start : start + chunk_bytes])
                    await writer.drain()
                    await asyncio.sleep(pause)
            writer.close()

        server = await asyncio.start_server(serve_slowly, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = StoreClient(f'{host}:{port}')
        await client.start()
        pause = 1.3 * store.CALL_TIMEOUT / chunk_count
        read = await client.read_all('t')
        pause = 1.1 * (store.LONG_POLL_WAIT + store.CALL_TIMEOUT) / chunk_count
        waited = await client.wait_for_changes('t', 0)
        for result in (read, waited):
            assert isinstance(result, rows.Rows), result
            self.assertEqual(len(result.rows[0].content or b''), 60_000)
        await client.stop()
        server.close()


if __name__ == '__main__':
    unittest.main()
