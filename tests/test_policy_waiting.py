"""Tests of the order in which requests wait, and of who does not."""

import random
import unittest

from cassialever.policy.precedence import Precedence
from cassialever.policy.refusal import ExpectedRoom, ReturnTimes
from cassialever.policy.waiting import (
    MAX_FILL,
    MAX_LENGTH,
    MIN_FILL,
    Contender,
    PlaceRate,
    WaitingQueue,
    contend,
    fill_level,
)
from tests.waiting_replays import spread


def contender(
    rank: int = 0, end: float = 1.0, customer: str = '', start_by: float = 9.0
) -> Contender:
    return Contender(Precedence(rank, end, 5.0, customer), start_by, 0.0)


def queue_of(places_per_second: float) -> WaitingQueue:
    returns = ReturnTimes(random.Random(3))
    return WaitingQueue(PlaceRate(places_per_second), returns)


class OrderTest(unittest.TestCase):
    """Who gets the next place."""

    def setUp(self) -> None:
        self.queue = queue_of(100)

    def drain(self) -> list[Contender]:
        order = []
        while (first := self.queue.first) is not None:
            self.assertTrue(self.queue.leave(first))
            order.append(first)
        return order

    def test_rank_goes_before_time_left(self) -> None:
        waiting = [contender(1, 0.5), contender(0, 2.0), contender(0, 1.0)]
        for one in waiting:
            self.assertEqual(self.queue.join(one, 0.0), [])
        self.assertEqual(self.drain(), [waiting[2], waiting[1], waiting[0]])

    def test_equal_requests_keep_the_order_in_which_they_came(self) -> None:
        waiting = [contender() for _ in range(5)]
        for one in waiting:
            self.queue.join(one, 0.0)
        self.assertFalse(self.queue.goes_first(contender()))
        self.assertEqual(self.drain(), waiting)

    def test_newcomer_passes_only_less_urgent_ones(self) -> None:
        self.queue.join(contender(1, 1.0), 0.0)
        self.assertTrue(self.queue.goes_first(contender(0, 3.0)))
        self.assertFalse(self.queue.goes_first(contender(2, 0.1)))

    def test_customer_with_many_requests_goes_after_each_other_one(
        self,
    ) -> None:
        flood = [contender(0, 1.0, 'flood') for _ in range(20)]
        for one in flood:
            self.queue.join(one, 0.0)
        usual = contender(0, 1.5, 'usual')
        self.queue.join(usual, 0.0)
        self.assertIs(self.drain()[1], usual)

    def test_count_of_customers_is_forgotten_with_their_requests(self) -> None:
        for number in range(50):
            self.queue.join(contender(0, 1.0, f'c{number}'), 0.0)
        self.drain()
        self.assertEqual(len(self.queue._count_by_customer), 0)

    def test_leaving_twice_or_from_behind(self) -> None:
        first, second = contender(end=1.0), contender(end=2.0)
        self.queue.join(first, 0.0)
        self.queue.join(second, 0.0)
        self.assertFalse(self.queue.leave(second))
        self.assertFalse(self.queue.leave(second))
        self.assertTrue(self.queue.leave(first))
        self.assertFalse(self.queue.leave(first))


class HopelessTest(unittest.TestCase):
    """Who is refused at once."""

    def test_queue_is_as_long_as_can_be_served_in_time(self) -> None:
        queue = queue_of(10)
        admitted = sum(
            not queue.join(contender(start_by=0.5), 0.0) for _ in range(40)
        )
        self.assertEqual((admitted, len(queue)), (5, 5))

    def test_more_urgent_newcomer_displaces_the_last(self) -> None:
        queue = queue_of(10)
        waiting = [contender(1, 1.0, start_by=0.5) for _ in range(5)]
        for one in waiting:
            queue.join(one, 0.0)
        urgent = contender(0, 1.0, start_by=0.5)
        self.assertEqual(queue.join(urgent, 0.0), [waiting[-1]])
        self.assertTrue(waiting[-1].is_out)
        self.assertIs(queue.first, urgent)

    def test_those_whose_time_has_run_out_leave_the_others_their_place(
        self,
    ) -> None:
        queue = queue_of(10)
        tight, loose = contender(0, 1.0, start_by=0.2), contender(0, 2.0)
        queue.join(tight, 0.0)
        queue.join(loose, 0.0)
        self.assertEqual(queue.take_hopeless(0.3), [tight])
        self.assertIs(queue.first, loose)

    def test_length_is_bounded(self) -> None:
        queue = queue_of(1e6)
        for _ in range(MAX_LENGTH):
            queue.join(contender(1), 0.0)
        newcomer = contender(1)
        self.assertEqual(queue.join(newcomer, 0.0), [newcomer])
        self.assertEqual(len(queue.join(contender(0), 0.0)), 1)
        self.assertEqual(len(queue), MAX_LENGTH)

    def test_tight_request_waits_for_the_next_place(self) -> None:
        """Most of its objective goes by while a target works on it."""
        queue = queue_of(1)
        tight = contend(Precedence(0, 1.0, 3.0), 0.0, 0.6)
        self.assertEqual(queue.join(tight, 0.0), [])
        self.assertEqual(queue.take_hopeless(0.36), [tight])

    def test_request_that_is_late_anyway_goes_after_the_others(self) -> None:
        queue = queue_of(100)
        late = contend(Precedence(0, 1.0, 3.0), 0.0, 1.2)
        self.assertTrue(late.is_late)
        queue.join(late, 0.0)
        self.assertTrue(queue.goes_first(contender(0, 2.0)))
        self.assertFalse(queue.goes_first(contender(1, 2.0)))


class PlaceRateTest(unittest.TestCase):
    """How fast a queue moves."""

    def test_learns_within_a_second_that_places_are_few(self) -> None:
        rate = PlaceRate(50)
        rate.record_full(0.0)
        for number in range(1, 4):
            rate.record_place(number / 3, others_wait=True)
        self.assertAlmostEqual(rate.per_second(1.0), 3.5, delta=1.0)

    def test_time_in_which_no_one_waits_does_not_count(self) -> None:
        rate = PlaceRate(50)
        for start in range(5):
            rate.record_full(start)
            rate.record_place(start + 0.1, others_wait=False)
        self.assertAlmostEqual(rate.per_second(9.0), 10, delta=2)

    def test_is_outdated_a_second_after_the_last_contention(self) -> None:
        rate = PlaceRate(50)
        rate.record_full(0.0)
        self.assertFalse(rate.is_outdated(0.9))
        self.assertTrue(rate.is_outdated(1.1))


class FillLevelTest(unittest.TestCase):
    """How far requests of each rank fill the targets."""

    def test_more_urgent_ones_find_room_where_others_wait(self) -> None:
        levels = [fill_level(rank, [0, 2, 7]) for rank in (0, 2, 7)]
        self.assertEqual((levels[0], levels[-1]), (MAX_FILL, MIN_FILL))
        self.assertEqual(levels, sorted(set(levels), reverse=True))

    def test_one_rank_alone_may_fill_them(self) -> None:
        self.assertEqual(fill_level(4, [4]), MAX_FILL)
        self.assertEqual(fill_level(4, []), MAX_FILL)

    def test_rank_beyond_the_known_ones(self) -> None:
        self.assertEqual(fill_level(9, [1, 2]), MIN_FILL)


class ReturnTimesTest(unittest.TestCase):
    """When refused callers come back."""

    def setUp(self) -> None:
        self.returns = ReturnTimes(random.Random(3))

    def test_crowd_returns_one_after_another(self) -> None:
        room = ExpectedRoom(waiting=4, places=50, time_left=5.0)
        told = [self.returns.book(1, room, 0.0) for _ in range(30)]
        self.assertEqual(told, sorted(told))
        self.assertGreaterEqual(min(told), room.earliest)
        self.assertLessEqual(max(told), room.latest)
        self.assertLess(spread(told), 0.2)

    def test_crowd_beyond_the_room_is_spread_over_the_useful_time(
        self,
    ) -> None:
        room = ExpectedRoom(waiting=4, places=50, time_left=3.0)
        told = [self.returns.book(1, room, 0.0) for _ in range(500)]
        self.assertLessEqual(max(told), room.latest)
        self.assertLess(spread(told), 0.2)

    def test_more_urgent_ones_return_first(self) -> None:
        room = ExpectedRoom(waiting=0, places=50, time_left=5.0)
        less = [self.returns.book(1, room, 0.0) for _ in range(20)]
        urgent = [self.returns.book(0, room, 0.0) for _ in range(20)]
        after = [self.returns.book(1, room, 0.0) for _ in range(5)]
        self.assertLess(urgent[0], less[1])
        self.assertGreater(min(after), max(*urgent, *less) - 1e-9)

    def test_without_a_useful_time_the_earliest_is_told(self) -> None:
        room = ExpectedRoom(waiting=19, places=20, time_left=0.6)
        told = [self.returns.book(0, room, 0.0) for _ in range(200)]
        self.assertGreaterEqual(min(told), room.earliest)
        self.assertLessEqual(max(told), 2 * room.earliest)
        self.assertLess(spread(told), 0.2)


if __name__ == '__main__':
    unittest.main()
