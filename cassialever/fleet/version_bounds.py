"""The highest versions of rows that are known by the lowest one.

A leader publishes a row that it has written with the lowest version that it can
have. A daemon that has read the table at a version between the two may lack the
row.
"""

from cassialever.fleet.model import StoreRow
from cassialever.types import RowVersion


class VersionBounds:
    """The rows of this daemon's own writes, and their highest versions."""

    def __init__(self) -> None:
        """Start without a row."""
        self._at_most_by_row: dict[
            tuple[str, str], tuple[RowVersion, RowVersion]
        ] = {}

    def note(self, row: StoreRow, at_most: RowVersion) -> None:
        """Note the highest version of a row, whose own is the lowest.

        A row may be published after a later one.
        """
        key = (row.table, row.name)
        known = self._at_most_by_row.get(key)
        if known is None or known[0] <= row.version:
            self._at_most_by_row[key] = (row.version, at_most)

    def note_stored(self, row: StoreRow) -> None:
        """Forget the versions of a row which the store has lost.

        `row` is the one that is known in its place.
        """
        key = (row.table, row.name)
        known = self._at_most_by_row.get(key)
        if known is not None and row.version < known[0]:
            self._at_most_by_row.pop(key)

    def at_most(self, row: StoreRow) -> RowVersion:
        """Return the highest version that a row can have."""
        known = self._at_most_by_row.get((row.table, row.name))
        if known is None or known[0] != row.version:
            return row.version
        return max(known)
