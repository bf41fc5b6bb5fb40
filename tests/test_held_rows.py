"""Rows of other writers that the store shows as they were earlier."""

import unittest

from cassialever.fleet.held_rows import HOLD_TIME, RESTORE_TIME
from cassialever.fleet.model import StoreRow, TargetState
from tests.fleet_helpers import (
    CONFIGURATION,
    ManualClock,
    configured_view,
    json_row,
    target_entry,
)

TABLE = 'servers'
LEADER = 'the leader at 10.1.0.2:7'


def report(number: int, version: int, state: str = 'ready') -> StoreRow:
    """Return the row with a report of a target."""
    entry = target_entry(state=state)
    entry['status']['sequence'] = number
    return json_row(TABLE, 't0', entry, version)


class EarlierRowTest(unittest.TestCase):
    """Two reads of the store are older than what is known."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        self.view.apply(TABLE, [report(9, 85, 'draining')], 90)
        self.clock.now += 1

    def read(self, rows: list[StoreRow], version: int) -> None:
        """Read the table twice."""
        for _ in range(2):
            began_at = self.clock.boot()
            self.clock.now += 0.01
            self.view.replace(TABLE, rows, version, began_at=began_at)
            self.clock.now += 0.01

    def state(self) -> TargetState:
        return self.view.targets.by_id['t0'].state

    def test_target_that_leaves_is_not_ready_again(self) -> None:
        self.read([report(8, 40)], 50)
        self.assertIs(self.state(), TargetState.draining)
        self.assertEqual(self.view.rows.version_by_table[TABLE], 50)

    def test_later_report_with_a_lower_version_is_taken(self) -> None:
        self.read([report(8, 40)], 50)
        self.view.apply(TABLE, [report(10, 51)], 51)
        self.assertIs(self.state(), TargetState.ready)

    def test_later_report_is_taken_though_another_has_its_version(self) -> None:
        self.view.apply(TABLE, [report(10, 85)], 90, LEADER)
        self.assertIs(self.state(), TargetState.ready)
        self.view.apply(TABLE, [report(11, 60, 'draining')], 90, LEADER)
        self.assertIs(self.state(), TargetState.draining)

    def test_earlier_report_with_a_later_version_is_not_taken(self) -> None:
        """Reads that are behind show it some time after."""
        self.read([report(7, 40)], 50)
        self.view.apply(TABLE, [report(8, 60)], 60)
        self.assertIs(self.state(), TargetState.draining)

    def test_no_count_is_believed_for_long(self) -> None:
        """Another writer may have written any."""
        self.read([report(7, 40)], 50)
        self.clock.now += HOLD_TIME
        self.view.apply(TABLE, [report(8, 60)], 60)
        self.assertIs(self.state(), TargetState.ready)

    def test_next_process_of_the_target_is_taken(self) -> None:
        self.read([report(8, 40)], 50)
        entry = target_entry(born=2000)
        entry['status']['sequence'] = 1
        self.view.apply(TABLE, [json_row(TABLE, 't0', entry, 51)], 51)
        self.assertIs(self.state(), TargetState.ready)

    def test_target_that_is_gone_gets_nothing_more(self) -> None:
        """Its removal may have got a version that was lost."""
        self.read([], 50)
        self.assertEqual(list(self.view.targets.by_id), [])

    def lose_evacuation(self) -> None:
        """Have the store lack the row of a data centre that is out."""
        row = StoreRow('op', 'evacuate/astana-a', b'{}', 85)
        self.view.apply('op', [row], 90)
        self.clock.now += 1
        configuration = json_row('op', 'config', CONFIGURATION, 1)
        for _ in range(2):
            began_at = self.clock.boot()
            self.clock.now += 0.01
            self.view.replace('op', [configuration], 50, began_at=began_at)
            self.clock.now += 0.01
        self.assertIn('astana-a', self.view.targets.evacuated)

    def test_data_centre_stays_out_until_operators_had_time(self) -> None:
        self.lose_evacuation()
        self.clock.now += RESTORE_TIME
        self.view.apply('op', [], 52)
        self.assertNotIn('astana-a', self.view.targets.evacuated)

    def test_data_centre_that_is_taken_out_again_stays_out(self) -> None:
        self.lose_evacuation()
        again = StoreRow('op', 'evacuate/astana-a', b'{}', 52)
        self.view.apply('op', [again], 52)
        self.clock.now += RESTORE_TIME
        self.view.apply('op', [], 53)
        self.assertIn('astana-a', self.view.targets.evacuated)

    def test_rows_that_count_nothing_go_by_their_versions(self) -> None:
        entry = target_entry(state='draining')
        entry['status']['sequence'] = 'many'
        self.read([json_row(TABLE, 't0', entry, 40)], 50)
        self.assertEqual(self.view.rows.version_by_table[TABLE], 50)
        self.view.apply(TABLE, [report(1, 51)], 51)
        self.assertIs(self.state(), TargetState.draining)
        self.clock.now += HOLD_TIME
        self.view.apply(TABLE, [report(1, 52)], 52)
        self.assertIs(self.state(), TargetState.ready)


class CatchingUpTest(unittest.TestCase):
    """Followers that lack what was written at versions that were lost."""

    def test_history_ends_where_versions_were_given_again(self) -> None:
        """A follower at such a version got the changes after it alone."""
        clock = ManualClock()
        view = configured_view(clock, targets=0)
        view.apply(TABLE, [report(9, 85)], 90)
        clock.now += 1
        for _ in range(2):
            began_at = clock.boot()
            clock.now += 0.01
            view.replace(TABLE, [report(8, 40)], 50, began_at=began_at)
            clock.now += 0.01
        view.apply(TABLE, [report(10, 88)], 95)
        self.assertIsNone(view.rows.changes_since(TABLE, 90))
        self.assertEqual(view.rows.changes_since(TABLE, 95), [])

    def test_older_table_of_a_leader_is_doubted(self) -> None:
        view = configured_view(ManualClock(), targets=0)
        view.apply(TABLE, [report(9, 85)], 90)
        self.assertFalse(view.replace(TABLE, [report(8, 40)], 50, LEADER))
        self.assertTrue(view.rows.false_versions.is_doubted(TABLE))


if __name__ == '__main__':
    unittest.main()
