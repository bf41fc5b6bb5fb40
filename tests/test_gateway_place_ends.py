"""Tests of places on the request path: choosing, using, giving back."""

import random
import unittest
from unittest import mock

from cassialever.fleet.model import RequestKind, Target
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
    refused,
)
from cassialever.gateway.place_ends import PlaceEnds
from cassialever.platform.wire import ReportedLoad
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import (
    NoTargetReason,
    PlacementRequest,
    TargetSelector,
)
from cassialever.policy.slot_keeper import PlaceReport
from cassialever.policy.subsets import TargetSubsets
from tests.fleet_helpers import ManualClock, add_targets, configured_view

SERVICE = 'issuance'
REQUEST = PlacementRequest(SERVICE, RequestKind.unsafe, -1, 0.6)


class PlaceEndsTest(unittest.TestCase):
    """One daemon, its choice of targets and the ends of its requests."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        add_targets(self.view, ['t0', 't1'], SERVICE)
        self.loads = LoadTracker()
        self.selector = TargetSelector(
            self.view,
            self.loads,
            PermitLimiter(),
            TargetSubsets('edge-1', 'astana-a'),
            random.Random(3),
        )
        self.shares = self.selector.shares
        self.shares.daemon_count = 9
        self.shares.send = self.sent = mock.Mock()
        self.ends = PlaceEnds(self.clock)
        self.ends.connect(self.shares, self.view, self.loads)
        self.target = self.view.targets.by_id['t0']

    def end(self, attempt: Attempt, place: int | None = None) -> None:
        with self.ends.ending(self.target, place) as ending:
            self.clock.now += 0.3
            ending.attempt = attempt

    def contend(self) -> None:
        for _ in range(2):
            self.end(refused('full', TargetRefusal.shed))

    def choose(self) -> Target | NoTargetReason:
        return self.selector.choose(REQUEST, self.clock.now)

    def test_request_in_calm_needs_no_place(self) -> None:
        self.assertIsInstance(self.choose(), Target)
        self.assertIsNone(self.shares.take('t0'))
        self.sent.assert_not_called()

    def test_request_in_contention_waits_for_its_place(self) -> None:
        self.contend()
        self.assertIs(self.choose(), NoTargetReason.full)
        target_id, report = self.sent.call_args.args
        self.assertEqual(report, PlaceReport(1))
        self.shares.waiting_by_service[SERVICE] = 1
        self.shares.add_places(target_id, (4,), 0, self.clock.now)
        chosen = self.choose()
        self.assertIsInstance(chosen, Target)
        self.assertEqual(chosen.target_id, target_id)
        self.assertEqual(self.shares.take(target_id), 4)
        self.assertIs(self.choose(), NoTargetReason.full)

    def test_no_place_is_asked_for_where_a_permit_is_needed(self) -> None:
        self.contend()
        cold = mock.patch.object(
            type(self.view.targets), 'is_cold', return_value=True
        )
        with cold:
            self.choose()
        self.sent.assert_not_called()

    def test_place_counts_more_than_what_others_had_open(self) -> None:
        """Their reports are older than the keeper's count."""
        self.contend()
        for name in ('t0', 't1'):
            self.loads.set_peer_load(name, {name: 40})
        self.choose()
        self.shares.waiting_by_service[SERVICE] = 1
        target_id, _ = self.sent.call_args.args
        self.shares.add_places(target_id, (4,), 0, self.clock.now)
        self.assertIsInstance(self.choose(), Target)

    def test_answer_gives_its_place_back_with_what_it_shows(self) -> None:
        attempt = Attempt(AttemptOutcome.answered, Answer('t0', 200, [], b''))
        with self.ends.ending(self.target, 4) as ending:
            self.clock.now += 0.5
            report = ReportedLoad(6, 2, 6, 1)
            self.loads.of('t0').record_report(report, self.clock.now)
            ending.attempt = attempt
        target_id, report = self.sent.call_args.args
        self.assertEqual((target_id, report.released), ('t0', (4,)))
        self.assertAlmostEqual(report.latency, 0.5)
        self.assertEqual(report.requests, 8)

    def test_report_from_before_a_request_tells_nothing(self) -> None:
        self.loads.of('t0').record_report(ReportedLoad(6, 2, 6, 1), 50)
        self.end(refused('full', TargetRefusal.shed), 4)
        self.sent.assert_called_with('t0', PlaceReport(0, (4,)))

    def test_request_that_is_cancelled_gives_its_place_back(self) -> None:
        with self.assertRaises(KeyError), self.ends.ending(self.target, 4):
            raise KeyError
        self.sent.assert_called_with('t0', PlaceReport(0, (4,)))

    def test_contended_owner_of_keys_binds_for_itself_only(self) -> None:
        add_targets(self.view, ['k0', 'k1'], 'registry')
        owner, other = (self.view.targets.by_id[one] for one in ('k0', 'k1'))
        for _ in range(2):
            with self.ends.ending(owner, None) as ending:
                ending.attempt = refused('full', TargetRefusal.shed)
        self.assertTrue(self.shares.needs_place(owner, self.clock.now))
        self.assertFalse(self.shares.needs_place(other, self.clock.now))


if __name__ == '__main__':
    unittest.main()
