"""Which slice a key has, who owns a slice and who holds a target.

A routing map is a hint: a wrong one costs a redirect, never safety, since
only the holder of a target's lease sends to it.
"""

from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from cassialever.types import (
    Epoch,
    Fence,
    InstanceId,
    Key,
    ServiceName,
    SliceIndex,
    TargetId,
)

HASH_BITS = 64


def slice_of(key: Key, slices: int) -> SliceIndex:
    """Return the slice of a key, out of a number of slices.

    The slice is the hash's share of the whole range, so that neighbouring
    hashes share a slice and a split keeps its halves side by side.
    """
    digest = xxhash.xxh3_64_intdigest(key.encode())
    return SliceIndex((digest * slices) >> HASH_BITS)


class ServiceMap(msgspec.Struct, frozen=True):
    """Owners of one keyed service's slices, and the fence they stand under."""

    owner_by_slice: Sequence[TargetId | None]
    fence: Fence


class RoutingMap(msgspec.Struct, frozen=True):
    """One data centre's view of owners and holders at one epoch."""

    epoch: Epoch
    map_by_service: Mapping[ServiceName, ServiceMap]
    holder_by_target: Mapping[TargetId, InstanceId]

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


EMPTY_MAP = RoutingMap(Epoch(0), {}, {})
