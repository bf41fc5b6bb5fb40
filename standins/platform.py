"""The platform and the targets of one deployment, all as stand-ins."""

import time

import msgspec

from cassialever.catalogue import Catalogue, TargetEntry
from cassialever.catalogue_store import Accepted, CatalogueStore, new_origin
from cassialever.types import CatalogueVersion, TargetId
from standins.instances import InstanceListServer
from standins.local_table import LocalTable
from standins.table import TableServer
from standins.targets import StandInTarget
from standins.work import TargetBehaviour

NO_VERSION = CatalogueVersion(0)


class StandInPlatform:
    """Run a table, an instance list and every target of a catalogue."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Take the catalogue whose targets are to be run."""
        self._catalogue = catalogue
        self._is_stored = False
        self.table = TableServer()
        self.instances = InstanceListServer()
        self.target_by_id: dict[TargetId, StandInTarget] = {}
        self.table_url = ''
        self.instances_url = ''

    async def start(self, ports: 'PlatformPorts | None' = None) -> None:
        """Listen, on free ports unless some are given.

        With ports given, targets listen where the catalogue says; otherwise
        the catalogue's addresses are replaced by those that were free.
        """
        self.table_url = await self.table.start(ports.table if ports else 0)
        self.instances_url = await self.instances.start(
            ports.instances if ports else 0,
        )
        entries = [
            await self._start_target(entry, as_listed=ports is not None)
            for entry in self._catalogue.targets
        ]
        catalogue = msgspec.structs.replace(
            self._catalogue,
            targets=tuple(entries),
        )
        await self.write_catalogue(catalogue)

    async def stop(self) -> None:
        """Stop everything."""
        for target in self.target_by_id.values():
            await target.stop()
        await self.instances.stop()
        await self.table.stop()

    async def write_catalogue(self, catalogue: Catalogue) -> None:
        """Have a catalogue accepted as the next version, as operators do."""
        store = CatalogueStore(LocalTable(self.table.rows))
        base = self._catalogue.version if self._is_stored else NO_VERSION
        origin = new_origin('stand-in', 'for a test or demo', time.time())
        outcome = await store.submit(catalogue, base, origin)
        if not isinstance(outcome, Accepted):
            raise ValueError(f'the catalogue was not accepted: {outcome}')
        self._catalogue = outcome.catalogue
        self._is_stored = True

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue in force."""
        return self._catalogue

    async def _start_target(
        self,
        entry: TargetEntry,
        *,
        as_listed: bool,
    ) -> TargetEntry:
        behaviour = TargetBehaviour(
            slots=entry.limits.slots,
            checks_fence=entry.checks.fence,
            needs_grant=True,
        )
        target = StandInTarget(entry.target_id, behaviour)
        port = int(entry.address.rpartition(':')[-1]) if as_listed else 0
        url = await target.start(port)
        self.target_by_id[entry.target_id] = target
        address = url.removeprefix('http://')
        return msgspec.structs.replace(entry, address=address)


class PlatformPorts(msgspec.Struct, frozen=True):
    """Ports of the platform's services, where they have to be known."""

    table: int
    instances: int
