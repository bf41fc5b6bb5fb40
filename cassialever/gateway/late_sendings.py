"""Log requests that are sent long after they came, or by old tables."""

from typing import Final

import msgspec

from cassialever.events import Event, record
from cassialever.gateway.tables_state import TablesState
from cassialever.types import Seconds, TargetId

#: Time from a request's arrival from which on its sending is logged.
MIN_LOGGED_DELAY: Final[Seconds] = 0.5
#: Age of the tables from which on each sending is logged.
MIN_LOGGED_AGE: Final[Seconds] = 2.0
#: Lines a second; further ones are left out.
MAX_LINES_PER_SECOND: Final = 2


class Decision(msgspec.Struct, frozen=True):
    """The time and the configuration of the choice of a request's target.

    Times are monotonic; `tables` is the state of the daemon's tables then.
    """

    received_at: Seconds
    decided_at: Seconds
    tables: TablesState = TablesState()


class LateSendings:
    """The log of what is sent late, of a bounded length."""

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0

    def note(
        self,
        request_id: str,
        target_id: TargetId,
        decision: Decision | None,
        now: Seconds,
    ) -> None:
        """Log a request that is about to be written, if that is late."""
        if decision is None or not _is_logged(decision, now):
            return
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            return
        record(
            Event.request_sent_late,
            request=request_id,
            target=target_id,
            **decision.tables.fields(),
            decided_after=round(decision.decided_at - decision.received_at, 3),
            sent_after=round(now - decision.received_at, 3),
        )


def _is_logged(decision: Decision, now: Seconds) -> bool:
    delay = now - decision.received_at
    return delay >= MIN_LOGGED_DELAY or decision.tables.age >= MIN_LOGGED_AGE
