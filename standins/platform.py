"""A stand-in store and the stand-in targets of one catalogue."""

import time
from collections.abc import Callable

import msgspec

from cassialever.catalogue.entries import Catalogue, TargetEntry
from cassialever.catalogue.store import Accepted, CatalogueStore, new_origin
from cassialever.catalogue.table import CatalogueTable
from cassialever.platform.store import StoreClient
from cassialever.types import CatalogueVersion, RoutingClass, TargetId
from standins.keyed_target import TargetServer
from standins.rowstore import RowStoreServer

NO_VERSION = CatalogueVersion(0)


class StandInPlatform:
    """A store and every target of a catalogue."""

    def __init__(
        self,
        catalogue: Catalogue,
        store: RowStoreServer | None = None,
        make_target: Callable[..., TargetServer] = TargetServer,
    ) -> None:
        """Prepare the servers; `start` runs them."""
        self._catalogue = catalogue
        self._is_stored = False
        self._make_target = make_target
        self.store = store or RowStoreServer()
        self.target_by_id: dict[TargetId, TargetServer] = {}

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue in force."""
        return self._catalogue

    async def start(self, store_port: int = 0) -> None:
        """Start the servers on free ports, or the store on a given port.

        With a given port, targets listen on their ports in the catalogue;
        otherwise the catalogue's addresses are replaced by the chosen ones.
        """
        await self.store.start(store_port)
        entries = [
            await self._start_target(entry, as_listed=store_port != 0)
            for entry in self._catalogue.targets
        ]
        catalogue = msgspec.structs.replace(
            self._catalogue,
            targets=tuple(entries),
        )
        await self.write_catalogue(catalogue)

    async def stop(self) -> None:
        """Stop the targets and the store."""
        for target in self.target_by_id.values():
            await target.stop()
        await self.store.stop()

    async def write_catalogue(self, catalogue: Catalogue) -> None:
        """Submit a catalogue as the next version, as operators do."""
        client = StoreClient(self.store.address)
        await client.start()
        store = CatalogueStore(CatalogueTable(client))
        base = self._catalogue.version if self._is_stored else NO_VERSION
        origin = new_origin('stand-in', 'for a test or demo', time.time())
        try:
            outcome = await store.submit(catalogue, base, origin)
        finally:
            await client.stop()
        if not isinstance(outcome, Accepted):
            raise ValueError(f'catalogue was not accepted: {outcome}')
        self._catalogue = outcome.catalogue
        self._is_stored = True

    async def _start_target(
        self,
        entry: TargetEntry,
        *,
        as_listed: bool,
    ) -> TargetEntry:
        keyed_services = {
            service.name
            for service in self._catalogue.services
            if service.routing is RoutingClass.keyed
        }
        target = self._make_target(
            entry.target_id,
            entry.service,
            is_keyed=entry.service in keyed_services,
            data_centre=entry.data_centre,
            slots=entry.limits.slots,
        )
        port = int(entry.address.rpartition(':')[-1]) if as_listed else 0
        await target.start(port)
        self.target_by_id[entry.target_id] = target
        self.store.put('servers', entry.target_id, target.entry())
        return msgspec.structs.replace(entry, address=target.address)
