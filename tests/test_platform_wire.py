"""Test the encoding and decoding of headers and calls."""

import asyncio
import time
import unittest

import msgspec
from multidict import CIMultiDict

from cassialever.fleet.model import KeyRange
from cassialever.platform import wire
from cassialever.platform.targets import (
    GRANT_TIMEOUT,
    CallOutcome,
    TargetClient,
)
from cassialever.platform.time_left import set_time_left
from standins.keyed_target import TargetServer
from standins.listening import LOOPBACK
from tests.fleet_helpers import until


class HeaderTest(unittest.TestCase):
    """Headers of requests and answers."""

    def test_deadline_and_target_are_set(self) -> None:
        headers = CIMultiDict(
            {'Host': 'h', 'Attempt-Id': 'a', 'Deadline-Ms': '2000', 'X': 'y'},
        )
        forwarded = dict(wire.forwarded_headers(headers, 't1'))
        set_time_left(forwarded, 1.25)
        self.assertEqual(forwarded['Deadline-Ms'], '1250')
        self.assertEqual(forwarded['Expect-Instance'], 't1')
        self.assertEqual(forwarded['Attempt-Id'], 'a')
        self.assertEqual(forwarded['X'], 'y')

    def test_target_given_by_the_caller_is_replaced(self) -> None:
        headers = CIMultiDict({'Expect-Instance': 'forged'})
        forwarded = wire.forwarded_headers(headers, 't1')
        targets = [
            text for name, text in forwarded if name == 'Expect-Instance'
        ]
        self.assertEqual(targets, ['t1'])

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        headers = CIMultiDict(
            {
                'Connection': 'close, X-Hop',
                'X-Hop': '1',
                'Keep-Alive': 'timeout=5',
                'Transfer-Encoding': 'chunked',
                'X-End': '2',
            },
        )
        self.assertEqual(wire.end_to_end_headers(headers), [('X-End', '2')])

    def test_request_metadata(self) -> None:
        metadata = wire.parse_request_metadata(
            CIMultiDict(
                {'attempt-id': 'a', 'deadline-ms': '800', 'shard-key': '65535'},
            ),
        )
        self.assertEqual(metadata, wire.RequestMetadata('a', 0.8, 65535))
        malformed = CIMultiDict({'Deadline-Ms': '-3', 'Shard-Key': '65536'})
        self.assertEqual(
            wire.parse_request_metadata(malformed),
            wire.RequestMetadata('', None, -1),
        )

    def test_reported_load(self) -> None:
        load = wire.parse_reported_load({'Instance-Load': '3,1,8,250'})
        self.assertEqual(load, wire.ReportedLoad(3, 1, 8, 2.5))
        self.assertEqual(
            wire.parse_reported_load({'Instance-Load': '3,0,8'}),
            wire.ReportedLoad(3, 0, 8, 1),
        )
        for malformed in ('', '3', 'a,b,c'):
            with self.subTest(malformed=malformed):
                self.assertIsNone(
                    wire.parse_reported_load({'Instance-Load': malformed})
                )

    def test_answer_of_another_request_does_not_match(self) -> None:
        self.assertTrue(wire.matches_request({'Attempt-Id': 'a'}, 'a'))
        self.assertFalse(wire.matches_request({}, 'a'))
        self.assertFalse(wire.matches_request({'Attempt-Id': ''}, 'a'))
        self.assertFalse(wire.matches_request({'Attempt-Id': 'a'}, ''))
        self.assertTrue(wire.matches_request({}, ''))
        self.assertFalse(wire.matches_request({'Attempt-Id': 'b'}, 'a'))


class CallEncodingTest(unittest.TestCase):
    """Calls that grant keys and take them back."""

    def test_grant(self) -> None:
        keys = KeyRange(4096, 8191, 't1', 1000, 12, 'h')
        path, body = wire.encode_grant(keys, 2.4)
        self.assertEqual(path, '/cassialever/grant')
        self.assertEqual(
            msgspec.json.decode(body),
            {
                'from': 4096,
                'target': 8191,
                'fence': 12,
                'hold_ms': 2400,
                'handover': 'h',
            },
        )

    def test_release(self) -> None:
        path, body = wire.encode_release(KeyRange(1, 2, 't1', 1000, 12))
        self.assertEqual(path, '/cassialever/release')
        self.assertEqual(
            msgspec.json.decode(body),
            {'from': 1, 'target': 2, 'fence': 12},
        )


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a target over a socket."""

    async def test_grant_is_cut_to_the_longest_that_targets_accept(
        self,
    ) -> None:
        target = TargetServer('t0')
        await target.start()
        client = TargetClient(max_duration=0.5)
        await client.start()
        keys = KeyRange(0, 99, 't0', 1, 1)
        result = await client.grant(target.address, keys, 2.4)
        self.assertIs(result.outcome, CallOutcome.done)
        now = asyncio.get_running_loop().time()
        self.assertLess(target.keys.grants[0].until - now, 0.6)
        await client.stop()
        await target.stop()

    async def test_answer_that_waits_in_the_socket_of_a_late_daemon(
        self,
    ) -> None:
        """A grant without an answer takes the keys from its owner."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'}')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            # The loop is also that of the caller.
            time.sleep(GRANT_TIMEOUT + 0.1)
            writer.close()

        server = await asyncio.start_server(answer, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = TargetClient()
        await client.start()
        keys = KeyRange(0, 99, 't0', 1, 1)
        result = await client.grant(f'{host}:{port}', keys, 2.4)
        self.assertIs(result.outcome, CallOutcome.done, result)
        await client.stop()
        server.close()

    async def test_grant_ends_though_the_target_does_not_answer(self) -> None:
        async def hang(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with self.assertRaises(ConnectionResetError):
                await reader.read()
            ends.append(loop.time())
            writer.close()

        loop = asyncio.get_running_loop()
        ends: list[float] = []
        server = await asyncio.start_server(hang, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = TargetClient()
        await client.start()
        sent_at = loop.time()
        keys = KeyRange(0, 99, 't0', 1, 1)
        result = await client.grant(f'{host}:{port}', keys, 2.4)
        self.assertIs(result.outcome, CallOutcome.unknown, result)
        self.assertGreaterEqual(loop.time() - sent_at, 0.95 * GRANT_TIMEOUT)
        # Nothing that was sent arrives after a reset.
        await until(lambda: ends)
        await client.stop()
        server.close()
