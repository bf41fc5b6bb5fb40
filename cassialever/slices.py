"""Who owns each slice of one keyed service, in compact arrays.

A service's hash range is cut into equal base slices. A hot key has a slice
of its own, numbered after the base slices and found by the key's hash. A
split or a merge never changes the owner of a key; only a move does.
"""

from collections.abc import Iterator
from typing import Final

import msgspec
import numpy as np
import xxhash
from numpy import typing as npt

from cassialever.exceptions import InvariantError
from cassialever.types import Fence, GroupIndex, Key, SliceIndex, TargetId

HASH_BITS: Final = 64

#: Base slices in one row of the table.
GROUP_SLICES: Final = 512

#: Keys of one service that can have a slice of their own.
MAX_HOT_KEYS: Final = 256

#: The group of the hot keys' slices; base slices have groups from 0.
HOT_GROUP: Final = GroupIndex(-1)

#: The target index of a slice without an owner.
NO_TARGET: Final = 0xFFFF

TargetIndexes = npt.NDArray[np.uint16]


def hash_of(key: Key) -> int:
    """Return the 64-bit hash of a key."""
    return xxhash.xxh3_64_intdigest(key.encode())


def slice_of_hash(key_hash: int, slices: int) -> SliceIndex:
    """Return the base slice of a hash, out of a number of slices.

    The slice is the hash's share of the whole range, so that neighbouring
    hashes share a slice and a split keeps its halves side by side.
    """
    return SliceIndex((key_hash * slices) >> HASH_BITS)


class Place(msgspec.Struct, frozen=True):
    """Where a key stands: its slice, the owner and the fence."""

    slice_index: SliceIndex
    owner: TargetId | None
    fence: Fence


class HotKey(msgspec.Struct, frozen=True):
    """A key with a slice of its own."""

    key_hash: int
    slice_index: SliceIndex


class SliceMap:
    """The owners of one service's slices.

    Indexed by a slice it gives the owner. Base slices go first, then come
    `MAX_HOT_KEYS` slices for hot keys, of which the unused have no owner.
    """

    def __init__(self, slices: int) -> None:
        """Start without owners and without hot keys."""
        self.slices = slices
        self.targets: list[TargetId] = []
        self.slice_by_hot_hash: dict[int, SliceIndex] = {}
        self.owner_indexes: TargetIndexes = np.full(
            slices + MAX_HOT_KEYS,
            NO_TARGET,
            dtype=np.uint16,
        )
        groups = -(-slices // GROUP_SLICES)
        # The hot group is last, where its index of -1 finds it.
        self.fence_by_group = [Fence(0) for _group in range(groups + 1)]
        self._index_by_target: dict[TargetId, int] = {}
        # A view gives plain integers several times faster than numpy does.
        self._owner_view = memoryview(self.owner_indexes.data)

    def __len__(self) -> int:
        """Count all slices, with those kept for hot keys."""
        return len(self._owner_view)

    def __getitem__(self, slice_index: int) -> TargetId | None:
        """Return the owner of a slice, if it has one."""
        index = self._owner_view[slice_index]
        return None if index == NO_TARGET else self.targets[index]

    def group_of(self, slice_index: SliceIndex) -> GroupIndex:
        """Return the group whose row holds a slice."""
        if slice_index >= self.slices:
            return HOT_GROUP
        return GroupIndex(slice_index // GROUP_SLICES)

    def slice_of(self, key_hash: int) -> SliceIndex:
        """Return the slice of a key's hash: its own if hot, else the base."""
        hot = self.slice_by_hot_hash.get(key_hash)
        if hot is None:
            return slice_of_hash(key_hash, self.slices)
        return hot

    def place(self, key_hash: int) -> Place:
        """Return where a key's hash stands."""
        slice_index = self.slice_of(key_hash)
        fence = self.fence_by_group[self.group_of(slice_index)]
        return Place(slice_index, self[slice_index], fence)

    def set_owner(
        self,
        slice_index: SliceIndex,
        target_id: TargetId | None,
    ) -> None:
        """Record the owner of a slice; the caller raises the fence."""
        index = NO_TARGET if target_id is None else self.index_of(target_id)
        self.owner_indexes[slice_index] = index

    def raise_fence(self, group: GroupIndex, fence: Fence) -> None:
        """Record the fence under which a group's row was written."""
        if fence < self.fence_by_group[group]:
            raise InvariantError(f'fence of group {group} fell to {fence}')
        self.fence_by_group[group] = fence

    def index_of(self, target_id: TargetId) -> int:
        """Return the index of a target, which gets one if it has none."""
        index = self._index_by_target.get(target_id)
        if index is None:
            index = len(self.targets)
            if index >= NO_TARGET:
                raise InvariantError('too many targets in one slice map')
            self.targets.append(target_id)
            self._index_by_target[target_id] = index
        return index

    def split(self, key_hash: int) -> HotKey | None:
        """Give a key a slice of its own under the same owner.

        Returns nothing where all slices for hot keys are in use.
        """
        known = self.slice_by_hot_hash.get(key_hash)
        if known is not None:
            return HotKey(key_hash, known)
        every = set(range(self.slices, len(self)))
        free = every.difference(self.slice_by_hot_hash.values())
        if not free:
            return None
        hot = SliceIndex(min(free))
        base = slice_of_hash(key_hash, self.slices)
        self.owner_indexes[hot] = self.owner_indexes[base]
        self.slice_by_hot_hash[key_hash] = hot
        return HotKey(key_hash, hot)

    def copy(self) -> 'SliceMap':
        """Return a map that changes by itself."""
        other = SliceMap(self.slices)
        for target_id in self.targets:
            other.index_of(target_id)
        other.slice_by_hot_hash.update(self.slice_by_hot_hash)
        np.copyto(other.owner_indexes, self.owner_indexes)
        other.fence_by_group = list(self.fence_by_group)
        return other

    def merge(self, key_hash: int) -> bool:
        """Give a hot key back to its base slice, if one target owns both."""
        hot = self.slice_by_hot_hash.get(key_hash)
        if hot is None:
            return False
        base = slice_of_hash(key_hash, self.slices)
        if self.owner_indexes[hot] != self.owner_indexes[base]:
            return False
        self.owner_indexes[hot] = NO_TARGET
        self.slice_by_hot_hash.pop(key_hash)
        return True


def groups(slice_map: SliceMap) -> Iterator[GroupIndex]:
    """Give every group of a map, the hot group last."""
    for group in range(len(slice_map.fence_by_group) - 1):
        yield GroupIndex(group)
    yield HOT_GROUP
