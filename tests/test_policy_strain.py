"""Tests of refusing what a daemon short of processor would make late."""

import heapq
import random
import unittest
from collections import Counter

from cassialever.fleet.datagrams import OpenRequests
from cassialever.gateway.standstill_watch import CHECK_INTERVAL
from cassialever.policy.strain import TURNS_PER_REQUEST, Strain
from tests.test_fleet_gossip import Daemon
from tests.fleet_helpers import VirtualLoop

OBJECTIVE = 0.8
#: Processor time of a turn, and the time of a request at its target, in
#: seconds.
TURN = 0.0005
AT_TARGET = 0.25


class WeakDaemon:
    """A processor that runs the turns of requests one after the other."""

    def __init__(self, cores: float, strain: Strain) -> None:
        self.turn = TURN / cores
        self.strain = strain
        self.free_at = 0.0
        self.outcomes: Counter[str] = Counter()

    def run(self, rate: float, duration: float) -> None:
        """Serve callers for a time."""
        rng = random.Random(2)
        events = [(0.0, 0, 'tick', 0.0)]
        at = 0.0
        while at < duration:
            at += rng.expovariate(rate)
            heapq.heappush(events, (at, TURNS_PER_REQUEST, 'turn', at))
        while events:
            at, turns, kind, arrived_at = heapq.heappop(events)
            if kind == 'tick':
                lag = max(self.free_at - at, 0)
                self.strain.record_lag(lag)
                if at < duration:
                    due_at = at + lag + CHECK_INTERVAL
                    heapq.heappush(events, (due_at, 0, 'tick', 0.0))
                continue
            self.free_at = max(self.free_at, at) + self.turn
            if turns == TURNS_PER_REQUEST and not self.strain.carries_in_time(
                OBJECTIVE
            ):
                self.outcomes['refused'] += 1
                continue
            if turns == 1:
                latency = self.free_at - arrived_at
                self.outcomes['late' if latency > OBJECTIVE else 'in time'] += 1
                continue
            pause = AT_TARGET if turns == TURNS_PER_REQUEST - 1 else 0
            heapq.heappush(
                events, (self.free_at + pause, turns - 1, 'turn', arrived_at)
            )


class NeverStrained(Strain):
    """What a daemon did before."""

    def carries_in_time(self, objective: float) -> bool:
        return True


class StrainTest(unittest.TestCase):
    """A third of a core, with callers for a half more than it carries."""

    def play(self, strain: Strain, load: float) -> Counter[str]:
        daemon = WeakDaemon(0.322, strain)
        daemon.run(load / (TURNS_PER_REQUEST * daemon.turn), 20)
        return daemon.outcomes

    def test_weak_daemon_serves_what_it_can_in_time(self) -> None:
        before = self.play(NeverStrained(), 1.5)
        after = self.play(Strain(), 1.5)
        self.assertLess(before['in time'], 0.2 * before.total())
        self.assertGreater(after['in time'], 0.45 * after.total())

    def test_daemon_that_is_busy_refuses_nothing(self) -> None:
        self.assertEqual(self.play(Strain(), 0.9)['refused'], 0)

    def test_single_standstill_refuses_nothing(self) -> None:
        strain = Strain()
        for lag in (0, 3, 0):
            strain.record_lag(lag)
            self.assertTrue(strain.carries_in_time(OBJECTIVE))

    def test_late_timer_refuses_nothing_with_a_short_objective(self) -> None:
        strain = Strain()
        for lag in (0, 0.2, 0):
            strain.record_lag(lag)
            self.assertTrue(strain.carries_in_time(0.3))

    def test_daemon_that_stays_late_serves_a_part(self) -> None:
        strain = Strain()
        for _ in range(20):
            strain.record_lag(1)
        admitted = [strain.carries_in_time(OBJECTIVE) for _ in range(100)]
        self.assertEqual(sum(admitted), 10)

    def test_daemon_says_that_it_has_no_room(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        daemon = Daemon(loop, 'd0', {'d0': '10.1.0.1:7'}, {})
        strain = Strain()
        daemon.reporter.is_strained = strain.is_short
        rooms = []
        for lag in (0, 0.3, 0.3, 0):
            strain.record_lag(lag)
            report: OpenRequests = daemon.reporter.describe({})
            rooms.append(report.room)
        self.assertEqual(rooms, [50, 50, 0, 50])


if __name__ == '__main__':
    unittest.main()


class LonelyTest(unittest.TestCase):
    """A late daemon whose callers would find no other one."""

    def test_it_refuses_nothing(self) -> None:
        strain = Strain()
        for _ in range(20):
            strain.record_lag(2.0)
        admitted = [strain.carries_in_time(OBJECTIVE) for _ in range(5)]
        self.assertEqual(admitted, [False] * 5)
        strain.is_alone = True
        admitted = [strain.carries_in_time(OBJECTIVE) for _ in range(5)]
        self.assertEqual(admitted, [True] * 5)
