"""Rows that the store may have lost, as the leader tells.

The leader's rows have lower versions then, and are the later ones all the same.
"""

from collections.abc import Iterable
from typing import Final

from cassialever.fleet.lost_writes import MAX_LOSSES, Loss
from cassialever.types import RowVersion

#: Below the version of any row: no known row yields.
_NONE: Final = RowVersion(-1)
#: Losses that are remembered as told: those of two leaders, one after another.
_MAX_TOLD: Final = 2 * MAX_LOSSES


class ToldLosses:
    """Up to which version known rows yield to those of the next whole table."""

    def __init__(self) -> None:
        """Start without a loss."""
        self._lost_by_table: dict[str, RowVersion] = {}
        self._told: dict[tuple[RowVersion, str], None] = {}

    def note(self, table: str, losses: Iterable[Loss]) -> bool:
        """Note losses of a table; return whether any is new."""
        is_new = False
        for loss in losses:
            key = (loss.version, loss.leader_id)
            if key in self._told:
                continue
            is_new = True
            self._told[key] = None
            if len(self._told) > _MAX_TOLD:
                self._told.pop(next(iter(self._told)))
            known = self._lost_by_table.get(table, _NONE)
            self._lost_by_table[table] = max(known, loss.version)
        return is_new

    def take(self, table: str) -> RowVersion:
        """Return up to which version rows of a table yield, once."""
        return self._lost_by_table.pop(table, _NONE)
