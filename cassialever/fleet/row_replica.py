"""The store's rows that are in force here, and how new they are."""

from collections.abc import Iterable
from typing import Final

from cassialever.fleet.model import StoreRow
from cassialever.types import RowVersion

#: Removed rows of a table that are remembered; with 1,500 targets replaced a
#: day this is more than a day's worth.
MAX_REMOVALS: Final = 4096


class RowReplica:
    """Rows of the tables that a daemon follows."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.by_table_and_name: dict[tuple[str, str], StoreRow] = {}
        #: The version up to which each table is complete.
        self.version_by_table: dict[str, RowVersion] = {}
        #: Removals, the oldest first, by table.
        self._removed_by_table: dict[str, dict[str, StoreRow]] = {}
        #: The version from which on every removal is remembered.
        self._since_by_table: dict[str, RowVersion] = {}

    def rows_of(self, table: str) -> list[StoreRow]:
        """Return the rows of a table that are in force."""
        return [
            row
            for (name, _), row in self.by_table_and_name.items()
            if name == table
        ]

    def changes_since(
        self, table: str, version: RowVersion
    ) -> list[StoreRow] | None:
        """Return what changed in a table after a version, removals included.

        Nothing is returned for a version from before the memory begins.
        """
        since_version = self._since_by_table.get(table)
        if since_version is None or version < since_version:
            return None
        removed = self._removed_by_table.get(table, {}).values()
        return [
            row
            for row in (*self.rows_of(table), *removed)
            if row.version > version
        ]

    def restart_history(self, table: str, version: RowVersion) -> None:
        """Note that a table was read whole, not followed up to there.

        Rows that came and went meanwhile were not seen, so that the memory
        of removals begins anew.
        """
        self._removed_by_table.pop(table, None)
        self._since_by_table[table] = version

    def removals_of_missing(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
    ) -> list[StoreRow]:
        """Return removals of the rows that a whole table lacks."""
        present = {row.name for row in rows}
        return [
            StoreRow(table, row.name, None, version)
            for row in self.rows_of(table)
            if row.name not in present
        ]

    def apply(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
    ) -> list[StoreRow]:
        """Put rows in force; return those that were news."""
        newer = [row for row in rows if self._is_newer(row)]
        for row in newer:
            self._store(row)
        known = self.version_by_table.get(table, RowVersion(0))
        self.version_by_table[table] = max(known, version)
        self._since_by_table.setdefault(table, version)
        return newer

    def _store(self, row: StoreRow) -> None:
        removed = self._removed_by_table.setdefault(row.table, {})
        removed.pop(row.name, None)
        name = (row.table, row.name)
        if row.content is not None:
            self.by_table_and_name[name] = row
            return
        self.by_table_and_name.pop(name, None)
        removed[row.name] = row
        if len(removed) > MAX_REMOVALS:
            oldest = removed.pop(next(iter(removed)))
            self._since_by_table[row.table] = oldest.version

    def _is_newer(self, row: StoreRow) -> bool:
        known = self.by_table_and_name.get((row.table, row.name))
        if known is None:
            return row.content is not None
        if row.content is None:
            return row.version >= known.version
        return row.version > known.version
