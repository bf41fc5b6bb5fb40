"""Every fault at many times of a move, and every pair of faults.

`make matrix` runs all cells and writes docs/fault-matrix.md.
"""

import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

from tests.ownership_faults import (
    FAULTS,
    RECOVERY_LIMIT,
    Outcome,
    run_faults,
)

PAGE = Path('docs/fault-matrix.md')
#: When a single fault begins, in seconds from the beginning of a move, which
#: releases, writes, grants and announces its keys within half a second.
FAULT_TIMES = tuple(step * 0.025 for step in range(21))
#: When the first of two faults begins, and how long after it the second does,
#: in seconds.
FIRST_AT = 0.1
GAPS = (0.0, 0.3, 1.0)


class Cell(msgspec.Struct, frozen=True):
    """One run: its faults with their times, and the outcome."""

    faults: list[tuple[str, float]]
    outcome: Outcome

    def passed(self) -> bool:
        """Return whether the run passed, and in time if it had one fault."""
        is_in_time = self.outcome.unheld_time <= RECOVERY_LIMIT
        return self.outcome.passed() and (len(self.faults) > 1 or is_in_time)


def singles() -> Iterator[list[tuple[str, float]]]:
    """Yield every fault at every time."""
    for name in FAULTS:
        for at in FAULT_TIMES:
            yield [(name, at)]


def pairs() -> Iterator[list[tuple[str, float]]]:
    """Yield every two faults, in both orders, with every gap."""
    for first in FAULTS:
        for second in FAULTS:
            for gap in GAPS:
                yield [(first, FIRST_AT), (second, FIRST_AT + gap)]


def run_cell(faults: list[tuple[str, float]]) -> Cell:
    """Run one cell."""
    return Cell(faults, run_faults(faults))


def page(cells: list[Cell]) -> str:
    """Return the page of results."""
    failed = [cell for cell in cells if not cell.passed()]
    lines = [
        '# Faults of key ownership',
        '',
        'Written by `make matrix`; the code is `tests/ownership_faults.py`.',
        'Each run begins a move of keys in virtual time and injects one fault',
        f'at one of {len(FAULT_TIMES)} times in its first half second, or two',
        f'faults with a gap of {", ".join(map(str, GAPS))} s between them.',
        'No two targets may hold a key at once, fences must rise from owner to',
        'owner, and after a single fault no key may be without a holder for',
        f'more than {RECOVERY_LIMIT:.1f} s. The longest such time:',
        '',
        '| Fault | alone, s | with another fault, s |',
        '| --- | --- | --- |',
    ]
    for name in FAULTS:
        alone = _longest(cells, name, 1)
        together = _longest(cells, name, 2)
        lines.append(f'| {name} | {alone:.1f} | {together:.1f} |')
    lines += [
        '',
        f'{len(cells) - len(failed)} runs passed, {len(failed)} failed.',
    ]
    lines += [
        f'- {cell.faults}: {cell.outcome.violations[:1]}' for cell in failed
    ]
    return '\n'.join([*lines, ''])


def _longest(cells: list[Cell], name: str, faults: int) -> float:
    return max(
        cell.outcome.unheld_time
        for cell in cells
        if len(cell.faults) == faults and name in dict(cell.faults)
    )


def main() -> int:
    """Run every cell; return the exit status."""
    cells = [run_cell(faults) for faults in (*singles(), *pairs())]
    PAGE.write_text(page(cells))
    failed = [cell for cell in cells if not cell.passed()]
    for cell in failed:
        sys.stdout.write(f'{cell.faults}: {cell.outcome}\n')
    sys.stdout.write(
        f'{len(cells) - len(failed)} passed, {len(failed)} failed\n'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
