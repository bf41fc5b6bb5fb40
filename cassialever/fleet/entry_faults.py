"""Count and log the entries that a daemon can't use."""

from typing import Final

from cassialever.clock import SystemClock
from cassialever.decoding import shortened
from cassialever.events import Event, record
from cassialever.types import Seconds

#: Lines that are logged in LOG_PERIOD: another writer may leave many entries,
#: and change them all the time.
MAX_LINES: Final = 40
LOG_PERIOD: Final[Seconds] = 10.0


class EntryFaults:
    """Counts entries that are invalid, or that a fault keeps from applying."""

    def __init__(self, clock: SystemClock) -> None:
        """Start with nothing counted."""
        self._clock = clock
        #: Entries that are invalid.
        self.rejected_count = 0
        #: Entries that could not be applied because of a fault of the program.
        self.failed_count = 0
        self._period_began_at: Seconds = 0
        self._lines = 0
        self._unlogged = 0

    def note_rejected(self, entry: str, reason: str) -> None:
        """Count an invalid entry, and log it."""
        self.rejected_count += 1
        self._log(Event.entry_rejected, entry, reason)

    def note_failed(self, entry: str, error: Exception) -> None:
        """Count an entry that met a fault of the program, and log it."""
        self.failed_count += 1
        self._log(Event.entry_failed, entry, repr(error))

    def _log(self, event: Event, entry: str, reason: str) -> None:
        """Log a line, with the number of those left out before it."""
        now = self._clock.monotonic()
        if now - self._period_began_at >= LOG_PERIOD:
            self._period_began_at = now
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._unlogged += 1
            return
        self._lines += 1
        record(
            event,
            entry=shortened(entry),
            reason=shortened(reason),
            unlogged=self._unlogged,
        )
        self._unlogged = 0
