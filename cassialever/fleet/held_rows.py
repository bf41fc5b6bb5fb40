"""Rows of other writers that a daemon has later than the store shows them.

The store shows earlier ones where its reads are behind, or after it has lost
writes, which it then gets again from their writers. Until then daemons go by
what they know: the writer's own count tells which of two rows is later.
"""

from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.model import StoreRow
from cassialever.platform.records import TARGET_TABLE
from cassialever.platform.writer_counts import is_later
from cassialever.types import RowVersion, Seconds

#: For how long an earlier row is not taken: reads are behind for less.
HOLD_TIME: Final[Seconds] = 12.0
#: The same for an operators' row that the store lacks, as that of a data centre
#: that is out: it has been written again by then.
RESTORE_TIME: Final[Seconds] = 3.0


class HeldRows:
    """The rows that go before what the store shows, and until when."""

    def __init__(self, clock: SystemClock) -> None:
        """Start without a row."""
        self._clock = clock
        self._until_by_name: dict[tuple[str, str], Seconds] = {}
        #: Rows that the store lacks, with the versions that it lacks them at.
        self._missing_until: dict[StoreRow, Seconds] = {}

    def keeps(self, known: StoreRow, row: StoreRow) -> bool:
        """Return whether a known row stays, though the store has another."""
        now = self._clock.boot()
        key = (known.table, known.name)
        if row.version < known.version:
            return self._hold(known, row, now)
        if key not in self._until_by_name:
            return False
        if now < self._until_by_name[key] and is_later(known, row):
            return True
        self._until_by_name.pop(key)
        return False

    def lacking(
        self, table: str, current: dict[tuple[str, str], StoreRow]
    ) -> list[str]:
        """Return the rows of a table that the store still lacks, and did."""
        if not self._missing_until:
            return []
        now = self._clock.boot()
        names = []
        for row, until in tuple(self._missing_until.items()):
            is_as_before = current.get((row.table, row.name)) == row
            if is_as_before and (row.table != table or now < until):
                continue
            self._missing_until.pop(row)
            if is_as_before:
                names.append(row.name)
        return names

    def _hold(self, known: StoreRow, row: StoreRow, now: Seconds) -> bool:
        if row.content is None:
            # A target that left has no count to tell that by.
            if row.table == TARGET_TABLE:
                return False
            self._missing_until[_as_of(known, row.version)] = now + RESTORE_TIME
            return True
        # Other daemons may send the row of the higher version.
        self._until_by_name[known.table, known.name] = now + HOLD_TIME
        return is_later(known, row)


def _as_of(row: StoreRow, version: RowVersion) -> StoreRow:
    return msgspec.structs.replace(row, version=version)
