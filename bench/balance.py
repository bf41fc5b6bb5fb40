"""Measure imbalance and churn under a Zipf load whose hot keys change.

Requests are drawn in windows of ten seconds, in virtual time. Targets leave,
return and are lost meanwhile. Decisions see only what daemons count; the
imbalance printed is that of the true load in the window after.
"""

import sys
import time
from collections.abc import Iterator

import msgspec
import numpy as np
from numpy import typing as npt
from rich.console import Console
from rich.table import Table

from bench.leastmoves import least_keys, moved_keys
from cassialever.balancer import plan_round
from cassialever.heat import HeatView, ServiceHeat, merged
from cassialever.rebalance import Budget, Loads, imbalance
from cassialever.slices import HASH_BITS, MAX_HOT_KEYS, NO_TARGET, SliceMap
from cassialever.types import SliceIndex, TargetId

SEED = 20
WINDOW_SECONDS = 10
WINDOWS = 48
CHANGE_EVERY = 12
HOT_KEYS = 200
HALF_LIFE_SECONDS = 20

#: Windows after a change of hot keys that are not called settled.
SETTLING = 2

LEAVES = (15, 27)
LOST = (33, 45)

Floats = npt.NDArray[np.float64]


class Size(msgspec.Struct, frozen=True):
    """One service to balance; `slices` is a power of two."""

    name: str
    targets: int
    slices: int
    exponent: float
    requests_per_second: int
    keys: int = 500_000


SIZES = (
    Size('Qazaq registry', 20, 1024, 0.9, 4_000),
    Size('Qazaq registry', 20, 1024, 0.99, 4_000),
    Size('Tarifa Justa lookup', 16, 1024, 0.9, 3_200),
    Size('Tarifa Justa lookup', 16, 1024, 0.99, 3_200),
    Size('100 targets', 100, 8192, 0.6, 10_000),
    Size('100 targets', 100, 8192, 0.9, 10_000),
    Size('400 targets', 400, 32_768, 0.5, 20_000),
)


class Result(msgspec.Struct):
    """What was seen of one way in each window after the first."""

    imbalances: list[float] = []
    floors: list[float] = []
    settled: list[bool] = []
    moved: float = 0
    least: float = 0
    overload_moved: float = 0
    overload_least: float = 0
    hot_moves: int = 0
    rounds: int = 0
    plan_seconds: float = 0


class Load:
    """Keys, their hashes and the share of requests that each one has."""

    def __init__(self, size: Size, source: np.random.Generator) -> None:
        self.size = size
        self._source = source
        self.hashes = source.integers(0, 2**HASH_BITS, size.keys, np.uint64)
        ranks = np.arange(1, size.keys + 1, dtype=np.float64)
        shares = ranks**-size.exponent
        self.shares = source.permutation(shares / shares.sum())
        shift = HASH_BITS - size.slices.bit_length() + 1
        self.base_slices = (self.hashes >> np.uint64(shift)).astype(np.int64)

    def change(self) -> None:
        """Let the hottest keys cool and others take their place."""
        hottest = np.argsort(-self.shares)[:HOT_KEYS]
        others = self._source.choice(self.size.keys, HOT_KEYS, replace=False)
        hot_shares = self.shares[hottest]
        self.shares[hottest] = self.shares[others]
        self.shares[others] = hot_shares
        self.shares /= self.shares.sum()

    def draw(self) -> npt.NDArray[np.int64]:
        """Draw one window's requests, as positions of keys."""
        number = self.size.requests_per_second * WINDOW_SECONDS
        points = self._source.random(number)
        found = np.searchsorted(np.cumsum(self.shares), points)
        return np.minimum(found, self.size.keys - 1)


class Balanced:
    """The service under the real balancer, fed by the real counters."""

    def __init__(self, load: Load, budget: Budget) -> None:
        self.load = load
        self.budget = budget
        self.slice_map = SliceMap(load.size.slices)
        for position in range(load.size.slices):
            target = TargetId(f'target-{position % load.size.targets}')
            self.slice_map.set_owner(SliceIndex(position), target)
        self.heats = [
            ServiceHeat(HALF_LIFE_SECONDS) for _ in range(load.size.targets)
        ]
        self.keys_by_slice = np.bincount(
            load.base_slices,
            minlength=load.size.slices,
        ).astype(np.float64)

    def slice_by_key(self) -> npt.NDArray[np.int64]:
        """Return the slice of every key."""
        slices = self.load.base_slices.copy()
        hot = self.slice_map.slice_by_hot_hash
        wanted = np.array(list(hot), dtype=np.uint64)
        for position in np.flatnonzero(np.isin(self.load.hashes, wanted)):
            slices[position] = hot[int(self.load.hashes[position])]
        return slices

    def target_loads(self) -> Floats:
        """Return the true share of the load at each target."""
        owners = self.slice_map.owner_indexes[self.slice_by_key()]
        return np.bincount(
            owners,
            weights=self.load.shares,
            minlength=self.load.size.targets,
        )

    def count(self, requests: npt.NDArray[np.int64]) -> HeatView:
        """Let each target's leaseholder count, and merge their reports."""
        slices = self.slice_by_key()[requests]
        owners = self.slice_map.owner_indexes[slices].tolist()
        hashes = self.load.hashes[requests].tolist()
        for owner, number, key in zip(owners, slices.tolist(), hashes):
            self.heats[owner].add(number, key)
        for heat in self.heats:
            heat.tick(WINDOW_SECONDS)
        reports = [heat.report() for heat in self.heats]
        return merged(len(self.slice_map), reports)

    def rebalance(
        self,
        heat: HeatView,
        weights: Loads,
        result: Result,
    ) -> None:
        """Plan one round and carry it out at once."""
        lost = np.zeros(len(weights), dtype=np.bool_)
        started = time.perf_counter()
        planned = plan_round(self.slice_map, heat, weights, lost, self.budget)
        result.plan_seconds += time.perf_counter() - started
        result.rounds += 1
        least = least_keys(planned, weights, self.budget, self.keys_by_slice)
        moved = moved_keys(planned, self.keys_by_slice)
        result.least += least.total
        result.moved += moved.total
        result.overload_least += least.overload
        result.overload_moved += moved.overload
        result.hot_moves += moved.hot
        self.slice_map = planned.slice_map
        np.copyto(self.slice_map.owner_indexes, planned.plan.wanted)
        self._forget(planned.plan.wanted)

    def _forget(self, wanted: npt.NDArray[np.uint16]) -> None:
        # A leaseholder drops the counters of slices that it has given up.
        for target, heat in enumerate(self.heats):
            heat.keep(set(np.flatnonzero(wanted == target).tolist()))


def weights_at(window: int, targets: int) -> Loads:
    """Return the targets' weights: one leaves, another is lost later."""
    weights = np.ones(targets)
    if LEAVES[0] <= window < LEAVES[1]:
        weights[3] = 0
    if LOST[0] <= window < LOST[1]:
        weights[7] = 0
    return weights


def run_windows(load: Load) -> Iterator[int]:
    """Count windows and change the hot keys on the way."""
    for window in range(WINDOWS):
        if window and window % CHANGE_EVERY == 0:
            load.change()
        yield window


def observe(
    result: Result,
    loads: Floats,
    weights: Loads,
    window: int,
    top: float,
) -> None:
    """Note one window's imbalance and the least that any owner allows."""
    if not window:
        return
    result.imbalances.append(imbalance(loads, weights))
    result.floors.append(max(1, top * weights.sum()))
    result.settled.append(window % CHANGE_EVERY >= SETTLING)


def static_owners(load: Load, weights: Loads) -> npt.NDArray[np.int64]:
    """Return each key's owner by its hash modulo the targets in use."""
    usable = np.flatnonzero(weights)
    return usable[(load.hashes % np.uint64(len(usable))).astype(np.int64)]


def rendezvous_owners(load: Load, weights: Loads) -> npt.NDArray[np.int64]:
    """Return each key's owner by the highest random weight of its slice."""
    slices, targets = load.size.slices, load.size.targets
    scores = np.random.default_rng(SEED).random((slices, targets))
    scores[:, weights <= 0] = -1
    return np.argmax(scores, axis=1)[load.base_slices]


def measure(size: Size, budget: Budget) -> tuple[Result, Result, Result]:
    """Run one size; return the balancer's, static's and rendezvous' results."""
    load = Load(size, np.random.default_rng(SEED))
    service = Balanced(load, budget)
    balanced, static, rendezvous = Result(), Result(), Result()
    baselines = ((static, static_owners), (rendezvous, rendezvous_owners))
    for window in run_windows(load):
        weights = weights_at(window, size.targets)
        top = float(load.shares.max())
        loads = service.target_loads()
        loads[weights <= 0] = 0
        observe(balanced, loads, weights, window, top)
        for result, owners_of in baselines:
            owners = owners_of(load, weights)
            loads = np.bincount(owners, load.shares, size.targets)
            observe(result, loads, weights, window, top)
        heat = service.count(load.draw())
        service.rebalance(heat, weights, balanced)
    return balanced, static, rendezvous


def row_of(size: Size, way: str, result: Result) -> list[str]:
    """Return one row of the table."""
    seen = np.array(result.imbalances)
    settled = np.array(result.settled)
    over_floor = (seen / np.array(result.floors))[settled]
    return [
        f'{size.name}, {size.targets} targets',
        f'{size.exponent}',
        way,
        f'{max(result.floors):.2f}',
        f'{np.median(seen[settled]):.3f}',
        f'{seen[settled].max():.3f}',
        f'{np.median(over_floor):.3f}',
        f'{over_floor.max():.3f}',
        f'{seen.max():.3f}',
    ]


def churn_of(size: Size, result: Result) -> list[str]:
    """Return one row of the table of churn."""
    keys = size.keys * result.rounds
    overload = result.overload_moved / (result.overload_least or 1)
    return [
        f'{size.name}, {size.targets} targets',
        f'{size.exponent}',
        f'{result.moved / keys:.4%}',
        f'{result.moved / (result.least or 1):.3f}',
        f'{result.overload_moved / keys:.4%}',
        f'{overload:.3f}' if result.overload_least else '-',
        f'{result.hot_moves / result.rounds:.1f}',
        f'{result.plan_seconds / result.rounds * 1000:.1f}',
    ]


def tables() -> tuple[Table, Table]:
    """Return both tables, still empty."""
    balance = Table('service', 's', 'way', title='Imbalance, max/mean')
    for heading in ('floor', 'median', 'worst', 'median/floor'):
        balance.add_column(heading)
    balance.add_column('worst/floor')
    balance.add_column('worst of all windows')
    churn = Table('service', 's', title='Keys moved per rebalance')
    for heading in ('moved', 'of least', 'overload only', 'of least'):
        churn.add_column(heading)
    churn.add_column('hot keys moved')
    churn.add_column('planning, ms')
    return balance, churn


def main() -> int:
    """Measure every size and print both tables."""
    bound = float(sys.argv[1]) if sys.argv[1:] else Budget().bound
    balance, churn = tables()
    for size in SIZES:
        budget = Budget(bound=bound, slices=size.slices // 20)
        balanced, static, rendezvous = measure(size, budget)
        balance.add_row(*row_of(size, 'balancer', balanced))
        balance.add_row(*row_of(size, 'static hashing', static))
        balance.add_row(*row_of(size, 'rendezvous', rendezvous))
        churn.add_row(*churn_of(size, balanced))
    console = Console(width=150)
    console.print(balance)
    console.print(churn)
    return 0


if __name__ == '__main__':
    sys.exit(main())
