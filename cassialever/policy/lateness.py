"""Tell whether a connection failed because this daemon was late itself.

While an event loop is late, a connection that its target has accepted is not
noticed in time, which says nothing about the target. The same holds while this
daemon's own link is full.
"""

import math
from collections import deque
from typing import Final

import msgspec

from cassialever.types import DataCentreId, Seconds, TargetId

#: Share of an attempt's time for which the loop may be late. A connection takes
#: several iterations of the loop, so that one with more lateness may miss it.
MAX_LATE_SHARE: Final = 0.25
#: Ticks that are kept, more than fit in the time for a connection.
KEPT_TICKS: Final = 64
#: After an excused failure, attempts begun within this time are not excused, so
#: that a target that can't be reached is noticed by a late daemon too.
EXCUSE_PERIOD: Final[Seconds] = 1.0
#: A connection that takes longer than this shows a late link: half of the time
#: allowed for it; on an idle link it takes 2 ms.
SLOW_CONNECTION: Final[Seconds] = 0.15
#: Time after such a connection for which the link counts as late.
LATE_LINK_PERIOD: Final[Seconds] = 0.3
#: Connections begun within this time of each other are compared.
TOGETHER: Final[Seconds] = 0.1
#: Data centres that are late together if the own link is late. A single one
#: may be cut off.
MIN_LATE_DATA_CENTRES: Final = 2
#: Connections that are kept, more than a daemon makes in the time for one.
KEPT_CONNECTIONS: Final = 64


class LoopLateness:
    """How late the recent ticks of an event loop were."""

    def __init__(self) -> None:
        """Start without ticks."""
        self._ticks: deque[tuple[Seconds, Seconds]] = deque(maxlen=KEPT_TICKS)

    def record_tick(self, due_at: Seconds, ran_at: Seconds) -> None:
        """Record when a tick was due and when it ran."""
        self._ticks.append((due_at, ran_at))

    def late_share(self, since: Seconds, now: Seconds) -> float:
        """Return the share of a span of time for which the loop was late."""
        if now <= since:
            return 0
        late = sum(
            max(ran_at - max(due_at, since), 0)
            for due_at, ran_at in self._ticks
        )
        return late / (now - since)


class Connection(msgspec.Struct, frozen=True, eq=False):
    """A connection to a target that is being made, or could not be made."""

    data_centre: DataCentreId
    begun_at: Seconds


class LinkLateness:
    """How late the recent connections over this daemon's link were."""

    def __init__(self) -> None:
        """Start without connections."""
        self._in_progress: set[Connection] = set()
        self._given_up: deque[Connection] = deque(maxlen=KEPT_CONNECTIONS)
        self._slow_at: Seconds = -math.inf
        self._answered_at: Seconds = -math.inf

    def begin(self, data_centre: DataCentreId, now: Seconds) -> Connection:
        """Note that a connection is being made; `end` must follow."""
        connection = Connection(data_centre, now)
        self._in_progress.add(connection)
        return connection

    def end(
        self, connection: Connection, now: Seconds, *, is_made: bool
    ) -> None:
        """Note that a connection was made, or could not be made."""
        self._in_progress.discard(connection)
        if now - connection.begun_at < SLOW_CONNECTION:
            return
        if is_made:
            self._slow_at = now
        else:
            self._given_up.append(connection)

    def record_answer(self, now: Seconds) -> None:
        """Note that a target answered."""
        self._answered_at = now

    def is_late(self, begun_at: Seconds, now: Seconds) -> bool:
        """Return whether the link explains a connection that timed out.

        That is so right after connections that were made late, and while
        targets of several data centres are late together though others
        answer. Without any answer this daemon may be cut off.
        """
        if self._slow_at > begun_at - LATE_LINK_PERIOD:
            return True
        if self._answered_at < begun_at:
            return False
        late_data_centres = {
            connection.data_centre
            for connection in (*self._given_up, *self._in_progress)
            if abs(connection.begun_at - begun_at) <= TOGETHER
            and now - connection.begun_at >= SLOW_CONNECTION
        }
        return len(late_data_centres) >= MIN_LATE_DATA_CENTRES


class OwnDelays:
    """The failures to connect that are no evidence against their targets."""

    def __init__(self) -> None:
        """Start without failures."""
        self.lateness = LoopLateness()
        self.link = LinkLateness()
        self._excused_at_by_id: dict[TargetId, Seconds] = {}

    def excuses(
        self, target_id: TargetId, begun_at: Seconds, now: Seconds
    ) -> bool:
        """Return whether a connection failed to be made by this daemon's fault.

        Attempts that run at the same time are excused together.
        """
        excused_at = self._excused_at_by_id.get(target_id, -math.inf)
        if excused_at <= begun_at < excused_at + EXCUSE_PERIOD:
            return False
        if not self._is_late(begun_at, now):
            return False
        if begun_at >= excused_at:
            self._excused_at_by_id[target_id] = now
        return True

    def _is_late(self, begun_at: Seconds, now: Seconds) -> bool:
        if self.lateness.late_share(begun_at, now) > MAX_LATE_SHARE:
            return True
        return self.link.is_late(begun_at, now)
