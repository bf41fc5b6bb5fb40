"""Tests of since when requests meet owners that have ended."""

import unittest

import msgspec

from cassialever.policy.ended_owners import MAX_AGE, MAX_OWNERS, EndedOwners
from tests.fleet_helpers import ManualClock, configured_view

OWNER = configured_view(ManualClock()).targets.by_id['t0']


class EndedOwnersTest(unittest.TestCase):
    """The time since the first request met an owner."""

    def setUp(self) -> None:
        self.owners = EndedOwners()

    def test_time_counts_from_the_first_request(self) -> None:
        for now, since in ((1.0, 0.0), (1.5, 0.5), (9.0, 8.0)):
            self.assertEqual(self.owners.record_met(OWNER, now), since)

    def test_each_life_counts_alone(self) -> None:
        self.owners.record_met(OWNER, 1.0)
        reborn = msgspec.structs.replace(OWNER, started_at=OWNER.started_at + 1)
        self.assertEqual(self.owners.record_met(reborn, 2.0), 0)

    def test_owners_are_forgotten(self) -> None:
        self.owners.record_met(OWNER, 1.0)
        self.owners.prune(MAX_AGE)
        self.assertEqual(self.owners.record_met(OWNER, MAX_AGE), MAX_AGE - 1)
        self.owners.prune(2 * MAX_AGE)
        self.assertEqual(self.owners.record_met(OWNER, 2 * MAX_AGE), 0)

    def test_number_is_bounded(self) -> None:
        for number in range(MAX_OWNERS + 100):
            other = msgspec.structs.replace(OWNER, started_at=number)
            self.owners.record_met(other, 1.0)
        self.assertEqual(len(self.owners._meeting_by_life), MAX_OWNERS)


if __name__ == '__main__':
    unittest.main()
