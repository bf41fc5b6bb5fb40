"""Tests of speeds that are learnt, and of placing by them."""

import random
import unittest

import msgspec

from cassialever.fleet.model import RequestKind
from cassialever.platform.wire import ReportedLoad
from cassialever.policy.loads import TargetLoad
from cassialever.policy.placing import PlacementRequest
from cassialever.policy.speeds import ServedAnswer, TargetSpeed
from cassialever.types import Seconds
from tests.uneven_helpers import SLOTS, UnevenFleet

USUAL: Seconds = 0.3
REQUEST = PlacementRequest('issuance', RequestKind.unsafe, -1, 1.2)


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


class LoadTest(unittest.TestCase):
    """What a daemon knows of one target."""

    def setUp(self) -> None:
        self.selector = UnevenFleet(1, 4).daemons[0]
        self.targets = self.selector._view.targets
        self.loads = self.selector._loads

    def test_speed_ends_with_the_life_of_a_target(self) -> None:
        target = self.targets.by_id['t0']
        load = self.loads.of('t0')
        self.loads.note_lives([target])
        load.record_success(5 * USUAL, 1, 1, USUAL)
        self.loads.note_lives([target])
        self.assertGreater(load.speed.lasting, USUAL)
        later = msgspec.structs.replace(
            target, started_at=target.started_at + 1
        )
        self.loads.note_lives([later])
        self.assertEqual(load.speed.expected(2, USUAL), USUAL)

    def test_reported_slowdown_of_nothing(self) -> None:
        load = self.loads.of('t0')
        load.record_report(ReportedLoad(1, 0, SLOTS, 0), 1)
        load.record_success(USUAL, 1, 1, USUAL)
        self.assertGreater(load.slowdown(1), 0)
        self.assertLess(load.speed.expected(10, USUAL), 2 * USUAL)

    def test_one_request_at_a_time_probes_a_target(self) -> None:
        """A target that answers no more is not probed by all requests."""
        load = self.loads.of('t0')
        load.record_success(5 * USUAL, 1, 1, USUAL)
        self.loads.record_service_time('issuance', USUAL)
        sent = 0
        for number in range(1000):
            chosen = self.selector.choose(REQUEST, 30 + number / 1000)
            if chosen.target_id == 't0':
                sent += 1
                load.record_open()
        self.assertEqual(sent, 1)

    def test_answer_without_a_duration(self) -> None:
        self.loads.of('t0').record_success(0, 1, 1)
        chosen = {
            self.selector.choose(REQUEST, 2 + number).target_id
            for number in range(40)
        }
        # Both in this data centre.
        self.assertEqual(chosen, {'t0', 't3'})


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
