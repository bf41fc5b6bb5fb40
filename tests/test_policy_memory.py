"""Tests of the memory budget of bodies."""

import unittest

from cassialever.policy.memory import (
    CONNECTION_BYTES,
    DEFAULT_MEMORY_MB,
    SHORT_BODY_BYTES,
    MemoryBudget,
    MemoryClaim,
    MemoryWait,
)

#: The longest body that deployments in force allow.
MAX_BODY_BYTES = 67108864


class MemoryBudgetTest(unittest.TestCase):
    """Claims, their release, and those that wait."""

    def setUp(self) -> None:
        self.budget = MemoryBudget(10)
        self.granted: list[int] = []

    def wait(self, size: int) -> MemoryWait:
        waiting = MemoryWait(
            MemoryClaim(self.budget), size, lambda: self.granted.append(size)
        )
        self.assertTrue(self.budget.wait(waiting))
        return waiting

    def test_budget_follows_from_the_memory(self) -> None:
        self.assertAlmostEqual(self.budget.total, 4_000_000)
        self.assertEqual(
            MemoryBudget(0).total, MemoryBudget(DEFAULT_MEMORY_MB).total
        )

    def test_smallest_process_takes_the_longest_body(self) -> None:
        claim = MemoryClaim(MemoryBudget(200))
        self.assertTrue(claim.grow(MAX_BODY_BYTES))

    def test_claims_of_all_requests_share_one_budget(self) -> None:
        first, second = MemoryClaim(self.budget), MemoryClaim(self.budget)
        self.assertTrue(first.grow(3_000_000))
        self.assertFalse(second.grow(1_000_000))
        self.assertEqual(self.budget.refused_count, 1)
        first.release()
        self.assertTrue(second.grow(1_000_000))
        self.assertEqual(self.budget.held, 1_000_000)

    def test_long_bodies_leave_room_for_short_ones(self) -> None:
        long = MemoryClaim(self.budget)
        while long.grow(SHORT_BODY_BYTES):
            continue
        self.assertTrue(MemoryClaim(self.budget).grow(SHORT_BODY_BYTES))

    def test_released_claim_does_not_grow(self) -> None:
        claim = MemoryClaim(self.budget)
        claim.release()
        self.assertFalse(claim.grow(1))
        self.assertEqual(self.budget.held, 0)

    def test_no_more_is_given_back_than_was_held(self) -> None:
        claim = MemoryClaim(self.budget)
        claim.grow(10)
        claim.shrink(11)
        claim.release()
        self.assertEqual(self.budget.held, 0)

    def test_waiting_claims_are_granted_in_their_order(self) -> None:
        first = MemoryClaim(self.budget)
        first.grow(3_000_000)
        self.wait(2_000_000)
        self.wait(1_500_000)
        self.wait(1_000_000)
        first.release()
        self.assertEqual(self.granted, [2_000_000, 1_000_000])

    def test_one_that_waits_no_longer_is_not_granted(self) -> None:
        first = MemoryClaim(self.budget)
        first.grow(3_000_000)
        self.budget.stop_waiting(self.wait(2_000_000))
        first.release()
        self.assertEqual(self.granted, [])
        self.assertEqual(self.budget.held, 0)

    def test_body_over_the_whole_budget_does_not_wait(self) -> None:
        claim = MemoryClaim(self.budget)
        waiting = MemoryWait(claim, 4_000_000, self.granted.clear)
        self.assertFalse(self.budget.wait(waiting))

    def test_body_that_grows_over_the_whole_budget_does_not_wait(self) -> None:
        claim = MemoryClaim(self.budget)
        claim.grow(3_400_000)
        waiting = MemoryWait(claim, 200_000, self.granted.clear)
        self.assertFalse(self.budget.wait(waiting))

    def test_those_that_wait_fit_into_the_buffers(self) -> None:
        while self.budget.wait(
            MemoryWait(MemoryClaim(self.budget), 1, self.granted.clear)
        ):
            self.granted.append(CONNECTION_BYTES)
        self.assertLessEqual(sum(self.granted), 2_000_000 + CONNECTION_BYTES)
