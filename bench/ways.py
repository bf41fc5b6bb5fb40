"""Ways to place a service's keys: the balancer and its two baselines."""

import functools

import numpy as np
from numpy import typing as npt

from bench.zipf import WINDOW_SECONDS, Load, Size
from cassialever.slice_loads import Loads
from cassialever.balancer import Round, plan_round
from cassialever.heat import HeatView, ServiceHeat, merged
from cassialever.rebalance import Budget
from cassialever.slices import SliceMap
from cassialever.types import SliceIndex, TargetId

HALF_LIFE_SECONDS = 20

Positions = npt.NDArray[np.int64]


class Balanced:
    """A service under the real balancer, fed by the real counters."""

    def __init__(self, load: Load, budget: Budget) -> None:
        """Give each target the same number of slices, in turns."""
        self.load = load
        self.budget = budget
        self.slice_map = SliceMap(load.size.slices)
        for position in range(load.size.slices):
            number = position % load.size.targets
            owner = TargetId(f'target-{number}')
            self.slice_map.set_owner(SliceIndex(position), owner)
        self._heats = [ServiceHeat() for _ in range(load.size.targets)]
        self._view = HeatView(len(self.slice_map), HALF_LIFE_SECONDS)

    def owners(self) -> Positions:
        """Return the owner of every key."""
        owners = self.slice_map.owner_indexes[self._slice_by_key()]
        return owners.astype(np.int64)

    def count(self, requests: Positions) -> None:
        """Let each target's leaseholder count, and merge their reports."""
        self._count_each(requests)
        reports = [heat.report(WINDOW_SECONDS) for heat in self._heats]
        interval = merged(len(self.slice_map), reports)
        self._view.fold(interval, WINDOW_SECONDS)

    def plan(self, weights: Loads) -> Round:
        """Plan one round."""
        lost = np.zeros(len(weights), dtype=np.bool_)
        return plan_round(
            self.slice_map,
            self._view,
            weights,
            lost,
            self.budget,
        )

    def carry_out(self, planned: Round) -> None:
        """Move everything at once."""
        self.slice_map = planned.slice_map
        np.copyto(self.slice_map.owner_indexes, planned.plan.wanted)
        self._view.replace(planned.assignment.loads)

    def _count_each(self, requests: Positions) -> None:
        slices = self._slice_by_key()[requests]
        owners = self.slice_map.owner_indexes[slices]
        counted = np.rec.fromarrays(
            (owners, slices, self.load.hashes[requests]),
        )
        for owner, *request in counted.tolist():
            self._heats[owner].add(*request)

    def _slice_by_key(self) -> Positions:
        slices = self.load.base_slices.copy()
        hot = self.slice_map.slice_by_hot_hash
        wanted = np.array(list(hot), dtype=np.uint64)
        for position in np.flatnonzero(np.isin(self.load.hashes, wanted)):
            slices[position] = hot[int(self.load.hashes[position])]
        return slices


def static_owners(load: Load, weights: Loads) -> Positions:
    """Return each key's owner by its hash modulo the targets in use."""
    usable = np.flatnonzero(weights)
    remainders = load.hashes % np.uint64(len(usable))
    return usable[remainders.astype(np.int64)].astype(np.int64)


def rendezvous_owners(load: Load, weights: Loads) -> Positions:
    """Return each key's owner by the highest random weight of its slice."""
    owner_by_slice = _rendezvous(load.size, tuple(weights))
    owners: Positions = owner_by_slice[load.base_slices]
    return owners


@functools.lru_cache(maxsize=4)
def _rendezvous(size: Size, weights: tuple[float, ...]) -> Positions:
    source = np.random.default_rng(size.targets)
    scores = source.random((size.slices, size.targets), dtype=np.float32)
    usable = np.array(weights, dtype=np.float32)
    owners: Positions = np.argmax(scores * usable, axis=1).astype(np.int64)
    return owners
