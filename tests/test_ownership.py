"""Tests of key ownership under faults, and of the checks themselves."""

import unittest

from tests import matrix
from tests.ownership_faults import (
    run_faults,
    run_long_partition,
    run_random_faults,
    run_release_after_unanswered_grant,
    run_unanswered_takeover,
    run_unnamed_renewals,
)
from tests.ownership_rules import PATCHES_BY_RULE, without_rule

#: Number of seeds that are tried until the removal of a rule is detected.
SEEDS = 60


def is_detected(rule: str) -> bool:
    """Return whether any check fails while a rule is removed."""
    with without_rule(rule):
        if run_long_partition().violations:
            return True
        if run_unanswered_takeover().violations:
            return True
        if run_release_after_unanswered_grant().violations:
            return True
        if run_unnamed_renewals().violations:
            return True
        if run_faults([('target restarts, reported late', 0.5)]).violations:
            return True
        for seed in range(SEEDS):
            try:
                run_random_faults(seed)
            except AssertionError:
                return True
    return False


class RulesTest(unittest.TestCase):
    """Each safety rule is needed, and the checks detect its removal."""

    def test_removal_of_each_rule_is_detected(self) -> None:
        for rule in PATCHES_BY_RULE:
            with self.subTest(rule=rule):
                self.assertTrue(is_detected(rule))

    def test_long_partition_of_a_leader(self) -> None:
        self.assertEqual(run_long_partition().violations, [])

    def test_restarts_after_grants_without_an_answer(self) -> None:
        self.assertEqual(run_unanswered_takeover().violations, [])

    def test_renewals_of_the_build_before_that_name_no_target(self) -> None:
        self.assertEqual(run_unnamed_renewals().violations, [])

    def test_release_after_a_grant_without_an_answer(self) -> None:
        self.assertEqual(run_release_after_unanswered_grant().violations, [])


class MatrixTest(unittest.TestCase):
    """A sample of the cells of `make matrix`."""

    def test_each_fault_alone(self) -> None:
        for faults in list(matrix.singles())[::5]:
            with self.subTest(faults=faults):
                cell = matrix.run_cell(faults)
                self.assertTrue(cell.passed(), cell.outcome)

    def test_two_faults(self) -> None:
        for faults in list(matrix.pairs())[::7]:
            with self.subTest(faults=faults):
                cell = matrix.run_cell(faults)
                self.assertTrue(cell.passed(), cell.outcome)


if __name__ == '__main__':
    unittest.main()
