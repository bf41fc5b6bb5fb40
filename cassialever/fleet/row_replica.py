"""A daemon's replica of the store's rows, and their versions."""

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final, NamedTuple

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.false_versions import FalseVersions
from cassialever.fleet.held_rows import HeldRows
from cassialever.fleet.lost_writes import LostWrites
from cassialever.fleet.model import StoreRow
from cassialever.fleet.settled_versions import (
    Versions,
    latest_rows,
    shows_loss,
)
from cassialever.fleet.version_bounds import VersionBounds
from cassialever.platform.writer_counts import is_later
from cassialever.types import RowVersion

#: Removals remembered for each table: more than a day's worth if 1,500 targets
#: are replaced a day.
MAX_REMOVALS: Final = 4096
#: Below the version of any row: no known row yields to an older one.
UNCONFIRMED: Final = RowVersion(-1)


class WholeTable(NamedTuple):
    """What a whole table tells beside its rows.

    Rows that it lacks count as removed, at its version: that of their removal
    is not known. Known rows up to the version `confirmed`, if the table was
    read in the store, yield to other ones: it has each row as of it, or later.
    """

    removals: Sequence[StoreRow] = ()
    confirmed: RowVersion = UNCONFIRMED


NOT_WHOLE: Final = WholeTable()


class RowReplica:
    """The latest known rows of the tables that a daemon follows."""

    def __init__(
        self,
        clock: SystemClock | None = None,
        permanent: Collection[str] = (),
    ) -> None:
        """Start without any row; those of `permanent` tables are not removed.

        A row of such a table that a whole read lacks was written later, though
        the lowest version that it can have may be below that of the read.
        """
        self._permanent = permanent
        self.by_table_and_name: dict[tuple[str, str], StoreRow] = {}
        #: The version up to which each table is complete.
        self.version_by_table: dict[str, RowVersion] = {}
        #: The version of each table's latest row that is known.
        self.newest_by_table: dict[str, RowVersion] = {}
        #: Called with a table and that version when it rises.
        self.on_newest: Callable[[str, RowVersion], None] = _ignore_newest
        #: Versions that the store does not have.
        self.false_versions = FalseVersions(clock or SystemClock())
        #: Rows of permanent tables that the store has lost.
        self.lost_writes = LostWrites(clock or SystemClock())
        #: Called with such a row, and the version that the store has of it.
        self.on_lost: Callable[[StoreRow, RowVersion], None] = (
            self.lost_writes.note
        )
        #: Rows of the other tables that are later than the store shows.
        self.held_rows = HeldRows(clock or SystemClock())
        #: Where the rows that changed last came from.
        self.newest_from = ''
        #: Of rows whose own version is the lowest that they can have.
        self.bounds = VersionBounds()
        #: Remembered removals by table, oldest first.
        self._removed_by_table: dict[str, dict[str, StoreRow]] = {}
        #: The version since which every removal is remembered.
        self._since_by_table: dict[str, RowVersion] = {}
        #: The latest version at which each table was read whole.
        self._whole_at_by_table: dict[str, RowVersion] = {}

    def rows_of(self, table: str) -> list[StoreRow]:
        """Return the current rows of a table."""
        return [
            row
            for (row_table, _), row in self.by_table_and_name.items()
            if row_table == table
        ]

    def changes_since(
        self, table: str, version: RowVersion
    ) -> list[StoreRow] | None:
        """Return a table's changes after a version, including removals.

        Return None if removals since that version may have been forgotten.
        """
        since_version = self._since_by_table.get(table)
        if since_version is None or version < since_version:
            return None
        removed = self._removed_by_table.get(table, {}).values()
        return [
            row
            for row in (*self.rows_of(table), *removed)
            if self.bounds.at_most(row) > version
        ]

    def restart_history(
        self,
        table: str,
        version: RowVersion,
        since: RowVersion,
    ) -> None:
        """Forget removals because a table was read whole at a version.

        Rows that were added and removed since the last read were not seen,
        so the history of removals is complete only from then on, or from a
        later version `since`.
        """
        removed = self._removed_by_table.get(table, {})
        for row in tuple(removed.values()):
            # A later one was learnt while the table was read.
            if row.version <= version:
                removed.pop(row.name)
        self._since_by_table[table] = since
        known = self._whole_at_by_table.get(table, RowVersion(0))
        self._whole_at_by_table[table] = max(known, version)

    def highest_version(self, table: str) -> RowVersion:
        """Return the highest version that is known of a table or its rows."""
        removed = self._removed_by_table.get(table, {}).values()
        versions = (row.version for row in (*self.rows_of(table), *removed))
        known = self.version_by_table.get(table, UNCONFIRMED)
        return max(known, max(versions, default=UNCONFIRMED))

    def note_relayed(self, table: str, version: RowVersion) -> None:
        """Compare the version that another daemon tells with the known one."""
        known = self.version_by_table.get(table, UNCONFIRMED)
        self.false_versions.note_relayed(table, version, known)

    def forget_version(self, table: str) -> None:
        """Forget up to which version a table is complete, and its removals.

        The known version is one that the store does not have.
        """
        for by_table in (
            self.version_by_table,
            self.newest_by_table,
            self._removed_by_table,
            self._whole_at_by_table,
        ):
            by_table.pop(table, None)
        self.false_versions.settled.forget(table)

    def shows_loss(
        self, table: str, changed: Iterable[StoreRow], versions: Versions
    ) -> bool:
        """Return whether the store has lost rows, by changes that it told.

        They include changes up to the version that was known before the call.
        """
        removed = self._removed_by_table.get(table, {})
        is_exact = table not in self._permanent
        return any(
            shows_loss(
                self.by_table_and_name.get(
                    (table, row.name), removed.get(row.name)
                ),
                row,
                versions,
                is_exact=is_exact,
            )
            for row in latest_rows(changed)
        )

    def forget_removals_of(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
    ) -> None:
        """Forget that rows were removed which a later whole table has.

        Another daemon's table may lack a row that is older than its version.
        """
        if version >= self._whole_at_by_table.get(table, 0):
            self._whole_at_by_table.pop(table, None)
        removed = self._removed_by_table.get(table, {})
        for row in rows:
            known = removed.get(row.name)
            if known is not None and known.version <= version:
                removed.pop(row.name)

    def apply(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
        whole: WholeTable = NOT_WHOLE,
    ) -> list[StoreRow]:
        """Store rows that are newer than the known ones and return them."""
        removed = self._store_newer(whole.removals, whole.confirmed)
        newer = self._store_newer(rows, whole.confirmed)
        for name in self.held_rows.lacking(table, self.by_table_and_name):
            missing = StoreRow(table, name, None, version)
            self._store(missing)
            removed.append(missing)
        known = self.version_by_table.get(table, UNCONFIRMED)
        if removed or newer or version > known:
            self.false_versions.note_learnt(table)
        self.version_by_table[table] = max(known, version)
        self.false_versions.settled.note(table, self.version_by_table[table])
        self._since_by_table.setdefault(table, version)
        self._note_newest(table, newer)
        return removed + newer

    def _store_newer(
        self, rows: Iterable[StoreRow], confirmed: RowVersion
    ) -> list[StoreRow]:
        newer: list[StoreRow] = []
        for row in rows:
            # An answer may have a row and its removal.
            if not self._is_newer(row, confirmed):
                continue
            if not self._keeps_known(row, confirmed):
                self._store(row)
                newer.append(row)
        return newer

    def _keeps_known(self, row: StoreRow, confirmed: RowVersion) -> bool:
        """Keep what is known of a row if that is later, as of its version."""
        known = self.by_table_and_name.get((row.table, row.name))
        if known is None:
            return False
        if row.table in self._permanent:
            # A missing one has the version of the read, which may be higher.
            is_missing = row.content is None and known.version <= confirmed
            is_other = (
                row.content != known.content and row.version == known.version
            )
            if is_missing or is_other or row.version < known.version:
                self.on_lost(known, row.version)
            return False
        if not self.held_rows.keeps(known, row):
            return False
        self._store(msgspec.structs.replace(known, version=row.version))
        return True

    def _note_newest(self, table: str, newer: list[StoreRow]) -> None:
        known = self.newest_by_table.get(table, RowVersion(0))
        newest = max((row.version for row in newer), default=known)
        if newest > known:
            self.newest_by_table[table] = newest
            self.on_newest(table, newest)

    def _store(self, row: StoreRow) -> None:
        removed = self._removed_by_table.setdefault(row.table, {})
        removed.pop(row.name, None)
        key = (row.table, row.name)
        self.bounds.note_stored(row)
        if row.content is not None:
            self.by_table_and_name[key] = row
            return
        self.by_table_and_name.pop(key, None)
        removed[row.name] = row
        if len(removed) > MAX_REMOVALS:
            oldest = removed.pop(next(iter(removed)))
            # One that came late may be older than others that are forgotten.
            since = self._since_by_table.get(row.table, oldest.version)
            self._since_by_table[row.table] = max(since, oldest.version)

    def _is_newer(self, row: StoreRow, confirmed: RowVersion) -> bool:
        known = self.by_table_and_name.get((row.table, row.name))
        if known is None:
            return not self._is_removed(row)
        if known.version <= confirmed:
            return row != known
        if row.content is None:
            return row.version >= known.version
        if row.version > known.version:
            return True
        return row.content != known.content and is_later(row, known)

    def _is_removed(self, row: StoreRow) -> bool:
        """Return whether an unknown row is older than its removal.

        A daemon may read of a removal in the store before a late leader relays
        an earlier version of the row.
        """
        is_permanent = row.table in self._permanent
        whole_at = self._whole_at_by_table.get(row.table, 0)
        if row.version <= whole_at and not is_permanent:
            return True
        removed = self._removed_by_table.get(row.table, {}).get(row.name)
        return removed is not None and row.version <= removed.version


def _ignore_newest(table: str, version: RowVersion) -> None:
    """Ignore a version; the default until a handler is set."""


def latest_version(replica: RowReplica, table: str) -> RowVersion:
    """Return a version at which a daemon has all rows that are known."""
    rows_at_most = map(replica.bounds.at_most, replica.rows_of(table))
    return max((replica.version_by_table[table], *rows_at_most))


def removals_of_missing(
    replica: RowReplica,
    table: str,
    rows: Iterable[StoreRow],
    version: RowVersion,
) -> list[StoreRow]:
    """Return removals for the known rows that a complete table lacks."""
    present = {row.name for row in rows}
    return [
        StoreRow(table, row.name, None, version)
        for row in replica.rows_of(table)
        if row.name not in present
    ]
