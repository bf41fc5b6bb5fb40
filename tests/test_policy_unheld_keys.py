"""Tests of the rest after an owner has said that it does not hold a key."""

import unittest

from cassialever.fleet.model import KeyRange
from cassialever.policy.unheld_keys import (
    MAX_AGE,
    MAX_REST,
    MIN_REST,
    HeldKey,
    UnheldKeys,
)

KEYS = KeyRange(0, 999, 'k0', 1000, 7)


def held(key: int = 5, keys: KeyRange = KEYS) -> HeldKey:
    return HeldKey('registry', key, keys)


class UnheldKeysTest(unittest.TestCase):
    """Which requests may be sent to the owner of their key."""

    def setUp(self) -> None:
        self.unheld = UnheldKeys()

    def refuse(self, now: float, one: HeldKey = held()) -> None:
        self.unheld.record_refused(one, now, now)

    def may_send(
        self, now: float, one: HeldKey = held(), *, was_refused: bool = False
    ) -> bool:
        return self.unheld.may_send(one, now, was_refused=was_refused)

    def test_requests_are_sent_until_one_is_refused(self) -> None:
        self.assertTrue(self.may_send(1.0))
        self.refuse(1.0)
        self.assertFalse(self.may_send(1.0 + MIN_REST / 2))
        self.assertTrue(self.may_send(1.0 + MIN_REST))

    def test_request_that_was_refused_does_not_try_again(self) -> None:
        self.refuse(1.0)
        self.assertFalse(self.may_send(1.0 + MAX_REST, was_refused=True))
        self.unheld.record_held(held(), 1.0 + MIN_REST)
        self.assertTrue(self.may_send(1.0 + MAX_REST, was_refused=True))

    def test_single_requests_try(self) -> None:
        self.refuse(1.0)
        now = 1.0 + MIN_REST
        self.unheld.record_tried(held(), now)
        self.assertFalse(self.may_send(now))
        self.assertTrue(self.may_send(now + MIN_REST))

    def test_rest_doubles_up_to_its_maximum(self) -> None:
        now = 1.0
        self.refuse(now)
        sent = 0
        while now < 11.0:
            now += 0.01
            if self.may_send(now):
                sent += 1
                self.unheld.record_tried(held(), now)
                self.refuse(now)
        self.assertLessEqual(sent, 10 / MAX_REST + 3)
        self.assertGreaterEqual(sent, 10 / MAX_REST - 2)

    def test_refusals_of_requests_in_flight_do_not_lengthen_the_rest(
        self,
    ) -> None:
        self.refuse(1.0)
        for number in range(20):
            self.unheld.record_refused(held(), 0.9, 1.0 + number / 1000)
        self.assertTrue(self.may_send(1.0 + MIN_REST))

    def test_answer_to_an_earlier_request_does_not_end_the_rest(self) -> None:
        self.refuse(1.0)
        self.unheld.record_held(held(), 0.9)
        self.assertFalse(self.may_send(1.05))
        self.unheld.record_held(held(), 1.01)
        self.assertTrue(self.may_send(1.05))

    def test_another_owner_life_or_fence_is_tried_at_once(self) -> None:
        self.refuse(1.0)
        for keys in (
            KeyRange(0, 999, 'k1', 1000, 7),
            KeyRange(0, 999, 'k0', 1001, 7),
            KeyRange(0, 999, 'k0', 1000, 8),
        ):
            with self.subTest(keys=keys):
                changed = held(keys=keys)
                self.assertTrue(self.may_send(1.01, changed, was_refused=True))
        other_service = HeldKey('other', 5, KEYS)
        self.assertTrue(self.may_send(1.01, other_service))

    def test_parts_of_a_range_that_was_divided_rest(self) -> None:
        self.refuse(1.0)
        for keys in (
            KeyRange(0, 499, 'k0', 1000, 7),
            KeyRange(500, 999, 'k0', 1000, 7),
        ):
            key = keys.first + 3
            self.assertFalse(self.may_send(1.01, held(key, keys)))

    def test_other_part_of_a_range_that_was_joined_does_not_rest(self) -> None:
        self.refuse(1.0)
        joined = KeyRange(0, 1999, 'k0', 1000, 7)
        self.assertFalse(self.may_send(1.01, held(5, joined)))
        self.assertTrue(self.may_send(1.01, held(1500, joined)))
        self.refuse(1.02, held(1500, joined))
        self.assertFalse(self.may_send(1.03, held(5, joined)))
        self.unheld.record_held(held(5, joined), 1.2)
        self.assertTrue(self.may_send(1.03, held(1500, joined)))

    def test_refusals_are_forgotten(self) -> None:
        for number in range(100):
            keys = KeyRange(number, number, 'k0', 1000, number)
            self.refuse(1.0, held(number, keys))
        self.unheld.prune(1.0 + MAX_AGE / 2)
        self.assertEqual(len(self.unheld._refusals_by_holding), 100)
        self.unheld.prune(1.0 + MAX_AGE)
        self.assertEqual(len(self.unheld._refusals_by_holding), 0)


if __name__ == '__main__':
    unittest.main()
