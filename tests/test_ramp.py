"""Tests of cassialever.ramp."""

import random
import unittest

from cassialever.catalogue import TargetLimits
from cassialever.ramp import Ramp
from cassialever.types import Incarnation, TargetState

LIMITS = TargetLimits(slots=6, connections=100, cold_slots=2)


def warm_ramp() -> Ramp:
    """Return a ramp that has seen enough good answers."""
    ramp = Ramp(LIMITS)
    ramp.saw_incarnation(Incarnation(1))
    for _ in range(100):
        ramp.saw_latency(0.01, ramp.pace())
    return ramp


class TestRamp(unittest.TestCase):
    """The way up by answers and the way back at once."""

    def test_grows_one_step_at_a_time(self) -> None:
        """The limit never jumps on its way from cold to warm."""
        ramp = Ramp(LIMITS)
        self.assertEqual((ramp.limit, ramp.state), (2, TargetState.cold))
        seen = [ramp.limit]
        for _ in range(100):
            ramp.saw_latency(0.01, ramp.pace())
            seen.append(ramp.limit)
        steps = [after - before for before, after in zip(seen, seen[1:])]
        self.assertEqual(set(steps), {0, 1})
        self.assertEqual((ramp.limit, ramp.state), (6, TargetState.warm))

    def test_step_that_slows_the_target_is_taken_back(self) -> None:
        """The limit doesn't run away from what the target can carry."""
        ramp = Ramp(LIMITS)
        highest = 0
        for _ in range(500):
            highest = max(highest, ramp.limit)
            crowding = max(1, ramp.limit / 3) ** 3
            ramp.saw_latency(0.01 * crowding, ramp.pace())
        self.assertEqual(highest, 4)
        self.assertIn(ramp.limit, {3, 4})

    def test_new_incarnation_is_cold_and_old_answers_are_not_counted(
        self,
    ) -> None:
        """A higher incarnation falls back; a lower one changes nothing."""
        ramp = warm_ramp()
        before = ramp.pace()
        self.assertTrue(ramp.saw_incarnation(Incarnation(2)))
        self.assertEqual(ramp.limit, 2)
        self.assertFalse(ramp.saw_incarnation(Incarnation(1)))
        for _ in range(100):
            ramp.saw_latency(0.01, before)
        self.assertEqual(ramp.limit, 2)

    def test_jump_in_latency_falls_back_but_one_slow_answer_does_not(
        self,
    ) -> None:
        """Three slow answers in a row are needed."""
        ramp = warm_ramp()
        for latency in (0.1, 0.01, 0.1, 0.1):
            ramp.saw_latency(latency, ramp.pace())
        self.assertEqual(ramp.limit, 6)
        ramp.saw_latency(0.1, ramp.pace())
        self.assertEqual(ramp.limit, 2)

    def test_service_with_some_slow_requests_is_left_alone(self) -> None:
        """A tenth of slow answers is no jump; nothing but slow ones is."""
        source = random.Random(4)
        ramp = warm_ramp()
        fallen = 0
        for _ in range(5000):
            latency = 0.2 if source.random() < 0.1 else 0.01
            ramp.saw_latency(latency, ramp.pace())
            fallen += ramp.limit == 2
        self.assertLessEqual(fallen, 50)
        self.assertEqual(ramp.limit, 6)
        for _ in range(10):
            ramp.saw_latency(0.2, ramp.pace())
        self.assertEqual(ramp.limit, 2)

    def test_silence_is_a_sign_but_never_a_step_up(self) -> None:
        """Attempts without an answer count as slow, not as answered."""
        ramp = Ramp(LIMITS)
        for _ in range(100):
            ramp.saw_silence(0.01, ramp.pace())
        self.assertEqual(ramp.limit, 2)
        ramp = warm_ramp()
        for _ in range(3):
            ramp.saw_silence(1, ramp.pace())
        self.assertEqual(ramp.limit, 2)

    def test_adopts_limits_without_a_leap(self) -> None:
        """A lower limit holds at once, a higher one only by the ramp."""
        ramp = warm_ramp()
        ramp.adopt(TargetLimits(slots=3, connections=100, cold_slots=2))
        self.assertEqual(ramp.limit, 3)
        ramp.adopt(TargetLimits(slots=9, connections=100, cold_slots=2))
        self.assertEqual(ramp.limit, 3)
        ramp.adopt(TargetLimits(slots=9, connections=1, cold_slots=2))
        self.assertEqual(ramp.limit, 1)
