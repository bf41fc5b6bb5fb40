"""Measure imbalance and churn under a Zipf load whose hot keys change.

Requests are drawn in windows of ten seconds, in virtual time. Targets leave,
return and are lost meanwhile. Decisions see only what daemons count; the
imbalance printed is that of the true load in the window after. An argument
is taken as the bound in place of the default.
"""

import sys
import time
from collections.abc import Iterator, Mapping

import msgspec
import numpy as np
from rich.console import Console
from rich.table import Table

from bench.leastmoves import Keys, least_keys, moved_keys
from bench.ways import Balanced, Positions, rendezvous_owners, static_owners
from bench.zipf import Load, Size
from cassialever.slice_loads import Loads, imbalance
from cassialever.rebalance import Budget

SEED = 20
WINDOWS = 27
CHANGE_EVERY = 9

#: Windows, from and up to, in which a target has left or is lost.
LEFT = range(12, 20)
LOST = range(21, 26)

IMBALANCE_TITLE = 'Imbalance (max/mean) of settled windows, and worst of all'
IMBALANCE_HEADINGS = (
    'way',
    'floor',
    'median',
    'worst',
    'median/floor',
    'worst/floor',
    'worst of all',
)
CHURN_HEADINGS = (
    'moved',
    'of least',
    'for overload',
    'of least',
    'hot keys',
    'planning, ms',
)

SIZES = (
    Size('Qazaq registry', 20, 1024, 0.9, 4_000),
    Size('Qazaq registry', 20, 1024, 0.99, 4_000),
    Size('Tarifa Justa lookup', 16, 1024, 0.9, 3_200),
    Size('Tarifa Justa lookup', 16, 1024, 0.99, 3_200),
    Size('larger', 100, 8192, 0.6, 6_000),
    Size('largest', 200, 16_384, 0.5, 6_000),
)


class Seen(msgspec.Struct):
    """Imbalances of one way in each window, and the least there can be.

    A settled window is one after which a rebalance has seen the hot keys.
    """

    imbalances: list[float] = []
    floors: list[float] = []
    settled: list[bool] = []

    def note(self, load: Load, owners: Positions, weights: Loads) -> None:
        """Note one window; targets without weight keep no load."""
        loads = np.bincount(owners, load.shares, load.size.targets)
        usable = np.where(weights > 0, loads, 0)
        self.imbalances.append(imbalance(usable, weights))
        heaviest = float(load.shares.max() * weights.sum())
        self.floors.append(max(1, heaviest))

    def cells(self) -> list[str]:
        """Return the cells of a row of the table of imbalance."""
        seen = np.array(self.imbalances)[self.settled]
        over = seen / np.array(self.floors)[self.settled]
        figures = np.array(
            (
                max(self.floors),
                np.median(seen),
                seen.max(),
                np.median(over),
                over.max(),
                max(self.imbalances),
            ),
        )
        return [format(figure, '.3f') for figure in figures]


class Churn(msgspec.Struct):
    """Keys moved in each round of the balancer, and the least needed."""

    moved: list[Keys] = []
    least: list[Keys] = []
    seconds: list[float] = []

    def cells(self, keys: int) -> list[str]:
        """Return the cells of a row of the table of churn."""
        rounds = len(self.moved)
        moved = sum(each.total for each in self.moved)
        least = sum(each.total for each in self.least)
        overload = sum(each.overload for each in self.moved)
        overload_least = sum(each.overload for each in self.least)
        return [
            format(moved / keys / rounds, '.3%'),
            format(moved / (least or 1), '.3f'),
            format(overload / keys / rounds, '.3%'),
            format(overload / (overload_least or 1), '.3f'),
            format(sum(each.hot for each in self.moved) / rounds, '.1f'),
            format(np.mean(self.seconds) * 1000, '.1f'),
        ]


def weights_at(window: int, targets: int) -> Loads:
    """Return the targets' weights: one leaves, another is lost later."""
    weights = np.ones(targets)
    if window in LEFT:
        weights[3] = 0
    if window in LOST:
        weights[7] = 0
    return weights


def rebalance(service: Balanced, weights: Loads, churn: Churn) -> None:
    """Run one round and note what it moves."""
    started = time.perf_counter()
    planned = service.plan(weights)
    churn.seconds.append(time.perf_counter() - started)
    keys = service.load.keys_by_slice()
    churn.least.append(least_keys(planned, service.budget, keys))
    churn.moved.append(moved_keys(planned, keys))
    service.carry_out(planned)


def measure(size: Size, bound: float) -> tuple[Mapping[str, Seen], Churn]:
    """Run one size; return what was seen of each way, and the churn."""
    service = Balanced(
        Load(size, np.random.default_rng(SEED)),
        Budget(bound=bound, slices=size.slices // 20),
    )
    churn = Churn()
    seen_by_way = {way: Seen() for way in ('balancer', 'static', 'rendezvous')}
    for window in range(WINDOWS):
        if window and not window % CHANGE_EVERY:
            service.load.change()
        weights = weights_at(window, size.targets)
        observe(seen_by_way, service, weights)
        settle(seen_by_way, window)
        service.count(service.load.draw())
        rebalance(service, weights, churn)
    return seen_by_way, churn


def settle(seen_by_way: Mapping[str, Seen], window: int) -> None:
    """Note whether a window is settled."""
    for seen in seen_by_way.values():
        seen.settled.append(bool(window % CHANGE_EVERY))


def observe(
    seen_by_way: Mapping[str, Seen],
    service: Balanced,
    weights: Loads,
) -> None:
    """Note the true loads of one window under each way."""
    load = service.load
    seen_by_way['balancer'].note(load, service.owners(), weights)
    seen_by_way['static'].note(load, static_owners(load, weights), weights)
    seen_by_way['rendezvous'].note(
        load,
        rendezvous_owners(load, weights),
        weights,
    )


def table(title: str, headings: tuple[str, ...]) -> Table:
    """Return an empty table."""
    empty = Table('service', 'targets', 's', title=title)
    for heading in headings:
        empty.add_column(heading, justify='right')
    return empty


def measure_all(bound: float, imbalances: Table, churns: Table) -> None:
    """Measure every size and fill the tables of imbalance and churn."""
    for size in SIZES:
        seen_by_way, churn = measure(size, bound)
        name = (size.name, str(size.targets), str(size.exponent))
        for row in rows(seen_by_way):
            imbalances.add_row(*name, *row)
        churns.add_row(*name, *churn.cells(size.keys))


def rows(seen_by_way: Mapping[str, Seen]) -> Iterator[list[str]]:
    """Give a row of the table of imbalance for each way."""
    for way, seen in seen_by_way.items():
        yield [way, *seen.cells()]


def main() -> int:
    """Measure and print."""
    bound = Budget().bound
    if sys.argv[1:]:
        bound = float(sys.argv[1])
    imbalances = table(IMBALANCE_TITLE, IMBALANCE_HEADINGS)
    churns = table('Keys moved per rebalance', CHURN_HEADINGS)
    measure_all(bound, imbalances, churns)
    Console(width=120).print(imbalances, churns)
    return 0


if __name__ == '__main__':
    sys.exit(main())
