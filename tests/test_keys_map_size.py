"""Tests of the bound on the size of a key map."""

import random
import unittest
import uuid

import msgspec

from cassialever.fleet.model import KEY_COUNT, KeyMap, Target, TargetState
from cassialever.keys import planning
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
    covers_all,
)
from cassialever.keys.heat import (
    HEAT_UPDATE_INTERVAL,
    KeyHeat,
    TargetLatencies,
)
from cassialever.keys.joining import NeighbourJoiner
from cassialever.keys.map_size import JOIN_SHARE, ranges_per_target, room_of
from cassialever.keys.targetloads import OwnerLoads
from cassialever.platform.processes import TargetProcess
from cassialever.policy.limits import TargetLimits

SERVICE = 'registry'
ROW_BYTES = 65536
HANDOVER = '5c0e7a21d94b36f8'
#: Requests per second, the hot keys among them, and how long they are hot.
RATE = 700
HOT_SHARE = 0.35
HOT_KEYS = 200
HOT_SECONDS = 1.0
#: Time of a target for one request, in seconds.
SERVICE_TIME = 0.6


class _Granter:
    """A granter without grants in progress."""

    def __init__(self) -> None:
        self.pending_owners: set[str] = set()


class Simulation:
    """Moves the keys of large fleets at once, as a leader plans them."""

    def __init__(self, target_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.targets = [
            Target(
                str(uuid.UUID(int=self.random.getrandbits(128), version=4)),
                SERVICE,
                f'10.0.{number // 250}.{number % 250}:1',
                'astana-a',
                6,
                TargetState.ready,
                1_700_000_000_000,
                0,
            )
            for number in range(target_count)
        ]
        self.process_by_id = {
            one.target_id: TargetProcess(_Granter()) for one in self.targets
        }
        self.assignments = Assignments(
            SERVICE,
            planning.assign_evenly(
                self.targets, 1, ranges_per_target(self.targets, ROW_BYTES)
            ),
        )
        self.heat = KeyHeat()
        latencies = TargetLatencies()
        for target in self.targets:
            latencies.report(target.target_id, 5, 5 * SERVICE_TIME)
        self.loads = OwnerLoads(
            self.assignments,
            lambda: self.targets,
            self.heat,
            latencies,
            TargetLimits(),
        )
        self.joiner = NeighbourJoiner(
            self.assignments, self.loads, self.heat, _Granter()
        )
        self.now = 10.0
        self.hot_key = 0
        self.sizes: list[int] = []
        self.moved_keys = 0
        for assignment in self.assignments.ordered:
            self._grant(assignment)

    def run(self, seconds: float) -> None:
        """Play requests of which a part is for a few keys that change."""
        for step in range(int(seconds / HEAT_UPDATE_INTERVAL)):
            if not step % int(HOT_SECONDS / HEAT_UPDATE_INTERVAL):
                self.hot_key = self.random.randrange(KEY_COUNT - HOT_KEYS)
            self._step()

    def hottest_usage(self) -> float:
        """Return the usage of the busiest owner."""
        return max(one.usage for one in self.loads.current().values())

    def _step(self) -> None:
        self.now += HEAT_UPDATE_INTERVAL
        self.heat.count([self._key() for _ in range(RATE // 4)])
        self.heat.update()
        self.assignments.merge_neighbours(())
        room = room_of(self.assignments, ROW_BYTES)
        planning_round = planning.PlanningRound(
            self.now, may_split=room.may_split
        )
        moving = planning.choose_moves(
            self.assignments, self.loads.current(), self.heat, planning_round
        )
        for assignment in moving:
            self._release(assignment)
        if room.should_join:
            for assignment in self.joiner.choose(planning_round):
                self._release(assignment)
        self._assign_free()
        self.sizes.append(len(msgspec.msgpack.encode(self._map())))

    def _key(self) -> int:
        if self.random.random() < HOT_SHARE:
            return self.hot_key + self.random.randrange(HOT_KEYS)
        return self.random.randrange(KEY_COUNT)

    def _release(self, assignment: Assignment) -> None:
        assignment.state = AssignmentState.free
        assignment.handover = HANDOVER
        self.moved_keys += assignment.key_count

    def _assign_free(self) -> None:
        free = self.assignments.in_state(AssignmentState.free)
        load_by_id = self.loads.current()
        fence = self.assignments.highest_fence + 1
        joined = self.joiner.join(free, load_by_id, fence)
        others = [one for one in free if one not in joined]
        for assignment, target in planning.choose_owners(
            others, load_by_id, self.heat, self.now
        ):
            assignment.owner = target.target_id
            assignment.fence = fence
        for assignment in (*others, *joined):
            if assignment.state is AssignmentState.free:
                assignment.owned_since = self.now
            self._grant(assignment)

    def _grant(self, assignment: Assignment) -> None:
        assignment.state = AssignmentState.held
        assignment.is_suspect = False
        assignment.process = self.process_by_id[assignment.owner]
        assignment.process_fence = assignment.fence

    def _map(self) -> KeyMap:
        return self.assignments.key_map()


class MapSizeTest(unittest.TestCase):
    """Maps of large fleets whose hot keys move again and again."""

    def test_map_outgrows_its_row(self) -> None:
        """The store refused it, and no key could be granted any more."""
        for seed in range(2):
            simulation = Simulation(147, seed)
            simulation.run(60)
            with self.subTest(seed=seed):
                self.assertLess(max(simulation.sizes), ROW_BYTES)
                self.assertTrue(covers_all(simulation.assignments.ordered))
                self.assertGreater(simulation.moved_keys, 0)

    def test_first_map_of_many_targets_leaves_room(self) -> None:
        for count in (1, 18, 147, 461):
            simulation = Simulation(count, 1)
            room = room_of(simulation.assignments, ROW_BYTES)
            with self.subTest(count=count):
                self.assertLessEqual(room.count, JOIN_SHARE * room.maximum)

    def test_ranges_join_until_there_is_room(self) -> None:
        """A map that an earlier build has filled gets small again."""
        simulation = Simulation(147, 3)
        while room_of(simulation.assignments, ROW_BYTES).may_split:
            parted = simulation.random.choice(simulation.assignments.ordered)
            if parted.key_count > 1:
                simulation.assignments.split_off(
                    parted, parted.first, parted.first
                )
                other = simulation.random.choice(simulation.targets)
                part = next(
                    one
                    for one in simulation.assignments.ordered
                    if one.first == parted.first
                )
                part.owner = other.target_id
                part.process = None
        simulation.run(60)
        self.assertTrue(room_of(simulation.assignments, ROW_BYTES).may_split)

    def test_joining_range_and_neighbour_merge(self) -> None:
        simulation = Simulation(147, 4)
        before = len(simulation.assignments.ordered)
        planning_round = planning.PlanningRound(simulation.now)
        chosen = simulation.joiner.choose(planning_round)
        self.assertTrue(chosen)
        for assignment in chosen:
            simulation._release(assignment)
        simulation._assign_free()
        simulation.assignments.merge_neighbours(())
        self.assertEqual(
            len(simulation.assignments.ordered), before - len(chosen)
        )
        self.assertTrue(covers_all(simulation.assignments.ordered))


if __name__ == '__main__':
    unittest.main()
