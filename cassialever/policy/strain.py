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
#: A timer that is later than this is a sign, and counts if another has been
#: late among as many measurements before (5 s): a start or a large
#: configuration makes one late.
MIN_LATE: Final[Seconds] = 0.03
WARY_MEASUREMENTS: Final = 20
#: Of as many requests, one is let in all the same, so that a daemon that is
#: late for another reason than requests goes on to serve.
ADMITTED_OF: Final = 10
#: Lateness from which on a daemon says that it has no room for others.
MAX_CARRYING_LAG: Final[Seconds] = 0.1


class Strain:
    """How late the event loop of this daemon is."""

    def __init__(self) -> None:
        """Start without lateness."""
        self._last_lag: Seconds = 0
        self._lag: Seconds = 0
        self._late_count = 0
        self._wary_left = 0
        #: Whether a refused request would find no other daemon.
        self.is_alone = False

    def record_lag(self, lag: Seconds) -> None:
        """Record how late a timer of the loop has run."""
        risen = min(lag, self._last_lag + MAX_RISE)
        self._last_lag = risen
        self._lag = risen if self._wary_left else 0
        if lag > MIN_LATE:
            self._wary_left = WARY_MEASUREMENTS
        self._wary_left = max(self._wary_left - 1, 0)

    def carries_in_time(self, objective: Seconds) -> bool:
        """Return whether the loop alone would not make a request late.

        One of ADMITTED_OF that it would is let in.
        """
        if self.is_alone:
            return True
        if TURNS_PER_REQUEST * self._lag <= MAX_OWN_SHARE * objective:
            return True
        self._late_count += 1
        return self._late_count % ADMITTED_OF == 0

    def is_short(self) -> bool:
        """Return whether this daemon should carry nothing for others."""
        return self._lag > MAX_CARRYING_LAG
