"""Tests of cassialever.codec."""

import io
import random
import unittest

import msgspec
import thriftpy2

from cassialever import codec
from cassialever.errors import ErrorKind, Failure
from cassialever.exceptions import CodecError, InvariantError
from cassialever.messages import RequestHead
from cassialever.wire import PEER_THRIFT, decode_failure
from tests.link_helpers import make_head


class Note(msgspec.Struct, frozen=True):
    """A message whose newer form has one more field."""

    words: tuple[str, ...]
    count: int = 7


class NewerNote(msgspec.Struct, frozen=True):
    """The newer form."""

    words: tuple[str, ...]
    added: dict[str, list[int]]
    count: int | None = None


THRIFT = thriftpy2.load_fp(
    io.StringIO("""
struct Note { 1: list<string> words, 2: i32 count }
struct NewerNote {
  1: list<string> words, 2: i32 count, 3: map<string, list<i32>> added }
"""),
    'codec_thrift',
)
codec.register(60_011, Note, THRIFT.Note)
codec.register(60_012, NewerNote, THRIFT.NewerNote)


def renumbered(payload: bytes, number: int) -> bytes:
    """Give a message another number."""
    return number.to_bytes(2, 'big') + payload[2:]


class TestVersions(unittest.TestCase):
    """Messages of newer and older peers."""

    def test_newer_fields_are_skipped(self) -> None:
        """An older daemon takes what it knows."""
        newer = NewerNote(('a', 'b'), {'x': [1, 2]}, 3)
        payload = renumbered(codec.encode(newer), 60_011)
        self.assertEqual(codec.decode(payload), Note(('a', 'b'), 3))

    def test_absent_fields_have_defaults(self) -> None:
        """A newer daemon fills in what an older one doesn't send."""
        payload = codec.encode(NewerNote(('a',), {}))
        got = codec.decode(renumbered(payload, 60_011))
        self.assertEqual(got, Note(('a',), 7))

    def test_unknown_numbers_are_told(self) -> None:
        """A message of a newer peer is no rubbish."""
        self.assertEqual(
            codec.decode(b'\xff\xff\0'), codec.UnknownMessage(0xFFFF)
        )

    def test_failure_of_a_newer_kind(self) -> None:
        """A kind not known here leaves the outcome unknown."""
        payload = codec.encode(Failure(ErrorKind.target_shed, 'x'))
        payload = payload.replace(b'target_shed', b'target_slid')
        self.assertEqual(
            decode_failure(payload).kind, ErrorKind.outcome_unknown
        )

    def test_registration_faults(self) -> None:
        """A taken number or differing fields stop the program."""
        with self.assertRaises(InvariantError):
            codec.register(60_011, NewerNote, THRIFT.NewerNote)
        with self.assertRaises(InvariantError):
            codec.register(60_013, Note, PEER_THRIFT.Failure)


class TestRubbish(unittest.TestCase):
    """Bytes that are no message."""

    def decode(self, payload: bytes) -> None:
        """Decode, with no other error than the codec's."""
        try:
            codec.decode(payload)
        except CodecError:
            return

    def test_every_cut(self) -> None:
        """A message cut short is never taken for a whole one."""
        payload = codec.encode(make_head())
        for stop in range(len(payload)):
            with self.assertRaises(CodecError):
                codec.decode_as(RequestHead, payload[:stop])

    def test_every_changed_byte(self) -> None:
        """Changed bytes, lengths among them, do no harm."""
        source = random.Random(2)
        payload = codec.encode(make_head())
        for place in range(2, len(payload)):
            for changed in (0, 0x7F, 0x80, 0xFF, source.randrange(256)):
                spoilt = bytearray(payload)
                spoilt[place] = changed
                self.decode(bytes(spoilt))
