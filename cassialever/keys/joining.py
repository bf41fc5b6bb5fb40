"""Let small key ranges join the owners of their neighbours.

Moves for load split ranges, and ranges with different owners can't merge. A
range that joins gets a common fence with its neighbour, so that both merge once
the owner has accepted it.
"""

import itertools
from collections.abc import Iterator
from typing import Final, NamedTuple

from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
)
from cassialever.keys.balance import mean_usage
from cassialever.keys.granting import Granter
from cassialever.keys.heat import KeyHeat
from cassialever.keys.planning import FILL_USAGE, PlanningRound
from cassialever.keys.targetloads import OwnerLoad, OwnerLoads
from cassialever.types import Fence, TargetId

#: Most ranges that begin to join in one round.
MAX_JOINS_PER_ROUND: Final = 6


class _Pair(NamedTuple):
    """A range that may join a neighbour, and the heat that goes with it."""

    load: float
    joining: Assignment
    neighbour: Assignment


class NeighbourJoiner:
    """Joins ranges of one service to the owners of their neighbours."""

    def __init__(
        self,
        assignments: Assignments,
        loads: OwnerLoads,
        heat: KeyHeat,
        granter: Granter,
    ) -> None:
        self._assignments = assignments
        self._loads = loads
        self._heat = heat
        self._granter = granter

    def choose(self, planning_round: PlanningRound) -> list[Assignment]:
        """Return ranges that should leave their owners to join a neighbour.

        They are those with the least heat that a neighbour's owner has room
        for. No range takes part in two pairs.
        """
        load_by_id = self._loads.current()
        if not load_by_id:
            return []
        level = max(mean_usage(load_by_id), FILL_USAGE)
        chosen: list[Assignment] = []
        paired: set[int] = set()
        for pair in sorted(self._pairs(planning_round), key=_load_of):
            firsts = {pair.joining.first, pair.neighbour.first}
            owner = load_by_id.get(pair.neighbour.owner)
            if paired & firsts or not _has_room(owner, pair.load, level):
                continue
            if len(chosen) >= MAX_JOINS_PER_ROUND:
                break
            paired |= firsts
            pair.joining.is_joining = True
            chosen.append(pair.joining)
        return chosen

    def join(
        self,
        free: list[Assignment],
        load_by_id: dict[TargetId, OwnerLoad],
        fence: Fence,
    ) -> list[Assignment]:
        """Give free ranges to a neighbour's owner, both with a new fence.

        Return those that were chosen to join and have a neighbour, and these
        neighbours. They are renewed when the new fence is in the store.
        """
        joined: list[Assignment] = []
        for assignment in free:
            if not assignment.is_joining:
                continue
            assignment.is_joining = False
            neighbour = self._neighbour(assignment, load_by_id)
            if neighbour is None:
                continue
            assignment.owner = neighbour.owner
            assignment.owner_started_at = neighbour.owner_started_at
            assignment.fence = fence
            neighbour.fence = fence
            neighbour.is_suspect = True
            joined.extend((assignment, neighbour))
        return joined

    def _pairs(self, planning_round: PlanningRound) -> Iterator[_Pair]:
        for left, right in itertools.pairwise(self._assignments.ordered):
            if left.owner == right.owner:
                continue
            for pair in ((left, right), (right, left)):
                if self._may_join(*pair, planning_round):
                    yield self._pair(*pair)

    def _may_join(
        self,
        joining: Assignment,
        neighbour: Assignment,
        planning_round: PlanningRound,
    ) -> bool:
        may_leave = planning_round.may_move(joining)
        return may_leave and self._can_be_joined(neighbour)

    def _pair(self, joining: Assignment, neighbour: Assignment) -> _Pair:
        load = self._heat.of(joining.first, joining.last)
        return _Pair(load, joining, neighbour)

    def _can_be_joined(self, assignment: Assignment) -> bool:
        """Return whether a range may get another fence now.

        It can't while a grant for it is in progress.
        """
        is_held = assignment.state is AssignmentState.held
        is_idle = assignment.owner not in self._granter.pending_owners
        return is_held and is_idle and not assignment.is_suspect

    def _neighbour(
        self, joining: Assignment, load_by_id: dict[TargetId, OwnerLoad]
    ) -> Assignment | None:
        position = self._assignments.ordered.index(joining)
        start = max(position - 1, 0)
        for neighbour in self._assignments.ordered[start : position + 2]:
            load = load_by_id.get(neighbour.owner)
            if load is None or not self._can_be_joined(neighbour):
                continue
            if load.target.started_at == neighbour.owner_started_at:
                return neighbour
        return None


def _has_room(owner: OwnerLoad | None, load: float, level: float) -> bool:
    if owner is None or owner.is_limited:
        return False
    return owner.load + load <= level * owner.capacity


def _load_of(pair: _Pair) -> float:
    return pair.load
