"""Tests of the evidence from exchanges that broke after connecting."""

import unittest

from cassialever.policy.direct_paths import EVIDENCE_LIFETIME
from cassialever.policy.exchange_evidence import (
    CONFIRMATION_DELAY,
    TRIAL_INTERVAL,
)
from tests.test_policy_paths import (
    HERE,
    TARGETS,
    THERE,
    helper_ids,
    new_paths,
    report,
)

#: When the first exchange breaks, and when that counts.
BROKEN_AT = 10.0
CONFIRMED_AT = BROKEN_AT + CONFIRMATION_DELAY


class AcceptedResetTest(unittest.TestCase):
    """Connections are made, and then reset before an answer comes."""

    def setUp(self) -> None:
        self.paths = new_paths()
        self.paths.reports.record(report('d1'))

    def break_exchanges(self, count: int = 3, now: float = BROKEN_AT) -> None:
        """Break an exchange with each of some targets of two data centres."""
        for number, target_id in enumerate(TARGETS[:count]):
            data_centre = THERE if number % 2 else HERE
            self.paths.record_broken(target_id, data_centre, now)

    def test_a_daemon_whose_connections_are_reset_is_not_cut_off(self) -> None:
        self.break_exchanges()
        for target_id in TARGETS[:3]:
            self.paths.direct.record_probe_success(target_id, 10.01)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT - 0.01))
        self.assertTrue(self.paths.is_cut_off(CONFIRMED_AT))
        self.assertFalse(self.paths.is_reachable(TARGETS[9], CONFIRMED_AT))
        self.assertEqual(
            helper_ids(self.paths, TARGETS[9], CONFIRMED_AT), {'d1'}
        )

    def test_few_targets_are_taken_for_a_cut(self) -> None:
        self.break_exchanges(count=2)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT))

    def test_a_lost_data_centre_is_taken_for_a_cut(self) -> None:
        for target_id in TARGETS[:9]:
            self.paths.record_broken(target_id, THERE, BROKEN_AT)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT))

    def test_full_targets_are_taken_for_a_cut(self) -> None:
        """A request that was sent before is still open, and then answered."""
        self.paths.record_sent(TARGETS[30], 'a1', BROKEN_AT - 1)
        self.break_exchanges(count=20)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT))
        self.paths.unanswered.record_end(TARGETS[30], 'a1')
        self.paths.record_answer(TARGETS[30], CONFIRMED_AT)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT))

    def test_targets_that_answer_meanwhile_are_taken_for_a_cut(self) -> None:
        self.break_exchanges(count=2)
        self.paths.record_answer(TARGETS[30], BROKEN_AT + 0.1)
        self.break_exchanges(count=2, now=BROKEN_AT + 0.2)
        self.paths.record_broken(TARGETS[5], HERE, BROKEN_AT + 0.2)
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT + 0.1))
        self.assertTrue(self.paths.is_cut_off(CONFIRMED_AT + 0.2))

    def test_targets_that_no_daemon_reaches_are_taken_for_a_cut(self) -> None:
        self.paths.reports.record(report('d1', unreachable=(TARGETS[0],)))
        self.paths.reports.record(report('d2', is_cut_off=True))
        self.paths.reports.record(report('d3', is_stopping=True))
        self.break_exchanges()
        self.assertFalse(self.paths.is_cut_off(CONFIRMED_AT))

    def test_daemons_cut_off_together_ask_each_other(self) -> None:
        """What a daemon reports does not wait for reports of others."""
        alone = new_paths()
        for target_id in TARGETS[:3]:
            alone.record_broken(target_id, HERE, BROKEN_AT)
        alone.record_broken(TARGETS[3], THERE, BROKEN_AT)
        self.assertFalse(alone.is_cut_off(CONFIRMED_AT))
        self.assertTrue(alone.failed_without_answer(CONFIRMED_AT))

    def test_a_cut_by_resets_never_ends(self) -> None:
        """One request a second tries a target, and its answer ends the cut."""
        self.break_exchanges()
        trials = 0
        for step in range(100):
            now = CONFIRMED_AT + step / 20
            self.assertTrue(self.paths.is_cut_off(now))
            if self.paths.is_trial_due(TARGETS[4], now):
                trials += 1
                self.paths.record_sent(TARGETS[4], 'a1', now)
                self.assertFalse(self.paths.is_trial_due(TARGETS[5], now))
                self.paths.unanswered.record_end(TARGETS[4], 'a1')
                self.paths.record_broken(TARGETS[4], HERE, now)
        self.assertEqual(trials, 5 / TRIAL_INTERVAL)
        self.paths.record_answer(TARGETS[4], now)
        self.assertFalse(self.paths.is_cut_off(now))
        self.assertTrue(self.paths.is_reachable(TARGETS[9], now))

    def test_no_trial_goes_where_connecting_fails(self) -> None:
        self.break_exchanges()
        self.paths.record_failure(TARGETS[4], BROKEN_AT)
        self.assertFalse(self.paths.is_trial_due(TARGETS[4], CONFIRMED_AT))
        self.assertTrue(self.paths.is_trial_due(TARGETS[5], CONFIRMED_AT))

    def test_evidence_decays(self) -> None:
        self.break_exchanges()
        now = BROKEN_AT + EVIDENCE_LIFETIME
        self.assertFalse(self.paths.is_cut_off(now))
        self.break_exchanges(count=1, now=now)
        self.assertFalse(self.paths.is_cut_off(now + CONFIRMATION_DELAY))


if __name__ == '__main__':
    unittest.main()
