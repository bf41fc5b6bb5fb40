"""Note the ends of requests at targets, and give their places back."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.fleet.places import PlaceExchange
from cassialever.fleet.view import FleetView
from cassialever.gateway.metrics import Reading
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    TargetRefusal,
)
from cassialever.policy.loads import LoadTracker, TargetLoad
from cassialever.policy.slot_shares import PlaceEnd, SlotShares
from cassialever.types import PlaceId, Seconds


class _Ending(msgspec.Struct):
    """A request at a target, which gets its attempt when it has ended."""

    attempt: Attempt | None = None


class _Parts(msgspec.Struct, frozen=True):
    """The parts of a daemon that know of a request's target."""

    shares: SlotShares
    view: FleetView
    loads: LoadTracker


class PlaceEnds:
    """Tells the shares of a daemon how its requests have ended."""

    def __init__(self, clock: SystemClock) -> None:
        """Tell nothing until `connect`."""
        self._clock = clock
        self._parts: _Parts | None = None

    def connect(
        self, shares: SlotShares, view: FleetView, loads: LoadTracker
    ) -> None:
        """Tell the shares of a daemon from now on."""
        self._parts = _Parts(shares, view, loads)
        shares.contention.on_contended = _record_contended

    @contextmanager
    def ending(
        self, target: Target, place: PlaceId | None
    ) -> Iterator[_Ending]:
        """Hold a place for the length of the context.

        An error or a cancellation gives it back too.
        """
        sent_at = self._clock.monotonic()
        ending = _Ending()
        try:
            yield ending
        finally:
            if self._parts is not None:
                self._end(self._parts, target, place, ending, sent_at)

    def _end(
        self,
        parts: _Parts,
        target: Target,
        place: PlaceId | None,
        ending: _Ending,
        sent_at: Seconds,
    ) -> None:
        now = self._clock.monotonic()
        end = PlaceEnd(place)
        if ending.attempt is not None:
            load = parts.loads.of(target.target_id)
            end = _describe(ending.attempt, load, place, sent_at, now)
        service = parts.view.service(target.service)
        is_keyed = service is not None and service.is_keyed
        name = target.target_id if is_keyed else target.service
        parts.shares.record_end(target, end, name, now)


def _describe(
    attempt: Attempt,
    load: TargetLoad,
    place: PlaceId | None,
    sent_at: Seconds,
    now: Seconds,
) -> PlaceEnd:
    reported_at, requests = load.last_report
    is_answered = attempt.outcome is AttemptOutcome.answered
    return PlaceEnd(
        place,
        now - sent_at if is_answered else 0,
        requests if reported_at >= sent_at else -1,
        attempt.refusal is TargetRefusal.shed,
    )


def _record_contended(name: str) -> None:
    record(Event.shares_bind, contended=name)


def place_readings(exchange: PlaceExchange) -> list[Reading]:
    """Return readings of contention, and of the places of kept targets."""
    return [
        Reading('contended', exchange.shares.contention.count()),
        Reading('places_granted', exchange.keeper.granted_count),
        Reading('places_denied', exchange.keeper.denied_count),
    ]
