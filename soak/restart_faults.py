"""Restarts of several daemons, or of the leader, while targets live on."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from soak.fleet import DaemonProcess, SoakFleet

#: Range of the time between the ends of daemons in a roll, in seconds.
ROLL_INTERVALS = (0.2, 1.5)
#: Range of the time for which all daemons are without power, in seconds, and
#: the shortest between two losses.
OUTAGE_TIMES = (0.0, 2.0)
OUTAGE_INTERVAL = 6.0


class RestartFaults:
    """Restarts under the same names, drawn at random."""

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        log_event: Callable[[str], None],
        restart: Callable[
            [signal.Signals, DaemonProcess, float], Coroutine[Any, Any, None]
        ],
    ) -> None:
        """Prepare the faults; `restart` ends a daemon and starts it later."""
        self._fleet = fleet
        self._random = source
        self._log_event = log_event
        self._restart = restart
        self._next_outage_at = 0.0
        #: No daemon of a roll ends later than this, by the loop's clock.
        self.ends_at = float('inf')

    async def roll(self) -> None:
        """Restart several daemons one after the other."""
        daemons = self._fleet.daemons
        count = self._random.randint(1, len(daemons))
        rolled = self._random.sample(daemons, count)
        self._log_event(f'roll of {" ".join(one.name for one in rolled)}')
        async with asyncio.TaskGroup() as group:
            for one in rolled:
                if asyncio.get_running_loop().time() >= self.ends_at:
                    break
                group.create_task(self._stop(one))
                await asyncio.sleep(self._random.uniform(*ROLL_INTERVALS))

    async def power_loss(self) -> None:
        """Kill all daemons at once, and start them at the same time."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._next_outage_at:
            return
        self._next_outage_at = loop.time() + OUTAGE_INTERVAL
        down_time = self._random.uniform(*OUTAGE_TIMES)
        self._log_event(f'all daemons are without power for {down_time:.2f} s')
        async with asyncio.TaskGroup() as group:
            for one in self._fleet.daemons:
                group.create_task(self._restart(signal.SIGKILL, one, down_time))

    async def restart_leader(self) -> None:
        """Kill the leader and start it at once under its name."""
        leader = self._fleet.leader()
        if leader is not None:
            self._log_event(f'the leader {leader.name} is restarted')
            await self._restart(signal.SIGKILL, leader, 0)

    async def _stop(self, daemon: DaemonProcess) -> None:
        """Ask a daemon to stop; a process that starts takes no SIGTERM yet."""
        await daemon.wait_until_listening()
        await self._restart(signal.SIGTERM, daemon, 0)
