"""Tests that whatever others write is decoded or fails as it should."""

import math
import os
import random
import unittest
from collections.abc import Callable, Iterator
from typing import Any

import json5
import msgspec

from cassialever.catalogue.adoption import CatalogueRowHandler
from cassialever.catalogue.entries import EMPTY_CATALOGUE
from cassialever.decoding import MAX_REASON_LENGTH
from cassialever.errors import Failure
from cassialever.exceptions import SettingsError
from cassialever.fleet import datagrams, messages
from cassialever.fleet.connecting import split_address
from cassialever.fleet.lease import LEASE_ROW, LEASE_TABLE, Lease, find_lease
from cassialever.fleet.model import KeyMap, KeyRange, StoreRow
from cassialever.fleet.view import FleetView, Leadership
from cassialever.gateway import hop_messages
from cassialever.gateway.settings import parse_settings
from cassialever.platform import records, rows, wire
from cassialever.platform.entry_limits import MAX_COLD_TIME, MAX_SLOTS
from cassialever.platform.statements import parse_statements
from tests import odd_values
from tests.fleet_helpers import (
    CONFIGURATION,
    ManualClock,
    configured_view,
    json_row,
    settings_text,
    target_entry,
)

#: What decoders of bytes return or raise for bytes that are no message.
FAILURES = (Failure, msgspec.DecodeError, SettingsError)


def nested_json(depth: int) -> bytes:
    return b'{"x":' + b'[' * depth + b']' * depth + b'}'


def nested_msgpack(sample: bytes, depth: int) -> bytes:
    """Return a message with one more field, which is nested."""
    name = b'' if sample[0] & 0xF0 == 0x90 else b'\xa1x'
    nested = b'\x91' * depth + b'\xc0'
    return bytes((sample[0] + 1,)) + sample[1:] + name + nested


def own_row(name: str, content: bytes) -> object:
    """Apply a row of the table of this project to a view."""
    view = configured_view(ManualClock())
    view.apply('cassialever', [StoreRow('cassialever', name, content, 9)], 9)
    return Failure if view.rejected_count else view


def catalogue_row(content: bytes) -> object:
    """Apply a row of the operators' own catalogue to a view."""
    view = configured_view(ManualClock())
    table = CatalogueRowHandler.table
    row = StoreRow(table, 'catalogue/current', content, 9)
    CatalogueRowHandler().apply_row(row, view)
    return Failure if view.rejected_count else view


def lease_row(content: bytes) -> object:
    """Find the lease in a row."""
    row = StoreRow(LEASE_TABLE, LEASE_ROW, content, 9)
    return find_lease((row,))[0] or Failure


#: Draws of each kind; more are drawn with the environment variable
#: ODD_VALUES=COUNT.
DRAWS = int(os.environ.get('ODD_VALUES', '200'))
ANSWER = {
    'Attempt-Id': 'a1',
    'Response-Seal': 's',
    'Not-Executed': '1',
    'Instance-Load': '3,0,8,100',
    'Server-Limit': '20',
    'Server-Leaving': '1',
    'Retry-After': '1.5',
    'Date': 'Mon, 01 Jan 2001 00:00:00 GMT',
    'Handover': '5c0e',
}
REQUEST = {'Attempt-Id': 'a1', 'Deadline-Ms': '2000', 'Shard-Key': '7'}
STORE_ANSWER = {
    'ver': 9,
    'now_ms': 5.5,
    'has_more': False,
    'rows': [
        {'table': 'op', 'key': 'a', 'ver': 3, 'value': 'eA=='},
        {'table': 'op', 'key': 'b', 'ver': 4, 'removed': True},
    ],
}
#: A valid document for each decoder of JSON.
JSON_SAMPLES: dict[str, Any] = {
    'target': target_entry(),
    'configuration': CONFIGURATION,
    'catalogue': msgspec.to_builtins(EMPTY_CATALOGUE),
    'rows': STORE_ANSWER,
    'conflict': STORE_ANSWER,
    'committed': STORE_ANSWER,
    'settings': json5.loads(settings_text('127.0.0.1:1', (1, 2, 3))),
}
#: The row of a view that each of these decoders reads.
ROW_BY_DECODER = {
    'target': ('servers', 'odd'),
    'configuration': ('op', 'config'),
    'leadership': ('cassialever', 'leader'),
    'key map': ('cassialever', 'keys/registry'),
}
JSON_DECODERS: dict[str, Callable[[bytes], Any]] = {
    'target': lambda content: records.decode_target('t1', content),
    'configuration': records.decode_configuration,
    'catalogue': catalogue_row,
    'rows': rows.decode_rows,
    'conflict': rows.decode_conflict,
    'committed': rows.decode_committed,
    'settings': lambda content: parse_settings(content.decode('latin-1')),
}
RANGES = (KeyRange(0, 99, 't0', 1000, 1), KeyRange(100, 65535, 't1', 1000, 2))
#: A valid message for each decoder of MessagePack.
MSGPACK_SAMPLES: dict[str, bytes] = {
    'message': messages.encode(messages.Moving('registry', [(0, 9)]))[4:],
    'datagram': datagrams.encode(datagrams.OpenRequests('edge-1', {'t0': 3})),
    'lease': msgspec.msgpack.encode(Lease('edge-1', 1, 5.0)),
    'leadership': msgspec.msgpack.encode(
        Leadership('edge-1', '127.0.0.1:9000', 1)
    ),
    'key map': msgspec.msgpack.encode(KeyMap('registry', RANGES)),
}
MSGPACK_DECODERS: dict[str, Callable[[bytes], Any]] = {
    'message': messages._decoder.decode,
    'datagram': datagrams._decoder.decode,
    'lease': lease_row,
    'leadership': lambda content: own_row('leader', content),
    'key map': lambda content: own_row('keys/registry', content),
}


def outcome(decode: Callable[[bytes], Any], content: bytes) -> Any:
    """Return what a decoder returns; or the failure that it may raise."""
    try:
        return decode(content)
    except (msgspec.DecodeError, SettingsError) as error:
        return error


class NestedTest(unittest.TestCase):
    """Bytes that are nested more deeply than Python's stack."""

    def assert_fails(self, failure: Any) -> None:
        if failure is Failure:
            return
        self.assertIsInstance(failure, FAILURES)
        self.assertLess(len(str(failure)), MAX_REASON_LENGTH + 200)

    def test_nested_bytes_fail_as_malformed_ones_do(self) -> None:
        """They raised RecursionError, which ended daemons and their tasks."""
        for depth in (1_000, 100_000):
            for name, decode in JSON_DECODERS.items():
                with self.subTest(decoder=name, depth=depth):
                    self.assert_fails(outcome(decode, nested_json(depth)))
            for name, decode in MSGPACK_DECODERS.items():
                content = nested_msgpack(MSGPACK_SAMPLES[name], depth)
                with self.subTest(decoder=name, depth=depth):
                    self.assert_fails(outcome(decode, content))

    def test_samples_are_valid(self) -> None:
        for name, decode in MSGPACK_DECODERS.items():
            decoded = outcome(decode, MSGPACK_SAMPLES[name])
            self.assertNotIsInstance(decoded, FAILURES)
            self.assertIsNot(decoded, Failure)


class StoreAnswerTest(unittest.TestCase):
    """Numbers in answers of the store."""

    def test_numbers_out_of_range_are_malformed(self) -> None:
        """A version of 400 digits could be sent to no follower."""
        row = '{"table":"servers","key":"t0","ver":%s,"value":"eA=="}'
        for body in (
            '{"ver":%s,"rows":[]}' % ('9' * 400),
            '{"ver":-1,"rows":[]}',
            '{"ver":%d,"rows":[]}' % 2**63,
            '{"ver":3,"now_ms":-1,"rows":[]}',
            '{"ver":3,"now_ms":1e308,"rows":[]}',
            '{"ver":3,"now_ms":NaN,"rows":[]}',
            '{"ver":3,"rows":[%s]}' % (row % ('9' * 400)),
            '{"ver":3,"rows":[%s]}' % (row % '-1'),
        ):
            with self.subTest(body=body[:60]):
                decoded = rows.decode_rows(body.encode())
                assert isinstance(decoded, Failure)
                self.assertLess(len(decoded.reason), 300)

    def test_lease_without_a_time_is_not_held(self) -> None:
        """Renewed at NaN it was never stale, and could not be taken over."""
        for time in (math.nan, math.inf, -math.inf, 1e300):
            for lease in (
                Lease('edge-1', 1, time),
                Lease('edge-1', 1, 5.0, authority_until_by_id={'a': time}),
            ):
                content = msgspec.msgpack.encode(lease)
                with self.subTest(lease=lease):
                    self.assertIs(lease_row(content), Failure)

    def test_value_that_is_no_base64_costs_one_row(self) -> None:
        row = '{"table":"servers","key":"%s","ver":3,"value":"%s"}'
        body = '{"ver":3,"rows":[%s]}' % ','.join(
            row % pair
            for pair in (('t0', '\u00e9'), ('t1', 'x'), ('t2', 'eA=='))
        )
        decoded = rows.decode_rows(body.encode())
        assert not isinstance(decoded, Failure)
        contents = [one.content for one in decoded.rows]
        self.assertEqual(contents, [b'', b'', b'x'])


class HopHeaderTest(unittest.TestCase):
    """Headers with which daemons pass requests on."""

    def setUp(self) -> None:
        hop = hop_messages.HopRequest(
            'GET', '/', 't0', 1, 1.0, 'edge-1', 1, 100.0, 'n'
        )
        reply = hop_messages.HopReply('n', hop_messages.HopOutcome.not_run)
        self.request = dict(hop_messages.encode_request(hop, 'key'))
        self.reply = dict(hop_messages.encode_reply(reply, 'key'))

    def test_bytes_that_are_no_text_are_malformed(self) -> None:
        """The hash of such a header raised; the request was answered 500."""
        for name in ('Target', 'Method', 'Nonce', 'Origin', 'Proof'):
            headers = {**self.request, f'Daemon-Hop-{name}': 'a\udcff'}
            with self.subTest(name=name):
                self.assertIsInstance(
                    hop_messages.decode_request(headers, '/', 'key', 100.0),
                    Failure,
                )
        for name in ('Reason', 'Nonce', 'Proof'):
            headers = {**self.reply, f'Daemon-Hop-{name}': 'a\udcff'}
            with self.subTest(name=name):
                self.assertIsInstance(
                    hop_messages.decode_reply(headers, 'n', 'key'), Failure
                )

    def test_numbers_without_end_are_malformed(self) -> None:
        """A time of 400 digits raised OverflowError."""
        for name in (
            'Time-Left-Ms',
            'Send-Within-Ms',
            'Sent-Ms',
            'Target-Started',
            'Configuration',
        ):
            for digits in (21, 400, 5000):
                headers = {**self.request, f'Daemon-Hop-{name}': '9' * digits}
                with self.subTest(name=name, digits=digits):
                    decoded = hop_messages.decode_request(
                        headers, '/', '', 100.0
                    )
                    assert isinstance(decoded, Failure)
                    self.assertLess(len(decoded.reason), 300)

    def test_headers_as_sent_are_read(self) -> None:
        for key in ('', 'key'):
            hop = hop_messages.decode_request(self.request, '/', key, 100.0)
            self.assertNotIsInstance(hop, Failure)
            reply = hop_messages.decode_reply(self.reply, 'n', key)
            self.assertNotIsInstance(reply, Failure)


class DrawnTest(unittest.TestCase):
    """Entries, messages and headers with odd values, drawn at random."""

    def drawn(self, name: str) -> Iterator[tuple[str, random.Random]]:
        """Return a seed and its random source for each draw."""
        for number in range(DRAWS):
            seed = f'{name}-{number}'
            yield seed, random.Random(seed)

    def test_json_is_decoded_or_fails(self) -> None:
        for name, decode in JSON_DECODERS.items():
            for seed, rng in self.drawn(name):
                with self.subTest(seed=seed):
                    content = odd_values.odd_json(rng, JSON_SAMPLES[name])
                    self.assert_bounded(outcome(decode, content))

    def test_msgpack_is_decoded_or_fails(self) -> None:
        for name, decode in MSGPACK_DECODERS.items():
            for seed, rng in self.drawn(name):
                with self.subTest(seed=seed):
                    content = odd_values.odd_msgpack(rng, MSGPACK_SAMPLES[name])
                    self.assert_bounded(outcome(decode, content))

    def test_next_row_is_read(self) -> None:
        """Each odd row is followed by a sound one, at a leader's view."""
        view = configured_view(ManualClock(), targets=0)
        frames: list[bytes] = []

        def relay(table: str, changed: list[StoreRow], version: int) -> None:
            message = messages.Changed(table, changed, version)
            frames.append(messages.encode(message))

        view.on_change = relay
        version = 100
        for name, (table, row_name) in ROW_BY_DECODER.items():
            for seed, rng in self.drawn(f'row-{name}'):
                with self.subTest(seed=seed):
                    version += 1
                    if name in JSON_SAMPLES:
                        content = odd_values.odd_json(rng, JSON_SAMPLES[name])
                    else:
                        sample = MSGPACK_SAMPLES[name]
                        content = odd_values.odd_msgpack(rng, sample)
                    good = json_row(
                        'servers', f'good-{version}', target_entry(), version
                    )
                    odd = StoreRow(table, row_name, content, version)
                    view.apply(table, [odd], version)
                    view.apply('servers', [odd, good], version)
                    self.assertIn(good.name, view.targets.by_id)
                    self.assertEqual(view.faults.failed_count, 0)
                    self.assert_usable(view)
                    view.targets.remove(good.name)
        self.assertGreater(view.rejected_count, len(ROW_BY_DECODER))

    def test_headers_are_decoded_or_fail(self) -> None:
        for seed, rng in self.drawn('answer'):
            with self.subTest(seed=seed):
                headers = odd_values.odd_headers(rng, ANSWER, tuple(ANSWER))
                load = wire.parse_reported_load(headers)
                if load is not None:
                    self.assertTrue(math.isfinite(load.slowdown))
                wire.handover_of(headers)
                for status in (200, 421, 503):
                    statements = parse_statements(status, headers, 1e9)
                    if not isinstance(statements, Failure):
                        self.assertTrue(0 <= statements.pause < math.inf)
                        self.assert_bounded(statements.limit)

    def test_request_headers_are_decoded_or_fail(self) -> None:
        for seed, rng in self.drawn('request'):
            with self.subTest(seed=seed):
                headers = odd_values.odd_headers(rng, REQUEST, tuple(REQUEST))
                metadata = wire.parse_request_metadata(headers)
                self.assertTrue(-1 <= metadata.key < 65536)
                self.assertTrue(0 <= (metadata.timeout or 0) < 1e15)

    def test_hop_headers_are_decoded_or_fail(self) -> None:
        hop = hop_messages.HopRequest(
            'GET', '/', 't0', 1, 1.0, 'edge-1', 1, 100.0, 'n', 0.5
        )
        reply = hop_messages.HopReply('n', hop_messages.HopOutcome.not_run)
        for key in ('', 'key'):
            request = dict(hop_messages.encode_request(hop, key))
            answer = dict(hop_messages.encode_reply(reply, key))
            for seed, rng in self.drawn(f'hop-{key}'):
                with self.subTest(seed=seed):
                    headers = odd_values.odd_headers(
                        rng, request, tuple(request)
                    )
                    self.assert_bounded(
                        hop_messages.decode_request(headers, '/', key, 100.0)
                    )
                    headers = odd_values.odd_headers(rng, answer, tuple(answer))
                    self.assert_bounded(
                        hop_messages.decode_reply(headers, 'n', key)
                    )

    def assert_bounded(self, decoded: Any) -> None:
        """Assert that the reason of a failure is short, and on one line."""
        if isinstance(decoded, Failure):
            self.assertLess(len(decoded.reason), MAX_REASON_LENGTH + 100)
            self.assertTrue(decoded.reason.isprintable())

    def assert_usable(self, view: FleetView) -> None:
        """Assert that what was accepted can be used and passed on."""
        for target in view.targets.by_id.values():
            self.assertTrue(1 <= target.slots <= MAX_SLOTS)
            self.assertTrue(0 <= target.cold_for <= MAX_COLD_TIME)
            keys = KeyRange(0, 9, target.target_id, target.started_at, 1)
            msgspec.msgpack.encode(keys)
            target.target_id.encode('ascii')
            split_address(target.address)
        for index in view.keys_by_service.values():
            self.assertTrue(index.key_map.is_ordered)
            for key in (0, 99, 65535):
                index.find(key)
        if view.leader is not None:
            split_address(view.leader[0].address)
        for route in view.configuration.routes:
            self.assertTrue(0 <= route.time_limit <= 86_400)


if __name__ == '__main__':
    unittest.main()
