"""Decide which slices move so that no target carries more than its share.

Pure: owners, loads and weights in, wanted owners and ordered moves out. A
target's weight is its capacity, and 0 where it leaves or is lost. Slices of
such targets have to move; others move only while a target is over the bound,
the fewest that help, and within a budget.
"""

import enum
import heapq

import msgspec
import numpy as np

from cassialever.slice_loads import (
    Assignment,
    Ledger,
    Loads,
    forced_slices,
    imbalance,
    load_by_target,
)
from cassialever.slices import NO_TARGET, TargetIndexes
from cassialever.types import SliceIndex


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

    bound: float = 1.065
    slices: int = 64
    hot_slices: int = 64


class Plan(msgspec.Struct, frozen=True):
    """The wanted owners, the moves in order, and what they are to bring."""

    wanted: TargetIndexes
    moves: tuple[Move, ...]
    imbalance_before: float
    imbalance_after: float


def assign(assignment: Assignment, budget: Budget) -> Plan:
    """Return the wanted owners and the moves that lead to them.

    Moves go by cause; within one cause the heaviest slices are first, so
    that the most load finds an owner soonest.
    """
    before = imbalance(load_by_target(assignment), assignment.weights)
    if not assignment.weights.sum():
        return Plan(assignment.owners.copy(), (), before, before)
    ledger = Ledger(assignment, budget.bound)
    _place_forced(ledger)
    _relieve(ledger, budget)
    wanted = ledger.wanted
    after = imbalance(
        load_by_target(msgspec.structs.replace(assignment, owners=wanted)),
        assignment.weights,
    )
    return Plan(wanted, _moves(assignment, wanted), before, after)


def _moves(assignment: Assignment, wanted: TargetIndexes) -> tuple[Move, ...]:
    changed = np.flatnonzero(assignment.owners != wanted)
    by_load = np.argsort(-assignment.loads[changed], kind='stable')
    moves = [
        _move(assignment, slice_index, int(wanted[slice_index]))
        for slice_index in changed[by_load].tolist()
    ]
    return tuple(sorted(moves, key=lambda move: move.cause.value))


def _move(assignment: Assignment, slice_index: int, receiver: int) -> Move:
    source = int(assignment.owners[slice_index])
    cause = _cause(assignment, source)
    return Move(SliceIndex(slice_index), source, receiver, cause)


def _cause(assignment: Assignment, source: int) -> MoveCause:
    if source == NO_TARGET:
        return MoveCause.unowned
    if assignment.lost[source]:
        return MoveCause.lost
    if assignment.weights[source] <= 0:
        return MoveCause.leaving
    return MoveCause.overload


def _place_forced(ledger: Ledger) -> None:
    """Place what has to move, the heaviest first on the least loaded."""
    forced = forced_slices(ledger.assignment)
    usable = np.flatnonzero(ledger.assignment.weights > 0).tolist()
    heap = [(ledger.fullness(target), target) for target in usable]
    heapq.heapify(heap)
    for slice_index in ledger.heaviest_first(forced):
        receiver = heap[0][1]
        ledger.move(slice_index, receiver)
        heapq.heapreplace(heap, (ledger.fullness(receiver), receiver))


def _relieve(ledger: Ledger, budget: Budget) -> None:
    """Move slices off targets over their limits, the fullest first.

    A hot key's slice carries one key, so that hot keys go first.
    """
    _relieve_by_hot_keys(ledger, budget.hot_slices)
    left = budget.slices
    for target in ledger.overloaded():
        left -= _shed(ledger, target, left, hot=False)


def _relieve_by_hot_keys(ledger: Ledger, budget: int) -> None:
    """Move the fewest hot keys, or place them all anew if that's too few."""
    wanted = ledger.wanted.copy()
    target_loads = ledger.target_loads.copy()
    left = budget
    for target in ledger.overloaded():
        left -= _shed(ledger, target, left, hot=True)
    if ledger.overloaded():
        np.copyto(ledger.wanted, wanted)
        np.copyto(ledger.target_loads, target_loads)
        _repack(ledger, budget)


def _repack(ledger: Ledger, left: int) -> None:
    """Place the hot keys anew, the heaviest first, most of them as before.

    This finds room that moving one key after the other does not.
    """
    hot_keys = ledger.hot_keys()
    owners = ledger.wanted[hot_keys]
    np.subtract.at(ledger.target_loads, owners, ledger.loads[hot_keys])
    for slice_index, owner in zip(hot_keys, owners.tolist()):
        ledger.target_loads[owner] += ledger.loads[slice_index]
        if left > 0:
            left -= _replace(ledger, slice_index, owner)


def _replace(ledger: Ledger, slice_index: int, owner: int) -> bool:
    """Move a slice off a target over its limit, if another has more room."""
    receiver = ledger.emptiest()
    excess = ledger.excess(receiver) + ledger.loads[slice_index]
    if ledger.excess(owner) <= 0 or excess >= ledger.excess(owner):
        return False
    ledger.move(slice_index, receiver)
    return True


def _shed(ledger: Ledger, target: int, left: int, *, hot: bool) -> int:
    """Move slices of one sort off a target; return how many were moved."""
    candidates = ledger.slices_of(target, hot=hot)
    for moved in range(left):
        if ledger.excess(target) <= 0:
            return moved
        receiver = ledger.emptiest()
        position = _choose(
            ledger.loads[candidates],
            room=-ledger.excess(receiver),
            excess=ledger.excess(target),
        )
        if position >= len(candidates):
            return moved
        ledger.move(candidates[position], receiver)
        candidates.pop(position)
    return left


def _choose(descending: Loads, *, room: float, excess: float) -> int:
    """Return the position of the slice to move, or the length if none fits.

    The lightest slice that ends the overload alone goes before the heaviest
    for which there is room.
    """
    heaviest = np.searchsorted(-descending, -room)
    lightest = np.searchsorted(-descending, -excess, side='right') - 1
    return int(max(heaviest, lightest))
