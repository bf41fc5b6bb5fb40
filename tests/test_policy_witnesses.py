"""Tests of the targets that a daemon reaches and others miss."""

import unittest

from cassialever.policy.witnesses import (
    DRAW_INTERVAL,
    EVIDENCE_AGE,
    LISTING_AGE,
    MEAN_WITNESSES,
)
from tests.test_policy_paths import TARGETS, new_paths

TARGET = TARGETS[0]
#: Daemons of a large fleet.
DAEMONS = 85


class ReachedTest(unittest.TestCase):
    """What a daemon tells others of the targets that they miss."""

    def setUp(self) -> None:
        self.paths = new_paths()
        self.witness = self.paths.witness

    def test_answer_after_the_listing_counts(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.paths.record_answer(TARGET, 10.2)
        self.assertEqual(self.witness.reached(10.3), [TARGET])

    def test_connection_after_the_listing_counts(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.paths.record_probe_success(TARGET, 10.2)
        self.assertEqual(self.witness.reached(10.3), [TARGET])

    def test_answer_before_the_listing_tells_nothing(self) -> None:
        """The target may have ended in between."""
        self.paths.record_answer(TARGET, 9.99)
        self.witness.note_listed([TARGET], 10)
        self.assertEqual(self.witness.reached(10.1), [])

    def test_reports_that_repeat_a_target_are_one_listing(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.paths.record_answer(TARGET, 10.2)
        self.witness.note_listed([TARGET], 10.4)
        self.assertEqual(self.witness.reached(10.5), [TARGET])

    def test_listing_after_a_pause_is_a_new_one(self) -> None:
        self.witness.note_listed([TARGET], 10)
        moment = 10 + LISTING_AGE
        self.paths.record_answer(TARGET, moment - 0.1)
        self.witness.note_listed([TARGET], moment)
        self.assertEqual(self.witness.reached(moment), [])

    def test_evidence_and_listings_end(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.paths.record_answer(TARGET, 10.2)
        self.assertEqual(self.witness.reached(10.2 + EVIDENCE_AGE), [])
        self.paths.record_answer(TARGET, 10 + LISTING_AGE)
        self.assertEqual(self.witness.reached(10 + LISTING_AGE), [])

    def test_target_that_this_daemon_misses_too_is_not_reached(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.paths.record_answer(TARGET, 10.2)
        self.paths.record_failure(TARGET, 10.3)
        self.assertEqual(self.witness.reached(10.3), [])

    def test_listings_that_are_over_are_forgotten(self) -> None:
        self.witness.note_listed([TARGET], 10)
        self.witness.prune(10 + LISTING_AGE)
        self.assertEqual(self.witness._listing_by_id, {})


class DrawTest(unittest.TestCase):
    """Which daemons try a target, and tell at once that they reach it."""

    def setUp(self) -> None:
        self.daemons = [new_paths(seed) for seed in range(DAEMONS)]
        for paths in self.daemons:
            paths.witness.note_listed([TARGET], 10)

    def due(self, now: float) -> int:
        """Return how many daemons try the target now."""
        return sum(
            len(paths.witness.due_trials(DAEMONS, now))
            for paths in self.daemons
        )

    def test_few_daemons_try_it_each_second(self) -> None:
        draws = 40
        for paths in self.daemons:
            for step in range(draws):
                paths.witness.note_listed([TARGET], 10 + step * DRAW_INTERVAL)
        due = sum(self.due(10 + step * DRAW_INTERVAL) for step in range(draws))
        self.assertAlmostEqual(due / draws, MEAN_WITNESSES, delta=1)
        self.assertEqual(self.due(10 + (draws - 1) * DRAW_INTERVAL), 0)

    def test_all_daemons_of_a_small_fleet_do(self) -> None:
        for paths in self.daemons[:MEAN_WITNESSES]:
            self.assertEqual(
                paths.witness.due_trials(MEAN_WITNESSES, 10), [TARGET]
            )

    def test_daemon_that_reaches_or_misses_it_does_not_try_it(self) -> None:
        reaching, missing = self.daemons[:2]
        reaching.record_answer(TARGET, 10.1)
        missing.record_failure(TARGET, 10.1)
        for paths in (reaching, missing):
            self.assertEqual(paths.witness.due_trials(1, 10.2), [])

    def test_witness_tells_once_that_it_reaches_it(self) -> None:
        paths = self.daemons[0]
        self.assertEqual(paths.witness.due_trials(1, 10), [TARGET])
        self.assertFalse(paths.witness.take_news(10.1))
        paths.record_probe_success(TARGET, 10.2)
        self.assertTrue(paths.witness.take_news(10.3))
        self.assertFalse(paths.witness.take_news(10.4))

    def test_others_wait_for_their_next_report(self) -> None:
        paths = self.daemons[0]
        self.assertEqual(paths.witness.due_trials(1_000_000, 10), [])
        paths.record_answer(TARGET, 10.2)
        self.assertFalse(paths.witness.take_news(10.3))

    def test_failed_trials_for_others_show_no_cut(self) -> None:
        """A daemon without requests has no answer in between."""
        paths = new_paths()
        for target_id in TARGETS[:6]:
            paths.direct.record_doubt(target_id, 10, is_for_others=True)
            paths.record_failure(target_id, 10.1)
        self.assertEqual(len(paths.direct.down(10.2)), 6)
        self.assertFalse(paths.is_cut_off(11))


if __name__ == '__main__':
    unittest.main()
