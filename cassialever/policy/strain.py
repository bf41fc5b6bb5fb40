"""Tell whether this daemon has the processor time to carry a request in time.

Load pattern handled: machines of a third of a core beside some of two, to which
a balancer gives the same callers. A daemon whose event loop is late makes every
request late; one that refuses some at once serves the others, and the refused
ones reach another daemon with their next try.
"""

from typing import Final

from cassialever.types import Seconds

#: Turns of the loop that a request takes one after the other: reading it,
#: writing it to its target, reading the answer and writing that.
TURNS_PER_REQUEST: Final = 4
#: Share of a request's objective that the loop may take; the rest is for its
#: target.
MAX_OWN_SHARE: Final = 0.5
#: By how much lateness that counts may rise from one measurement to the next.
#: A queue of turns grows slowly; a single standstill is over when it is
#: measured, and says nothing of the requests that come then.
MAX_RISE: Final[Seconds] = 0.1
#: Lateness from which on a daemon says that it has no room for others.
MAX_CARRYING_LAG: Final[Seconds] = 0.1


class Strain:
    """How late the event loop of this daemon is."""

    def __init__(self) -> None:
        """Start without lateness."""
        self._last_lag: Seconds = 0
        self._lag: Seconds = 0

    def record_lag(self, lag: Seconds) -> None:
        """Record how late a timer of the loop has run."""
        self._lag = min(lag, self._last_lag + MAX_RISE)
        self._last_lag = self._lag

    def carries_in_time(self, objective: Seconds) -> bool:
        """Return whether the loop alone would not make a request late."""
        return TURNS_PER_REQUEST * self._lag <= MAX_OWN_SHARE * objective

    def is_short(self) -> bool:
        """Return whether this daemon should carry nothing for others."""
        return self._lag > MAX_CARRYING_LAG
