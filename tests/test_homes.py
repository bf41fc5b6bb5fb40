"""Tests of cassialever.homes: a slice is at home in one data centre."""

import unittest

import msgspec

from cassialever.catalogue import CatalogueIndex, ServiceEntry
from cassialever.homes import (
    BLOCK_SLICES,
    BLOCKS_AT_ONCE,
    HomeAssignment,
    first_homes,
    homes_row,
    wanted_homes,
)
from cassialever.interfaces import ABSENT, Row, RowWrite, Transaction
from cassialever.types import (
    ChangeId,
    DataCentreId,
    RoutingClass,
    RowName,
    RowVersion,
    ServiceName,
    ServiceState,
    TargetId,
)
from standins.moving import with_state
from standins.table import TableRows
from tests.helpers import REGISTRY, WEST, small_catalogue, target
from tests.test_data_centre import EAST, catalogue

SLICES = 64 * BLOCK_SLICES
OWNER = TargetId('registry-1')


def index(state: ServiceState = ServiceState.in_service) -> CatalogueIndex:
    """Index two data centres, the west one in a state."""
    both = catalogue()
    services = tuple(
        msgspec.structs.replace(entry, slices=SLICES)
        if entry.routing is RoutingClass.keyed
        else entry
        for entry in both.services
    )
    both = msgspec.structs.replace(both, services=services)
    return CatalogueIndex(with_state(both, WEST, state))


def registry(of: CatalogueIndex) -> ServiceEntry:
    """Return the keyed service."""
    return of.service_by_name[REGISTRY]


class TestHomes(unittest.TestCase):
    """Homes follow the catalogue, and change in one place only."""

    def setUp(self) -> None:
        """Write the first homes and have the west's coordinator know them."""
        self.rows = TableRows()
        self.homes = HomeAssignment(WEST)
        self.homes.live = {WEST, EAST}
        self.homes.adopt_catalogue(index())
        (first,) = self.homes.missing()
        self.commit('first', first)
        self.read()

    def commit(
        self,
        change: str,
        write: RowWrite,
        checks: dict[RowName, RowVersion] | None = None,
    ) -> list[RowName]:
        """Write a row; return the rows that were in conflict."""
        order = Transaction(ChangeId(change), (write,), checks or {})
        return self.rows.commit(order).conflicts

    def read(self) -> None:
        """Have the coordinator read the homes again."""
        found = self.rows.scan('homes/')
        self.homes.adopt_rows({row.name: row for row in found})

    def owners(self) -> list[TargetId | None]:
        """Return owners of all slices as the west assigns them at first."""
        nobody: list[TargetId | None] = [None] * SLICES
        return list(self.homes(REGISTRY, nobody, [OWNER], {}))

    def test_each_slice_is_assigned_by_one_data_centre(self) -> None:
        """The west and the east never both assign a slice."""
        east = HomeAssignment(EAST)
        east.adopt_catalogue(index())
        east.adopt_rows({homes_row(REGISTRY): self.rows.scan('homes/')[0]})
        others = east(REGISTRY, [None] * SLICES, [TargetId('registry-3')], {})
        for ours, theirs in zip(self.owners(), others, strict=True):
            self.assertTrue((ours is None) != (theirs is None))

    def test_nothing_is_assigned_without_homes(self) -> None:
        """A coordinator that knows no homes leaves owners as they are."""
        other = HomeAssignment(WEST)
        other.adopt_catalogue(index())
        current: list[TargetId | None] = [None, OWNER]
        self.assertEqual(other(REGISTRY, current, [OWNER], {}), current)

    def test_only_what_must_move_is_wanted_elsewhere(self) -> None:
        """A new target moves no more blocks than its share."""
        row = first_homes(index(), registry(index()))
        both = {WEST, EAST}
        self.assertEqual(wanted_homes(row, index(), both), row.home_by_block)
        gone = wanted_homes(row, index(ServiceState.out), both)
        self.assertEqual(set(gone), {EAST})
        back = msgspec.structs.replace(row, home_by_block=gone)
        again = wanted_homes(back, index(), both)
        moved = sum(home == WEST for home in again)
        self.assertEqual(moved, len(row.home_by_block) // 2)

    def test_a_block_is_given_away_only_without_owners(self) -> None:
        """Slices that still have an owner keep their home."""
        owners = self.owners()
        self.homes.adopt_catalogue(index(ServiceState.out))
        self.assertIsNone(self.homes.handed_over(REGISTRY, owners))
        wanted = self.homes(REGISTRY, owners, [], {})
        self.assertEqual(set(wanted), {None})
        write = self.homes.handed_over(REGISTRY, wanted)
        assert write is not None
        self.assertEqual(self.commit('give away', write), [])
        self.read()
        self.assertEqual(self.homes.unsettled(), [])

    def test_nothing_goes_to_a_data_centre_that_is_not_heard(self) -> None:
        """Blocks stay where they are rather than go where nobody is."""
        self.homes.live = {WEST}
        self.homes.adopt_catalogue(index(ServiceState.out))
        self.assertEqual(self.homes.leaving(REGISTRY), {})
        self.assertEqual(self.homes.unsettled(), [])

    def test_a_return_goes_by_and_by(self) -> None:
        """A data centre in service gives away a few blocks at a time."""
        self.homes.adopt_catalogue(index())
        everything = msgspec.structs.replace(
            first_homes(index(), registry(index())),
            home_by_block=(WEST,) * (SLICES // BLOCK_SLICES),
        )
        body = msgspec.msgpack.encode(everything)
        row = Row(homes_row(REGISTRY), RowVersion(9), body)
        self.homes.adopt_rows({row.name: row})
        self.assertEqual(len(self.homes.leaving(REGISTRY)), BLOCKS_AT_ONCE)

    def test_new_owner_and_new_home_exclude_each_other(self) -> None:
        """Whichever is written first, the other one is in conflict."""
        slices = RowName('slices/west/registry/00000')
        for home_first in (True, False):
            with self.subTest(home_first=home_first):
                self.setUp()
                self.homes.adopt_catalogue(index(ServiceState.out))
                write = self.homes.handed_over(REGISTRY, [None] * SLICES)
                assert write is not None
                owner = RowWrite(slices, ABSENT, b'an owner')
                checks = dict(self.homes.checks([REGISTRY]))
                orders = [
                    (write, {slices: ABSENT}),
                    (owner, checks),
                ]
                if not home_first:
                    orders.reverse()
                first, second = orders
                self.assertEqual(self.commit('1', *first), [])
                self.assertNotEqual(self.commit('2', *second), [])


class TestSmallCatalogue(unittest.TestCase):
    """Services that have no home to write."""

    def test_no_row_for_any_target_services(self) -> None:
        """Only keyed services with targets get homes."""
        homes = HomeAssignment(DataCentreId('west'))
        homes.adopt_catalogue(
            CatalogueIndex(small_catalogue(target('i-1', ServiceName('x')))),
        )
        self.assertEqual(homes.missing(), [])
