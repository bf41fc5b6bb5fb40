"""Replay loads of keys on owners of uneven speed, with the real planning."""

import random
import unittest
from collections import Counter

from cassialever.fleet.model import KEY_COUNT, Target, TargetState
from cassialever.keys import planning
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
)
from cassialever.keys.heat import (
    HEAT_UPDATE_INTERVAL,
    KeyHeats,
    TargetLatencies,
)
from cassialever.keys.targetloads import OwnerLoads
from cassialever.policy.limits import TargetLimits
from cassialever.types import Seconds
from tests.uneven_helpers import (
    NOISE_FACTOR,
    NOISE_PERIOD,
    NOISE_SHARE,
    SLOTS,
    Clockwork,
    UnevenTarget,
)

WORK: Seconds = 0.25
OBJECTIVE: Seconds = 1.08
SPEEDS = (0.7, 0.7, 1.7)
TARGETS = 100
#: How long a key that moves has no owner, and its requests wait.
MOVE_TIME: Seconds = 0.15


class KeyedFleet:
    """Owners of keys, callers, and a leader that plans."""

    def __init__(self, seed: int = 3) -> None:
        self.random = random.Random(seed)
        self.clockwork = Clockwork()
        self.targets = [_target(number) for number in range(TARGETS)]
        self.owners = {
            target.target_id: UnevenTarget(
                self.clockwork, SPEEDS[number % len(SPEEDS)], WORK
            )
            for number, target in enumerate(self.targets)
        }
        self.assignments = Assignments(
            'registry', planning.assign_evenly(self.targets, 1)
        )
        self.heats = KeyHeats()
        self.latencies = TargetLatencies()
        self.loads = OwnerLoads(
            self.assignments,
            lambda: self.targets,
            self.heats.recent,
            self.latencies,
            TargetLimits(),
        )
        #: The hot keys, and the share of requests for them.
        self.hot_keys = range(0)
        self.hot_share = 0.0
        self.outcomes: Counter[str] = Counter()
        self.moves = 0
        self.moved_keys = 0
        self.asked: list[int] = []
        self.answers: dict[str, list[tuple[Seconds, Seconds]]] = {}
        self.owner_by_key: list[Assignment] = []
        self._index()
        self._make_noise()
        self._plan()

    def capacity(self) -> float:
        """Return the requests per second that all owners can run."""
        slowdown = 1 + NOISE_SHARE * (NOISE_FACTOR - 1)
        speeds = sum(owner.speed for owner in self.owners.values())
        return SLOTS * speeds / WORK / slowdown

    def run(self, rate: float, duration: Seconds) -> None:
        """Have requests arrive at a rate."""
        ends_at = self.clockwork.now + duration
        self._arrive(rate, ends_at)
        self.clockwork.run_until(ends_at)

    def share_in_time(self, rate: float, duration: Seconds) -> float:
        """Return the share of such requests that is served in time."""
        self.outcomes.clear()
        self.run(rate, duration)
        return self.outcomes['in time'] / self.outcomes.total()

    def _arrive(self, rate: float, ends_at: Seconds) -> None:
        if self.clockwork.now >= ends_at:
            return
        key = self.random.randrange(KEY_COUNT)
        if self.random.random() < self.hot_share:
            key = self.random.choice(self.hot_keys)
        self.asked.append(key)
        self._send(key, self.clockwork.now)
        self.clockwork.after(
            self.random.expovariate(rate), self._arrive, rate, ends_at
        )

    def _send(self, key: int, begun_at: Seconds) -> None:
        now = self.clockwork.now
        if now - begun_at > OBJECTIVE / 2:
            self.outcomes['refused'] += 1
            return
        keys = self.owner_by_key[key]
        owner = self.owners[keys.owner]
        waiting = (owner.running + len(owner.queue) + 1) / SLOTS
        expected = WORK / owner.speed * owner.slowdown * max(waiting, 1)
        is_full = waiting > 3 or waiting > 1 and expected > 1.1 * OBJECTIVE
        if is_full or keys.state is not AssignmentState.held:
            self.clockwork.after(0.05, self._send, key, begun_at)
            return

        def done() -> None:
            ended_at = self.clockwork.now
            _note(self, keys.owner, ended_at - now, max(waiting, 1))
            is_late = ended_at - begun_at > OBJECTIVE
            self.outcomes['late' if is_late else 'in time'] += 1

        assert owner.receive(self.random, done)

    def _make_noise(self) -> None:
        for owner in self.owners.values():
            is_slow = self.random.random() < NOISE_SHARE
            owner.slowdown = NOISE_FACTOR if is_slow else 1.0
        self.clockwork.after(NOISE_PERIOD, self._make_noise)

    def _plan(self) -> None:
        now = self.clockwork.now
        self.clockwork.after(HEAT_UPDATE_INTERVAL, self._plan)
        self.heats.count(self.asked)
        self.heats.update()
        self.asked = []
        _report(self)
        if self.assignments.moving():
            return
        self.assignments.merge_neighbours(())
        moving: list[Assignment] = []
        for heat, _ in self.heats.to_plan_with():
            if not moving:
                moving = planning.choose_moves(
                    self.assignments,
                    self.loads.current(heat),
                    heat,
                    planning.PlanningRound(now),
                )
        for assignment in moving:
            assignment.state = AssignmentState.free
            self.moves += 1
            self.moved_keys += assignment.key_count
        self._index()
        self.clockwork.after(MOVE_TIME, self._grant, moving)

    def _grant(self, moving: list[Assignment]) -> None:
        now = self.clockwork.now
        for assignment, target in planning.choose_owners(
            moving, self.loads.current(), self.heats.recent, now
        ):
            assignment.owner = target.target_id
            assignment.state = AssignmentState.held
            assignment.owned_since = now

    def _index(self) -> None:
        self.owner_by_key = [
            assignment
            for assignment in self.assignments.ordered
            for _ in range(assignment.key_count)
        ]


def _note(fleet, owner, latency, factor) -> None:
    taken = (latency, latency / factor)
    fleet.answers.setdefault(owner, []).append(taken)


def _report(fleet) -> None:
    for owner, taken in fleet.answers.items():
        latencies, service_times = zip(*taken, strict=True)
        fleet.latencies.report(
            owner, len(taken), sum(latencies), fleet.clockwork.now
        )
        fleet.latencies.report_service_times(
            owner, len(taken), sum(service_times)
        )
    fleet.answers = {}


def _target(number: int) -> Target:
    return Target(
        f't{number}',
        'registry',
        f'10.0.0.{number}:1',
        'astana-a',
        SLOTS,
        TargetState.ready,
        1000,
        0,
    )


class UnevenOwnersTest(unittest.TestCase):
    """Owners with speeds of 0.7 and 1.7, a fifth three times slower at times.

    The best placement known for these, by speed to the power of 1.5 and without
    a move, serves 0.95 in time at 0.7 of the capacity without hot keys.
    """

    def replay(self, hot: int, seed: int) -> tuple[KeyedFleet, float]:
        """Return the share served in time from 4 s after keys became hot."""
        fleet = KeyedFleet(seed)
        rate = 0.7 * fleet.capacity()
        fleet.run(rate, 10)
        fleet.moves = 0
        fleet.moved_keys = 0
        if hot:
            fleet.hot_keys = range(44900, 44900 + hot)
            fleet.hot_share = 0.33
        fleet.run(rate, 4)
        return fleet, fleet.share_in_time(rate, 6)

    def test_owners_get_keys_by_their_speed(self) -> None:
        """By latencies, which follow moments, 0.89 were served in time."""
        fleet, share = self.replay(hot=0, seed=3)
        self.assertGreater(share, 0.88)
        held: Counter[float] = Counter()
        for assignment in fleet.assignments.ordered:
            speed = fleet.owners[assignment.owner].speed
            held[speed] += assignment.key_count / KEY_COUNT
        # A third of the owners is fast.
        self.assertGreater(held[1.7], 0.5)
        # Moves have a price for callers.
        self.assertLess(fleet.moved_keys, 0.25 * KEY_COUNT)

    def test_few_hot_keys_spread_over_owners(self) -> None:
        """Eight neighbours stayed together: 0.70 were served in time."""
        for hot in (60, 200):
            fleet, share = self.replay(hot, seed=3)
            with self.subTest(hot=hot):
                self.assertGreater(share, 0.91)
                self.assertLess(fleet.moved_keys, 0.2 * KEY_COUNT)


if __name__ == '__main__':
    unittest.main()
