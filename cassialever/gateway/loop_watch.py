"""Measure how late the event loop is while connections are being made."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

from cassialever.policy.lateness import LoopLateness
from cassialever.types import Seconds

#: Time between two ticks: a tenth of the time for a connection. Connections
#: that are made before the first one cost no wake-up.
TICK_INTERVAL: Final[Seconds] = 0.03


class LoopWatch:
    """Ticks in the running loop while something is watched."""

    def __init__(self, lateness: LoopLateness) -> None:
        """Record the ticks in `lateness`."""
        self._lateness = lateness
        self._watched = 0
        self._due_at: Seconds = 0
        self._timer: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def watching(self) -> Iterator[None]:
        """Tick for the length of the context."""
        self._watched += 1
        if self._timer is None:
            self._schedule()
        try:
            yield
        finally:
            self._watched -= 1
            self._stop_if_idle()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + TICK_INTERVAL
        self._timer = loop.call_at(self._due_at, self._tick)

    def _tick(self) -> None:
        ran_at = asyncio.get_running_loop().time()
        self._lateness.record_tick(self._due_at, ran_at)
        self._schedule()

    def _stop_if_idle(self) -> None:
        if not self._watched and self._timer is not None:
            self._timer.cancel()
            self._timer = None
