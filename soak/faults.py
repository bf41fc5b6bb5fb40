"""What goes wrong in a soak, drawn from its seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.fleet import DaemonProcess, SoakFleet
from soak.proxy import FaultProxy, Mode
from standins.keyed_target import TargetServer

SHORTEST = 0.5
LONGEST = 4.0
#: Pause between two faults; they overlap, since each lasts longer.
PAUSES = (0.3, 1.5)
#: The grace of the settings, and as long as a process may be suspended.
LONGEST_STOP = 6.0 + LONGEST + 1.0


class Faults:
    """Draws faults and lets them begin and end."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Take what is to be broken."""
        self._fleet = fleet
        self._draw = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        #: Daemons that are being ended and started again.
        self._restarting: set[str] = set()
        self.told: list[str] = []
        self.broken: list[str] = []
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill,
            self._stop_gracefully,
            self._suspend,
            self._reload,
            self._break_store_of_one,
            self._break_store,
            self._break_target,
            self._drain_target,
            self._restart_target,
        )

    async def run(self, seconds: float) -> None:
        """Begin faults for a time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self._draw.uniform(*PAUSES))
            kind = self._draw.choice(self._kinds)
            task = asyncio.ensure_future(kind())
            self._tasks.add(task)
        # What fails in the soak itself ends it.
        await asyncio.gather(*self._tasks)

    def _tell(self, what: str) -> None:
        now = asyncio.get_running_loop().time()
        self.told.append(f'{now:.2f} {what}')

    async def _last(self) -> None:
        await asyncio.sleep(self._draw.uniform(SHORTEST, LONGEST))

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _stop_gracefully(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        daemon = self._daemon()
        if daemon.name in self._restarting or daemon.store is None:
            return
        self._restarting.add(daemon.name)
        self._tell(f'{number.name} {daemon.name}')
        daemon.send(signal.SIGCONT)
        began = asyncio.get_running_loop().time()
        daemon.send(number)
        status = await daemon.ended()
        took = asyncio.get_running_loop().time() - began
        self._tell(f'{daemon.name} ended with {status} after {took:.1f} s')
        if status not in (0, -signal.SIGKILL):
            self.broken.append(f'{daemon.name} ended with {status}')
        if took > LONGEST_STOP:
            self.broken.append(f'{daemon.name} took {took:.1f} s to end')
        await daemon.start(daemon.store)
        self._restarting.discard(daemon.name)

    async def _suspend(self) -> None:
        daemon = self._daemon()
        self._tell(f'STOP {daemon.name}')
        daemon.send(signal.SIGSTOP)
        await self._last()
        daemon.send(signal.SIGCONT)
        self._tell(f'CONT {daemon.name}')

    async def _reload(self) -> None:
        self._daemon().send(signal.SIGHUP)

    async def _break_store_of_one(self) -> None:
        daemon = self._daemon()
        if daemon.store is not None:
            daemon.touch()
            await self._break(daemon.store, f'store of {daemon.name}')

    async def _break_store(self) -> None:
        store = self._fleet.store
        if self._draw.random() < 0.5:
            self._tell('store loses answers')
            store.drops_responses = True
        else:
            self._tell('store refuses')
            store.error_status = self._draw.choice((429, 503))
        await self._last()
        store.drops_responses = False
        store.error_status = None
        self._tell('store is well')

    async def _break_target(self) -> None:
        target = self._target()
        proxy = self._fleet.proxy_by_target[target.target_id]
        await self._break(proxy, target.target_id)

    async def _drain_target(self) -> None:
        target = self._target()
        self._tell(f'{target.target_id} drains')
        self._fleet.tell(target, 'draining')
        await self._last()
        self._fleet.tell(target)

    async def _restart_target(self) -> None:
        target = self._target()
        self._tell(f'{target.target_id} starts anew')
        target.simulate_restart()
        proxy = self._fleet.proxy_by_target[target.target_id]
        proxy.set(Mode.reset)
        await asyncio.sleep(self._draw.uniform(0, 1))
        proxy.set(Mode.whole)
        self._fleet.tell(target)

    async def _break(self, proxy: FaultProxy, name: str) -> None:
        mode = self._draw.choice(
            (Mode.delayed, Mode.reset, Mode.silent, Mode.one_way),
        )
        self._tell(f'{name} {mode.value}')
        proxy.set(mode)
        await self._last()
        # What was held back must not go on in the middle.
        if mode is not Mode.delayed:
            proxy.set(Mode.reset)
        proxy.set(Mode.whole)
        self._tell(f'{name} well')

    def _daemon(self) -> DaemonProcess:
        return self._draw.choice(self._fleet.daemons)

    def _target(self) -> TargetServer:
        return self._draw.choice(self._fleet.targets)
