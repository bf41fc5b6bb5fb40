"""How soon leaders follow each other, as each daemon of the fleet sees it."""

import math

from cassialever.fleet.term_ends import SHORT_TERM
from cassialever.types import RowVersion, Seconds


class LeaderChanges:
    """Counts the leaders that the leader's row has named.

    Each term writes the row once. So a daemon that does not lead can tell that
    none takes over from that each one loses its term soon.
    """

    def __init__(self) -> None:
        """Start without a leader."""
        #: Changes of the row since the start of the process.
        self.total = 0
        #: Leaders that were seen since this daemon had one for SHORT_TERM, and
        #: how many of them were replaced within that time.
        self.seen_count = 0
        self.short_count = 0
        self._version: RowVersion | None = None
        self._seen_at: Seconds = -math.inf
        #: Since when this daemon has the present leader; None without one.
        self._held_since: Seconds | None = None

    def note(
        self,
        version: RowVersion | None,
        now: Seconds,
        *,
        has_leader: bool,
    ) -> None:
        """Note the row's version, and whether this daemon has a leader."""
        if version != self._version:
            self._note_change(version, now)
        if not has_leader:
            self._held_since = None
            return
        if self._held_since is None:
            self._held_since = now
        if now - self._held_since >= SHORT_TERM:
            self.seen_count = 0
            self.short_count = 0

    def _note_change(self, version: RowVersion | None, now: Seconds) -> None:
        is_first = self._version is None
        is_short = now - self._seen_at < SHORT_TERM
        self._version = version
        self._held_since = None
        if is_first:
            # It may have led for long.
            return
        self._seen_at = now
        self.total += 1
        self.seen_count += 1
        self.short_count += is_short
