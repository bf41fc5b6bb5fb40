"""What the ownership rows of the table hold, and their names."""

from collections.abc import Mapping
from typing import TypeVar

import msgspec
import numpy as np

from cassialever.exceptions import CodecError
from cassialever.types import (
    ChangeId,
    DataCentreId,
    Epoch,
    Fence,
    GroupIndex,
    Incarnation,
    InstanceId,
    RowName,
    ServiceName,
    SliceIndex,
    TargetId,
)

#: A slice that no target owns yet.
NO_OWNER = 0xFFFF
#: How many slices one row holds at most.
SLICES_PER_GROUP = 512
#: How many digits a group's number has in its row's name.
GROUP_DIGITS = 5
#: How far the epoch stands above the serial within a fence, in bits.
SERIAL_BITS = 32

_OWNER_TYPE = np.dtype('<u2')
_SLICE_TYPE = np.dtype('<u4')
_LOAD_TYPE = np.dtype([('slice', '<u4'), ('load', '<f4')])


class Unresolved(msgspec.Struct, frozen=True):
    """A coordinator and its successor that a third daemon superseded.

    Neither has been heard of since, so they may still act for their epoch.
    """

    epoch: Epoch
    holder: InstanceId
    successor: InstanceId
    successor_incarnation: Incarnation


class CoordinatorRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who coordinates a partition, and who alone may take over soon.

    The right to take over is that of one run of the successor.
    """

    epoch: Epoch
    holder: InstanceId
    holder_incarnation: Incarnation
    successor: InstanceId
    successor_incarnation: Incarnation
    change_id: ChangeId
    unresolved: tuple[Unresolved, ...] = ()


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Owners of one group of a service's slices.

    `owners` holds an index into `targets` per slice, packed in 16 bits.
    """

    service: ServiceName
    group: GroupIndex
    home: DataCentreId
    fence: Fence
    targets: tuple[TargetId, ...]
    owners: bytes
    change_id: ChangeId


RowT = TypeVar('RowT', CoordinatorRow, GroupRow)


def coordinator_row(data_centre: DataCentreId) -> RowName:
    """Name the row of a data centre's coordinator."""
    return RowName(f'coordinator/{data_centre}')


def group_prefix(data_centre: DataCentreId) -> str:
    """Return the prefix of every group row at home in a data centre."""
    return f'slices/{data_centre}/'


def group_row(
    data_centre: DataCentreId,
    service: ServiceName,
    group: GroupIndex,
) -> RowName:
    """Name the row of one group of slices."""
    number = str(group).zfill(GROUP_DIGITS)
    return RowName(f'slices/{data_centre}/{service}/{number}')


def encode_row(row: CoordinatorRow | GroupRow) -> bytes:
    """Write a row's body."""
    return msgspec.msgpack.encode(row)


def decode_row(body: bytes, row_type: type[RowT]) -> RowT:
    """Read a row's body as one type of row, or raise `CodecError`."""
    try:
        return msgspec.msgpack.decode(body, type=row_type)
    except msgspec.MsgspecError as fault:
        raise CodecError(str(fault)) from fault


def pack_slices(slices: frozenset[SliceIndex]) -> bytes:
    """Write a set of slices as sorted 32 bit numbers."""
    return np.array(sorted(slices), dtype=_SLICE_TYPE).tobytes()


def unpack_slices(packed: bytes) -> frozenset[SliceIndex]:
    """Read what `pack_slices` wrote, or raise `CodecError`."""
    if len(packed) % _SLICE_TYPE.itemsize:
        raise CodecError('packed slices of an odd length')
    numbers = np.frombuffer(packed, dtype=_SLICE_TYPE)
    return frozenset(SliceIndex(number) for number in numbers.tolist())


def pack_loads(load_by_slice: Mapping[SliceIndex, float]) -> bytes:
    """Write the load of each slice, in 64 bits each."""
    return np.array(
        sorted(load_by_slice.items()),
        dtype=_LOAD_TYPE,
    ).tobytes()


def unpack_loads(packed: bytes) -> dict[SliceIndex, float]:
    """Read what `pack_loads` wrote, or raise `CodecError`."""
    if len(packed) % _LOAD_TYPE.itemsize:
        raise CodecError('packed loads of an odd length')
    pairs = np.frombuffer(packed, dtype=_LOAD_TYPE).tolist()
    return {SliceIndex(number): load for number, load in pairs}


def pack_owners(owners: list[int]) -> bytes:
    """Write the owner index of each slice of a group."""
    return np.array(owners, dtype=_OWNER_TYPE).tobytes()


def unpack_owners(packed: bytes) -> list[int]:
    """Read what `pack_owners` wrote, or raise `CodecError`."""
    if len(packed) % _OWNER_TYPE.itemsize:
        raise CodecError('packed owners of an odd length')
    owners: list[int] = np.frombuffer(packed, dtype=_OWNER_TYPE).tolist()
    return owners


def make_fence(epoch: Epoch, serial: int) -> Fence:
    """Return a fence above each one of every earlier epoch."""
    return Fence((epoch << SERIAL_BITS) + serial)


def epoch_of(fence: Fence) -> Epoch:
    """Return the epoch in which a fence was made."""
    return Epoch(fence >> SERIAL_BITS)
