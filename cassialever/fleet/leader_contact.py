"""Log, in few lines, that a daemon has no leader, and why.

A daemon that can neither follow a leader nor replace it tries so several times
a second, for as long as that lasts.
"""

import enum
import math
from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.attempts import AttemptLog
from cassialever.fleet.direct import DirectFollower
from cassialever.fleet.following_leader import LeaderLink, LinkEnd
from cassialever.fleet.leader_changes import LeaderChanges
from cassialever.fleet.repeats import GrowingInterval, RepeatedLines
from cassialever.fleet.term_ends import TermLog
from cassialever.fleet.view import FleetView
from cassialever.types import Seconds

#: Time without a leader that is too long: a lease lapses in half of it.
MAX_TIME_WITHOUT: Final[Seconds] = 3.0
#: Age up to which tables that another daemon has confirmed count as kept by it,
#: and by how much the store's confirmation is older.
MAX_PEER_AGE: Final[Seconds] = 2.5
MIN_PEER_ADVANCE: Final[Seconds] = 0.5
#: Time with a leader after which it counts as found.
STEADY_TIME: Final[Seconds] = 1.0


class TablesWay(enum.Enum):
    """By which way a daemon's tables are kept up to date."""

    store = 'store'
    peer = 'peer'
    none = 'none'


class _Absence(msgspec.Struct):
    """A time without a leader, which may end for moments."""

    #: By the clock that runs on while the machine is suspended.
    began_at: Seconds
    #: By the wall clock, like the time of lines.
    since: Seconds
    interval: GrowingInterval
    #: When the contact was lost last.
    lost_at: Seconds
    #: When a leader was found; None without one.
    held_since: Seconds | None = None
    is_logged: bool = False
    times_lost: int = 1
    passes: int = 0


class LeaderContact:
    """Whether this daemon has a leader, and the log of when it has none."""

    def __init__(
        self,
        view: FleetView,
        link: LeaderLink,
        direct_follower: DirectFollower,
        clock: SystemClock,
    ) -> None:
        """Start without a leader."""
        self._view = view
        self._link = link
        self._direct_follower = direct_follower
        self._clock = clock
        #: The ends of this daemon's terms, and its attempts to lead.
        self.terms = TermLog()
        self.attempts = AttemptLog()
        #: Changes of the fleet's leader.
        self.changes = LeaderChanges()
        self._silences = RepeatedLines()
        self._absence: _Absence | None = self._begin_absence()
        #: When the tables were last known to be complete.
        self._complete_at: Seconds = -math.inf
        #: Whether this daemon gives way, and looks for a leader for its
        #: requests only.
        self.is_stopping = False

    def follows_by_reason(self) -> Mapping[str, int]:
        """Return how often the store was followed directly, by why."""
        return self._direct_follower.count_by_reason

    def begin_pass(self) -> None:
        """Count an attempt to find a leader or to become it."""
        if self._absence is not None:
            self._absence.passes += 1

    def note_silence(self, leader_id: str, end: LinkEnd) -> None:
        """Log that a leader could not be followed, or no longer."""
        self._note_lost()
        activity = self._link.farewell.activity.value
        kind = (leader_id, end.value, activity)
        count = self._silences.count(kind, self._clock.boot())
        if count:
            record(
                Event.leader_silent,
                leader=leader_id,
                reason=end.value,
                activity=activity or None,
                count=count,
                without_leader=round(self.time_without(), 3),
            )

    def watch(self, tables_age: Seconds, *, is_leading: bool) -> None:
        """Compare with the last check whether there is a leader.

        This daemon is its own leader while it leads.
        """
        now = self._clock.boot()
        self._complete_at = max(self._complete_at, now - tables_age)
        has_leader = is_leading or self._link.is_open
        leader = self._view.leader
        self.changes.note(
            leader[1] if leader else None, now, has_leader=has_leader
        )
        if not has_leader:
            self._note_lost()
            self._report_absence()
            return
        absence = self._absence
        if absence is None:
            return
        if absence.held_since is None:
            absence.held_since = now
        if now - absence.held_since >= STEADY_TIME:
            self._end_absence(absence, absence.held_since, is_leading)

    def time_without(self) -> Seconds:
        """Return the time since a leader was lost; 0 for a follower.

        A daemon that leads has no leader before the next check.
        """
        absence = self._absence
        if absence is None or absence.held_since is not None:
            return 0
        if self._link.is_open:
            return 0
        return self._clock.boot() - absence.lost_at

    def tables_age(self, present_age: Seconds) -> Seconds:
        """Return the time since the tables were complete, by any way.

        `present_age` is that by the present way, which may be new.
        """
        return min(self._clock.boot() - self._complete_at, present_age)

    def way(self) -> TablesWay:
        """Return how a daemon that does not lead keeps its tables."""
        if self._link.is_relaying() or self._is_confirmed_by_peer():
            return TablesWay.peer
        direct = self._direct_follower
        if direct.is_store_reachable() and direct.age() < math.inf:
            return TablesWay.store
        return TablesWay.none

    def age_by_way(self) -> dict[TablesWay, Seconds]:
        """Return the age of a follower's tables by each way in use."""
        ages = {}
        if self._link.is_open:
            ages[TablesWay.peer] = self._link.tables_age()
        elif self._is_confirmed_by_peer():
            ages[TablesWay.peer] = self._clock.boot() - self._complete_at
        direct = self._direct_follower
        if direct.is_running and direct.age() < math.inf:
            ages[TablesWay.store] = direct.age()
        return ages

    def _begin_absence(self) -> _Absence:
        now = self._clock.boot()
        interval = GrowingInterval(now + MAX_TIME_WITHOUT)
        return _Absence(now, self._clock.wall(), interval, now)

    def _note_lost(self) -> None:
        """Note that there is no leader at this moment."""
        absence = self._absence
        if absence is None:
            self._absence = self._begin_absence()
        elif absence.held_since is not None:
            absence.held_since = None
            absence.lost_at = self._clock.boot()
            absence.times_lost += 1

    def _is_confirmed_by_peer(self) -> bool:
        """Return whether the tables were confirmed, and not by the store.

        That is by another daemon that does not lead.
        """
        absence = self._absence
        if absence is None or self._complete_at <= absence.lost_at:
            return False
        age = self._clock.boot() - self._complete_at
        store_age = self._direct_follower.age()
        return age < min(MAX_PEER_AGE, store_age - MIN_PEER_ADVANCE)

    def _report_absence(self) -> None:
        absence = self._absence
        if absence is None or self.is_stopping:
            return
        if not absence.is_logged:
            absence.is_logged = True
            self._record(Event.leader_missing, absence)
        elif absence.interval.is_over(self._clock.boot()):
            self._record(Event.leader_missing_long, absence)

    def _record(self, event: Event, absence: _Absence) -> None:
        now = self._clock.boot()
        record(
            event,
            since=round(absence.since, 3),
            lasted=round(now - absence.began_at, 3),
            passes=absence.passes,
            times_lost=absence.times_lost,
            leaders_seen=self.changes.seen_count,
            leaders_short=self.changes.short_count,
            named=self._view.leader_id or None,
            tables_way=self.way().value,
            tables_age=round(now - self._complete_at, 3),
        )

    def _end_absence(
        self, absence: _Absence, found_at: Seconds, is_leading: bool
    ) -> None:
        """Log that a leader was found, if a line says that there was none."""
        silences = self._silences.forget()
        self._absence = None
        if not silences and not absence.is_logged:
            return
        record(
            Event.leader_found,
            leader=self._view.leader_id,
            leads=is_leading,
            since=round(absence.since, 3),
            lasted=round(found_at - absence.began_at, 3),
            passes=absence.passes,
            times_lost=absence.times_lost,
            leaders_seen=self.changes.seen_count,
            leaders_short=self.changes.short_count,
            silences=silences,
        )
