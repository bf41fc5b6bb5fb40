"""Bound when shares of slots bind, and how often places are asked for.

Load pattern handled: a small fleet, or a service with long requests, where the
loads that daemons report suffice; and daemons with little processor time in a
long contention, who look for a place with each request that waits.
"""

import math
from typing import Final

from cassialever.fleet.model import Target
from cassialever.types import Seconds, ServiceName

#: Share of the usual service time beyond which the time between two reports of
#: a daemon makes them stale: a target ends one request per slot in that time.
STALE_SHARE: Final = 0.5
#: Service time that is assumed until one is known.
ASSUMED_SERVICE_TIME: Final[Seconds] = 0.15
#: Weight of the newest answer in the usual service time.
SMOOTHING_FACTOR: Final = 0.1
#: Services whose usual service time is kept.
MAX_SERVICES: Final = 1024
#: Most requests for places in a second, and at once. With their answers, at
#: 0.1 ms, they take 1% of a core.
MAX_ASKS_PER_SECOND: Final = 100
MAX_ASKS_AT_ONCE: Final = 10


class ReportStaleness:
    """Compares the age of reports with the service time of each service."""

    def __init__(self) -> None:
        """Start with reports that are stale for each service."""
        #: Time between two reports of a daemon with its open requests.
        self.report_period: Seconds = math.inf
        #: Moving average of the time of requests, without time in the queue.
        self._usual_by_name: dict[ServiceName, Seconds] = {}

    def is_stale(self, service: ServiceName) -> bool:
        """Return whether reports are too old to share a service's targets."""
        usual = self._usual_by_name.get(service, ASSUMED_SERVICE_TIME)
        return self.report_period > STALE_SHARE * usual

    def note(self, target: Target, latency: Seconds, requests: int) -> None:
        """Count an answer, without its time in the queue.

        `requests` are those running and queued that it named.
        """
        served = latency / max((requests + 1) / target.slots, 1)
        if len(self._usual_by_name) >= MAX_SERVICES:
            self._usual_by_name.clear()
        usual = self._usual_by_name.setdefault(target.service, served)
        usual += SMOOTHING_FACTOR * (served - usual)
        self._usual_by_name[target.service] = usual


class AskBudget:
    """Bounds the requests for places that a daemon sends."""

    def __init__(self) -> None:
        """Start with as many as may be sent at once."""
        self._left: float = MAX_ASKS_AT_ONCE
        self._left_at: Seconds = 0

    def spend(self, now: Seconds) -> bool:
        """Return whether another place may be asked for now; count it."""
        added = MAX_ASKS_PER_SECOND * (now - self._left_at)
        self._left = min(self._left + added, MAX_ASKS_AT_ONCE)
        self._left_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
