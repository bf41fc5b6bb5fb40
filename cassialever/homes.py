"""Which data centre's coordinator a slice is at home with.

The home of each block of slices stands in the table, one row a service. The
row is written once, by whichever coordinator finds it missing, and spreads
the blocks by the number of targets that each data centre has. Without the
row, or with the row of another number of slices, nobody assigns a slice: a
coordinator never works out by itself what is its own.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from cassialever.even_assignment import assign_evenly
from cassialever.catalogue import CatalogueIndex, ServiceEntry
from cassialever.exceptions import CodecError
from cassialever.interfaces import ABSENT, Row, RowWrite
from cassialever.types import (
    DataCentreId,
    RoutingClass,
    RowName,
    ServiceName,
    SliceIndex,
    TargetId,
)

#: Slices that always share a home.
BLOCK_SLICES: Final = 16
HOMES_PREFIX: Final = 'homes/'


class HomesRow(msgspec.Struct, frozen=True):
    """The home of each block of one service's slices."""

    service: ServiceName
    slices: int
    home_by_block: tuple[DataCentreId, ...]

    def home(self, slice_index: int) -> DataCentreId:
        """Return the home of a slice."""
        return self.home_by_block[slice_index // BLOCK_SLICES]


def homes_row(service: ServiceName) -> RowName:
    """Name the row of a service's homes."""
    return RowName(f'{HOMES_PREFIX}{service}')


def decode_homes(row: Row) -> HomesRow:
    """Read a row's body, or raise `CodecError`."""
    try:
        return msgspec.msgpack.decode(row.body, type=HomesRow)
    except msgspec.MsgspecError as fault:
        raise CodecError(str(fault)) from fault


def first_homes(index: CatalogueIndex, service: ServiceEntry) -> HomesRow:
    """Spread a service's blocks over the data centres of its targets."""
    weighted = sorted(
        target.data_centre
        for target in index.targets_by_service.get(service.name, ())
    )
    blocks = -(-service.slices // BLOCK_SLICES) if weighted else 0
    return HomesRow(
        service.name,
        service.slices,
        tuple(
            weighted[block * len(weighted) // blocks] for block in range(blocks)
        ),
    )


class HomeAssignment:
    """Assign the slices at home in one data centre, and no others."""

    def __init__(self, data_centre: DataCentreId) -> None:
        """Start without a catalogue and without homes."""
        self._data_centre = data_centre
        self._index: CatalogueIndex | None = None
        self._row_by_service: dict[ServiceName, HomesRow] = {}

    def __call__(
        self,
        current: Sequence[TargetId | None],
        targets: Sequence[TargetId],
        loads: Mapping[SliceIndex, float],
    ) -> Sequence[TargetId | None]:
        """Return the owner wanted for each slice, none for those away."""
        row = self._row_of(targets)
        if row is None or row.slices != len(current):
            return current
        own = [
            number
            for number in range(len(current))
            if row.home(number) == self._data_centre
        ]
        wanted = assign_evenly(
            [current[number] for number in own],
            targets,
            loads,
        )
        merged = list(current)
        for number, owner in zip(own, wanted, strict=True):
            merged[number] = owner
        return merged

    def adopt_catalogue(self, index: CatalogueIndex) -> None:
        """Take the catalogue that says which service a target belongs to."""
        self._index = index

    def adopt_rows(self, rows: Mapping[RowName, Row]) -> None:
        """Take the homes as the table has them."""
        for row in rows.values():
            decoded = decode_homes(row)
            self._row_by_service[decoded.service] = decoded

    def missing(self) -> list[RowWrite]:
        """Return the writes of the rows that the table lacks."""
        if self._index is None:
            return []
        rows = [
            first_homes(self._index, service)
            for service in self._index.catalogue.services
            if service.routing is RoutingClass.keyed
            and service.name not in self._row_by_service
        ]
        return [
            RowWrite(
                homes_row(row.service), ABSENT, msgspec.msgpack.encode(row)
            )
            for row in rows
            if row.home_by_block
        ]

    def _row_of(self, targets: Sequence[TargetId]) -> HomesRow | None:
        if self._index is None or not targets:
            return None
        entry = self._index.target_by_id.get(targets[0])
        return self._row_by_service.get(entry.service) if entry else None
