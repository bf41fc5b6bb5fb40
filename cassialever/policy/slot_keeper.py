"""Hand out the places of a target to daemons, as its keeper.

Load pattern handled: many daemons that fill a target's queue at once, since
each judges it by reports from before the others have sent. One daemon counts
the places of a target, its slots and the useful part of its queue; the others
hold as many as they have requests there.
"""

from typing import Final

import msgspec

from cassialever.fleet.model import Target
from cassialever.interfaces import RandomSource
from cassialever.types import PlaceId, Seconds, TargetId

#: How long a place counts as held if its daemon does not give it back. Longer
#: requests still count by what their target reports.
LEASE: Final[Seconds] = 2.0
#: Places per slot: the next request must have arrived when one ends, and a
#: queue is useful up to a share of the objective.
MIN_PLACES_PER_SLOT: Final = 1.0
USUAL_PLACES_PER_SLOT: Final = 1.5
MAX_PLACES_PER_SLOT: Final = 2.0
OBJECTIVE_SHARE: Final = 0.5
#: Time for which a place is held though its request isn't at the target: the
#: ways of the datagrams that hand it out and give it back.
WAY_TIME: Final[Seconds] = 0.04
#: Weight of the newest answer in the averages of a target.
SMOOTHING_FACTOR: Final = 0.2
#: Time in which requests without a place are forgotten if none is reported.
EXCESS_PERIOD: Final[Seconds] = 1.0
#: Most places handed out in one answer.
MAX_WANTED: Final = 4
MAX_PLACE_ID: Final = 0x7FFFFFFF


class PlaceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells the keeper of a target, and asks for.

    `latency` and `requests` are of the last answer: its time in seconds, 0
    without one, and the requests running and queued that it named, -1 if none.
    """

    wanted: int = 0
    released: tuple[PlaceId, ...] = ()
    latency: Seconds = 0
    requests: int = -1


class _KeptTarget:
    """The places of one target that are held."""

    def __init__(self) -> None:
        #: Until when each place counts as held.
        self.ends_by_place: dict[PlaceId, Seconds] = {}
        self._service_time: Seconds = 0
        #: Requests at the target that hold no place: of daemons that ask no
        #: one, or another keeper.
        self._excess: float = 0
        self._excess_at: Seconds = 0

    def note(self, report: PlaceReport, slots: int, now: Seconds) -> None:
        """Take back places, and learn from an answer."""
        held = len(self.ends_by_place)
        for place in report.released:
            self.ends_by_place.pop(place, None)
        for place, ends_at in list(self.ends_by_place.items()):
            if ends_at <= now:
                self.ends_by_place.pop(place)
        if report.latency:
            served = report.latency * slots / max(held, slots)
            self._service_time = self._service_time or served
            self._service_time += SMOOTHING_FACTOR * (
                served - self._service_time
            )
        if report.requests >= 0:
            excess = max(report.requests - len(self.ends_by_place), 0)
            self._excess += SMOOTHING_FACTOR * (excess - self._excess)
            self._excess_at = now

    def room(self, slots: int, objective: Seconds, now: Seconds) -> int:
        """Return how many places may be handed out.

        One is free at a target where none is held, so that it can show that
        it is well.
        """
        per_slot = USUAL_PLACES_PER_SLOT
        if self._service_time:
            useful = OBJECTIVE_SHARE * objective / self._service_time
            per_slot = max(
                min(useful, MAX_PLACES_PER_SLOT), MIN_PLACES_PER_SLOT
            )
            per_slot += WAY_TIME / self._service_time
        excess = self._excess if now - self._excess_at < EXCESS_PERIOD else 0
        room = int(slots * per_slot - len(self.ends_by_place) - excess)
        return max(room, 0 if self.ends_by_place else 1)

    def next_delay(self, slots: int) -> Seconds:
        """Return the usual time between two answers of a busy target."""
        return self._service_time / slots


class SlotKeeper:
    """Hands out the places of the targets that this daemon keeps."""

    def __init__(self, random_source: RandomSource) -> None:
        """Start without any place handed out.

        Numbers of places begin at random, so that one of a former keeper is
        not taken for another.
        """
        self._last_place = random_source.randrange(MAX_PLACE_ID)
        self._kept_by_id: dict[TargetId, _KeptTarget] = {}
        self.granted_count = 0
        self.denied_count = 0

    def handle(
        self,
        target: Target,
        report: PlaceReport,
        objective: Seconds,
        now: Seconds,
    ) -> tuple[PlaceId, ...]:
        """Take a report, and return the places that it gets.

        `objective` is the shortest one of the target's service.
        """
        kept = self._kept_by_id.setdefault(target.target_id, _KeptTarget())
        kept.note(report, target.slots, now)
        if not report.wanted:
            return ()
        room = kept.room(target.slots, objective, now)
        count = min(report.wanted, room, MAX_WANTED)
        if not count:
            self.denied_count += 1
        places = tuple(self._next_place() for _ in range(count))
        for place in places:
            kept.ends_by_place[place] = now + LEASE
        self.granted_count += count
        return places

    def next_delay(self, target: Target) -> Seconds:
        """Return the usual time until a place of a full target is free."""
        kept = self._kept_by_id.get(target.target_id)
        return kept.next_delay(target.slots) if kept else 0

    def held_count(self, target_id: TargetId) -> int:
        """Return how many places of a target count as held."""
        kept = self._kept_by_id.get(target_id)
        return len(kept.ends_by_place) if kept else 0

    def prune(self, now: Seconds) -> None:
        """Forget targets of which no place is held."""
        for target_id, kept in list(self._kept_by_id.items()):
            if max(kept.ends_by_place.values(), default=0) <= now:
                self._kept_by_id.pop(target_id)

    def _next_place(self) -> PlaceId:
        self._last_place = (self._last_place + 1) % MAX_PLACE_ID
        return PlaceId(self._last_place)
