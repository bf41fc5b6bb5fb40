"""The group rows of one data centre as its coordinator knows them."""

import itertools
from collections.abc import Iterable, Mapping

import msgspec

from cassialever.interfaces import ABSENT, Row, RowWrite
from cassialever.rows import (
    NO_OWNER,
    SLICES_PER_GROUP,
    GroupRow,
    decode_row,
    encode_row,
    group_row,
    pack_owners,
    unpack_owners,
)
from cassialever.types import (
    ChangeId,
    DataCentreId,
    Fence,
    GroupIndex,
    RowName,
    RowVersion,
    ServiceName,
    SliceIndex,
    TargetId,
)


class KnownGroup(msgspec.Struct, frozen=True):
    """One group's row and its version."""

    row: GroupRow
    version: RowVersion


class SliceRows:
    """Owners by slice, and the rows that they are kept in."""

    def __init__(self, data_centre: DataCentreId) -> None:
        """Know of no row and no service."""
        self.owners_by_service: dict[ServiceName, list[TargetId | None]] = {}
        self.fence_by_service: dict[ServiceName, Fence] = {}
        self._data_centre = data_centre
        self._known_by_name: dict[RowName, KnownGroup] = {}
        self._slices_by_target: dict[TargetId, frozenset[SliceIndex]] = {}

    def declare(self, service: ServiceName, slices: int) -> None:
        """Keep owners of a service that has a number of slices."""
        if service in self.owners_by_service:
            return
        self.owners_by_service[service] = list(itertools.repeat(None, slices))
        self._rebuild()

    def load(self, found: Mapping[RowName, Row]) -> None:
        """Take in rows as they were read."""
        for name, row in found.items():
            known = self._known_by_name.get(name)
            if known and known.version >= row.version:
                continue
            self._known_by_name[name] = KnownGroup(
                decode_row(row.body, GroupRow),
                row.version,
            )
        self._rebuild()

    def slices_of(self, target_id: TargetId) -> frozenset[SliceIndex]:
        """Return what the rows give to a target."""
        return self._slices_by_target.get(target_id, frozenset())

    def change_id(self, name: RowName) -> ChangeId | None:
        """Return by which change a row was written last."""
        known = self._known_by_name.get(name)
        return known.row.change_id if known else None

    def changed(
        self,
        owner_by_slice: Mapping[tuple[ServiceName, SliceIndex], TargetId],
        fence: Fence,
        change_id: ChangeId,
    ) -> tuple[RowWrite, ...]:
        """Return the writes that give slices to other owners."""
        groups = {
            (service, GroupIndex(number // SLICES_PER_GROUP))
            for service, number in owner_by_slice
        }
        writes: list[RowWrite] = []
        for service, group in sorted(groups):
            owners = self._owners(service, group, owner_by_slice)
            row = self._row(service, group, owners, fence, change_id)
            writes.append(self._write(row))
        return tuple(writes)

    def written(
        self,
        writes: Iterable[RowWrite],
        version_by_name: Mapping[RowName, RowVersion],
    ) -> None:
        """Take in rows as they were written."""
        self.load(
            {
                write.name: Row(
                    write.name,
                    version_by_name[write.name],
                    write.body or b'',
                )
                for write in writes
            },
        )

    def _write(self, row: GroupRow) -> RowWrite:
        name = group_row(self._data_centre, row.service, row.group)
        known = self._known_by_name.get(name)
        version = known.version if known else ABSENT
        return RowWrite(name, version, encode_row(row))

    def _row(
        self,
        service: ServiceName,
        group: GroupIndex,
        owners: list[TargetId | None],
        fence: Fence,
        change_id: ChangeId,
    ) -> GroupRow:
        targets = tuple(sorted({name for name in owners if name}))
        index_by_target = {name: index for index, name in enumerate(targets)}
        numbers = [
            index_by_target[name] if name else NO_OWNER for name in owners
        ]
        return GroupRow(
            service=service,
            group=group,
            home=self._data_centre,
            fence=fence,
            targets=targets,
            owners=pack_owners(numbers),
            change_id=change_id,
        )

    def _owners(
        self,
        service: ServiceName,
        group: GroupIndex,
        owner_by_slice: Mapping[tuple[ServiceName, SliceIndex], TargetId],
    ) -> list[TargetId | None]:
        first = group * SLICES_PER_GROUP
        current = self.owners_by_service[service]
        owners: list[TargetId | None] = []
        for number in range(first, first + SLICES_PER_GROUP):
            if number >= len(current):
                break
            index = SliceIndex(number)
            owners.append(owner_by_slice.get((service, index), current[number]))
        return owners

    def _rebuild(self) -> None:
        for known in self._known_by_name.values():
            self._read_owners(known.row)
        owned_by_target: dict[TargetId, set[SliceIndex]] = {}
        for owners in self.owners_by_service.values():
            for number, owner in enumerate(owners):
                if owner is None:
                    continue
                owned = owned_by_target.setdefault(owner, set())
                owned.add(SliceIndex(number))
        self._slices_by_target = {
            name: frozenset(owned) for name, owned in owned_by_target.items()
        }

    def _read_owners(self, row: GroupRow) -> None:
        owners = self.owners_by_service.setdefault(row.service, [])
        first = row.group * SLICES_PER_GROUP
        numbers = unpack_owners(row.owners)
        missing = first + len(numbers) - len(owners)
        owners.extend(itertools.repeat(None, missing))
        for offset, index in enumerate(numbers):
            owner = None if index == NO_OWNER else row.targets[index]
            owners[first + offset] = owner
        known = self.fence_by_service.get(row.service, Fence(0))
        self.fence_by_service[row.service] = max(known, row.fence)
