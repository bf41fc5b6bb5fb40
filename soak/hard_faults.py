"""Faults of processes and connections that last, or meet all daemons."""

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import Awaitable, Callable, Collection

from cassialever.fleet.lease import AUTHORITY_TERM
from soak.fleet import DaemonProcess, SoakFleet
from soak.peer_links import silence_links

#: How long a leader is stopped, in seconds: longer than its authority.
LONG_STOP_TIME = AUTHORITY_TERM + 1.0
#: Times between the acknowledgement of a change and the end of all daemons, in
#: seconds.
NEWS_TIMES = (0.0, 0.02, 0.2)
#: Shortest time between two ends of all daemons, in seconds.
KILL_INTERVAL = 10.0
#: Range of the time for which each core has a busy neighbour, in seconds.
CROWDED_TIMES = (1.0, 5.0)
#: Interval at which a stopped daemon is marked, in seconds.
MARK_INTERVAL = 0.5
BUSY_PROGRAM = 'while True: pass'


class HardFaults:
    """Faults that last, or meet all daemons, drawn at random."""

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        log_event: Callable[[str], None],
        kill: Callable[[Collection[DaemonProcess]], Awaitable[None]],
    ) -> None:
        """Prepare the faults; `kill` ends daemons and starts them again."""
        self._fleet = fleet
        self._random = source
        self._log_event = log_event
        self._kill = kill
        self._crowding = asyncio.Lock()
        self._stopping = asyncio.Lock()
        self._next_kill_at = 0.0
        #: Writes a configuration.
        self.change: Callable[[], None] = _change_nothing
        #: No fault lasts longer than this, by the loop's clock.
        self.ends_at = float('inf')

    async def stop_leader(self) -> None:
        """Stop the leader for longer than its authority, if time allows."""
        leader = self._fleet.leader()
        if leader is None or self._stopping.locked():
            return
        async with self._stopping:
            await self._stop(leader)

    async def _stop(self, leader: DaemonProcess) -> None:
        loop = asyncio.get_running_loop()
        ends_at = min(loop.time() + LONG_STOP_TIME, self.ends_at)
        self._log_event(f'the leader {leader.name} is stopped for long')
        life = leader.life
        leader.send(signal.SIGSTOP)
        while loop.time() < ends_at and leader.life == life:
            await asyncio.sleep(MARK_INTERVAL)
            leader.mark_disrupted()
            leader.harmed_at = leader.disrupted_at
        leader.send(signal.SIGCONT)
        self._log_event(f'the leader {leader.name} goes on')

    async def kill_all_informed(self) -> None:
        """Kill all daemons right after an acknowledged change.

        They then run for a time in which bounds hold again.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < self._next_kill_at:
            return
        self._next_kill_at = loop.time() + KILL_INTERVAL
        self.change()
        await asyncio.sleep(self._random.choice(NEWS_TIMES))
        self._log_event('all daemons are killed with news')
        await self._kill(self._fleet.daemons)

    async def silence_connections(self) -> None:
        """Let open connections go silent for good, while new ones work."""
        daemons = self._fleet.daemons
        if self._random.random() < 0.5:
            count = self._random.randint(1, len(daemons))
            daemons = self._random.sample(daemons, count)
        silence = self._random.choice(
            (self._silence_store, self._silence_targets, self._silence_peers)
        )
        names = ' '.join(one.name for one in daemons)
        self._log_event(f'{silence.__name__.strip("_")} of {names}')
        with contextlib.ExitStack() as stack:
            # It counts as a reset of the connections of all machines.
            for daemon in self._fleet.daemons:
                stack.enter_context(daemon.resets.lasting())
            await silence(daemons)

    async def crowd_cores(self) -> None:
        """Give each core a busy neighbour for a while."""
        if self._crowding.locked():
            return
        async with self._crowding:
            now = asyncio.get_running_loop().time()
            duration = self._random.uniform(*CROWDED_TIMES)
            duration = min(duration, max(self.ends_at - now, 0))
            self._log_event('each core has a busy neighbour')
            with contextlib.ExitStack() as stack:
                for daemon in self._fleet.daemons:
                    stack.enter_context(daemon.resets.lasting())
                await _keep_busy(duration)
            self._log_event('the busy neighbours have ended')

    async def _silence_store(self, daemons: Collection[DaemonProcess]) -> None:
        for daemon in daemons:
            if daemon.store_proxy is not None:
                daemon.store_proxy.silence()

    async def _silence_targets(
        self, daemons: Collection[DaemonProcess]
    ) -> None:
        for daemon in daemons:
            for path in daemon.path_by_target.values():
                path.silence()

    async def _silence_peers(self, daemons: Collection[DaemonProcess]) -> None:
        ports = {one.ports[2] for one in self._fleet.daemons}
        pids = [one.pid for one in daemons if one.pid is not None]
        # The kernel's table is long beside other runs.
        counts = await asyncio.to_thread(silence_links, pids, ports)
        self._log_event(f'{sum(counts)} ends of links are silent')


async def _keep_busy(duration: float) -> None:
    neighbours = [
        await asyncio.create_subprocess_exec(sys.executable, '-c', BUSY_PROGRAM)
        for _ in range(os.cpu_count() or 1)
    ]
    try:
        await asyncio.sleep(duration)
    finally:
        for one in neighbours:
            one.kill()
        for one in neighbours:
            await one.wait()


def _change_nothing() -> None:
    """Change nothing; the default until an operator is known."""
