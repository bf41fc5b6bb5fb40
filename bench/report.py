"""Print lines and table rows of benchmark results."""

import sys
from collections.abc import Sequence

FIRST_COLUMN_WIDTH = 16
COLUMN_WIDTH = 11


def print_line(line: str) -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{line}\n')


def print_row(cells: Sequence[str | float]) -> None:
    """Print a table row; floats are rounded to three decimal places."""
    first = _format_cell(cells[0]).ljust(FIRST_COLUMN_WIDTH)
    others = [_format_cell(cell).rjust(COLUMN_WIDTH) for cell in cells[1:]]
    print_line(first + ''.join(others))


def _format_cell(cell: str | float) -> str:
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)
