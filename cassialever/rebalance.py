"""Decide which slices move so that no target carries more than its share.

Pure: owners, loads and weights in, wanted owners and ordered moves out. A
target's weight is its capacity, and 0 where it leaves or is lost. Slices of
such targets have to move; others move only while a target is over the bound,
the fewest that help, and within a budget.
"""

import enum
import heapq
from typing import Final

import msgspec
import numpy as np
from numpy import typing as npt

from cassialever.slices import NO_TARGET, TargetIndexes
from cassialever.types import SliceIndex

Loads = npt.NDArray[np.float64]

#: Load that every slice counts for at least, as a share of the mean slice,
#: so that slices without load are spread by number.
IDLE_SHARE: Final = 0.01


class MoveCause(enum.Enum):
    """Why a slice moves; the order is the order of moves."""

    unowned = 0
    lost = 1
    leaving = 2
    overload = 3
    cooled = 4


class Move(msgspec.Struct, frozen=True):
    """Move a slice from one target index to another."""

    slice_index: SliceIndex
    source: int
    receiver: int
    cause: MoveCause


class Budget(msgspec.Struct, frozen=True):
    """Limits of one rebalance.

    `bound` is the most that a target's load may be over the mean, both by
    weight. `slices` is the most base slices moved for overload and
    `hot_slices` the most hot keys; forced moves are not limited.
    """

    bound: float = 1.1
    slices: int = 64
    hot_slices: int = 64


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


class Plan(msgspec.Struct, frozen=True):
    """The wanted owners, the moves in order, and what they are to bring."""

    wanted: TargetIndexes
    moves: tuple[Move, ...]
    imbalance_before: float
    imbalance_after: float


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


def assign(assignment: Assignment, budget: Budget) -> Plan:
    """Return the wanted owners and the moves that lead to them.

    Moves go by cause; within one cause the heaviest slices are first, so
    that the most load finds an owner soonest.
    """
    before = imbalance(load_by_target(assignment), assignment.weights)
    if not assignment.weights.sum():
        return Plan(assignment.owners.copy(), (), before, before)
    ledger = _Ledger(assignment, budget)
    _place_forced(ledger)
    _relieve(ledger, budget)
    wanted = ledger.wanted
    after = imbalance(
        load_by_target(msgspec.structs.replace(assignment, owners=wanted)),
        assignment.weights,
    )
    moves = sorted(ledger.moves, key=lambda move: move.cause.value)
    return Plan(wanted, tuple(moves), before, after)


class _Ledger:
    """Loads of slices and targets while moves are chosen."""

    def __init__(self, assignment: Assignment, budget: Budget) -> None:
        self.assignment = assignment
        self._weights = assignment.weights
        self.wanted = assignment.owners.copy()
        self.moves: list[Move] = []
        idle = assignment.loads.mean() * IDLE_SHARE or 1
        self.loads = np.maximum(assignment.loads, idle)
        weighed = msgspec.structs.replace(assignment, loads=self.loads)
        self.target_loads = load_by_target(weighed)
        in_use = assignment.owners != NO_TARGET
        in_use[: assignment.base_slices].fill(True)
        mean = self.loads[in_use].sum() / assignment.weights.sum()
        self.limits = mean * assignment.weights * budget.bound

    def fullness(self, target: int) -> float:
        """Return a target's load by weight."""
        return float(self.target_loads[target] / self._weights[target])

    def excess(self, target: int) -> float:
        """Return the load of a target over its limit."""
        return float(self.target_loads[target] - self.limits[target])

    def emptiest(self) -> int:
        """Return the target with the most room under its limit."""
        return int(np.argmax(self.limits - self.target_loads))

    def move(self, slice_index: int, receiver: int) -> None:
        """Record one move."""
        source = int(self.wanted[slice_index])
        load = self.loads[slice_index]
        if source != NO_TARGET:
            self.target_loads[source] -= load
        self.target_loads[receiver] += load
        self.wanted[slice_index] = receiver
        cause = self._cause(source)
        move = Move(SliceIndex(slice_index), source, receiver, cause)
        self.moves.append(move)

    def _cause(self, source: int) -> MoveCause:
        if source == NO_TARGET:
            return MoveCause.unowned
        if self.assignment.lost[source]:
            return MoveCause.lost
        if self._weights[source] <= 0:
            return MoveCause.leaving
        return MoveCause.overload


def _place_forced(ledger: _Ledger) -> None:
    """Place what has to move, the heaviest first on the least loaded."""
    forced = forced_slices(ledger.assignment)
    usable = np.flatnonzero(ledger.assignment.weights > 0).tolist()
    heap = [(ledger.fullness(target), target) for target in usable]
    heapq.heapify(heap)
    for slice_index in forced[np.argsort(-ledger.loads[forced])].tolist():
        receiver = heap[0][1]
        ledger.move(slice_index, receiver)
        heapq.heapreplace(heap, (ledger.fullness(receiver), receiver))


def _relieve(ledger: _Ledger, budget: Budget) -> None:
    """Move slices off targets over the bound, the fullest first."""
    over = ledger.target_loads > ledger.limits
    targets = np.flatnonzero(over & (ledger.assignment.weights > 0)).tolist()
    targets.sort(key=ledger.fullness, reverse=True)
    hot_left = budget.hot_slices
    left = budget.slices
    for target in targets:
        # A hot key's slice carries one key, so that it is the least to move.
        hot_left -= _shed(ledger, target, hot_left, hot=True)
        left -= _shed(ledger, target, left, hot=False)


def _shed(ledger: _Ledger, target: int, left: int, *, hot: bool) -> int:
    """Move slices of one sort off a target; return how many were moved."""
    candidates = _by_load(ledger, target, hot=hot)
    for moved in range(left):
        if ledger.excess(target) <= 0:
            return moved
        receiver = ledger.emptiest()
        loads = ledger.loads[candidates]
        position = _choose(
            loads,
            room=-ledger.excess(receiver),
            excess=ledger.excess(target),
        )
        if position >= len(candidates):
            return moved
        ledger.move(int(candidates[position]), receiver)
        candidates = np.delete(candidates, position)
    return left


def _by_load(
    ledger: _Ledger,
    target: int,
    *,
    hot: bool,
) -> npt.NDArray[np.int64]:
    """Return a target's slices of one sort, the heaviest first."""
    slices = np.flatnonzero(ledger.wanted == target)
    is_hot = slices >= ledger.assignment.base_slices
    slices = slices[is_hot == hot]
    by_load = np.argsort(-ledger.loads[slices], kind='stable')
    ordered: npt.NDArray[np.int64] = slices[by_load]
    return ordered


def _choose(descending: Loads, *, room: float, excess: float) -> int:
    """Return the position of the slice to move, or the length if none fits.

    The lightest slice that ends the overload alone goes before the heaviest
    for which there is room.
    """
    heaviest = np.searchsorted(-descending, -room)
    lightest = np.searchsorted(-descending, -excess, side='right') - 1
    return int(max(heaviest, lightest))
