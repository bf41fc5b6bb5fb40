"""The least number of keys that any rebalance has to move.

Lower bounds, not plans: they let slices be cut at will and find room
anywhere. No rebalance that has the same hot keys and ends inside the same
bound moves fewer keys.
"""

import msgspec
import numpy as np

from cassialever.balancer import Round
from cassialever.slice_loads import Assignment, Loads, limits
from cassialever.rebalance import Budget, MoveCause


class Keys(msgspec.Struct, frozen=True):
    """Keys moved in one round, and those of them for overload alone."""

    total: float
    overload: float
    hot: int = 0


def moved_keys(planned: Round, keys_by_slice: Loads) -> Keys:
    """Count the keys that a round moves; a hot key's slice has one."""
    returned = len(planned.returns)
    keys = _keys_of_slices(planned.assignment, keys_by_slice)
    slices = [move.slice_index for move in planned.plan.moves]
    overloaded = [
        move.slice_index
        for move in planned.plan.moves
        if move.cause is MoveCause.overload
    ]
    hot = sum(index >= len(keys_by_slice) for index in slices)
    return Keys(
        total=float(keys[slices].sum()) + returned,
        overload=float(keys[overloaded].sum()) + returned,
        hot=hot + returned,
    )


def least_keys(planned: Round, budget: Budget, keys_by_slice: Loads) -> Keys:
    """Bound the keys that have to move from below."""
    assignment = planned.assignment
    keys = _keys_of_slices(assignment, keys_by_slice)
    leaving = np.flatnonzero(assignment.weights <= 0)
    forced = float(keys[np.isin(assignment.owners, leaving)].sum())
    overload = max(
        _each_target(assignment, keys, budget),
        _heaviest_key(assignment, keys, budget),
    )
    return Keys(forced + overload, overload)


def _keys_of_slices(assignment: Assignment, keys_by_slice: Loads) -> Loads:
    hot_slices = len(assignment.owners) - len(keys_by_slice)
    return np.append(keys_by_slice, np.ones(hot_slices))


def _each_target(assignment: Assignment, keys: Loads, budget: Budget) -> float:
    """Bound by what each target has over its limit."""
    allowed = limits(assignment, assignment.loads, budget.bound)
    least: float = 0
    for target in np.flatnonzero(allowed):
        mine = assignment.owners == target
        least += _cover(assignment.loads[mine], keys[mine], allowed[target])
    return least


def _heaviest_key(
    assignment: Assignment,
    keys: Loads,
    budget: Budget,
) -> float:
    """Bound by the base slices that some target gives up for a hot key."""
    base = assignment.base_slices
    owners = assignment.owners[:base]
    heaviest = assignment.loads[base:].max()
    allowed = limits(assignment, assignment.loads, budget.bound)
    return min(
        _cover(
            assignment.loads[:base][owners == target],
            keys[:base][owners == target],
            allowed[target] - heaviest,
        )
        for target in np.flatnonzero(allowed)
    )


def _cover(loads: Loads, keys: Loads, limit: float) -> float:
    """Return the fewest keys without which the slices are in a limit."""
    excess = loads.sum() - limit
    if excess <= 0:
        return 0
    load_per_key = loads / keys.clip(min=1)
    order = np.argsort(-load_per_key, kind='stable')
    covered = np.append(0, np.cumsum(loads[order]))
    counted = np.append(0, np.cumsum(keys[order]))
    return float(np.interp(excess, covered, counted))
