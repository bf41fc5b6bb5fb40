"""Decide which target owns which keys.

The plan is made for hot keys that lie close together and change within
seconds, for targets that join without keys, for targets that drain and for
targets that name a limit. Each target first gets several ranges, so that
neighbouring ranges have different owners. Later the hottest part of the busiest
target's keys moves to the least busy target, until no target is far above the
mean.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Final

import msgspec

from cassialever.fleet.model import KEY_COUNT, Target
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
)
from cassialever.keys.balance import (
    MAX_LIMIT_USAGE,
    is_silent,
    is_unbalanced,
    mean_usage,
    usage_of,
)
from cassialever.keys.heat import KeyHeat
from cassialever.keys.targetloads import OwnerLoad
from cassialever.types import Fence, Seconds, TargetId

#: Key ranges that a target gets in the first assignment.
RANGES_PER_TARGET: Final = 4
#: Usage of a target up to which keys are moved to it.
FILL_USAGE: Final = 0.45
#: Maximum number of moves that one round begins.
MAX_MOVES_PER_ROUND: Final = 6
#: How long keys stay with an owner before they may move again for load.
MIN_OWNERSHIP_TIME: Final[Seconds] = 1.5
#: Ranges of one owner that are tried for a part that can move.
MAX_RANGES_TRIED: Final = 4
#: A range moves whole if it has up to this multiple of the heat to move.
WHOLE_RANGE_RATIO: Final = 1.15


class PlanningRound(msgspec.Struct, frozen=True):
    """The time of a planning round, and the owners whose keys must stay.

    Without `may_split` only whole ranges move.
    """

    now: Seconds
    pending_owners: frozenset[TargetId] = frozenset()
    may_split: bool = True

    def movable(
        self,
        assignments: Assignments,
        owner: TargetId,
        chosen: list[Assignment],
    ) -> list[Assignment]:
        """Return an owner's assignments that may move for load."""
        if owner in self.pending_owners:
            return []
        return [
            assignment
            for assignment in assignments.held_by(owner)
            if assignment not in chosen and self._is_settled(assignment)
        ]

    def may_move(self, assignment: Assignment) -> bool:
        """Return whether an assignment may leave its owner without need."""
        is_held = assignment.state is AssignmentState.held
        is_idle = assignment.owner not in self.pending_owners
        return is_held and is_idle and self._is_settled(assignment)

    def part_to_move(
        self,
        assignments: Assignments,
        owned: list[Assignment],
        wanted: float,
        heat: KeyHeat,
    ) -> Assignment | None:
        """Return an assignment with about the wanted heat, split if need be."""
        if self.may_split:
            return _split_off_hottest(assignments, owned, wanted, heat)
        return _hottest_up_to(owned, wanted, heat)

    def _is_settled(self, assignment: Assignment) -> bool:
        return self.now - assignment.owned_since >= MIN_OWNERSHIP_TIME


def assign_evenly(
    targets: Sequence[Target],
    first_fence: Fence,
    ranges_per_target: int = RANGES_PER_TARGET,
) -> list[Assignment]:
    """Assign all keys in proportion to slots, in several ranges each."""
    turns = list(targets) * ranges_per_target
    total = sum(target.slots for target in turns)
    assignments = []
    first = 0
    slots = 0
    for target in turns:
        slots += target.slots
        end = KEY_COUNT * slots // total
        assignments.append(_assignment(first, end - 1, target, first_fence))
        first = end
    return assignments


def choose_owners(
    free: Sequence[Assignment],
    load_by_id: dict[TargetId, OwnerLoad],
    heat: KeyHeat,
    now: Seconds,
) -> list[tuple[Assignment, Target]]:
    """Choose an owner for each free assignment, the hottest first."""
    heated = [(heat.of(one.first, one.last), one) for one in free]
    heated.sort(key=_by_heat, reverse=True)
    chosen = []
    for load, assignment in heated:
        owner = _silent_with_room(load, load_by_id.values(), now)
        if owner is None:
            owner = _least_busy_with(load, load_by_id.values())
        owner.load += load
        owner.active_at = now
        chosen.append((assignment, owner.target))
    return chosen


def choose_moves(
    assignments: Assignments,
    load_by_id: dict[TargetId, OwnerLoad],
    heat: KeyHeat,
    planning_round: PlanningRound,
) -> list[Assignment]:
    """Split off and return the assignments to move to other targets."""
    if len(load_by_id) < 2:
        return []
    chosen: list[Assignment] = []
    mean = mean_usage(load_by_id)
    for _ in range(MAX_MOVES_PER_ROUND + len(load_by_id)):
        busiest = max(load_by_id.values(), key=usage_of)
        gaining = _gaining_owner(
            busiest, load_by_id.values(), mean, planning_round.now
        )
        if gaining is None or len(chosen) >= MAX_MOVES_PER_ROUND:
            break
        owned = planning_round.movable(
            assignments, busiest.target.target_id, chosen
        )
        wanted = _load_to_move(busiest, gaining, mean)
        part = planning_round.part_to_move(assignments, owned, wanted, heat)
        if part is None:
            # None of its keys can move now: count it as having the mean
            # usage, and go on with the next busiest.
            busiest.load = mean * busiest.capacity
            continue
        _shift_load(heat.of(part.first, part.last), busiest, gaining)
        gaining.active_at = planning_round.now
        chosen.append(part)
    return chosen


def _gaining_owner(
    busiest: OwnerLoad,
    owners: Collection[OwnerLoad],
    mean: float,
    now: Seconds,
) -> OwnerLoad | None:
    """Return the target that should get keys of the busiest, if one should."""
    for owner in owners:
        if owner is not busiest and is_silent(owner, now):
            return owner
    least_busy = min(owners, key=usage_of)
    if is_unbalanced(busiest, least_busy, mean):
        return least_busy
    return None


def _shift_load(load: float, source: OwnerLoad, destination: OwnerLoad) -> None:
    source.load -= load
    destination.load += load


def _load_to_move(
    busiest: OwnerLoad,
    least_busy: OwnerLoad,
    mean: float,
) -> float:
    """Return the load to move so that one of the two reaches a usage level.

    The level is the mean, or FILL_USAGE if the mean is lower and the busiest
    is above it: under low load a few large moves are better than many small
    ones.
    """
    level = max(mean, FILL_USAGE)
    if busiest.usage <= level:
        level = mean
    return min(
        (busiest.usage - level) * busiest.capacity,
        (level - least_busy.usage) * least_busy.capacity,
    )


def _split_off_hottest(
    assignments: Assignments,
    owned: list[Assignment],
    wanted: float,
    heat: KeyHeat,
) -> Assignment | None:
    """Return a part of one of the hottest assignments with about that heat."""
    if wanted <= 0:
        return None
    heated = [(heat.of(one.first, one.last), one) for one in owned]
    heated.sort(key=_by_heat, reverse=True)
    for load, assignment in heated[:MAX_RANGES_TRIED]:
        if load <= wanted * WHOLE_RANGE_RATIO:
            return assignment
        part = _part_of(assignment, wanted, heat)
        if part is not None:
            return assignments.split_off(assignment, *part)
    return None


def _part_of(
    assignment: Assignment, wanted: float, heat: KeyHeat
) -> tuple[int, int] | None:
    """Return the first and last key of a part with about the wanted heat.

    If its first key alone is hotter than what should move, that key stays and
    the keys after it may move.
    """
    first = assignment.first
    for _ in range(2):
        last = heat.prefix_end(first, assignment.last, wanted)
        if heat.of(first, last) <= 2 * wanted:
            return first, last
        first += 1
        if first > assignment.last:
            break
    return None


def _hottest_up_to(
    owned: list[Assignment], wanted: float, heat: KeyHeat
) -> Assignment | None:
    """Return the hottest whole assignment with at most the wanted heat."""
    heated = [(heat.of(one.first, one.last), one) for one in owned]
    limit = wanted * WHOLE_RANGE_RATIO
    fitting = [pair for pair in heated if pair[0] <= limit]
    return max(fitting, key=_by_heat, default=(0, None))[1]


def _assignment(
    first: int, last: int, target: Target, fence: Fence
) -> Assignment:
    return Assignment(
        first=first,
        last=last,
        owner=target.target_id,
        owner_started_at=target.started_at,
        fence=fence,
    )


def _silent_with_room(
    load: float,
    owners: Iterable[OwnerLoad],
    now: Seconds,
) -> OwnerLoad | None:
    """Return a limited target that needs requests and takes that load."""
    for owner in owners:
        usage = (owner.load + load) / owner.capacity
        if is_silent(owner, now) and usage <= MAX_LIMIT_USAGE:
            return owner
    return None


def _least_busy_with(
    load: float,
    owners: Iterable[OwnerLoad],
) -> OwnerLoad:
    """Return the target that would be least busy with an added load."""
    return min(owners, key=lambda owner: (owner.load + load) / owner.capacity)


def _by_heat(heated: tuple[float, Assignment]) -> float:
    return heated[0]
