"""Choose how long a new connection may take, by how long recent ones took.

Load pattern handled: on a thin link that is full, every connection is late, to
whichever target. A fixed limit would take that for targets that are gone. The
limit is a retransmission timeout, after RFC 6298 (Jacobson, Karels): the mean
of the times that connections took and four mean deviations, doubled while none
is made.
"""

from typing import Final

from cassialever.types import Seconds

#: Shortest limit. A connection to a target takes 1 ms and the way there; one
#: to a data centre that is cut off is not answered at all.
MIN_TIMEOUT: Final[Seconds] = 0.3
#: Longest limit. A cut from all targets has to be noticed, with a second try,
#: within the 3 s in which the platform expects requests to be served again.
MAX_TIMEOUT: Final[Seconds] = 1.0
#: Weights of a new connection in the mean and in the deviation (RFC 6298).
MEAN_WEIGHT: Final = 1 / 8
DEVIATION_WEIGHT: Final = 1 / 4
#: Mean deviations that are added to the mean (RFC 6298).
DEVIATIONS: Final = 4
#: Factor of the limit after each round of connections that were not made.
BACKOFF: Final = 2


class ConnectTimes:
    """How long recent connections of this daemon took, to any target."""

    def __init__(self) -> None:
        """Start with the shortest limit."""
        self._mean: Seconds = 0
        self._deviation: Seconds = 0
        self._limit: Seconds = MIN_TIMEOUT
        #: When the limit was last raised since a connection was not made.
        self._raised_at: Seconds = 0

    @property
    def timeout(self) -> Seconds:
        """Return how long a connection that begins now may take."""
        return self._limit

    def timeout_for(self, *, has_permit: bool) -> Seconds:
        """Return how long the connection of a request may take.

        One with a permit does not wait long, since the permit would be used
        in a later window than it was issued for.
        """
        return MIN_TIMEOUT if has_permit else self._limit

    def record_made(self, duration: Seconds) -> None:
        """Record a connection that was made."""
        error = duration - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        limit = self._mean + DEVIATIONS * self._deviation
        self._limit = min(max(limit, MIN_TIMEOUT), MAX_TIMEOUT)

    def record_timeout(self, begun_at: Seconds, now: Seconds) -> None:
        """Record a connection that was given up.

        Those that were tried at the same time count once.
        """
        if begun_at < self._raised_at:
            return
        self._raised_at = now
        self._limit = min(self._limit * BACKOFF, MAX_TIMEOUT)
