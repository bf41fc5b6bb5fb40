"""Limit the rate of requests to cold targets.

Load pattern handled: targets that return together and are cold, while each of
N daemons could send them a full load. Each daemon sends its part of the rate
that a cold target can take; bursts of one request per daemon stay within the
platform's allowance.
"""

from cassialever.types import Seconds, TargetId


class WarmUpLimiter:
    """Limits the rate at which this daemon sends to cold targets."""

    def __init__(self) -> None:
        #: When the next request to a target is allowed; a target without an
        #: entry may get one at once.
        self._next_by_id: dict[TargetId, Seconds] = {}

    def allows(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a cold target may get a request now."""
        return self._next_by_id.get(target_id, 0) <= now

    def count_request(
        self,
        target_id: TargetId,
        now: Seconds,
        rate: float,
        daemon_count: int,
    ) -> None:
        """Count a request to a cold target that can take `rate` per second."""
        interval = max(daemon_count, 1) / max(rate, 1)
        self._next_by_id[target_id] = now + interval
