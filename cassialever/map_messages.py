"""Routing maps as they travel between daemons."""

from collections.abc import Mapping

import msgspec

from cassialever.exceptions import CodecError
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.rows import NO_OWNER, pack_owners, unpack_owners
from cassialever.types import (
    DataCentreId,
    Epoch,
    Fence,
    InstanceId,
    ServiceName,
    TargetId,
)


class MapAnnounced(msgspec.Struct, frozen=True):
    """The coordinator of a data centre announces its map."""

    data_centre: DataCentreId
    body: bytes


class PackedService(msgspec.Struct, frozen=True, array_like=True):
    """One service's owners: an index into `targets` per slice, packed."""

    fence: Fence
    targets: tuple[TargetId, ...]
    owners: bytes


class PackedMap(msgspec.Struct, frozen=True, array_like=True):
    """A whole map in little space."""

    epoch: Epoch
    service_by_name: Mapping[ServiceName, PackedService]
    targets_by_holder: Mapping[InstanceId, tuple[TargetId, ...]]


def pack_map(
    data_centre: DataCentreId, routing_map: RoutingMap
) -> MapAnnounced:
    """Write a map as a message."""
    targets_by_holder: dict[InstanceId, list[TargetId]] = {}
    for target_id, holder in routing_map.holder_by_target.items():
        targets_by_holder.setdefault(holder, []).append(target_id)
    packed = PackedMap(
        routing_map.epoch,
        {
            name: _pack_service(service_map)
            for name, service_map in routing_map.map_by_service.items()
        },
        {name: tuple(held) for name, held in targets_by_holder.items()},
    )
    return MapAnnounced(data_centre, msgspec.msgpack.encode(packed))


def unpack_map(message: MapAnnounced) -> RoutingMap:
    """Read a map; raise `CodecError` if it is none."""
    try:
        packed = msgspec.msgpack.decode(message.body, type=PackedMap)
    except msgspec.MsgspecError as error:
        raise CodecError(f'a bad map: {error}') from error
    holder_by_target = {
        target_id: holder
        for holder, held in packed.targets_by_holder.items()
        for target_id in held
    }
    map_by_service = {
        name: _unpack_service(service)
        for name, service in packed.service_by_name.items()
    }
    return RoutingMap(packed.epoch, map_by_service, holder_by_target)


def _pack_service(service_map: ServiceMap) -> PackedService:
    owners = [
        service_map.owner_by_slice[number]
        for number in range(len(service_map.owner_by_slice))
    ]
    targets = tuple(sorted({owner for owner in owners if owner}))
    index_by_target = {name: index for index, name in enumerate(targets)}
    numbers = [
        index_by_target[owner] if owner else NO_OWNER for owner in owners
    ]
    return PackedService(service_map.fence, targets, pack_owners(numbers))


def _unpack_service(packed: PackedService) -> ServiceMap:
    targets = packed.targets
    owners: list[TargetId | None] = []
    for index in unpack_owners(packed.owners):
        if index == NO_OWNER:
            owners.append(None)
            continue
        if index >= len(targets):
            raise CodecError('a map names a target that it does not list')
        owners.append(targets[index])
    return ServiceMap(tuple(owners), packed.fence)
