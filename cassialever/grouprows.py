"""Rows of the table that hold the owners of a group of slices.

A row stands by itself: it names its targets once and gives each slice the
position of its owner among them. One fence and one row version cover the
whole group. The first byte is the version of the format.
"""

from typing import Final

import msgspec
import numpy as np
from numpy import typing as npt

from cassialever.exceptions import CodecError
from cassialever.slices import (
    GROUP_SLICES,
    HOT_GROUP,
    MAX_HOT_KEYS,
    NO_TARGET,
    SliceMap,
)
from cassialever.types import Fence, GroupIndex, SliceIndex, TargetId

FORMAT_VERSION: Final = 1

_BYTE_NO_TARGET: Final = 0xFF
_HASH: Final = np.dtype('<u8')
_SHORT: Final = np.dtype('<u2')


class GroupRow(msgspec.Struct, frozen=True, array_like=True):
    """The owners of one group.

    `owners` holds one byte a slice, or two (little-endian) where the group
    has 255 targets or more; the highest value is no owner. A row of hot keys
    has their sorted hashes (8 bytes each) and slots (2 bytes each) as well.
    """

    group: GroupIndex
    fence: Fence
    targets: tuple[TargetId, ...]
    owners: bytes
    hashes: bytes = b''
    slots: bytes = b''


def encode_row(row: GroupRow) -> bytes:
    """Return a row's body as the table holds it."""
    return bytes((FORMAT_VERSION,)) + msgspec.msgpack.encode(row)


def decode_row(body: bytes) -> GroupRow:
    """Read a row's body; raises `CodecError` on anything malformed."""
    if not body or body[0] != FORMAT_VERSION:
        raise CodecError('the group row is of an unknown format')
    try:
        row = msgspec.msgpack.decode(body[1:], type=GroupRow)
    except msgspec.MsgspecError as error:
        raise CodecError('the group row is malformed') from error
    _check_row(row)
    return row


def pack_group(slice_map: SliceMap, group: GroupIndex) -> GroupRow:
    """Return the row of one group of a slice map."""
    hashes = sorted(slice_map.slice_by_hot_hash) if group == HOT_GROUP else []
    positions = _positions(slice_map, group, hashes)
    targets, owners = _pack_owners(slice_map, positions)
    slots = positions - slice_map.slices if hashes else positions[:0]
    return GroupRow(
        group=group,
        fence=slice_map.fence_by_group[group],
        targets=targets,
        owners=owners,
        hashes=np.array(hashes, dtype=_HASH).tobytes(),
        slots=slots.astype(_SHORT).tobytes(),
    )


def unpack_group(slice_map: SliceMap, row: GroupRow) -> None:
    """Take a row into a slice map.

    Raises `CodecError` where the row doesn't fit the map, and
    `InvariantError` where its fence is older than the map's.
    """
    if row.group >= len(slice_map.fence_by_group) - 1:
        raise CodecError('the group row is of a group that the map has not')
    local_owners = _widen(row.owners, len(row.targets))
    if len(local_owners) != _row_slices(slice_map, row):
        raise CodecError('the group row has a wrong number of slices')
    slice_map.raise_fence(row.group, row.fence)
    if row.group == HOT_GROUP:
        _unpack_hot_keys(slice_map, row)
    index_by_local = np.full(NO_TARGET + 1, NO_TARGET, dtype=np.uint16)
    for local, target_id in enumerate(row.targets):
        index_by_local[local] = slice_map.index_of(target_id)
    positions = _positions(slice_map, row.group, _hashes(row))
    slice_map.owner_indexes[positions] = index_by_local[local_owners]


def _row_slices(slice_map: SliceMap, row: GroupRow) -> int:
    if row.group == HOT_GROUP:
        return len(_hashes(row))
    first = row.group * GROUP_SLICES
    return min(GROUP_SLICES, slice_map.slices - first)


def _unpack_hot_keys(slice_map: SliceMap, row: GroupRow) -> None:
    slots = np.frombuffer(row.slots, dtype=_SHORT).tolist()
    first = slice_map.slices
    slice_map.owner_indexes[first:].fill(NO_TARGET)
    slice_map.slice_by_hot_hash = {
        key_hash: SliceIndex(first + slot)
        for key_hash, slot in zip(_hashes(row), slots, strict=True)
    }


def _hashes(row: GroupRow) -> list[int]:
    hashes: list[int] = np.frombuffer(row.hashes, dtype=_HASH).tolist()
    return hashes


def _positions(
    slice_map: SliceMap,
    group: GroupIndex,
    hashes: list[int],
) -> npt.NDArray[np.int64]:
    if group == HOT_GROUP:
        hot = [slice_map.slice_by_hot_hash[key_hash] for key_hash in hashes]
        return np.array(hot, dtype=np.int64)
    first = group * GROUP_SLICES
    last = min(first + GROUP_SLICES, slice_map.slices)
    return np.arange(first, last, dtype=np.int64)


def _pack_owners(
    slice_map: SliceMap,
    positions: npt.NDArray[np.int64],
) -> tuple[tuple[TargetId, ...], bytes]:
    indexes = slice_map.owner_indexes[positions]
    used = [int(index) for index in np.unique(indexes) if index != NO_TARGET]
    local_by_index = np.full(NO_TARGET + 1, NO_TARGET, dtype=np.uint16)
    local_by_index[used] = np.arange(len(used), dtype=np.uint16)
    targets = tuple(slice_map.targets[index] for index in used)
    # The low byte of `NO_TARGET` is the highest value of one byte.
    width = np.uint8 if len(used) < _BYTE_NO_TARGET else _SHORT
    return targets, local_by_index[indexes].astype(width).tobytes()


def _widen(owners: bytes, targets: int) -> npt.NDArray[np.uint16]:
    if targets >= _BYTE_NO_TARGET:
        return np.frombuffer(owners, dtype=_SHORT).astype(np.uint16)
    local_owners = np.frombuffer(owners, dtype=np.uint8).astype(np.uint16)
    local_owners[local_owners == _BYTE_NO_TARGET] = NO_TARGET
    return local_owners


def _check_row(row: GroupRow) -> None:
    width = 2 if len(row.targets) >= _BYTE_NO_TARGET else 1
    if row.group < HOT_GROUP or len(row.owners) % width:
        raise CodecError('the group row has no such group or half an owner')
    local_owners = _widen(row.owners, len(row.targets))
    known = (local_owners < len(row.targets)) | (local_owners == NO_TARGET)
    if not known.all():
        raise CodecError('the group row names an owner it has not')
    _check_hot_keys(row)


def _check_hot_keys(row: GroupRow) -> None:
    if row.group != HOT_GROUP and (row.hashes or row.slots):
        raise CodecError('a row of base slices has hot keys')
    hash_count, half_hash = divmod(len(row.hashes), _HASH.itemsize)
    if half_hash or len(row.slots) != hash_count * _SHORT.itemsize:
        raise CodecError('the hot keys have no matching slots')
    hashes = _hashes(row)
    if hashes != sorted(set(hashes)):
        raise CodecError('the hot keys are not in order')
    _check_slots(np.frombuffer(row.slots, dtype=_SHORT))


def _check_slots(slots: npt.NDArray[np.uint16]) -> None:
    if len(np.unique(slots)) != len(slots):
        raise CodecError('two hot keys share a slot')
    if (slots >= MAX_HOT_KEYS).any():
        raise CodecError('a hot key has too high a slot')
