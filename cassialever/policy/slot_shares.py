"""Keep to this daemon's share of the slots of targets that are contended.

Load pattern handled: many daemons with uneven and changing demand that fill
the queues of the same few targets at once. While a service is contended, a
daemon sends a request only with a place that the target's keeper has handed
out, so that the shares of all daemons follow their demand and sum to what the
target has. In calm nothing is bound. A daemon that its keeper does not answer
sends what would be its share if all had the same demand, a trickle.
"""

from collections import Counter, deque
from collections.abc import Callable, Container, Iterator
from typing import Final

import msgspec

from cassialever.fleet.model import Target
from cassialever.interfaces import RandomSource
from cassialever.policy.contention import Contention
from cassialever.policy.share_limits import AskBudget, ReportStaleness
from cassialever.policy.slot_keeper import MAX_WANTED, PlaceReport
from cassialever.types import PlaceId, Seconds, ServiceName, TargetId

#: Requests per slot, as a target reports them, that are a sign of contention.
CONTENDED_PER_SLOT: Final = 1.5
#: How long an answer of a keeper is waited for: datagrams are read every
#: 0.04 s at each end.
ASK_TIMEOUT: Final[Seconds] = 0.15
#: How long a place is kept for a request. It counts as held until it is given
#: back.
PLACE_LIFETIME: Final[Seconds] = 0.3
#: Shortest time until a target without a free place is asked for again.
MIN_DENIED_PERIOD: Final[Seconds] = 0.03
#: Unanswered requests from which on a keeper counts as lost.
MAX_UNANSWERED: Final = 2
#: Longest time until it is asked again. The delay comes with a datagram.
MAX_DENIED_PERIOD: Final[Seconds] = 1.0
#: Places that are remembered at each target, since a datagram may arrive twice.
MAX_REMEMBERED: Final = 16
#: Requests for places of one service that are under way.
MAX_ASKED: Final = 8
#: Daemons that are assumed while their number is not known.
ASSUMED_DAEMONS: Final = 16


class PlaceEnd(msgspec.Struct, frozen=True):
    """The end of a request at a target, and what its answer has shown.

    `latency` is 0 and `requests` -1 without an answer that tells the load.
    """

    place: PlaceId | None = None
    latency: Seconds = 0
    requests: int = -1
    is_shed: bool = False


class _Share:
    """This daemon's places at one target."""

    def __init__(self, service: ServiceName, phase: float) -> None:
        self.service = service
        #: Places without a request, and until when each is kept.
        self.unused: deque[tuple[PlaceId, Seconds]] = deque()
        #: When a place was asked for, if there is no answer yet.
        self.asked_at: Seconds = 0
        self.denied_until: Seconds = 0
        #: The latest places that its keeper has handed out.
        self._latest: deque[PlaceId] = deque(maxlen=MAX_REMEMBERED)
        #: Requests to its keeper since the last answer.
        self.unanswered = 0
        #: Requests that it may send without a keeper, as of a time.
        self._level = phase
        self._level_at: Seconds = 0

    @property
    def may_send(self) -> bool:
        """Return whether there is a place, or a request to send without."""
        if self.unused:
            return True
        return self.unanswered >= MAX_UNANSWERED and self._level >= 1

    def take_new(self, places: tuple[PlaceId, ...]) -> tuple[PlaceId, ...]:
        """Return the places that have not arrived before."""
        new = tuple(place for place in places if place not in self._latest)
        self._latest.extend(new)
        return new

    def take(self) -> PlaceId | None:
        """Use a place, or a request without a keeper."""
        if self.unused:
            return self.unused.popleft()[0]
        self._level = max(self._level - 1, 0)
        return None

    def take_expired(self, now: Seconds) -> tuple[PlaceId, ...]:
        """Take out the places that no request has used."""
        expired = []
        while self.unused and self.unused[0][1] <= now:
            expired.append(self.unused.popleft()[0])
        return tuple(expired)

    def refill(self, rate: float, now: Seconds) -> None:
        """Add what may be sent without a keeper, up to one request."""
        if self._level_at:
            self._level = min(self._level + rate * (now - self._level_at), 1)
        self._level_at = now


class SlotShares:
    """The places that this daemon holds at targets, and those it asks for."""

    def __init__(self, random_source: RandomSource) -> None:
        """Start without places, in calm."""
        self._random = random_source
        self._share_by_id: dict[TargetId, _Share] = {}
        self.contention = Contention()
        #: Whether shares may bind at all, by the settings.
        self.is_enabled = True
        #: Number of daemons; 0 while it is not known. One alone is not bound.
        self.daemon_count = 1
        self.staleness = ReportStaleness()
        self.asks = AskBudget()
        #: Number of requests that wait for a target.
        self.waiting_by_service: Counter[ServiceName] = Counter()
        #: Sends a report to the keeper of a target, if there is one.
        self.send: Callable[[TargetId, PlaceReport], None] = _send_nothing

    def is_contended(self, service: ServiceName, now: Seconds) -> bool:
        """Return whether shares bind for a service."""
        return self.contention.holds_for(service, now) and self.may_bind(
            service
        )

    def needs_place(self, target: Target, now: Seconds) -> bool:
        """Return whether a target gets requests with a place only."""
        return self.is_contended(target.service, now) or (
            self.contention.holds_for(target.target_id, now)
            and self.may_bind(target.service)
        )

    def may_bind(self, service: ServiceName) -> bool:
        """Return whether reports are stale at the speed of a service.

        Otherwise the loads that daemons tell each other suffice.
        """
        if self.daemon_count == 1 or not self.is_enabled:
            return False
        return self.staleness.is_stale(service)

    def holds(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a request may be sent to a contended target."""
        share = self._share_by_id.get(target_id)
        if share is None:
            return False
        self._give_back(target_id, share.take_expired(now))
        return share.may_send

    def held_by_service(
        self, service: ServiceName, now: Seconds
    ) -> list[TargetId]:
        """Return the targets of a service that may get a request."""
        return [
            target_id
            for target_id, share in self._share_by_id.items()
            if share.service == service and self.holds(target_id, now)
        ]

    def take(self, target_id: TargetId) -> PlaceId | None:
        """Use a place for a request that is sent now, if there is one."""
        share = self._share_by_id.get(target_id)
        return None if share is None else share.take()

    def record_end(
        self, target: Target, end: PlaceEnd, name: str, now: Seconds
    ) -> None:
        """Give the place of a request back, and note what its end shows.

        `name` is what is contended: the service, or an owner of keys.
        """
        if end.latency and end.requests >= 0:
            self.staleness.note(target, end.latency, end.requests)
        weight = end.requests / (CONTENDED_PER_SLOT * target.slots)
        # One that refuses without a queue has another reason than load.
        is_sign = weight >= 1 or (end.is_shed and end.requests < 0)
        if is_sign and self.may_bind(target.service):
            self.contention.record_sign(name, max(weight, 1), now)
        if end.place is not None:
            self.send(
                target.target_id,
                PlaceReport(0, (end.place,), end.latency, end.requests),
            )

    def missing(self, service: ServiceName, now: Seconds) -> int:
        """Return how many places are neither held nor asked for.

        A request that looks for a target counts beside those that wait.
        """
        shares = list(self._shares_of(service))
        asked = sum(now - share.asked_at < ASK_TIMEOUT for share in shares)
        if asked >= MAX_ASKED:
            return 0
        unused = sum(len(share.unused) for share in shares)
        return max(self.waiting_by_service[service] + 1 - asked - unused, 0)

    def may_ask(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether places of a target may be asked for now."""
        share = self._share_by_id.get(target_id)
        if share is None:
            return True
        return now - share.asked_at >= ASK_TIMEOUT and now >= share.denied_until

    def ask(self, target: Target, service_time: Seconds, now: Seconds) -> None:
        """Ask the keeper of a target for a place, unless it is too soon."""
        target_id = target.target_id
        if not self.may_ask(target_id, now):
            return
        share = self._share_by_id.get(target_id)
        if share is None:
            share = _Share(target.service, self._random.random())
            self._share_by_id[target_id] = share
        rate = target.slots / service_time
        share.refill(rate / (self.daemon_count or ASSUMED_DAEMONS), now)
        wanted = min(max(self.missing(target.service, now), 1), MAX_WANTED)
        share.unanswered += 1
        share.asked_at = now
        self.send(target_id, PlaceReport(wanted))

    def add_places(
        self,
        target_id: TargetId,
        places: tuple[PlaceId, ...],
        delay: Seconds,
        now: Seconds,
    ) -> None:
        """Take the answer of a keeper.

        `delay` is the usual time until a place is free. Places that no request
        waits for are given back at once.
        """
        share = self._share_by_id.get(target_id)
        if share is None:
            self._give_back(target_id, places)
            return
        share.asked_at = 0
        share.unanswered = 0
        if not places:
            pause = min(max(delay, MIN_DENIED_PERIOD), MAX_DENIED_PERIOD)
            share.denied_until = now + pause * (0.5 + self._random.random())
        places = share.take_new(places)
        unused = len(share.unused)
        if not self.contention.holds_for(target_id, now):
            unused = sum(
                len(one.unused) for one in self._shares_of(share.service)
            )
        needed = max(self.waiting_by_service[share.service] - unused, 0)
        for place in places[:needed]:
            share.unused.append((place, now + PLACE_LIFETIME))
        self._give_back(target_id, places[needed:])

    def delay(self, target_id: TargetId, now: Seconds) -> Seconds:
        """Return the time until a place may be had; 0 if it is not known."""
        share = self._share_by_id.get(target_id)
        if share is None or share.unused:
            return 0
        return max(share.denied_until - now, 0)

    def prune(self, known: Container[TargetId], now: Seconds) -> None:
        """Give back places that no request has used; forget what is over."""
        self.contention.prune(now)
        for target_id, share in list(self._share_by_id.items()):
            self._give_back(target_id, share.take_expired(now))
            is_bound = self.is_contended(
                share.service, now
            ) or self.contention.holds_for(target_id, now)
            if target_id not in known or not (is_bound or share.unused):
                self._share_by_id.pop(target_id)

    def _shares_of(self, service: ServiceName) -> Iterator[_Share]:
        for share in self._share_by_id.values():
            if share.service == service:
                yield share

    def _give_back(
        self, target_id: TargetId, places: tuple[PlaceId, ...]
    ) -> None:
        if places:
            self.send(target_id, PlaceReport(0, places))


def _send_nothing(target_id: TargetId, report: PlaceReport) -> None:
    """Send nothing; the default until a way to do so is set."""
