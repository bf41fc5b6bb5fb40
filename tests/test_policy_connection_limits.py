"""Tests of the limits of callers' connections."""

import unittest

import msgspec

from cassialever.policy.connection_limits import (
    LONG_HEAD_FIELDS,
    HeadBudget,
    Stage,
    connection_limits,
    head_cost,
    largest_holder,
    least_progressed,
)
from cassialever.policy.memory import CONNECTION_BYTES


class Connection(msgspec.Struct):
    name: str
    stage: Stage
    progressed_at: float
    completed: int = 0
    held: int = 0
    ahead: int = 0


class LeastProgressedTest(unittest.TestCase):
    """A crowd of connections that send a part, beside ordinary callers."""

    def closed_in_order(
        self, connections: list[Connection], *, spares_used: bool = False
    ) -> list[str]:
        closed = []
        left = list(connections)
        while one := least_progressed(left, spares_used=spares_used):
            left.remove(one)
            closed.append(one.name)
        return closed

    def test_unused_ones_go_first_and_whole_requests_never(self) -> None:
        connections = [
            Connection('serving', Stage.whole, 1, completed=3),
            Connection('first request', Stage.whole, 1),
            Connection('used, in head', Stage.head, 2, completed=1),
            Connection('used, idle', Stage.idle, 3, completed=9),
            Connection('slow head', Stage.head, 5),
            Connection('slow body', Stage.body, 4),
            Connection('silent', Stage.idle, 6),
        ]
        self.assertEqual(
            self.closed_in_order(connections),
            [
                'slow body',
                'slow head',
                'silent',
                'used, idle',
                'used, in head',
            ],
        )

    def test_used_ones_can_be_spared(self) -> None:
        connections = [
            Connection('used, idle', Stage.idle, 3, completed=9),
            Connection('silent', Stage.idle, 6),
        ]
        closed = self.closed_in_order(connections, spares_used=True)
        self.assertEqual(closed, ['silent'])

    def test_room_is_made_by_those_that_hold_something(self) -> None:
        connections = [
            Connection('silent', Stage.idle, 1),
            Connection('serving', Stage.whole, 1, held=10),
        ]
        self.assertIsNone(largest_holder(connections))
        connections.append(Connection('far', Stage.whole, 2, 1, 90, 80))
        connections.append(Connection('slow body', Stage.body, 9, held=50))
        holder = largest_holder(connections)
        assert holder is not None
        self.assertEqual(holder.name, 'slow body')


class HeadBudgetTest(unittest.TestCase):
    """Heads of very many short fields."""

    def test_one_is_always_parsed_and_many_one_after_the_other(self) -> None:
        budget = HeadBudget(100)
        self.assertTrue(budget.admit(1000))
        self.assertFalse(budget.admit(1))
        self.assertTrue(budget.admit(0))
        budget.release(1000)
        self.assertTrue(budget.admit(60))
        self.assertFalse(budget.admit(60))

    def test_usual_heads_cost_nothing(self) -> None:
        self.assertEqual(head_cost(LONG_HEAD_FIELDS), 0)
        self.assertGreater(head_cost(LONG_HEAD_FIELDS + 1), 0)


class ConnectionLimitsTest(unittest.TestCase):
    """The smallest machine of all deployments, and a large one."""

    def test_callers_leave_descriptors_to_the_rest(self) -> None:
        for descriptors in (300, 1638, 10250):
            limits = connection_limits(160, descriptors)
            taken = limits.connections + limits.hop_connections
            self.assertLess(taken, descriptors * 0.9)
            self.assertGreater(limits.connections, descriptors * 0.4)

    def test_smallest_memory_holds_a_hundred_busy_connections(self) -> None:
        limits = connection_limits(160, 1638)
        self.assertGreater(limits.buffer_bytes / CONNECTION_BYTES, 100)


if __name__ == '__main__':
    unittest.main()
