"""Choose how long a connection to a target may rest before it is used again.

Load pattern handled: targets, or something on the way to them, that forget idle
connections sooner than they say. A request that is sent on such a connection is
lost, and whether it ran is not known. After one has been lost, connections to
that target are not used again if they have rested for half as long.
"""

import math
from typing import Final

import msgspec

from cassialever.types import Seconds

#: How long a limit holds. A target that has changed its ways is found out by
#: one lost request in this time.
LIMIT_PERIOD: Final[Seconds] = 30.0
#: Lowest limit: a target that loses requests on connections which have just
#: been used has another fault.
MIN_REST_TIME: Final[Seconds] = 0.1
#: Most targets with a limit; more are forgotten.
MAX_LIMITS: Final = 1024


class _RestLimit(msgspec.Struct, frozen=True):
    """The longest rest of the connections to a target, and until when."""

    longest: Seconds
    until: Seconds


class RestTimes:
    """The limits of all targets, by address."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limit_by_address: dict[str, _RestLimit] = {}

    def record_broken(
        self, address: str, rested: Seconds, now: Seconds
    ) -> None:
        """Note a connection that was lost on its next use after a rest.

        `rested` is 0 if it was new.
        """
        if rested <= MIN_REST_TIME:
            return
        if len(self._limit_by_address) >= MAX_LIMITS:
            self._limit_by_address.clear()
        longest = max(
            min(rested / 2, self.longest(address, now)), MIN_REST_TIME
        )
        self._limit_by_address[address] = _RestLimit(
            longest, now + LIMIT_PERIOD
        )

    def longest(self, address: str, now: Seconds) -> Seconds:
        """Return how long a connection may rest; infinity without a limit."""
        limit = self._limit_by_address.get(address)
        if limit is None or now >= limit.until:
            return math.inf
        return limit.longest
