"""The platform and the targets of one deployment, all as stand-ins."""

import uuid

import msgspec

from cassialever.catalogue import Catalogue, TargetEntry
from cassialever.fleet import CATALOGUE_ROW
from cassialever.interfaces import RowWrite, Transaction
from cassialever.types import CatalogueVersion, ChangeId, TargetId
from standins.instances import InstanceListServer
from standins.table import TableServer
from standins.targets import StandInTarget
from standins.work import TargetBehaviour


class StandInPlatform:
    """Run a table, an instance list and every target of a catalogue."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Take the catalogue whose targets are to be run."""
        self._catalogue = catalogue
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
        self.write_catalogue(catalogue)

    async def stop(self) -> None:
        """Stop everything."""
        for target in self.target_by_id.values():
            await target.stop()
        await self.instances.stop()
        await self.table.stop()

    def write_catalogue(self, catalogue: Catalogue) -> None:
        """Write a catalogue with the next version, as an operator would."""
        known = self.table.rows.version(CATALOGUE_ROW)
        change_id = ChangeId(uuid.uuid4().hex)
        stamped = msgspec.structs.replace(
            catalogue,
            version=CatalogueVersion(known + 1),
            change_id=change_id,
        )
        write = RowWrite(CATALOGUE_ROW, known, msgspec.json.encode(stamped))
        self.table.rows.commit(Transaction(change_id, (write,)))
        self._catalogue = stamped

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
        behaviour = TargetBehaviour(slots=entry.limits.slots)
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
