"""Tests of the rest after an owner has said that it does not hold a key."""

import unittest

from cassialever.fleet.model import KeyRange
from cassialever.policy.unheld_keys import (
    INNER_DELAY,
    MAX_AGE,
    MAX_KEYS,
    MAX_REST,
    MIN_KEYS_OF_RANGE,
    MIN_REST,
    Grant,
    HeldKey,
    UnheldKeys,
)

KEYS = KeyRange(0, 999, 'k0', 1000, 7)
#: Keys of one range by the tables, of which the owner holds the second one.
MOVED_KEY = 700
KEPT_KEY = 100


def held(key: int = 5, keys: KeyRange = KEYS) -> HeldKey:
    return HeldKey('registry', key, keys)


class UnheldKeysTest(unittest.TestCase):
    """Which requests may be sent to the owner of their key."""

    def setUp(self) -> None:
        self.unheld = UnheldKeys()

    def refuse(self, now: float, one: HeldKey = held()) -> None:
        self.unheld.record_refused(one, now, now)

    def may_send(
        self,
        now: float,
        one: HeldKey = held(),
        refused_by: frozenset[Grant] = frozenset(),
    ) -> bool:
        return self.unheld.may_send(one, now, refused_by)

    def test_requests_are_sent_until_one_is_refused(self) -> None:
        self.assertTrue(self.may_send(1.0))
        self.refuse(1.0)
        self.assertFalse(self.may_send(1.0 + MIN_REST / 2))
        self.assertTrue(self.may_send(1.0 + MIN_REST))

    def test_request_that_was_refused_does_not_try_again(self) -> None:
        self.refuse(1.0)
        refused_by = frozenset((held().grant,))
        now = 1.0 + MAX_REST
        self.assertTrue(self.may_send(now))
        self.assertFalse(self.may_send(now, refused_by=refused_by))
        self.unheld.record_held(held(), 1.0 + MIN_REST)
        self.assertFalse(self.may_send(now, refused_by=refused_by))
        regranted = held(keys=KeyRange(0, 999, 'k0', 1000, 8))
        self.assertTrue(self.may_send(now, regranted, refused_by))

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
        refused_by = frozenset((held().grant,))
        for keys in (
            KeyRange(0, 999, 'k1', 1000, 7),
            KeyRange(0, 999, 'k0', 1001, 7),
            KeyRange(0, 999, 'k0', 1000, 8),
        ):
            with self.subTest(keys=keys):
                changed = held(keys=keys)
                self.assertTrue(self.may_send(1.01, changed, refused_by))
        other_service = HeldKey('other', 5, KEYS)
        self.assertTrue(self.may_send(1.01, other_service))

    def test_parts_of_a_range_that_was_divided_rest(self) -> None:
        for key in (5, 300, 480, 510, 700, 990):
            self.refuse(1.0, held(key))
        for keys in (
            KeyRange(0, 499, 'k0', 1000, 7),
            KeyRange(500, 999, 'k0', 1000, 7),
        ):
            for key in (keys.first, keys.first + 203, keys.last):
                with self.subTest(key=key):
                    self.assertFalse(self.may_send(1.01, held(key, keys)))

    def test_part_without_refused_keys_does_not_rest(self) -> None:
        for key in (5, 300, 480):
            self.refuse(1.0, held(key))
        self.assertFalse(self.may_send(1.01, held(503)))
        divided = KeyRange(500, 999, 'k0', 1000, 7)
        self.assertTrue(self.may_send(1.01, held(503, divided)))

    def test_other_part_of_a_range_that_was_joined_does_not_rest(self) -> None:
        self.refuse(1.0)
        joined = KeyRange(0, 1999, 'k0', 1000, 7)
        self.assertFalse(self.may_send(1.01, held(5, joined)))
        self.assertTrue(self.may_send(1.01, held(1500, joined)))
        self.refuse(1.02, held(1500, joined))
        self.assertFalse(self.may_send(1.03, held(5, joined)))
        self.unheld.record_held(held(5, joined), 1.2)
        self.assertTrue(self.may_send(1.03, held(5, joined)))
        self.assertTrue(self.may_send(1.03, held(700, joined)))
        self.assertFalse(self.may_send(1.03, held(1500, joined)))

    def test_keys_between_refused_keys_rest(self) -> None:
        self.refuse(1.0, held(500))
        self.refuse(1.0, held(900))
        for key, may_send in ((499, True), (700, False), (901, True)):
            with self.subTest(key=key):
                self.assertIs(self.may_send(1.01, held(key)), may_send)

    def test_key_that_is_held_divides_them(self) -> None:
        self.refuse(1.0, held(500))
        self.unheld.record_held(held(700), 1.01)
        self.refuse(1.02, held(900))
        self.assertTrue(self.may_send(1.03, held(600)))
        self.assertTrue(self.may_send(1.03, held(800)))
        self.assertFalse(self.may_send(1.03, held(500)))
        self.assertFalse(self.may_send(1.03, held(900)))

    def test_range_of_which_several_keys_are_refused_rests(self) -> None:
        for number in range(MIN_KEYS_OF_RANGE):
            self.assertTrue(self.may_send(1.0, held(10 + number)))
            self.refuse(1.0, held(10 + number))
        self.assertFalse(self.may_send(1.01, held(999)))

    def test_other_keys_of_a_range_try_first(self) -> None:
        for key in (10, 20, 30):
            self.unheld.record_refused(held(key), 0.9, 1.0)
        now = 1.0 + MIN_REST
        self.assertTrue(self.may_send(now, held(999)))
        for key in (10, 25):
            with self.subTest(key=key):
                self.assertFalse(self.may_send(now, held(key)))
                self.assertTrue(self.may_send(now + INNER_DELAY, held(key)))

    def test_success_leaves_the_refused_keys_alone(self) -> None:
        refused = (10, 20, 30)
        for key in refused:
            self.refuse(1.0, held(key))
        self.unheld.record_held(held(25), 1.01)
        for key in range(0, 1000, 5):
            with self.subTest(key=key):
                may_send = self.may_send(1.02, held(key))
                self.assertIs(may_send, key not in refused)

    def test_requests_are_few_whatever_their_keys(self) -> None:
        sent = 0
        for step in range(1000):
            now = 1.0 + step / 100
            one = held(step * 389 % 1000)
            if self.may_send(now, one):
                sent += 1
                self.unheld.record_tried(one, now)
                self.refuse(now, one)
        self.assertLessEqual(sent, 10 / MAX_REST + 3)

    def test_owner_that_ceases_to_hold_a_part_gets_few_requests(self) -> None:
        for step in range(200):
            now = 1.0 + step / 100
            one = held(step * 389 % 1000)
            if not self.may_send(now, one):
                continue
            if one.key >= 500:
                self.refuse(now, one)
                continue
            self.unheld.record_held(one, now)
        sent = 0
        for step in range(1000):
            now = 3.0 + step / 100
            one = held(step * 389 % 1000)
            if self.may_send(now, one):
                sent += 1
                self.unheld.record_tried(one, now)
                self.refuse(now, one)
        # MAX_REFUSALS_IN_A_ROW come first.
        self.assertLessEqual(sent, 10 / MAX_REST + 3 + 8)

    def test_what_is_kept_is_bounded(self) -> None:
        for key in range(0, 1000, 2):
            self.refuse(1.0, held(key))
            self.unheld.record_held(held(key + 1), 1.1)
        for key in range(0, 1000, 2):
            self.refuse(1.2, held(key))
        (holding,) = self.unheld._holding_by_grant.values()
        self.assertLessEqual(len(holding.spans), MAX_KEYS)
        self.assertLessEqual(len(holding.held), MAX_KEYS)
        for span in holding.spans:
            self.assertLessEqual(len(span.refused), MAX_KEYS)

    def test_refusals_are_forgotten(self) -> None:
        for number in range(100):
            keys = KeyRange(number, number, 'k0', 1000, number)
            self.refuse(1.0, held(number, keys))
        self.unheld.prune(1.0 + MAX_AGE / 2)
        self.assertEqual(len(self.unheld._holding_by_grant), 100)
        self.unheld.prune(1.0 + MAX_AGE)
        self.assertEqual(len(self.unheld._holding_by_grant), 0)


class PartOfRangeTest(unittest.TestCase):
    """An owner that holds a part of a range as the tables have it."""

    def test_keys_that_the_owner_has_kept_are_served(self) -> None:
        # A part has moved. The rest keeps its owner, life and fence.
        unheld = UnheldKeys()
        whole = KeyRange(0, 999, 'k0', 1000, 7)
        rest = KeyRange(0, 499, 'k0', 1000, 7)
        unheld.record_refused(HeldKey('registry', MOVED_KEY, whole), 1.0, 1.0)
        kept = HeldKey('registry', KEPT_KEY, rest)
        self.assertTrue(unheld.may_send(kept, 1.0 + MIN_REST / 2))

    def test_other_keys_are_served_while_one_is_refused(self) -> None:
        # This daemon's tables lack the move: four in five requests are for
        # keys that their owner holds.
        unheld = UnheldKeys()
        whole = KeyRange(0, 999, 'k0', 1000, 7)
        sent = held_back = 0
        for step in range(1000):
            now = step / 100
            key = MOVED_KEY if step % 5 == 0 else KEPT_KEY
            one = HeldKey('registry', key, whole)
            if not unheld.may_send(one, now):
                held_back += key == KEPT_KEY
                continue
            unheld.record_tried(one, now)
            if key == MOVED_KEY:
                unheld.record_refused(one, now, now + 0.002)
                continue
            sent += 1
            unheld.record_held(one, now)
        self.assertLess(held_back, sent / 10)


if __name__ == '__main__':
    unittest.main()
