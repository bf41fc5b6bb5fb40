"""Log for how long the event loop of this process did not run."""

import asyncio
from collections.abc import Callable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.types import Seconds

CHECK_INTERVAL: Final[Seconds] = 0.25
#: Shortest time without a turn of the loop that is logged.
MIN_LOGGED: Final[Seconds] = 0.5


class StandstillWatch:
    """Tells a loop that was blocked from a process that did not run.

    The first has used processor time meanwhile, the second has not: it was
    suspended, or its machine was.
    """

    def __init__(self, clock: SystemClock) -> None:
        """Start without a standstill."""
        self._clock = clock
        #: How long the loop has stood still since the process started.
        self.total: Seconds = 0
        #: Called with how late the loop is, every CHECK_INTERVAL.
        self.on_lag: Callable[[Seconds], None] = _ignore

    async def run(self) -> None:
        """Log each standstill when it ends, until cancelled."""
        while True:
            due_at = self._clock.boot() + CHECK_INTERVAL
            processor_time = self._clock.processor()
            await asyncio.sleep(CHECK_INTERVAL)
            late_by = self._clock.boot() - due_at
            self.on_lag(max(late_by, 0))
            if late_by < MIN_LOGGED:
                continue
            self.total += late_by
            busy_for = self._clock.processor() - processor_time
            record(
                Event.stood_still,
                lasted=round(late_by, 3),
                busy_for=round(busy_for, 3),
            )


def _ignore(lag: Seconds) -> None:
    """Take no note; the default until an observer is set."""
