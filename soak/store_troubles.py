"""Faults of the whole store: late, slow, behind, shared with other writers."""

import asyncio
import base64
import random
from collections.abc import Awaitable, Callable, Collection

from cassialever.fleet.view import OWN_TABLE
from soak.fleet import DaemonProcess, SoakFleet
from standins.rowstore import RowStoreServer, StoredRow

#: Range of the duration of each fault, in seconds, and the longest in a series.
DURATIONS = (2.0, 10.0)
SERIES_FAULT_TIME = 4.0
#: Times that each call takes in a store that is slow, in seconds: 50 to 95
#: times as long as usual.
SLOW_TIMES = (0.5, 0.95)
#: How far reads of a table are behind, in seconds.
LAGS = (0.5, 3.0)
OTHER_TABLES = ('op', 'servers')
LAGGING_TABLES = (*OTHER_TABLES, OWN_TABLE)
#: Parts of the transactions that others write after, and how many rows.
SHARES = (0.2, 0.5, 1.0)
BURSTS = (1, 1, 3)
#: Part of these faults during which the leader is killed, and when, in seconds.
KILLED_PART = 0.5
KILL_TIMES = (0.2, 2.0)
#: How much a store loses that comes back from an older copy, and the time in
#: which other writers write it again, in seconds.
LOST_TIMES = (0.3, 3.0)
REWRITING_TIME = 2.0
#: Faults in a series, and range of the pauses between them, in seconds.
SERIES_LENGTHS = (2, 4)
SERIES_INTERVALS = (0.0, 1.5)


class StoreTroubles:
    """Faults of the whole store, drawn at random, each kind one at a time."""

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        log_event: Callable[[str], None],
        kill: Callable[[Collection[DaemonProcess]], Awaitable[None]],
    ) -> None:
        """Prepare the faults; `kill` ends daemons and starts them again."""
        self._fleet = fleet
        self._pace = fleet.store.pace
        self._random = source
        self._log_event = log_event
        self._kill = kill
        self._pacing = asyncio.Lock()
        self._sharing = asyncio.Lock()
        self._following = asyncio.Lock()
        self._losing = asyncio.Lock()
        #: No fault lasts longer than this, by the loop's clock.
        self.ends_at = float('inf')

    async def answer_newest(self, longest: float = DURATIONS[1]) -> None:
        """Have other writers commit before transactions are answered.

        The answers name the newest version, as they may at any time: nothing
        is excused by it.
        """
        if self._sharing.locked():
            return
        async with self._sharing:
            writers = self._pace.other_writers
            writers.share = self._random.choice(SHARES)
            writers.burst = self._random.choice(BURSTS)
            self._log_event(
                f'others write {writers.burst} rows after {writers.share:.0%}'
                f' of the transactions'
            )
            killing = asyncio.ensure_future(self._kill_leader())
            await asyncio.sleep(self._draw_duration(longest))
            writers.share = 0
            self._log_event('no others write after transactions')
            await killing

    async def change_pace(self, longest: float = DURATIONS[1]) -> None:
        """Let the store stand still, or be slow, or show a table late."""
        if self._pacing.locked():
            return
        fault = self._random.choice(
            (self._stand_still, self._slow_down, self._show_late)
        )
        async with self._pacing:
            with (
                self._fleet.outages.lasting(),
                self._fleet.store_disruptions.lasting(),
            ):
                await fault(self._draw_duration(longest))
                self._log_event('the store has its usual pace')

    async def lose_writes(self) -> None:
        """Lose what the store has acknowledged last, of all writers.

        What is not written again by others was written by daemons.
        """
        if self._losing.locked():
            return
        async with self._losing:
            with (
                self._fleet.outages.lasting(),
                self._fleet.store_disruptions.lasting(),
            ):
                store = self._fleet.store
                seconds = self._random.uniform(*LOST_TIMES)
                lost = store.rows.go_back(self._pace.lag.go_back(seconds))
                version = store.rows.version
                self._log_event(
                    f'the store loses {seconds:.2f} s: it goes back to version'
                    f' {version}, by {len(lost)} rows'
                )
                killing = asyncio.ensure_future(self._kill_leader())
                latest = {(row.table, row.key): row for row in lost}
                for row in latest.values():
                    if row.table not in OTHER_TABLES:
                        continue
                    await asyncio.sleep(
                        self._random.uniform(0, REWRITING_TIME / len(latest))
                    )
                    _write_again(store, row, version)
                await killing
                self._log_event('what others wrote is written again')

    async def follow_in_series(self) -> None:
        """Have several of these faults, one soon after another."""
        if self._following.locked():
            return
        async with self._following:
            for _ in range(self._random.randint(*SERIES_LENGTHS)):
                fault = self._random.choice(
                    (self.answer_newest, self.change_pace)
                )
                await fault(SERIES_FAULT_TIME)
                await asyncio.sleep(self._random.uniform(*SERIES_INTERVALS))

    async def _stand_still(self, duration: float) -> None:
        """Perform calls only when a standstill ends, all of them late."""
        self._log_event('the store stands still')
        self._pace.standstill.begin()
        await asyncio.sleep(duration)
        await self._pace.standstill.end()

    async def _slow_down(self, duration: float) -> None:
        self._log_event('the store is slow')
        self._pace.slowness.delays = SLOW_TIMES
        await asyncio.sleep(duration)
        self._pace.slowness.delays = (0, 0)
        # Calls that it has begun take as long as before.
        await asyncio.sleep(SLOW_TIMES[1])

    async def _show_late(self, duration: float) -> None:
        lag = self._pace.lag
        lag.tables = [self._random.choice(LAGGING_TABLES)]
        lag.seconds = self._random.uniform(*LAGS)
        self._log_event(f'reads of {lag.tables} are behind by {lag.seconds:g}')
        await asyncio.sleep(duration)
        lag.seconds = 0

    async def _kill_leader(self) -> None:
        await asyncio.sleep(self._random.uniform(*KILL_TIMES))
        leader = self._fleet.leader()
        if leader is not None and self._random.random() < KILLED_PART:
            await self._kill([leader])

    def _draw_duration(self, longest: float) -> float:
        duration = min(self._random.uniform(*DURATIONS), longest)
        now = asyncio.get_running_loop().time()
        return max(min(duration, self.ends_at - now), 0)


def _write_again(store: RowStoreServer, lost: StoredRow, version: int) -> None:
    """Write a lost row again, unless it was written after a version."""
    current = store.rows.row_by_name.get((lost.table, lost.key))
    if current is not None and current.ver > version:
        return
    if lost.value is None:
        store.delete(lost.table, lost.key)
    else:
        content = base64.b64decode(lost.value)
        store.put_bytes(lost.table, lost.key, content)
