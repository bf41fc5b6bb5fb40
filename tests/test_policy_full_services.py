"""Tests of how requests that wait look for a target while all are full."""

import random
import unittest
from unittest import mock

from cassialever.fleet.model import RequestKind, Target
from cassialever.policy.full_services import (
    FULL_PERIOD,
    MAX_ENTRIES,
    FullServices,
)
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import (
    NoTargetReason,
    PlacementRequest,
    TargetSelector,
)
from cassialever.policy.refusal import POLL_INTERVAL
from cassialever.policy.subsets import TargetSubsets
from tests.fleet_helpers import ManualClock, add_targets, configured_view

REQUEST = PlacementRequest('issuance', RequestKind.safe, -1, 0.6)
TARGETS = 40
#: Requests that wait during a burst, and how long, in seconds.
WAITING = 50
BURST = 0.3


class FullServicesTest(unittest.TestCase):
    """What is remembered, and for how long."""

    def test_look_counts_for_the_same_objective_only(self) -> None:
        full = FullServices()
        full.note('issuance', 0.6, 10.0)
        self.assertTrue(full.is_full('issuance', 0.6, 10.0))
        self.assertFalse(full.is_full('issuance', 0.7, 10.0))
        self.assertFalse(full.is_full('audit', 0.6, 10.0))

    def test_look_counts_no_longer_than_a_request_waits(self) -> None:
        full = FullServices()
        full.note('issuance', 0.6, 10.0)
        self.assertFalse(full.is_full('issuance', 0.6, 10.0 + FULL_PERIOD))
        self.assertLessEqual(FULL_PERIOD, POLL_INTERVAL)

    def test_entries_are_bounded(self) -> None:
        full = FullServices()
        for number in range(10 * MAX_ENTRIES):
            full.note('issuance', number, 10.0)
        self.assertLessEqual(len(full._until), MAX_ENTRIES)


class BurstTest(unittest.TestCase):
    """A burst, in which many requests wait for 40 full targets."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        self.names = [f't{number}' for number in range(TARGETS)]
        add_targets(self.view, self.names, 'issuance')
        self.loads = LoadTracker()
        self.selector = TargetSelector(
            self.view,
            self.loads,
            PermitLimiter(),
            TargetSubsets('edge-1', 'astana-a'),
            random.Random(4),
        )
        for name in self.names:
            for _ in range(40):
                self.loads.of(name).record_open()

    def test_one_look_serves_for_all_requests_that_wait(self) -> None:
        with mock.patch.object(
            self.selector, '_rejection', wraps=self.selector._rejection
        ) as look:
            now = 0.0
            while now < BURST:
                for _ in range(WAITING):
                    found = self.selector.choose(REQUEST, now)
                    self.assertIs(found, NoTargetReason.full)
                now += POLL_INTERVAL
        looks = BURST / FULL_PERIOD + 1
        # A subset, a sample and all targets at each look.
        self.assertLessEqual(look.call_count, looks * 2 * TARGETS)

    def test_slot_that_is_freed_is_found_by_the_next_look(self) -> None:
        self.selector.choose(REQUEST, 0.0)
        for _ in range(40):
            self.loads.of('t17').record_close()
        chosen = self.selector.choose(REQUEST, FULL_PERIOD)
        assert isinstance(chosen, Target)
        self.assertEqual(chosen.target_id, 't17')

    def test_second_try_does_not_decide_for_the_others(self) -> None:
        """The targets that are left for it are full, and others may not be."""
        for _ in range(40):
            self.loads.of('t17').record_close()
        tried = PlacementRequest(
            'issuance', RequestKind.safe, -1, 0.6, frozenset(('t17',))
        )
        self.assertIs(self.selector.choose(tried, 0.0), NoTargetReason.full)
        chosen = self.selector.choose(REQUEST, 0.0)
        assert isinstance(chosen, Target)


if __name__ == '__main__':
    unittest.main()
