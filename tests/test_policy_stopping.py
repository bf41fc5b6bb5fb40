"""Tests of what a daemon that stops still passes on."""

import unittest

from cassialever.policy.stopping import StopTiming, ends_in_time


class EndsInTimeTest(unittest.TestCase):
    """A stop that has 5 s for answers, and requests that wait for 8 s."""

    def decide(
        self, at: float, latency: float = 0.2, time_limit: float = 8.0
    ) -> bool:
        return ends_in_time(StopTiming(at, 5.0 - at, time_limit, latency))

    def test_request_that_is_usually_short_is_passed_on_early(self) -> None:
        for at in (0.0, 1.0, 2.9):
            self.assertTrue(self.decide(at))

    def test_work_that_outlasts_the_stop_is_refused(self) -> None:
        self.assertTrue(self.decide(0.0, latency=2.4))
        self.assertFalse(self.decide(1.0, latency=2.4))

    def test_late_request_needs_a_time_limit_that_ends_before(self) -> None:
        self.assertFalse(self.decide(3.0))
        self.assertFalse(self.decide(4.9, latency=0.0))
        self.assertTrue(self.decide(3.0, time_limit=2.0))
        self.assertFalse(self.decide(3.5, time_limit=2.0))

    def test_unknown_latency_counts_as_short_early(self) -> None:
        self.assertTrue(self.decide(1.0, latency=0.0))

    def test_nothing_is_passed_on_after_the_end(self) -> None:
        self.assertFalse(self.decide(5.5, latency=0.0))


if __name__ == '__main__':
    unittest.main()
