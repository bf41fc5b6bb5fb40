"""Versions that a store which has lost its last writes still has.

It gives the lost versions to other rows. A daemon that knew one of them, and
asks for changes once the store has made up for them, must ask after a version
that is not among them to learn of these rows.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.model import StoreRow
from cassialever.types import RowVersion, Seconds

#: Age of a version that counts as settled; a store loses the writes of less.
SETTLING_TIME: Final[Seconds] = 10.0


class _Marks(msgspec.Struct, frozen=True):
    """A version, and one that was known SETTLING_TIME before it or earlier."""

    earlier: RowVersion
    version: RowVersion
    marked_at: Seconds


class SettledVersions:
    """For each table, a version known long before its latest one."""

    def __init__(self, clock: SystemClock) -> None:
        """Start without a table."""
        self._clock = clock
        self._marks_by_table: dict[str, _Marks] = {}

    def note(self, table: str, version: RowVersion) -> None:
        """Note up to which version a table is complete now."""
        now = self._clock.boot()
        marks = self._marks_by_table.get(table)
        if marks is None:
            self._marks_by_table[table] = _Marks(version, version, now)
        elif now - marks.marked_at >= SETTLING_TIME:
            earlier = marks.version
            self._marks_by_table[table] = _Marks(earlier, version, now)

    def forget(self, table: str) -> None:
        """Forget a table whose known version the store does not have."""
        self._marks_by_table.pop(table, None)

    def before(self, table: str, known: RowVersion) -> RowVersion:
        """Return the settled version of a table, or its known one if lower.

        Of a table that has not been known for long, that is the first one.
        """
        marks = self._marks_by_table.get(table)
        return known if marks is None else min(known, marks.earlier)


class Versions(NamedTuple):
    """Up to which versions a table was known before a call, and told by it."""

    known: RowVersion
    told: RowVersion


def latest_rows(changed: Iterable[StoreRow]) -> Iterable[StoreRow]:
    """Return the latest change of each row."""
    latest_by_name: dict[str, StoreRow] = {}
    for row in changed:
        latest = latest_by_name.get(row.name, row)
        latest_by_name[row.name] = max(row, latest, key=_version_of)
    return latest_by_name.values()


def shows_loss(
    own: StoreRow | None, row: StoreRow, versions: Versions, *, is_exact: bool
) -> bool:
    """Return whether the store has lost what was known of a row.

    `row` is the latest of its changes up to the version that is told; what is
    known of it may be its removal. Unless versions are exact, a known one may
    be lower than the store's.
    """
    if own is None:
        own = StoreRow(row.table, row.name, None, RowVersion(0))
    if own.content is None and row.content is None:
        return False
    if row.version < own.version:
        # One that was learnt during the call may have been written after it.
        at_most = versions.told if is_exact else versions.known
        return own.version <= at_most
    is_known = is_exact and row.version <= versions.known
    return is_known and (own.version, own.content) != (row.version, row.content)


def _version_of(row: StoreRow) -> RowVersion:
    return row.version
