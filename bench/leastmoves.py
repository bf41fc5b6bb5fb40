"""The least number of keys that any rebalance has to move.

A lower bound, not a plan: it takes each target alone and lets slices be cut
at will and find room anywhere. No rebalance with the same hot keys that ends
inside the same bound moves fewer keys.
"""

import msgspec
import numpy as np

from cassialever.balancer import Round
from cassialever.rebalance import Budget, Loads, MoveCause
from cassialever.slices import NO_TARGET


class Keys(msgspec.Struct, frozen=True):
    """Keys moved in one round, and those of them for overload alone."""

    total: float
    overload: float
    hot: int = 0


def moved_keys(planned: Round, keys_by_slice: Loads) -> Keys:
    """Count the keys that a round moves; a hot key's slice has one."""
    total: float = len(planned.returns)
    overload: float = len(planned.returns)
    hot = len(planned.returns)
    for move in planned.plan.moves:
        is_hot = move.slice_index >= len(keys_by_slice)
        keys = 1 if is_hot else keys_by_slice[move.slice_index]
        hot += is_hot
        total += keys
        if move.cause is MoveCause.overload:
            overload += keys
    return Keys(total, overload, hot)


def least_keys(
    planned: Round,
    weights: Loads,
    budget: Budget,
    keys_by_slice: Loads,
) -> Keys:
    """Bound the keys that have to move from below."""
    owners = planned.assignment.owners
    loads = planned.assignment.loads
    in_use = owners != NO_TARGET
    keys = np.ones(len(owners))
    keys[: len(keys_by_slice)] = keys_by_slice
    mean = loads[in_use].sum() / weights.sum()
    forced: float = 0
    overload: float = 0
    for target, weight in enumerate(weights):
        mine = np.flatnonzero(owners == target)
        if not weight:
            forced += keys[mine].sum()
            continue
        excess = loads[mine].sum() - mean * weight * budget.bound
        overload += _least_cover(loads[mine], keys[mine], excess)
    return Keys(forced + overload, overload)


def _least_cover(loads: Loads, keys: Loads, excess: float) -> float:
    """Return the fewest keys whose slices, cut at will, have the load."""
    if excess <= 0:
        return 0
    per_key = np.argsort(-loads / np.maximum(keys, 1), kind='stable')
    covered = np.cumsum(loads[per_key])
    return float(
        np.interp(
            excess,
            np.append(0, covered),
            np.append(0, np.cumsum(keys[per_key])),
        )
    )
