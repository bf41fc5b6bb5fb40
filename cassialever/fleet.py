"""Hold the coordinator lease, spread maps and keep this daemon's leases.

The thin version: one row per data centre in the table names the coordinator,
which writes who holds which target and which target owns which slice.
"""

import asyncio
import uuid

import msgspec

from cassialever.catalogue import (
    Catalogue,
    CatalogueIndex,
    ServiceEntry,
    TargetEntry,
)
from cassialever.dialling import PeerAddress
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
from cassialever.leases import TargetLease
from cassialever.request_path import RequestPath
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
    epoch: Epoch
    holder_by_target: dict[TargetId, InstanceId]
    owners_by_service: dict[ServiceName, tuple[TargetId | None, ...]]

    def routing_map(self) -> RoutingMap:
        """Return the row as requests are routed by it."""
        fence = Fence(self.epoch)
        maps = {
            name: ServiceMap(owners, fence)
            for name, owners in self.owners_by_service.items()
        }
        return RoutingMap(self.epoch, maps, self.holder_by_target)

    def says_the_same(self, other: 'MapRow') -> bool:
        """Say whether two rows differ in their epoch alone."""
        return msgspec.structs.replace(self, epoch=other.epoch) == other


class Fleet:
    """Keep the placement and the leases of this daemon up to date."""

    def __init__(
        self,
        settings: Settings,
        table: TableClient,
        instances: InstanceList,
        path: RequestPath,
        clock: Clock,
    ) -> None:
        """Take the platform's services and what is to be kept up to date."""
        self._settings = settings
        self._table = table
        self._instances = instances
        self._placement = path.placement
        self._leases = path.tools.leases
        self._addresses = path.peers.address_by_instance
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
            self._adopt_instances(dict(listed))
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

    def _adopt_instances(self, by_id: dict[InstanceId, Instance]) -> None:
        self.instance_by_id = by_id
        for instance_id, instance in by_id.items():
            address = PeerAddress(instance.address, instance.peer_port)
            self._addresses[instance_id] = address

    def _adopt_catalogue(self, row: Row | None) -> None:
        if row is None:
            return
        catalogue = msgspec.json.decode(row.body, type=Catalogue)
        if self._placement.adopt_catalogue(CatalogueIndex(catalogue)):
            record(Event.catalogue_adopted, version=catalogue.version)

    def _adopt_map(self, row: Row, asked_at: Seconds) -> None:
        map_row = msgspec.json.decode(row.body, type=MapRow)
        data_centre = DataCentreId(row.name.removeprefix(MAP_PREFIX))
        self._placement.adopt_map(data_centre, map_row.routing_map())
        ends = asked_at + self._settings.leases.target_term
        fence = Fence(map_row.epoch)
        for target_id, holder in map_row.holder_by_target.items():
            if holder != self._settings.instance.instance_id:
                continue
            lease = TargetLease(target_id, fence, ends)
            self._leases.lease_by_target[target_id] = lease

    async def _coordinate(self, row: Row | None) -> None:
        wanted = self._wanted_map(row)
        if wanted is None:
            return
        body = msgspec.json.encode(wanted)
        write = RowWrite(self._map_row(), row.version if row else ABSENT, body)
        change_id = ChangeId(uuid.uuid4().hex)
        outcome = await self._table.commit(Transaction(change_id, (write,)))
        if isinstance(outcome, Committed):
            record(Event.lease_granted, row=write.name, epoch=wanted.epoch)

    def _wanted_map(self, row: Row | None) -> MapRow | None:
        index = self._placement.index
        own = self._settings.instance
        instances = self._local_instances()
        if index is None or not instances:
            return None
        if instances[0] != own.instance_id:
            return None
        epoch = Epoch(row.version + 1 if row else 1)
        wanted = _assign(index, own.data_centre, instances, epoch)
        known = msgspec.json.decode(row.body, type=MapRow) if row else None
        if known and known.says_the_same(wanted):
            return None
        return wanted

    def _local_instances(self) -> list[InstanceId]:
        return sorted(
            instance.instance_id
            for instance in self.instance_by_id.values()
            if instance.data_centre == self._settings.instance.data_centre
            and instance.state is InstanceState.live
        )


def _assign(
    index: CatalogueIndex,
    data_centre: DataCentreId,
    instances: list[InstanceId],
    epoch: Epoch,
) -> MapRow:
    local = [
        target
        for target in index.catalogue.targets
        if target.data_centre == data_centre
    ]
    holders = {
        target.target_id: instances[place % len(instances)]
        for place, target in enumerate(local)
    }
    owners = {
        service.name: _owners(index, service, data_centre)
        for service in index.catalogue.services
        if service.routing is RoutingClass.keyed
    }
    return MapRow(instances[0], epoch, holders, owners)


def _owners(
    index: CatalogueIndex,
    service: ServiceEntry,
    data_centre: DataCentreId,
) -> tuple[TargetId | None, ...]:
    able = [
        target
        for target in index.targets_by_service.get(service.name, ())
        if index.is_out(target) is None
    ]
    owners: list[TargetId | None] = []
    for slice_index in range(service.slices):
        if not able:
            owners.append(None)
            continue
        place = slice_index * len(able) // service.slices
        owners.append(_local_id(able[place], data_centre))
    return tuple(owners)


def _local_id(
    target: TargetEntry,
    data_centre: DataCentreId,
) -> TargetId | None:
    return target.target_id if target.data_centre == data_centre else None
