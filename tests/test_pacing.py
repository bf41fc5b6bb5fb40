"""Tests of cassialever.pacing."""

import random
import unittest

from cassialever.pacing import Backoff, Budget


class TestBudget(unittest.TestCase):
    """The hard limit of operations."""

    def test_no_second_has_more_than_its_operations(self) -> None:
        """Whatever the demand, each second stays inside the budget."""
        for per_second in (1, 2, 5, 20, 50):
            source = random.Random(per_second)
            budget = Budget(per_second)
            now = 0.0
            starts = []
            for _ in range(600):
                now += source.expovariate(per_second * 2)
                wait = budget.reserve(now, longest=0.5)
                if wait is not None:
                    starts.append(now + wait)
            for start in starts:
                # Instants are sums of floats; the last digits may be off.
                end = start + 1 - 1e-9
                within = [one for one in starts if start <= one < end]
                self.assertLessEqual(len(within), per_second)
            rate = len(starts) / now
            self.assertGreater(rate, per_second * 0.6)

    def test_a_wait_that_is_too_long_takes_no_turn(self) -> None:
        """What is refused does not put off the others."""
        budget = Budget(1)
        self.assertEqual(0, budget.reserve(0, longest=0))
        self.assertIsNone(budget.reserve(0.5, longest=0.4))
        self.assertEqual(0, budget.reserve(1, longest=0))


class TestBackoff(unittest.TestCase):
    """Retries while the table is down."""

    def test_tries_grow_rare_and_never_stop(self) -> None:
        """In a long outage a daemon asks every two seconds at most."""
        backoff = Backoff(0.1, 2, random.Random(1))
        now, tries = 0.0, 0
        backoff.failed(now)
        while now < 600:
            now += backoff.wait(now)
            backoff.tried(now)
            tries += 1
            backoff.failed(now)
        self.assertTrue(300 <= tries <= 610, tries)

    def test_daemons_return_at_different_times(self) -> None:
        """After an outage no tenth of a second has many daemons' tries."""
        tries = [0] * 20
        for seed in range(1000):
            backoff = Backoff(0.1, 2, random.Random(seed))
            now = 0.0
            while now < 60:
                backoff.failed(now)
                now += backoff.wait(now)
                backoff.tried(now)
            tries[int((now - 60) * 10)] += 1
        self.assertLess(max(tries), 150)

    def test_one_operation_tries_for_all(self) -> None:
        """While one operation tries, the others go on waiting."""
        backoff = Backoff(0.1, 2, random.Random(1))
        backoff.failed(0)
        backoff.failed(0)
        first = backoff.wait(0)
        self.assertLessEqual(first, 0.1)
        backoff.tried(first)
        self.assertEqual(2, backoff.wait(first))
        backoff.succeeded()
        self.assertEqual(0, backoff.wait(first))

    def test_flapping_keeps_most_of_the_delay(self) -> None:
        """One answer does not make a failing table well."""
        backoff = Backoff(0.1, 100, random.Random(1))
        now = 0.0
        for _ in range(8):
            backoff.failed(now)
            now += backoff.wait(now)
            backoff.tried(now)
        backoff.succeeded()
        backoff.failed(now)
        self.assertGreaterEqual(backoff.wait(now), 0.4)
