"""Tests that whatever others write is decoded or fails as it should."""

import math
import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from cassialever.catalogue.adoption import CatalogueRowHandler
from cassialever.decoding import MAX_REASON_LENGTH
from cassialever.errors import Failure
from cassialever.exceptions import SettingsError
from cassialever.fleet import datagrams, messages
from cassialever.fleet.lease import LEASE_ROW, LEASE_TABLE, Lease, find_lease
from cassialever.fleet.model import KeyMap, KeyRange, StoreRow
from cassialever.fleet.view import Leadership
from cassialever.gateway import hop_messages
from cassialever.gateway.settings import parse_settings
from cassialever.platform import records, rows
from tests.fleet_helpers import ManualClock, configured_view

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


if __name__ == '__main__':
    unittest.main()
