"""Test the translation of headers and orders."""

import asyncio
import unittest

import msgspec
from multidict import CIMultiDict

from cassialever.fleet.model import KeyRange
from cassialever.platform import wire
from cassialever.platform.targets import CallOutcome, TargetClient
from standins.keyed_target import TargetServer


class HeaderTest(unittest.TestCase):
    """Headers of requests and answers."""

    def test_deadline_shrinks_and_target_is_named(self) -> None:
        headers = CIMultiDict(
            {'Host': 'h', 'Attempt-Id': 'a', 'Deadline-Ms': '2000', 'X': 'y'},
        )
        passed = dict(wire.forwarded_headers(headers, 't1', 1.25))
        self.assertEqual(passed['Deadline-Ms'], '1250')
        self.assertEqual(passed['Expect-Instance'], 't1')
        self.assertEqual(passed['Attempt-Id'], 'a')
        self.assertEqual(passed['X'], 'y')

    def test_a_callers_own_target_is_not_passed_on(self) -> None:
        headers = CIMultiDict({'Expect-Instance': 'forged'})
        passed = wire.forwarded_headers(headers, 't1', 1)
        named = [text for name, text in passed if name == 'Expect-Instance']
        self.assertEqual(named, ['t1'])

    def test_connection_headers_are_dropped(self) -> None:
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

    def test_facts_of_a_request(self) -> None:
        facts = wire.parse_request_metadata(
            CIMultiDict(
                {'attempt-id': 'a', 'deadline-ms': '800', 'shard-key': '65535'},
            ),
        )
        self.assertEqual(facts, wire.RequestMetadata('a', 0.8, 65535))
        odd = CIMultiDict({'Deadline-Ms': '-3', 'Shard-Key': '65536'})
        self.assertEqual(
            wire.parse_request_metadata(odd),
            wire.RequestMetadata('', None, -1),
        )

    def test_told_load(self) -> None:
        told = wire.parse_reported_load({'Instance-Load': '3,1,8,250'})
        self.assertEqual(told, wire.ReportedLoad(3, 1, 8, 2.5))
        self.assertEqual(
            wire.parse_reported_load({'Instance-Load': '3,0,8'}),
            wire.ReportedLoad(3, 0, 8, 1),
        )
        for odd in ('', '3', 'a,b,c'):
            with self.subTest(odd=odd):
                self.assertIsNone(
                    wire.parse_reported_load({'Instance-Load': odd})
                )

    def test_an_answer_of_another_request(self) -> None:
        self.assertTrue(wire.matches_request({'Attempt-Id': 'a'}, 'a'))
        self.assertTrue(wire.matches_request({}, 'a'))
        self.assertFalse(wire.matches_request({'Attempt-Id': 'b'}, 'a'))


class OrderTest(unittest.TestCase):
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


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Orders to a target over a socket."""

    async def test_grants_are_no_longer_than_targets_accept(self) -> None:
        target = TargetServer('t0')
        await target.start()
        orders = TargetClient(max_duration=0.5)
        await orders.start()
        keys = KeyRange(0, 99, 't0', 1, 1)
        done = await orders.grant(target.address, keys, 2.4)
        self.assertIs(done.outcome, CallOutcome.done)
        now = asyncio.get_running_loop().time()
        self.assertLess(target.keys.grants[0].until - now, 0.6)
        await orders.stop()
        await target.stop()
