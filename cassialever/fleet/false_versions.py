"""Find known versions of tables that the store does not have.

The store's answers are linearizable, and its versions are of one counter. So a
read that began after a version was learnt, and is older than it, proves that
the store never had this version.
"""

import math
from collections.abc import Callable

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.settled_versions import SettledVersions
from cassialever.fleet.told_losses import ToldLosses
from cassialever.types import RowVersion, Seconds


class _Denial(msgspec.Struct, frozen=True):
    """A read that was older than what was known before it began."""

    ended_at: Seconds
    version: RowVersion


class FalseVersions:
    """Reads of the store that were older than what was known of a table.

    Two in a row are wanted, the second one begun after the first one's end.
    """

    def __init__(self, clock: SystemClock) -> None:
        """Start without a read."""
        self._clock = clock
        #: Versions that a store which has lost its last writes still has.
        self.settled = SettledVersions(clock)
        #: Up to which versions rows may be lost, by what others tell.
        self.told_losses = ToldLosses()
        self._learnt_at_by_table: dict[str, Seconds] = {}
        self._denial_by_table: dict[str, _Denial] = {}
        #: Tables whose known version was given up.
        self.count = 0
        #: Called with a table of which a leader has an older version.
        self.on_doubt: Callable[[str], None] = _ignore_doubt
        self._doubted: set[str] = set()

    def note_learnt(self, table: str) -> None:
        """Note that rows or a later version of a table became known."""
        self._learnt_at_by_table[table] = self._clock.boot()

    def note_confirmed(self, table: str) -> None:
        """Note an answer of the store that was not older than known."""
        self._denial_by_table.pop(table, None)

    def note_relayed(
        self, table: str, version: RowVersion, known: RowVersion
    ) -> None:
        """Note with which version of a table another daemon goes by."""
        if version >= known:
            self._doubted.discard(table)
        elif table not in self._doubted:
            self._doubted.add(table)
            self.on_doubt(table)

    def is_doubted(self, table: str) -> bool:
        """Return whether others have had no version like the known one."""
        return table in self._doubted

    def end_doubt(self, table: str) -> None:
        """Note that the store was asked for the known version."""
        self._doubted.discard(table)

    def is_conclusive(self, table: str, began_at: Seconds) -> bool:
        """Return whether a read has all that was known of a table by its end.

        What was learnt meanwhile may be later, whatever version it has: that
        of a relayed row may be a lower bound.
        """
        return began_at > self._learnt_at_by_table.get(table, -math.inf)

    def is_denied(self, table: str) -> bool:
        """Return whether one answer was older than the known version."""
        return table in self._denial_by_table

    def disproves(
        self, table: str, version: RowVersion, began_at: Seconds
    ) -> bool:
        """Note an older read; return whether the known version is false."""
        if not self.is_conclusive(table, began_at):
            return False
        earlier = self._denial_by_table.get(table)
        is_later = earlier is not None and (
            began_at > earlier.ended_at and version >= earlier.version
        )
        if is_later:
            self._denial_by_table.pop(table)
            self.count += 1
            return True
        self._denial_by_table[table] = _Denial(self._clock.boot(), version)
        return False


def _ignore_doubt(table: str) -> None:
    """Ignore a doubt; the default until a handler is set."""
