"""Remember for a moment that every target of a service is full.

Load pattern handled: a burst in which many requests of a daemon wait for the
same service. Each of them looks for a target again and again, and a look at all
targets that finds none is the dearest of all; one look serves for all requests
that would find the same.
"""

from typing import Final

from cassialever.types import Seconds, ServiceName

#: How long a look at all targets counts. A request that waits looks no more
#: often, so that none waits longer than it did.
FULL_PERIOD: Final[Seconds] = 0.015
#: Most entries, one for each service and objective; more are forgotten.
MAX_ENTRIES: Final = 256


class FullServices:
    """The services whose targets were all full a moment ago.

    Whether a target counts as full also depends on a request's objective.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._until: dict[tuple[ServiceName, Seconds], Seconds] = {}
        #: Looks that count up to then no longer do, by service.
        self._void_until: dict[ServiceName, Seconds] = {}

    def note(
        self, service: ServiceName, objective: Seconds, now: Seconds
    ) -> None:
        """Note that all targets were full for requests with an objective."""
        if len(self._until) >= MAX_ENTRIES:
            self._until.clear()
            self._void_until.clear()
        self._until[service, objective] = now + FULL_PERIOD

    def is_full(
        self, service: ServiceName, objective: Seconds, now: Seconds
    ) -> bool:
        """Return whether a look at the targets now would find the same."""
        until = self._until.get((service, objective), 0)
        return now < until and until > self._void_until.get(service, 0)

    def forget(self, service: ServiceName, now: Seconds) -> None:
        """Forget what was seen of a service, since it has room again."""
        if self._until:
            self._void_until[service] = now + FULL_PERIOD
