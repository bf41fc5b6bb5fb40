"""Hold the coordinator lease, spread maps and keep this daemon's leases.

The thin version: one row per data centre in the table names the coordinator,
which writes who holds which target and which target owns which slice.
"""

import asyncio
import uuid

import msgspec

from cassialever.catalogue import Catalogue, CatalogueIndex, TargetEntry
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.instances import Instance, InstanceList, InstanceState
from cassialever.interfaces import (
    ABSENT,
    Clock,
    Committed,
    Row,
    RowWrite,
    TableClient,
    Transaction,
)
from cassialever.leases import HeldLeases, TargetLease
from cassialever.placement import Placement
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.settings import Settings
from cassialever.types import (
    ChangeId,
    DataCentreId,
    Epoch,
    Fence,
    InstanceId,
    RoutingClass,
    RowName,
    Seconds,
    ServiceName,
    TargetId,
)

CATALOGUE_ROW = RowName('catalogue/current')
MAP_PREFIX = 'maps/'


class MapRow(msgspec.Struct, frozen=True):
    """One data centre's coordinator, its holders and its owners."""

    coordinator: InstanceId
    routing_map: RoutingMap


class Fleet:
    """Keep the placement and the leases of this daemon up to date."""

    def __init__(
        self,
        settings: Settings,
        table: TableClient,
        instances: InstanceList,
        placement: Placement,
        leases: HeldLeases,
        clock: Clock,
    ) -> None:
        """Take the platform's services and what is to be kept up to date."""
        self._settings = settings
        self._table = table
        self._instances = instances
        self._placement = placement
        self._leases = leases
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self.instance_by_id: dict[InstanceId, Instance] = {}

    async def start(self) -> None:
        """Read what there is and go on in the background."""
        await self.refresh()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop."""
        if self._task:
            self._task.cancel()

    async def refresh(self) -> None:
        """Read the instances, the catalogue and the maps once."""
        asked_at = self._clock.monotonic()
        listed = await self._instances.fetch()
        if not isinstance(listed, Failure):
            self.instance_by_id = dict(listed)
        rows = await self._table.read([CATALOGUE_ROW])
        maps = await self._table.scan(MAP_PREFIX)
        if isinstance(rows, Failure) or isinstance(maps, Failure):
            record(Event.table_unavailable)
            return
        self._adopt_catalogue(rows.get(CATALOGUE_ROW))
        for row in maps.values():
            self._adopt_map(row, asked_at)
        await self._coordinate(maps.get(self._map_row()))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._settings.leases.heartbeat)
            await self.refresh()

    def _map_row(self) -> RowName:
        return RowName(f'{MAP_PREFIX}{self._settings.instance.data_centre}')

    def _adopt_catalogue(self, row: Row | None) -> None:
        if row is None:
            return
        catalogue = msgspec.json.decode(row.body, type=Catalogue)
        if self._placement.adopt_catalogue(CatalogueIndex(catalogue)):
            record(Event.catalogue_adopted, version=catalogue.version)

    def _adopt_map(self, row: Row, asked_at: Seconds) -> None:
        map_row = msgspec.json.decode(row.body, type=MapRow)
        data_centre = DataCentreId(row.name.removeprefix(MAP_PREFIX))
        self._placement.adopt_map(data_centre, map_row.routing_map)
        ends = asked_at + self._settings.leases.target_term
        fence = Fence(map_row.routing_map.epoch)
        for target_id, holder in map_row.routing_map.holder_by_target.items():
            if holder != self._settings.instance.instance_id:
                continue
            lease = TargetLease(target_id, fence, ends)
            self._leases.lease_by_target[target_id] = lease

    async def _coordinate(self, row: Row | None) -> None:
        wanted = self._wanted_map(row)
        if wanted is None:
            return
        body = msgspec.json.encode(
            MapRow(self._settings.instance.instance_id, wanted),
        )
        write = RowWrite(self._map_row(), row.version if row else ABSENT, body)
        change_id = ChangeId(uuid.uuid4().hex)
        outcome = await self._table.commit(Transaction(change_id, (write,)))
        if isinstance(outcome, Committed):
            record(Event.lease_granted, row=write.name, epoch=wanted.epoch)

    def _wanted_map(self, row: Row | None) -> RoutingMap | None:
        index = self._placement.index
        if index is None:
            return None
        instances = self._local_instances()
        if not instances or instances[0] != self._settings.instance.instance_id:
            return None
        epoch = Epoch(row.version + 1 if row else 1)
        wanted = _assign(
            index,
            self._settings.instance.data_centre,
            instances,
            epoch,
        )
        known = msgspec.json.decode(row.body, type=MapRow) if row else None
        if known and _same(known.routing_map, wanted):
            return None
        return wanted

    def _local_instances(self) -> list[InstanceId]:
        return sorted(
            instance.instance_id
            for instance in self.instance_by_id.values()
            if instance.data_centre == self._settings.instance.data_centre
            and instance.state is InstanceState.live
        )


def _same(known: RoutingMap, wanted: RoutingMap) -> bool:
    same_holders = known.holder_by_target == wanted.holder_by_target
    owners = {
        name: part.owner_by_slice for name, part in known.map_by_service.items()
    }
    return same_holders and owners == {
        name: part.owner_by_slice
        for name, part in wanted.map_by_service.items()
    }


def _assign(
    index: CatalogueIndex,
    data_centre: DataCentreId,
    instances: list[InstanceId],
    epoch: Epoch,
) -> RoutingMap:
    local = [
        target
        for target in index.catalogue.targets
        if target.data_centre == data_centre
    ]
    holders = {
        target.target_id: instances[place % len(instances)]
        for place, target in enumerate(local)
    }
    maps = {
        service.name: _service_map(index, service.name, data_centre, epoch)
        for service in index.catalogue.services
        if service.routing is RoutingClass.keyed
    }
    return RoutingMap(epoch, maps, holders)


def _service_map(
    index: CatalogueIndex,
    service: ServiceName,
    data_centre: DataCentreId,
    epoch: Epoch,
) -> ServiceMap:
    slices = index.service_by_name[service].slices
    able = [
        target
        for target in index.targets_by_service.get(service, ())
        if index.is_out(target) is None
    ]
    owners: list[TargetId | None] = []
    for slice_index in range(slices):
        if not able:
            owners.append(None)
            continue
        place = slice_index * len(able) // slices
        owners.append(_local_id(able[place], data_centre))
    return ServiceMap(owners, Fence(epoch))


def _local_id(
    target: TargetEntry,
    data_centre: DataCentreId,
) -> TargetId | None:
    return target.target_id if target.data_centre == data_centre else None
