"""Order the requests that wait for the same targets, and refuse the hopeless.

Load patterns handled: bursts of one kind of request by 1.7 to 2.5 times beside
a more urgent kind, callers that retry at once, one customer that sends many
times its usual. A queue holds only requests that are expected to be answered
in time at the rate at which it gets places; the others are refused at once.
Serving the earliest end first then can't collapse into serving all of them
late.
"""

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

from cassialever.policy.precedence import Precedence
from cassialever.policy.refusal import ReturnTimes
from cassialever.types import CustomerName, Seconds

#: Longest queue; the last one of more is displaced.
MAX_LENGTH: Final = 256
#: Time constant with which places that were got before are forgotten; slots of
#: targets are taken several times in it.
RATE_TIME_CONSTANT: Final[Seconds] = 1.0
#: How long after the last sign of contention its rate is of no use any more.
FORGET_AFTER: Final[Seconds] = 1.0
#: Requests a slot at a target that has room for one more, running or queued.
PLACE_FACTOR: Final = 1.5
#: Requests a slot up to which the most and the least urgent kind of request
#: fill a target. One with fewer has idle slots until the next request comes.
MAX_FILL: Final = 3.0
MIN_FILL: Final = 2.0
#: Share of its useful time in which an answer has to be expected: service
#: times vary, and reports of loads are old.
IN_TIME_SHARE: Final = 0.9
#: Share of its useful time that a request waits for the next place though its
#: answer may be late, if a target's work takes most of that time: it would
#: find no room beside requests that can wait longer.
PATIENT_SHARE: Final = 0.35
#: Share of its useful time that such a request can spare at most.
TIGHT_SHARE: Final = 0.06

#: Rank, whether it is late anyway, place among customers, end, number.
_Order: TypeAlias = tuple[int, bool, float, Seconds, int]

#: Returns a customer's place among those of equal rank, least first, by its
#: name and the number of its requests in the queue.
FairPlace: TypeAlias = Callable[[CustomerName, int], float]


class Contender:
    """One request that waits for a place."""

    __slots__ = (
        'is_late',
        'is_out',
        'was_queued',
        'order',
        'patient_until',
        'precedence',
        'start_by',
        'wake',
    )

    def __init__(
        self,
        precedence: Precedence,
        start_by: Seconds,
        patient_until: Seconds,
        *,
        is_late: bool = False,
    ) -> None:
        """Take part until `start_by`, by when it has to get a place.

        Until `patient_until` it also waits for the next place if that is
        expected later.
        """
        self.precedence = precedence
        self.start_by = start_by
        self.patient_until = patient_until
        #: Whether its answer would be late whenever it got a place.
        self.is_late = is_late
        #: Whether it was displaced, or can't be served in time any more.
        self.is_out = False
        #: Whether it has ever been in a queue.
        self.was_queued = False
        self.order: _Order = (0, False, 0, 0, 0)
        #: Has the request look at its place again.
        self.wake: Callable[[], None] = _ignore


class PlaceRate:
    """The rate at which requests get places while there are too few.

    Only time in which a request waits, or was just turned away, counts.
    """

    def __init__(self, prior: float) -> None:
        """Start from a rate that counts as much as one place."""
        self._prior_span = 1 / prior
        self._places: float = 0
        self._span: Seconds = 0
        self._busy_since = math.nan
        self._touched_at: Seconds = 0

    def record_full(self, now: Seconds) -> None:
        """Record that there is no place."""
        self._touched_at = now
        if math.isnan(self._busy_since):
            self._busy_since = now

    def record_place(self, now: Seconds, *, others_wait: bool) -> None:
        """Record that a request has got a place."""
        busy = self._busy_time(now)
        weight = math.exp(-busy / RATE_TIME_CONSTANT)
        self._places = self._places * weight + 1
        self._span = self._span * weight + busy
        self._busy_since = now if others_wait else math.nan

    def per_second(self, now: Seconds) -> float:
        """Return the places a second that are expected."""
        span = self._span + self._busy_time(now)
        return (self._places + 1) / (span + self._prior_span)

    def is_outdated(self, now: Seconds) -> bool:
        """Return whether the last contention has been over for long."""
        return now - self._touched_at > FORGET_AFTER

    def _busy_time(self, now: Seconds) -> Seconds:
        if math.isnan(self._busy_since):
            return 0
        return max(now - self._busy_since, 0)


class WaitingQueue:
    """The requests of one daemon that wait for the same targets."""

    def __init__(self, rate: PlaceRate, returns: ReturnTimes) -> None:
        """Start empty."""
        self.rate = rate
        #: When those that were refused here come back.
        self.returns = returns
        #: The place of a customer; by default after those that wait less.
        self.fair_place: FairPlace = _fewest_waiting
        self._waiting: list[tuple[_Order, Contender]] = []
        self._count_by_customer: Counter[CustomerName] = Counter()
        self._joined = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    @property
    def first(self) -> Contender | None:
        """Return the request that gets the next place."""
        return self._waiting[0][1] if self._waiting else None

    def goes_first(self, contender: Contender) -> bool:
        """Return whether a newcomer would get the next place."""
        if not self._waiting:
            return True
        return self._order_of(contender) < self._waiting[0][0]

    def join(self, contender: Contender, now: Seconds) -> list[Contender]:
        """Add a request; return those that have to leave for it.

        The newcomer is among them if it can't be served in time.
        """
        contender.order = self._order_of(contender)
        self._joined += 1
        entry = (contender.order, contender)
        position = bisect_left(self._waiting, entry[0], key=_order_of_entry)
        if self._is_hopeless(contender, position, now):
            contender.is_out = True
            return [contender]
        insort(self._waiting, entry, key=_order_of_entry)
        contender.was_queued = True
        self._count_by_customer[contender.precedence.customer] += 1
        is_last = position + 1 == len(self._waiting)
        return [] if is_last else self.take_hopeless(now)

    def leave(self, contender: Contender) -> bool:
        """Remove a request; return whether it was first."""
        position = bisect_left(
            self._waiting, contender.order, key=_order_of_entry
        )
        if position == len(self._waiting):
            return False
        if self._waiting[position][1] is not contender:
            return False
        self._waiting.pop(position)
        self._uncount(contender)
        return position == 0

    def take_hopeless(self, now: Seconds) -> list[Contender]:
        """Remove and return the requests that can't be served in time."""
        kept: list[tuple[_Order, Contender]] = []
        out: list[Contender] = []
        for entry in self._waiting:
            contender = entry[1]
            if self._is_hopeless(contender, len(kept), now):
                contender.is_out = True
                self._uncount(contender)
                out.append(contender)
                continue
            kept.append(entry)
        self._waiting = kept
        return out

    def count_by_rank(self) -> Counter[int]:
        """Return the number of requests that wait, by their rank."""
        return Counter(order[0] for order, _ in self._waiting)

    def _order_of(self, contender: Contender) -> _Order:
        precedence = contender.precedence
        place: float = 0
        if precedence.customer:
            place = self.fair_place(
                precedence.customer,
                self._count_by_customer[precedence.customer],
            )
        return (
            precedence.rank,
            contender.is_late,
            place,
            precedence.useful_until,
            self._joined,
        )

    def _is_hopeless(
        self, contender: Contender, position: int, now: Seconds
    ) -> bool:
        """Return whether a request would get its place too late."""
        if position >= MAX_LENGTH:
            return True
        if position == 0 and now < contender.patient_until:
            return False
        expected = now + (position + 1) / self.rate.per_second(now)
        return expected > contender.start_by

    def _uncount(self, contender: Contender) -> None:
        customer = contender.precedence.customer
        self._count_by_customer[customer] -= 1
        if not self._count_by_customer[customer]:
            self._count_by_customer.pop(customer)


def fill_level(rank: int, ranks: Sequence[int]) -> float:
    """Return the requests a slot up to which a request may fill a target.

    `ranks` are those that compete for its service, ascending. What is queued
    at a target can't be passed, so that the more urgent a request is, the
    fuller it may find one: it finds room where the others wait, also those of
    other daemons.
    """
    if len(ranks) < 2:
        return MAX_FILL
    before = bisect_left(ranks, rank)
    step = (MAX_FILL - MIN_FILL) / (len(ranks) - 1)
    return max(MAX_FILL - before * step, MIN_FILL)


def contend(
    precedence: Precedence, received_at: Seconds, service_time: Seconds
) -> Contender:
    """Return a request that found no place.

    It waits while its answer would be in time once it gets one. One that would
    be late anyway waits briefly, after those that would not.
    """
    useful = precedence.useful_until - received_at
    slack = useful - service_time * PLACE_FACTOR
    margin = min(useful * (1 - IN_TIME_SHARE), max(slack, 0) / 2)
    if slack - margin > useful * TIGHT_SHARE:
        start_by = received_at + slack - margin
        return Contender(precedence, start_by, received_at)
    patient_until = received_at + useful * PATIENT_SHARE
    return Contender(
        precedence, patient_until, patient_until, is_late=slack <= 0
    )


def _order_of_entry(entry: tuple[_Order, Contender]) -> _Order:
    return entry[0]


def _fewest_waiting(customer: CustomerName, waiting: int) -> float:
    """Put the next request of a customer after as many of each other's."""
    return waiting


def _ignore() -> None:
    """Wake nothing; the default until the request waits."""
