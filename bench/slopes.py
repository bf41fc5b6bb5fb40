"""Measure a cost at three sizes and fit a line by least squares."""

import time
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

from bench.report import print_line

#: Number of runs; the fastest one counts.
RUN_COUNT: Final = 5
MICROSECONDS_PER_SECOND: Final = 1_000_000

Sizes: TypeAlias = tuple[int, int, int]


def cpu_time(work: Callable[[], object]) -> float:
    """Return the lowest processor time of several runs, in microseconds."""
    times = []
    for _ in range(RUN_COUNT):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times) * MICROSECONDS_PER_SECOND


def fit(sizes: Sequence[int], costs: Sequence[float]) -> tuple[float, float]:
    """Return the slope and the largest relative error of the fit."""
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        / spread
    )
    errors = [
        abs(mean_cost + slope * (size - mean_size) - cost) / cost
        for size, cost in zip(sizes, costs, strict=True)
    ]
    return slope, max(errors)


def print_slope(
    label: str,
    unit: str,
    sizes: Sizes,
    cost: Callable[[int], float],
) -> None:
    """Measure a cost at the given sizes and print a row with its slope."""
    slope, error = fit(sizes, [cost(size) for size in sizes])
    formatted_sizes = '; '.join(f'{size:,}' for size in sizes)
    print_line(
        f'| {label} | {slope:.3g} {unit} | {formatted_sizes} | {error:.0%} |'
    )
