"""How fast and how late the stand-in store answers, as a whole.

Each option is off by default. They are for faults that concern many calls at
once; see `call_faults` for those of single kinds of calls and machines.
"""

import asyncio
import bisect
import collections
import random
import time
from collections.abc import Awaitable, Callable, Collection, Coroutine
from http import HTTPStatus
from typing import Final, TypeAlias

import msgspec
from aiohttp import web

from standins.call_faults import COMMIT_PATH
from standins.other_writers import OtherWriters

#: Time in which the calls of a rate are counted, in seconds.
RATE_PERIOD: Final = 1.0
#: Time between two looks whether a change is shown by now, in seconds.
LAG_STEP: Final = 0.05

Clock: TypeAlias = Callable[[], float]
Answerer: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Standstill:
    """A store that accepts connections and reads calls, and does no more.

    Once it goes on, it performs the calls that are waiting in the order of
    their arrival, also those whose callers have gone.
    """

    def __init__(self) -> None:
        """Stand still for no call until `begin`."""
        #: Time between two calls that are performed after it, in seconds.
        self.step: float = 0
        #: Number of calls that wait.
        self.waiting = 0
        self._is_on = False
        self._waits: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def is_on(self) -> bool:
        """Return whether a call that arrives now has to wait."""
        return self._is_on or bool(self._waits)

    def begin(self) -> None:
        """Answer no call from now on."""
        self._is_on = True

    async def end(self) -> None:
        """Perform the calls that wait, one after another, then all others."""
        self._is_on = False
        while self._waits and not self._is_on:
            turn = self._waits.popleft()
            if turn.done():
                continue
            turn.set_result(None)
            await asyncio.sleep(self.step)

    async def wait(self) -> None:
        """Wait until a call that arrives now is performed."""
        if not self.is_on:
            return
        turn = asyncio.get_running_loop().create_future()
        self._waits.append(turn)
        self.waiting += 1
        try:
            await turn
        finally:
            self.waiting -= 1


class Slowness:
    """A store that takes long for each call, which overtake each other."""

    def __init__(self) -> None:
        """Take no time; set `delays` to take some."""
        #: Shortest and longest time for a call, in seconds.
        self.delays: tuple[float, float] = (0, 0)
        #: The calls' paths, and the machines; all if there are none.
        self.paths: Collection[str] = ()
        self.machines: Collection[str] = ()
        #: Part of that time that passes before a call is performed, drawn for
        #: each call if it is `None`. It is answered after the rest: at 0 calls
        #: are performed at once and answered late.
        self.part_before: float | None = None
        #: Draws both; tests may seed it.
        self.random = random.Random(0)

    def draw(self, path: str, machine: str) -> tuple[float, float]:
        """Return the delays of a call before and after it is performed."""
        if not any(self.delays):
            return 0, 0
        if self.paths and path not in self.paths:
            return 0, 0
        if self.machines and machine not in self.machines:
            return 0, 0
        delay = self.random.uniform(*self.delays)
        part = self.part_before
        if part is None:
            part = self.random.random()
        return delay * part, delay * (1 - part)


class Lag:
    """Reads that show the store as it was some time ago, versions included."""

    def __init__(self, clock: Clock) -> None:
        """Show it as it is; set `seconds` for reads that are behind."""
        self._clock = clock
        #: How far reads are behind, in seconds.
        self.seconds: float = 0
        #: The tables concerned, and the machines; all if there are none.
        self.tables: Collection[str] = ()
        self.machines: Collection[str] = ()
        #: Whether whole reads are concerned, and waits for changes.
        self.concerns_reads = True
        self.concerns_feeds = True
        self._times: list[float] = []
        self._versions: list[int] = []

    def note(self, version: int) -> None:
        """Note that the store has a version from now on."""
        self._times.append(self._clock())
        self._versions.append(version)

    def go_back(self, seconds: float) -> int:
        """Forget the versions of the last seconds; return the one before."""
        count = bisect.bisect_right(self._times, self._clock() - seconds)
        self._times = self._times[:count]
        self._versions = self._versions[:count]
        return self._versions[-1] if count else 0

    def version_for(
        self, table: str, machine: str, newest: int, *, is_feed: bool = False
    ) -> int:
        """Return the version up to which a read shows a table."""
        is_concerned = self.concerns_feeds if is_feed else self.concerns_reads
        if not self.seconds or not is_concerned:
            return newest
        if self.tables and table not in self.tables:
            return newest
        if self.machines and machine not in self.machines:
            return newest
        shown_at = self._clock() - self.seconds
        count = bisect.bisect_right(self._times, shown_at)
        return self._versions[count - 1] if count else 0

    def until_shown(self, remaining: float) -> float:
        """Return for how long a wait for changes may not look again."""
        return min(remaining, LAG_STEP) if self.seconds else remaining


class RateLimit:
    """The most calls that are taken in a second; others are refused by 429."""

    def __init__(self, clock: Clock) -> None:
        """Take all; set `per_second` to limit them."""
        self._clock = clock
        self.per_second: float | None = None
        #: Whether refused calls count, too.
        self.counts_refused = False
        self.refused = 0
        self._taken: collections.deque[float] = collections.deque()

    def takes(self) -> bool:
        """Count a call; return whether it is taken."""
        if self.per_second is None:
            return True
        now = self._clock()
        while self._taken and self._taken[0] <= now - RATE_PERIOD:
            self._taken.popleft()
        is_taken = len(self._taken) < self.per_second * RATE_PERIOD
        if is_taken or self.counts_refused:
            self._taken.append(now)
        self.refused += not is_taken
        return is_taken


class StorePace:
    """The options of one store."""

    def __init__(
        self,
        write: Callable[[str, str, bytes], int],
        newest: Callable[[], int],
        clock: Clock = time.monotonic,
    ) -> None:
        """Answer each call at once, and show the store as it is.

        `write` commits a row of another writer, `newest` returns the store's
        version.
        """
        self._newest = newest
        self.other_writers = OtherWriters(write)
        self.standstill = Standstill()
        self.slowness = Slowness()
        self.lag = Lag(clock)
        self.read_rate = RateLimit(clock)
        self.write_rate = RateLimit(clock)
        #: Transactions that go on though their callers may have gone.
        self._performing: set[asyncio.Task[web.StreamResponse]] = set()

    def stop(self) -> None:
        """Perform no more calls."""
        for task in self._performing:
            task.cancel()

    async def answer(
        self, request: web.Request, handle: Answerer, machine: str
    ) -> web.StreamResponse:
        """Answer a call when its turn has come."""
        is_commit = request.path == COMMIT_PATH
        rate = self.write_rate if is_commit else self.read_rate
        if not rate.takes():
            return web.Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        before, after = self.slowness.draw(request.path, machine)
        if not before + after and not self.standstill.is_on:
            return await handle(request)
        await request.read()
        answer = self._answer_late(request, handle, before, after)
        return await (self.perform(answer) if is_commit else answer)

    async def perform(
        self, work: Coroutine[None, None, web.StreamResponse]
    ) -> web.StreamResponse:
        """Perform a transaction to its end, also if its caller leaves."""
        task = asyncio.create_task(work)
        self._performing.add(task)
        task.add_done_callback(self._performing.discard)
        return await asyncio.shield(task)

    async def perform_late(
        self, request: web.Request, handle: Answerer, delay: float
    ) -> None:
        """Perform a transaction after a delay, also if its caller leaves."""
        await request.read()
        await self.perform(self._answer_late(request, handle, delay, 0))

    async def _answer_late(
        self,
        request: web.Request,
        handle: Answerer,
        before: float,
        after: float,
    ) -> web.StreamResponse:
        await self.standstill.wait()
        await asyncio.sleep(before)
        response = await handle(request)
        if not after:
            return response
        await asyncio.sleep(after)
        if request.path == COMMIT_PATH and isinstance(response, web.Response):
            self._renew_version(response)
        return response

    def _renew_version(self, response: web.Response) -> None:
        """Answer a transaction with the newest version of this moment."""
        if not isinstance(response.body, bytes):
            return
        body = msgspec.json.decode(response.body)
        response.body = msgspec.json.encode({**body, 'ver': self._newest()})
