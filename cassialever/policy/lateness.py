"""Tell whether a connection failed because this daemon was late itself.

While an event loop is late, a connection that its target has accepted is not
noticed in time, which says nothing about the target.
"""

import math
from collections import deque
from typing import Final

from cassialever.types import Seconds, TargetId

#: Share of an attempt's time for which the loop may be late. A connection takes
#: several iterations of the loop, so that one with more lateness may miss it.
MAX_LATE_SHARE: Final = 0.25
#: Ticks that are kept, more than fit in the time for a connection.
KEPT_TICKS: Final = 64
#: After an excused failure, attempts begun within this time are not excused, so
#: that a target that can't be reached is noticed by a late daemon too.
EXCUSE_PERIOD: Final[Seconds] = 1.0


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


class OwnDelays:
    """The failures to connect that are no evidence against their targets."""

    def __init__(self) -> None:
        """Start without failures."""
        self.lateness = LoopLateness()
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
        if self.lateness.late_share(begun_at, now) <= MAX_LATE_SHARE:
            return False
        if begun_at >= excused_at:
            self._excused_at_by_id[target_id] = now
        return True
