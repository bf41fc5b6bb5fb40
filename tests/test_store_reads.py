"""Tests of what a read of the store corrects in a daemon's view."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from cassialever.fleet.model import KeyMap, KeyRange, StoreRow
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, FleetView, Leadership
from tests.fleet_helpers import (
    CONFIGURATION,
    ManualClock,
    VirtualLoop,
    configured_view,
    json_row,
    run_virtually,
    target_entry,
)
from tests.fleet_rig import Rig, RigDaemon, simulated_links
from tests.hop_helpers import LoggedEvents
from tests.store_faults import CHANGE_LIMIT, FaultyFleet

TABLE = 'servers'
#: Where rows come from that are not the store's.
ELSEWHERE = 'daemon at 10.1.0.9:7'
ROW_NAME = 'keys/registry'


def map_row(version: int, owner: str) -> StoreRow:
    """Return the row of a key map with one owner."""
    key_map = KeyMap('registry', (KeyRange(0, 65535, owner, 1000, 1),))
    content = msgspec.msgpack.encode(key_map)
    return StoreRow(OWN_TABLE, ROW_NAME, content, version)


def leader_row(version: int, name: str) -> StoreRow:
    content = msgspec.msgpack.encode(Leadership(name, '10.1.0.2:7', 1))
    return StoreRow(OWN_TABLE, LEADER_ROW, content, version)


def owner_of(view: FleetView) -> str:
    return view.keys_by_service['registry'].key_map.ranges[0].owner


class WholeReadTest(unittest.TestCase):
    """A whole read goes before what is known of the same versions."""

    def setUp(self) -> None:
        self.view = configured_view(ManualClock(), targets=0)

    def test_version_above_that_of_the_store_is_corrected(self) -> None:
        """Each write of a new leader expected a version that no row had."""
        self.view.apply(OWN_TABLE, [map_row(43, 'i-1')], 43)
        self.view.replace(OWN_TABLE, [map_row(42, 'i-1')], 43)
        stored = self.view.rows.by_table_and_name[OWN_TABLE, ROW_NAME]
        self.assertEqual(stored.version, 42)
        self.assertEqual(self.view.keys_by_service['registry'].version, 42)

    def test_content_that_the_store_does_not_have_is_corrected(self) -> None:
        for known, stored, read in ((43, 42, 50), (42, 42, 42), (50, 41, 50)):
            with self.subTest(known=known, stored=stored):
                view = configured_view(ManualClock(), targets=0)
                view.apply(OWN_TABLE, [map_row(known, 'i-9')], known, ELSEWHERE)
                view.replace(OWN_TABLE, [map_row(stored, 'i-1')], read)
                self.assertEqual(owner_of(view), 'i-1')

    def test_leader_row_is_corrected(self) -> None:
        self.view.apply(OWN_TABLE, [leader_row(43, 'edge-2')], 43)
        self.view.replace(OWN_TABLE, [leader_row(42, 'edge-1')], 44)
        assert self.view.leader is not None
        self.assertEqual(self.view.leader[0].instance_id, 'edge-1')
        self.assertEqual(self.view.leader[1], 42)

    def test_row_that_is_newer_than_the_read_stays(self) -> None:
        """It was learnt while the read was under way."""
        self.view.rows.version_by_table[OWN_TABLE] = 40
        self.view.rows.apply(OWN_TABLE, [map_row(45, 'i-2')], 40)
        self.view.replace(OWN_TABLE, [map_row(42, 'i-1')], 44)
        known = self.view.rows.by_table_and_name[OWN_TABLE, ROW_NAME]
        self.assertEqual(known, map_row(45, 'i-2'))

    def test_table_of_another_daemon_replaces_no_newer_row(self) -> None:
        self.view.apply(OWN_TABLE, [map_row(43, 'i-2')], 43)
        self.view.replace(OWN_TABLE, [map_row(42, 'i-1')], 50, ELSEWHERE)
        known = self.view.rows.by_table_and_name[OWN_TABLE, ROW_NAME]
        self.assertEqual(known, map_row(43, 'i-2'))

    def test_removal_that_the_store_does_not_have_is_corrected(self) -> None:
        entry = target_entry()
        self.view.apply(TABLE, [json_row(TABLE, 't0', entry, 20)], 20)
        gone = StoreRow(TABLE, 't0', None, 43)
        self.view.apply(TABLE, [gone], 43, ELSEWHERE)
        self.view.replace(TABLE, [json_row(TABLE, 't0', entry, 20)], 50)
        self.assertEqual(list(self.view.targets.by_id), ['t0'])

    def test_row_that_the_store_does_not_have_is_removed(self) -> None:
        rows = [json_row(TABLE, 't0', target_entry(), 43)]
        self.view.apply(TABLE, rows, 43, ELSEWHERE)
        self.view.replace(TABLE, [], 43)
        self.assertEqual(list(self.view.targets.by_id), [])

    def test_corrected_configuration_row_reverts_no_configuration(self) -> None:
        newer = {**CONFIGURATION, 'version': 'r12'}
        older = {**CONFIGURATION, 'version': 'r9'}
        self.view.apply('op', [json_row('op', 'config', newer, 50)], 50)
        self.view.replace('op', [json_row('op', 'config', older, 40)], 50)
        assert self.view.configuration is not None
        self.assertEqual(self.view.configuration.version, 12)
        row = self.view.rows.by_table_and_name['op', 'config']
        self.assertEqual(row.version, 40)

    def test_forgotten_version_lets_a_late_read_lose_no_row(self) -> None:
        """The version is forgotten when changes of a key map don't apply."""
        self.view.replace(OWN_TABLE, [map_row(45, 'i-2')], 60)
        self.view.rows.version_by_table.pop(OWN_TABLE)
        self.view.replace(OWN_TABLE, [map_row(42, 'i-1')], 50)
        self.assertEqual(owner_of(self.view), 'i-1')

    def test_follower_learns_a_row_whose_version_went_down(self) -> None:
        """It has a version of before, at which it lacked the row."""
        self.view.apply(OWN_TABLE, [map_row(43, 'i-1')], 43)
        self.view.replace(OWN_TABLE, [map_row(41, 'i-1')], 44)
        self.assertIsNone(self.view.rows.changes_since(OWN_TABLE, 42))
        follower = configured_view(ManualClock(), targets=0)
        follower.apply(OWN_TABLE, [], 42)
        rows = self.view.rows.rows_of(OWN_TABLE)
        follower.replace(OWN_TABLE, rows, 44, ELSEWHERE)
        self.assertEqual(owner_of(follower), 'i-1')


class _Store:
    """Rows with the versions of one counter, and their newest one."""

    def __init__(self) -> None:
        self.version = 1
        self.row_by_name: dict[str, StoreRow] = {}

    def change(self, rng: random.Random) -> StoreRow:
        """Write or remove a row; return it as a feed has it."""
        self.version += rng.randrange(1, 4)
        name = f't{rng.randrange(6)}'
        content = None if rng.random() < 0.2 else b'%d' % self.version
        row = StoreRow(TABLE, name, content, self.version)
        self.row_by_name.pop(name, None)
        if content is not None:
            self.row_by_name[name] = row
        return row


def false_row(rng: random.Random, row: StoreRow, newest: int) -> StoreRow:
    """Return a row with a version that is above its own one."""
    version = rng.randrange(row.version, newest + 2)
    content = rng.choice((row.content, b'other'))
    return StoreRow(row.table, row.name, content, version)


class AnyKnowledgeTest(unittest.TestCase):
    """Whatever a replica knows, it has the store's rows after a read."""

    def test_read_corrects_all_that_is_not_newer(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            store, view = _Store(), FleetView(ManualClock())
            for _ in range(60):
                row = store.change(rng)
                if rng.random() < 0.5:
                    view.rows.apply(TABLE, [row], row.version)
                if rng.random() < 0.3:
                    wrong = false_row(rng, row, store.version)
                    view.rows.apply(TABLE, [wrong], store.version)
            # No row is known with a later version than that of this read.
            store.version += 2
            view.replace(TABLE, store.row_by_name.values(), store.version)
            self.assertEqual(
                {row.name: row for row in view.rows.rows_of(TABLE)},
                store.row_by_name,
                seed,
            )

    def test_late_read_loses_nothing_that_is_true(self) -> None:
        """Rows are learnt while a read is under way, in any order."""
        for seed in range(200):
            rng = random.Random(seed)
            store, view = _Store(), FleetView(ManualClock())
            read: tuple[list[StoreRow], int] = ([], 1)
            for _ in range(60):
                row = store.change(rng)
                # A feed has all rows; its version is the newest one.
                view.rows.apply(TABLE, [row], row.version)
                if rng.random() < 0.2:
                    # Changes of a key map that do not apply forget it.
                    view.rows.version_by_table.pop(TABLE, None)
                    view.replace(TABLE, *read)
                if rng.random() < 0.3:
                    read = (list(store.row_by_name.values()), store.version)
                self.assertEqual(
                    {known.name: known for known in view.rows.rows_of(TABLE)},
                    store.row_by_name,
                    seed,
                )


class FalseVersionTest(unittest.TestCase):
    """A version of a table that the store does not have."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        self.view.apply(OWN_TABLE, [map_row(90, 'i-9')], 90, ELSEWHERE)
        self.clock.now += 1

    def read(self, version: int, duration: float = 0.01) -> bool:
        """Read the table whole; return whether it is adopted."""
        began_at = self.clock.boot()
        self.clock.now += duration
        adopted = self.view.replace(
            OWN_TABLE, [map_row(42, 'i-1')], version, began_at=began_at
        )
        self.clock.now += 0.1
        return adopted

    def test_second_read_is_adopted(self) -> None:
        """The table was refused as outdated for as long as the daemon ran."""
        self.assertFalse(self.read(50))
        self.assertEqual(owner_of(self.view), 'i-9')
        with LoggedEvents() as logged:
            self.assertTrue(self.read(50))
        (fields,) = logged.fields('version_disproved')
        self.assertEqual((fields['version'], fields['known']), (50, 90))
        self.assertEqual(owner_of(self.view), 'i-1')
        self.assertEqual(self.view.rows.version_by_table[OWN_TABLE], 50)
        self.assertEqual(self.view.rows.false_versions.count, 1)
        self.assertNotIn(90, self.view.rows.newest_by_table.values())
        self.view.apply(OWN_TABLE, [map_row(51, 'i-2')], 51)
        self.assertEqual(owner_of(self.view), 'i-2')

    def test_false_version_of_a_row_is_corrected_as_well(self) -> None:
        """Such a daemon could not lead until the map was written again."""
        for known in (None, 40):
            with self.subTest(table=known):
                self.setUp()
                self.view.rows.version_by_table.pop(OWN_TABLE)
                if known is not None:
                    self.view.rows.version_by_table[OWN_TABLE] = known
                self.assertFalse(self.read(50))
                self.assertEqual(owner_of(self.view), 'i-9')
                self.assertTrue(self.read(50))
                self.assertEqual(owner_of(self.view), 'i-1')

    def test_rows_that_the_store_does_not_have_are_removed(self) -> None:
        self.view.apply(
            TABLE, [json_row(TABLE, 't0', target_entry(), 90)], 90, ELSEWHERE
        )
        self.clock.now += 1
        for _ in range(2):
            began_at = self.clock.boot()
            self.clock.now += 0.01
            self.view.replace(TABLE, [], 50, began_at=began_at)
            self.clock.now += 0.01
        self.assertEqual(list(self.view.targets.by_id), [])

    def test_read_from_before_the_version_proves_nothing(self) -> None:
        began_at = self.clock.boot()
        self.clock.now += 0.1
        self.view.apply(OWN_TABLE, [map_row(95, 'i-2')], 95)
        for _ in range(4):
            self.clock.now += 0.1
            self.assertFalse(
                self.view.replace(OWN_TABLE, [], 50, began_at=began_at)
            )

    def test_read_from_before_is_not_the_first_of_two(self) -> None:
        began_at = self.clock.boot()
        self.clock.now += 0.1
        self.view.apply(OWN_TABLE, [map_row(95, 'i-2')], 95)
        self.clock.now += 0.1
        self.assertFalse(
            self.view.replace(OWN_TABLE, [], 50, began_at=began_at)
        )
        self.clock.now += 0.1
        self.assertFalse(self.read(50))
        self.assertTrue(self.read(50))

    def test_reads_side_by_side_prove_nothing(self) -> None:
        began_at = self.clock.boot()
        self.clock.now += 0.1
        for _ in range(4):
            self.assertFalse(
                self.view.replace(OWN_TABLE, [], 50, began_at=began_at)
            )

    def test_read_between_that_confirms_the_version_counts(self) -> None:
        """The store had answered by an old state for a moment."""
        self.assertFalse(self.read(50))
        self.assertTrue(self.read(90))
        self.assertFalse(self.read(50))
        self.assertEqual(self.view.rows.version_by_table[OWN_TABLE], 90)

    def test_read_that_is_older_than_the_one_before_proves_nothing(
        self,
    ) -> None:
        self.assertFalse(self.read(50))
        self.assertFalse(self.read(49))
        self.assertTrue(self.read(49))

    def test_older_table_of_another_daemon_proves_nothing(self) -> None:
        for _ in range(4):
            self.clock.now += 1
            self.assertFalse(self.view.replace(OWN_TABLE, [], 50, ELSEWHERE))


def has_configuration(daemon: RigDaemon) -> bool:
    """Return whether the version that is acknowledged last is in force."""
    configuration = daemon.view.configuration
    return configuration is not None and configuration.version == 9


def _teach(daemon: RigDaemon, version: int) -> None:
    """Let a daemon know versions that the store does not have."""
    for table in daemon.view.tables:
        daemon.view.apply(table, [], version, ELSEWHERE)


class FalseVersionsInFleetTest(unittest.TestCase):
    """Daemons that know versions above those of the store."""

    def play(
        self, scenario: Callable[[FaultyFleet], Awaitable[None]], after: float
    ) -> list[float]:
        """Play a scenario; return the ages of all tables some time later."""
        ages: list[float] = []

        async def main(loop: VirtualLoop) -> None:
            rig = Rig(loop, 0, 5)
            with simulated_links(rig):
                await rig.settle()
                fleet = FaultyFleet(rig)
                await scenario(fleet)
                for daemon in rig.daemons:
                    _teach(daemon, rig.rows.version + 10**6)
                await asyncio.sleep(after)
                for _ in range(100):
                    await asyncio.sleep(0.1)
                    ages.extend(
                        one.catch_up.confirmation.age()
                        for one in fleet.living()
                    )
                # Followers have the rows of their leader, if not its versions,
                # and a leader writes the own table itself.
                leader = rig.find_leader()
                for one in [leader] if leader else fleet.living():
                    versions = one.view.rows.version_by_table
                    for table in one.view.tables_of_other_writers:
                        self.assertLessEqual(versions[table], rig.rows.version)
                rig.configure(9)
                times = await rig.measure(has_configuration, CHANGE_LIMIT)
                self.assertLess(max(times), CHANGE_LIMIT)

        run_virtually(main)
        return ages

    def test_tables_are_complete_again_while_none_leads(self) -> None:
        """They counted as complete for good, or never again."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            await asyncio.sleep(2)

        self.assertLess(max(self.play(scenario, 2.0)), 2.0)

    def test_tables_are_complete_again_beside_a_new_leader(self) -> None:
        """No daemon could lead: each refused the own table as outdated."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.rig.leader().kill()

        self.assertLess(max(self.play(scenario, 4.0)), 2.0)

    def test_tables_are_complete_again_beside_the_present_leader(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            await asyncio.sleep(0.5)

        self.assertLess(max(self.play(scenario, 3.0)), 2.0)

    def test_followers_have_what_the_store_has(self) -> None:
        """They got no change up to the false version, as if they knew it."""

        async def main(loop: VirtualLoop) -> None:
            rig = Rig(loop, 0, 5)
            with simulated_links(rig):
                await rig.settle()
                fleet = FaultyFleet(rig)
                fleet.end_leadership()
                rig.configure(9)
                false_version = rig.rows.version + 300
                for one in fleet.living():
                    _teach(one, false_version)
                    fleet.faults(one).refused.clear()
                # It leads by the store's tables, and the others have theirs.
                rig.configure(9)
                await asyncio.sleep(6)
                leader = rig.leader()
                for one in fleet.living():
                    self.assertTrue(has_configuration(one), one.machine.name)
                    for table in one.view.tables_of_other_writers:
                        self.assertEqual(
                            sorted(one.view.rows.rows_of(table), key=_name),
                            sorted(leader.view.rows.rows_of(table), key=_name),
                        )
                        self.assertLess(
                            one.view.rows.version_by_table[table],
                            false_version,
                        )

        run_virtually(main)


def _name(row: StoreRow) -> str:
    return row.name


if __name__ == '__main__':
    unittest.main()
