"""Tests of speeds that are learnt, and of placing by them."""

import random
import unittest

from cassialever.policy.loads import TargetLoad
from cassialever.policy.speeds import ServedAnswer, TargetSpeed
from cassialever.types import Seconds
from tests.uneven_helpers import UnevenFleet

USUAL: Seconds = 0.3


class ServiceTimeTest(unittest.TestCase):
    """The lasting service time of one target."""

    def test_moments_count_little(self) -> None:
        """A fifth of the answers takes three times as long, unreported."""
        for speed in (0.5, 1.0, 1.7):
            for seed in range(5):
                draw = random.Random(seed)
                time = TargetSpeed()
                for number in range(30):
                    noise = 3 if draw.random() < 0.2 else 1
                    taken = USUAL / speed * noise * draw.uniform(0.7, 1.3)
                    answer = ServedAnswer(taken, 1, was_queued=False)
                    time.add(answer, USUAL, 5.0 * number)
                with self.subTest(speed=speed, seed=seed):
                    ratio = time.lasting / (USUAL / speed)
                    self.assertGreater(ratio, 0.85)
                    self.assertLess(ratio, 1.4)

    def test_speed_is_kept_between_rare_answers(self) -> None:
        """The moving average was the usual one again after 2 s."""
        load = TargetLoad()
        for number in range(10):
            load.record_success(0.6, 1, 8.0 * number, USUAL)
        self.assertGreater(load.speed.expected(8 * 9 + 8, USUAL), 1.6 * USUAL)

    def test_slow_phase_is_forgotten(self) -> None:
        """A target that was ten times slower for 5 s."""
        load = TargetLoad()
        for number in range(60):
            load.record_success(USUAL, 1, number, USUAL)
        for number in range(10):
            load.record_success(10 * USUAL, 1, 60 + number / 2, USUAL)
        self.assertGreater(load.speed.expected(65, USUAL), 3 * USUAL)
        self.assertLess(load.speed.expected(75, USUAL), 1.5 * USUAL)
        self.assertTrue(load.speed.is_outdated(75, USUAL))
        for number in range(5):
            load.record_success(USUAL, 1, 75 + 10 * number, USUAL)
        self.assertLess(load.speed.expected(130, USUAL), 1.2 * USUAL)


class UnevenTargetsTest(unittest.TestCase):
    """Speeds of 0.5 to 1.7, and a fifth of the targets slow at a time."""

    def test_share_served_in_time(self) -> None:
        """On the moving average it was 0.99, 0.92 and 0.64 with 2 to 300."""
        for daemons, targets, seed, least in (
            (2, 8, 4, 0.98),
            (60, 60, 10, 0.94),
            (60, 60, 11, 0.94),
            (300, 100, 4, 0.8),
        ):
            fleet = UnevenFleet(daemons, targets, seed=seed)
            rate = 0.7 * fleet.capacity()
            fleet.run(rate, 4)
            with self.subTest(daemons=daemons, seed=seed):
                self.assertGreater(fleet.share_in_time(rate, 4), least)

    def test_fast_targets_serve_a_calm_load(self) -> None:
        """Slow ones get what keeps their speed known, and little more."""
        fleet = UnevenFleet(6, 12)
        rate = 0.2 * fleet.capacity()
        fleet.run(rate, 10)
        targets = fleet.target_by_id.values()
        for target in targets:
            target.received = 0
        self.assertGreater(fleet.share_in_time(rate, 20), 0.97)
        slow = sum(one.received for one in targets if one.speed == 0.5)
        fast = sum(one.received for one in targets if one.speed == 1.7)
        self.assertLess(slow, 0.2 * fast)
        self.assertGreater(slow, 0)


if __name__ == '__main__':
    unittest.main()
