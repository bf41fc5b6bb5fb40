"""Tell which customers hold how much of a daemon's room at a service.

Load pattern handled: a customer that sends many times its usual while room is
short, so that the others of equal rank would hardly be served.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from typing import Final

import msgspec

from cassialever.types import CustomerName, ServiceName

#: Most customers that are told apart at a service; the others count as one.
MAX_CUSTOMERS: Final = 1000
#: The name under which the others are counted.
OTHERS: Final = CustomerName('')
#: Part of its equal share of the room that every customer gets at least.
LEAST_SHARE: Final = 0.25


class CustomerShare(msgspec.Struct, frozen=True):
    """The requests of one customer at a service, and its part of all."""

    waiting: int
    running: int
    share: float


class CustomerShares:
    """The requests of each customer that wait and run at this daemon."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: defaultdict[ServiceName, Counter[CustomerName]] = (
            defaultdict(Counter)
        )
        self._running: defaultdict[ServiceName, Counter[CustomerName]] = (
            defaultdict(Counter)
        )

    def add_waiting(self, service: ServiceName, customer: CustomerName) -> None:
        """Count a request that begins to wait."""
        _add(self._waiting[service], customer)

    def remove_waiting(
        self, service: ServiceName, customer: CustomerName
    ) -> None:
        """Count a request that has ceased to wait, served or not."""
        _remove(self._waiting[service], customer)

    def add_running(self, service: ServiceName, customer: CustomerName) -> None:
        """Count a request that was sent to a target."""
        _add(self._running[service], customer)

    def remove_running(
        self, service: ServiceName, customer: CustomerName
    ) -> None:
        """Count a request that has ended."""
        _remove(self._running[service], customer)

    def of(self, service: ServiceName) -> Mapping[CustomerName, CustomerShare]:
        """Return the shares of all customers with requests at a service."""
        waiting, running = self._waiting[service], self._running[service]
        total = max(waiting.total() + running.total(), 1)
        return {
            name: CustomerShare(
                waiting[name],
                running[name],
                (waiting[name] + running[name]) / total,
            )
            for name in waiting.keys() | running.keys()
        }

    def weight(self, service: ServiceName, customer: CustomerName) -> int:
        """Return the requests of a customer that wait and run.

        Among requests of equal rank that of the lowest weight goes first.
        """
        waiting, running = self._waiting[service], self._running[service]
        name = _known(waiting, customer)
        return waiting[name] + running[_known(running, customer)]

    def first(
        self,
        service: ServiceName,
        customers: Collection[CustomerName],
        room: int,
    ) -> CustomerName | None:
        """Return whose request goes next, of those of equal rank.

        `room` is the number of requests that may run. A customer that runs
        less than a quarter of its equal share of it goes before all others;
        of several, and otherwise, that with the lowest weight.
        """
        return min(
            customers,
            key=lambda name: (
                not self.is_owed(service, name, room),
                self.weight(service, name),
                name,
            ),
            default=None,
        )

    def is_owed(
        self, service: ServiceName, customer: CustomerName, room: int
    ) -> bool:
        """Return whether a customer runs less than it gets at least.

        It then goes before others, also before those of a higher rank.
        """
        running = self._running[service]
        names = self._waiting[service].keys() | running.keys()
        least = LEAST_SHARE * room / max(len(names), 1)
        return running[_known(running, customer)] < least


def _known(counts: Counter[CustomerName], name: CustomerName) -> CustomerName:
    """Return the name under which a customer is counted."""
    return name if name in counts else OTHERS


def _add(counts: Counter[CustomerName], name: CustomerName) -> None:
    if name not in counts and len(counts) >= MAX_CUSTOMERS:
        name = OTHERS
    counts[name] += 1


def _remove(counts: Counter[CustomerName], name: CustomerName) -> None:
    """Remove a request, which may have been counted among the others."""
    known = _known(counts, name)
    counts[known] -= 1
    if counts[known] <= 0:
        counts.pop(known)
