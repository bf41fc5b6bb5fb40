"""Note the signals sent to the process, from its first line to its last.

An event loop that is closed sets the default action of the signals it handled,
which ends the process. The handlers here stay. This module imports little,
since a signal that comes before its handler ends the process too.
"""

import signal
from collections.abc import Iterable
from types import FrameType


class ProcessSignals:
    """Signals that the process was sent and that are not handled yet."""

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        """Prepare for some signals; `install` sets their handlers."""
        self._numbers = tuple(numbers)
        self._noted: set[int] = set()

    def install(self) -> None:
        """Note the signals from now on."""
        for number in self._numbers:
            signal.signal(number, self._note)

    def ignore(self) -> None:
        """Ignore the signals until the process has ended."""
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)

    def take(self) -> set[int]:
        """Return the signals noted since the last call."""
        # A signal between the two lines is in the set that is returned.
        noted = self._noted
        self._noted = set()
        return noted

    def has_noted(self, number: signal.Signals) -> bool:
        """Return whether a signal has come that nothing has taken yet."""
        return number in self._noted

    def _note(self, number: int, _: FrameType | None) -> None:
        self._noted.add(number)
