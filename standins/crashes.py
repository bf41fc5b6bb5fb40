"""Requests that crash the target that runs them."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target and that crashes it."""

    at: float
    request_id: str
    target_id: str


class CrashPlan:
    """The path that crashes all targets of a test, and what it has done."""

    def __init__(
        self,
        path: str,
        *,
        run_time: float = 0.05,
        down_time: float = 1.5,
        keeps_id: bool = False,
    ) -> None:
        """Crash each target `run_time` after it began to run the path.

        It is back after `down_time`, under another id unless it keeps its own;
        times are in seconds.
        """
        self.path = path
        self.run_time = run_time
        self.down_time = down_time
        self.keeps_id = keeps_id
        self.arrivals: list[Arrival] = []
        #: When each target ended, in monotonic seconds.
        self.crashed_at: list[float] = []
        #: Called with the target's id when it has ended, and when it is back.
        self.on_end: Callable[[str], None] = _ignore
        self.on_return: Callable[[str], None] = _ignore
        self._tasks: set[asyncio.Task[None]] = set()

    def sends_after(self, crashes: int, delay: float) -> int:
        """Count the arrivals later than a delay after a number of crashes."""
        if len(self.crashed_at) < crashes:
            return 0
        since = sorted(self.crashed_at)[crashes - 1] + delay
        return sum(arrival.at > since for arrival in self.arrivals)

    def note_arrival(self, request_id: str, target_id: str) -> None:
        """Count a request with the path that a target begins to run."""
        arrival = Arrival(time.monotonic(), request_id, target_id)
        self.arrivals.append(arrival)

    def note_crash(self) -> None:
        """Count a target that ends."""
        self.crashed_at.append(time.monotonic())

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that outlasts the request that began it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End what is still to happen."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _ignore(target_id: str) -> None:
    """Do nothing; the default until a handler is set."""
