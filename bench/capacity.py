"""Measure the slopes behind docs/CAPACITY.md, at three sizes each.

Each line is a straight line fitted through the sizes: what one more unit
costs, what is there without any, and the worst distance of a measurement
from the line, as a share of the measurement.
"""

import asyncio
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec
import numpy as np
from rich.console import Console
from rich.table import Table

from bench import message_loads, slice_loads

#: Runs of each measurement of time; the fastest counts.
RUNS = 3

MICROSECONDS = 1_000_000


class Line(msgspec.Struct, frozen=True):
    """Measurements at several sizes and the line through them."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    measured: tuple[float, ...]

    def fit(self) -> tuple[float, float, float]:
        """Return the slope, the part without any, and the worst error."""
        slope, constant = np.polyfit(self.sizes, self.measured, 1)
        fitted = slope * np.array(self.sizes) + constant
        errors = np.abs(fitted / np.array(self.measured) - 1)
        return float(slope), float(constant), float(errors.max())

    def cells(self) -> list[str]:
        """Return a row of the table."""
        slope, constant, error = self.fit()
        sizes = ', '.join(map(str, self.sizes))
        measured = ', '.join(format(figure, '.4g') for figure in self.measured)
        return [
            self.name,
            self.unit,
            sizes,
            measured,
            format(slope, '.4g'),
            format(constant, '.4g'),
            format(error, '.1%'),
        ]


def time_of(work: Callable[[], object]) -> float:
    """Return the CPU time of some work, in microseconds."""
    fastest = float('inf')
    for _ in range(RUNS):
        started = time.process_time()
        work()
        fastest = min(fastest, time.process_time() - started)
    return fastest * MICROSECONDS


def memory_of(make: Callable[[], object]) -> float:
    """Return the memory that a thing keeps, in bytes."""
    tracemalloc.start()
    made = make()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return kept


def line(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Line:
    """Measure at each size."""
    return Line(name, unit, sizes, tuple(measure(size) for size in sizes))


def slice_lines() -> Iterator[Line]:
    """Measure slice maps, their rows and their balancing."""
    yield line(
        'slice map, by slices',
        'bytes',
        (100_000, 200_000, 400_000),
        lambda size: memory_of(lambda: slice_loads.slice_map(size)),
    )
    yield line(
        'find the place of a key, by keys',
        'us',
        (10_000, 20_000, 40_000),
        lambda size: time_of(slice_loads.lookups(size)),
    )
    yield line(
        'group row of 512 slices, by targets',
        'bytes',
        (16, 64, 250),
        slice_loads.row_bytes,
    )
    yield line(
        'pack and encode group rows, by slices',
        'us',
        (8_192, 16_384, 32_768),
        lambda size: time_of(slice_loads.packing(size)),
    )
    yield line(
        'plan a round of 100 targets, by slices',
        'us',
        (4_096, 8_192, 16_384),
        lambda size: time_of(slice_loads.planning(size)),
    )


def heat_lines() -> Iterator[Line]:
    """Measure the counting of slices and keys."""
    yield line(
        'count a request, by requests',
        'us',
        (10_000, 20_000, 40_000),
        lambda size: time_of(slice_loads.counting(size)),
    )
    yield line(
        'heat report, by slices with load',
        'bytes',
        (16, 48, 96),
        slice_loads.report_bytes,
    )


def catalogue_lines() -> Iterator[Line]:
    """Measure the catalogue and its changes."""
    sizes = (1_000, 3_000, 9_000)
    yield line(
        'catalogue with its index, by targets',
        'bytes',
        sizes,
        lambda size: memory_of(message_loads.reading(size)),
    )
    yield line(
        'read a whole catalogue and index it, by targets',
        'us',
        sizes,
        lambda size: time_of(message_loads.reading(size)),
    )
    yield line(
        'apply one change and index it, by targets of the catalogue',
        'us',
        sizes,
        lambda size: time_of(message_loads.applying(size)),
    )
    yield line(
        'message of changes, by changes',
        'bytes',
        (1, 10, 100),
        message_loads.change_bytes,
    )


def message_lines() -> Iterator[Line]:
    """Measure the request's head between daemons, and table operations."""
    headers = (5, 10, 20)
    yield line(
        'head of a forwarded request, by headers',
        'bytes',
        headers,
        message_loads.head_bytes,
    )
    yield line(
        'encode and decode 1,000 heads, by headers',
        'us',
        headers,
        lambda size: time_of(message_loads.head_coding(size)),
    )
    yield line(
        'table commits with the stand-in in the process, by commits',
        'us',
        (100, 200, 400),
        lambda size: time_of(lambda: asyncio.run(message_loads.commits(size))),
    )


def main() -> int:
    """Measure everything and print the table."""
    table = Table(title='Slopes')
    for heading in ('what', 'unit', 'sizes', 'measured'):
        table.add_column(heading)
    for figure in ('one more', 'without any', 'worst error'):
        table.add_column(figure, justify='right')
    for lines in (slice_lines, heat_lines, catalogue_lines, message_lines):
        for measured in lines():
            table.add_row(*measured.cells())
    Console(width=170).print(table)
    return 0


if __name__ == '__main__':
    sys.exit(main())
