"""Owners, loads and weights of one service's slices, and sums over them."""

from typing import Final

import msgspec
import numpy as np
from numpy import typing as npt

from cassialever.slices import NO_TARGET, TargetIndexes

Loads = npt.NDArray[np.float64]

#: Load that every slice counts for at least, as a share of the mean slice,
#: so that slices without load are spread by number.
IDLE_SHARE: Final = 0.01


class Assignment(msgspec.Struct, frozen=True):
    """What the rebalancer is told of one service.

    Arrays go by slice (owners, loads) or by target index (weights, lost).
    Slices from `base_slices` on belong to hot keys, and those of them
    without an owner are unused.
    """

    owners: TargetIndexes
    loads: Loads
    weights: Loads
    lost: npt.NDArray[np.bool_]
    base_slices: int


def imbalance(target_loads: Loads, weights: Loads) -> float:
    """Return max/mean of load by weight; infinite if load has no target."""
    usable = weights > 0
    if not usable.any() or target_loads[~usable].sum() > 0:
        return float('inf')
    total = target_loads.sum()
    if not total:
        return 1
    mean = total / weights.sum()
    return float((target_loads[usable] / weights[usable]).max() / mean)


def load_by_target(assignment: Assignment) -> Loads:
    """Sum the loads of each target's slices; unowned load is left out."""
    owned = assignment.owners != NO_TARGET
    return np.bincount(
        assignment.owners[owned],
        weights=assignment.loads[owned],
        minlength=len(assignment.weights),
    ).astype(np.float64)


def forced_slices(assignment: Assignment) -> npt.NDArray[np.int64]:
    """Return the slices in use whose owner may not keep them."""
    owners = assignment.owners
    unowned = owners == NO_TARGET
    unowned[assignment.base_slices :].fill(False)
    # An index past the last target stands for no owner at all.
    weights = np.append(assignment.weights, 1)
    owner_weights = weights[np.minimum(owners, len(assignment.weights))]
    return np.flatnonzero(unowned | (owner_weights <= 0))


def limits(assignment: Assignment, loads: Loads, bound: float) -> Loads:
    """Return the load that each target may have.

    No assignment brings a target under the load of its heaviest slice, so
    that such a slice raises what the bound is taken of.
    """
    in_use = assignment.owners != NO_TARGET
    in_use[: assignment.base_slices].fill(True)
    mean = loads[in_use].sum() / assignment.weights.sum()
    heaviest = loads[in_use].max() / assignment.weights.max()
    allowed: Loads = assignment.weights * max(mean, heaviest) * bound
    return allowed


class Ledger:
    """Loads of slices and targets while moves are chosen."""

    def __init__(self, assignment: Assignment, bound: float) -> None:
        """Start from an assignment; `bound` is the limit over the mean."""
        self.assignment = assignment
        self.wanted = assignment.owners.copy()
        idle = assignment.loads.mean() * IDLE_SHARE or 1
        self.loads = np.maximum(assignment.loads, idle)
        weighed = msgspec.structs.replace(assignment, loads=self.loads)
        self.target_loads = load_by_target(weighed)
        self.limits = limits(assignment, self.loads, bound)

    def fullness(self, target: int) -> float:
        """Return a target's load by weight."""
        return float(
            self.target_loads[target] / self.assignment.weights[target]
        )

    def excess(self, target: int) -> float:
        """Return the load of a target over its limit."""
        return float(self.target_loads[target] - self.limits[target])

    def emptiest(self) -> int:
        """Return the target with the most room under its limit."""
        return int(np.argmax(self.limits - self.target_loads))

    def overloaded(self) -> list[int]:
        """Return the targets over their limits, the fullest first."""
        over = self.target_loads > self.limits
        targets = np.flatnonzero(over & (self.assignment.weights > 0))
        by_fullness: list[int] = sorted(
            targets.tolist(),
            key=self.fullness,
            reverse=True,
        )
        return by_fullness

    def hot_keys(self) -> list[int]:
        """Return all hot keys' slices in use, the heaviest first."""
        in_use = self.wanted != NO_TARGET
        in_use[: self.assignment.base_slices].fill(False)
        return self.heaviest_first(np.flatnonzero(in_use))

    def slices_of(self, target: int, *, hot: bool) -> list[int]:
        """Return a target's base or hot slices, the heaviest first."""
        slices = np.flatnonzero(self.wanted == target)
        is_hot = slices >= self.assignment.base_slices
        return self.heaviest_first(slices[is_hot == hot])

    def heaviest_first(self, slices: npt.NDArray[np.int64]) -> list[int]:
        """Return slices in the order of their loads."""
        by_load = np.argsort(-self.loads[slices], kind='stable')
        ordered: list[int] = slices[by_load].tolist()
        return ordered

    def move(self, slice_index: int, receiver: int) -> None:
        """Give a slice to another target."""
        source = int(self.wanted[slice_index])
        load = self.loads[slice_index]
        if source != NO_TARGET:
            self.target_loads[source] -= load
        self.target_loads[receiver] += load
        self.wanted[slice_index] = receiver
