"""Which slice a key has, who owns a slice and who holds a target.

A routing map is a hint: a wrong one costs a redirect, never safety, since
only the holder of a target's lease sends to it.
"""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from cassialever.slices import Place, SliceMap, hash_of, slice_of_hash
from cassialever.types import (
    Epoch,
    Fence,
    InstanceId,
    Key,
    ServiceName,
    SliceIndex,
    TargetId,
)


def slice_of(key: Key, slices: int) -> SliceIndex:
    """Return the base slice of a key, out of a number of slices."""
    return slice_of_hash(hash_of(key), slices)


class Owners(Protocol):
    """The owner of each slice: a tuple, a list or a `SliceMap`."""

    def __len__(self) -> int:
        """Count the slices."""

    def __getitem__(self, slice_index: int, /) -> TargetId | None:
        """Return the owner of a slice, if it has one."""


class ServiceMap(msgspec.Struct, frozen=True):
    """Owners of one keyed service's slices, and the fence they stand under.

    With a `SliceMap` as owners, hot keys and the fence of each group count;
    with any other sequence, all slices are base slices under `fence`.
    """

    owner_by_slice: Owners
    fence: Fence

    def locate(self, key: Key) -> Place:
        """Return where a key stands, hot keys first."""
        key_hash = hash_of(key)
        owners = self.owner_by_slice
        if isinstance(owners, SliceMap):
            return owners.place(key_hash)
        slice_index = slice_of_hash(key_hash, len(owners))
        return Place(slice_index, owners[slice_index], self.fence)


class RoutingMap(msgspec.Struct, frozen=True):
    """One data centre's view of owners and holders at one epoch."""

    epoch: Epoch
    map_by_service: Mapping[ServiceName, ServiceMap]
    holder_by_target: Mapping[TargetId, InstanceId]

    def locate(self, service: ServiceName, key: Key) -> Place | None:
        """Return where a key of a service stands, if its map is known."""
        service_map = self.map_by_service.get(service)
        return service_map.locate(key) if service_map else None

    def owner(
        self,
        service: ServiceName,
        slice_index: SliceIndex,
    ) -> TargetId | None:
        """Return the target that owns a slice, if one is known."""
        service_map = self.map_by_service.get(service)
        if service_map is None:
            return None
        return service_map.owner_by_slice[slice_index]

    def holder(self, target_id: TargetId) -> InstanceId | None:
        """Return the instance that holds a target's lease, if known."""
        return self.holder_by_target.get(target_id)
