"""Tests of cassialever.slices, cassialever.grouprows and routing by them."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassialever.exceptions import CodecError, InvariantError
from cassialever.grouprows import (
    GroupRow,
    decode_row,
    encode_row,
    pack_group,
    unpack_group,
)
from cassialever.routing import RoutingMap, ServiceMap, slice_of
from cassialever.slices import (
    HOT_GROUP,
    MAX_HOT_KEYS,
    SliceMap,
    groups,
    hash_of,
)
from cassialever.types import (
    Epoch,
    Fence,
    GroupIndex,
    Key,
    ServiceName,
    SliceIndex,
    TargetId,
)

SLICES = 1300


def filled_map(targets: int, seed: int = 7) -> SliceMap:
    """Return a map with owners for most slices and a few hot keys."""
    source = random.Random(seed)
    slice_map = SliceMap(SLICES)
    for position in range(SLICES):
        if position % 97 == 0:
            continue
        owner = TargetId(f'target-{source.randrange(targets)}')
        slice_map.set_owner(SliceIndex(position), owner)
    for number in range(40):
        slice_map.split(hash_of(Key(f'hot-{number}')))
    return slice_map


class TestSliceMap(unittest.TestCase):
    """Owners, hot keys and fences."""

    def test_split_and_merge_keep_the_owner(self) -> None:
        """Only a move changes the owner of a key."""
        slice_map = filled_map(9)
        key_hash = hash_of(Key('busy'))
        before = slice_map.place(key_hash)
        hot = slice_map.split(key_hash)
        self.assertEqual(hot, slice_map.split(key_hash))
        during = slice_map.place(key_hash)
        self.assertEqual(before.owner, during.owner)
        self.assertGreaterEqual(during.slice_index, SLICES)
        slice_map.set_owner(during.slice_index, TargetId('elsewhere'))
        self.assertEqual('elsewhere', slice_map.place(key_hash).owner)
        self.assertFalse(slice_map.merge(key_hash))
        slice_map.set_owner(during.slice_index, before.owner)
        self.assertTrue(slice_map.merge(key_hash))
        self.assertEqual(before, slice_map.place(key_hash))

    def test_hot_keys_are_bounded(self) -> None:
        """A full list takes no further key, and a merge makes room."""
        slice_map = filled_map(3)
        for number in range(MAX_HOT_KEYS):
            slice_map.split(hash_of(Key(f'more-{number}')))
        self.assertEqual(MAX_HOT_KEYS, len(slice_map.slice_by_hot_hash))
        self.assertIsNone(slice_map.split(hash_of(Key('late'))))
        self.assertTrue(slice_map.merge(hash_of(Key('hot-3'))))
        self.assertIsNotNone(slice_map.split(hash_of(Key('late'))))

    def test_a_fence_never_falls(self) -> None:
        """A row under a lower fence is not taken in."""
        slice_map = filled_map(3)
        slice_map.raise_fence(GroupIndex(0), Fence(5))
        with self.assertRaises(InvariantError):
            slice_map.raise_fence(GroupIndex(0), Fence(4))

    def test_routing_honours_hot_keys(self) -> None:
        """The router finds a moved hot key at its new owner."""
        slice_map = filled_map(9)
        key = Key('hot-1')
        slice_map.set_owner(
            slice_map.slice_of(hash_of(key)),
            TargetId('elsewhere'),
        )
        service = ServiceName('registry')
        routing = RoutingMap(
            Epoch(1),
            {service: ServiceMap(slice_map, Fence(1))},
            {},
        )
        place = routing.locate(service, key)
        assert place is not None
        self.assertEqual('elsewhere', place.owner)
        base = slice_of(key, SLICES)
        self.assertNotEqual('elsewhere', routing.owner(service, base))
        self.assertIsNone(routing.locate(ServiceName('other'), key))


class TestGroupRows(unittest.TestCase):
    """Rows out and in again."""

    def test_rows_carry_the_whole_map(self) -> None:
        """A map rebuilt from its rows gives every key the same place."""
        for targets in (3, 254, 255, 400):
            with self.subTest(targets=targets):
                before = filled_map(targets)
                before.raise_fence(HOT_GROUP, Fence(9))
                after = SliceMap(SLICES)
                for group in groups(before):
                    body = encode_row(pack_group(before, group))
                    unpack_group(after, decode_row(body))
                self.assertEqual(list(before), list(after))
                self.assertEqual(before.fence_by_group, after.fence_by_group)
                self.assertEqual(
                    before.slice_by_hot_hash,
                    after.slice_by_hot_hash,
                )

    def test_a_row_without_a_hot_key_frees_its_slice(self) -> None:
        """A merge done elsewhere is seen through the row."""
        before = filled_map(5)
        after = filled_map(5)
        before.merge(hash_of(Key('hot-1')))
        unpack_group(after, pack_group(before, HOT_GROUP))
        self.assertEqual(list(before), list(after))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
    def test_rubbish_is_refused(
        self,
        tail: bytes,
        position: int,
        byte: int,
    ) -> None:
        """Damaged bytes give a row that holds, or a `CodecError`."""
        body = bytearray(encode_row(pack_group(filled_map(5), HOT_GROUP)))
        body[position] = byte
        for damaged in (bytes(body), bytes(body[:position]), b'\x01' + tail):
            try:
                row = decode_row(damaged)
            except CodecError:
                continue
            self.assertIsInstance(row, GroupRow)

    def test_each_fault_of_a_row_is_seen(self) -> None:
        """Rows that contradict themselves are refused."""
        good = pack_group(filled_map(5), HOT_GROUP)
        faults = (
            GroupRow(GroupIndex(-2), Fence(1), (), b''),
            GroupRow(GroupIndex(0), Fence(1), (), b'\x00'),
            GroupRow(GroupIndex(0), good.fence, (), b'', good.hashes),
            GroupRow(HOT_GROUP, Fence(1), (), b'', good.hashes, b''),
            GroupRow(HOT_GROUP, Fence(1), (), b'', bytes(16), b'\x00\x00' * 2),
            GroupRow(HOT_GROUP, Fence(1), (), b'', bytes(8), b'\x00\x01'),
        )
        for row in faults:
            with self.subTest(row=row), self.assertRaises(CodecError):
                decode_row(encode_row(row))
