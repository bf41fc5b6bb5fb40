"""Print the benchmarks' tables."""

import sys
from collections.abc import Sequence

from cassialever.types import Seconds

FIRST_WIDTH = 16
WIDTH = 11


def show(line: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{line}\n')


def show_row(cells: Sequence[str | float]) -> None:
    """Print a row of a table; fractions get three decimal places."""
    first = _word(cells[0]).ljust(FIRST_WIDTH)
    others = [_word(cell).rjust(WIDTH) for cell in cells[1:]]
    show(first + ''.join(others))


def seed_from(arguments: Sequence[str], default: int) -> int:
    """Return the seed that a command was given, or the default one."""
    return int(arguments[1]) if len(arguments) > 1 else default


def quantile(latencies: Sequence[Seconds], share: float) -> float:
    """Return a quantile in milliseconds."""
    ranked = sorted(latencies)
    index = min(int(len(ranked) * share), len(ranked) - 1)
    return ranked[index] * 1000


def _word(cell: str | float) -> str:
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)
