"""Tests of the time that new connections may take."""

import random
import unittest

from cassialever.policy.connect_times import (
    MAX_TIMEOUT,
    MIN_TIMEOUT,
    ConnectTimes,
)


class ConnectTimesTest(unittest.TestCase):
    """The limit follows what connections take, within its bounds."""

    def setUp(self) -> None:
        self.times = ConnectTimes()

    def test_fast_connections_keep_the_shortest_limit(self) -> None:
        for _ in range(100):
            self.times.record_made(0.002)
        self.assertEqual(self.times.timeout, MIN_TIMEOUT)

    def test_connections_over_a_full_link_are_given_up(self) -> None:
        """Each takes 0.1 to 0.5 s; few may be given up after the first."""
        source = random.Random(1)
        now = 0.0
        given_up = 0
        for _ in range(200):
            duration = source.uniform(0.1, 0.5)
            if duration <= self.times.timeout:
                self.times.record_made(duration)
            else:
                given_up += 1
                self.times.record_timeout(now, now + self.times.timeout)
            now += 1
        self.assertLess(given_up, 5)

    def test_sudden_delay_of_all_connections_counts_once(self) -> None:
        for number in range(20):
            self.times.record_timeout(number / 1000, 0.3 + number / 1000)
        self.assertEqual(self.times.timeout, 2 * MIN_TIMEOUT)

    def test_limit_is_bounded_in_a_cut(self) -> None:
        now = 0.0
        for _ in range(20):
            self.times.record_timeout(now, now + self.times.timeout)
            now += self.times.timeout
        self.assertEqual(self.times.timeout, MAX_TIMEOUT)

    def test_limit_is_short_again_after_a_cut(self) -> None:
        self.times.record_made(0.002)
        self.times.record_timeout(0, MIN_TIMEOUT)
        self.times.record_timeout(1, 1 + MIN_TIMEOUT)
        self.times.record_made(0.002)
        self.assertEqual(self.times.timeout, MIN_TIMEOUT)

    def test_limit_falls_when_the_link_is_free(self) -> None:
        for _ in range(20):
            self.times.record_made(0.5)
        for _ in range(40):
            self.times.record_made(0.002)
        self.assertEqual(self.times.timeout, MIN_TIMEOUT)


if __name__ == '__main__':
    unittest.main()
