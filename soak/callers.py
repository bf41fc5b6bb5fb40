"""Callers of a soak, and what they find broken."""

import asyncio
import itertools
import random
from collections import Counter

import aiohttp

from soak.fleet import DaemonProcess, SoakFleet

#: After something was done to a daemon, its callers may lose connections for
#: this long: the platform's grace for a stop, and a start.
UNSETTLED = 9.0
PAUSE = 0.02
PATIENCE = 4.0


class Callers:
    """Ask every daemon all the time and check each answer."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Take whom to ask."""
        self._fleet = fleet
        self._draw = random.Random(seed)
        self._numbers = itertools.count()
        self._prefix = f's{seed}'
        self.broken: list[str] = []
        self.ends: Counter[str] = Counter()
        #: Ids of which a daemon said that they had not run and never will.
        self.promised: set[str] = set()
        self.unsafe: set[str] = set()

    async def run(self) -> None:
        """Ask until cancelled, on connections that are kept."""
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    self._ask_on(session, daemon)
                    for daemon in self._fleet.daemons
                    for _ in range(3)
                ),
            )

    def check_runs(self) -> None:
        """Check what targets ran against what callers were told."""
        runs = Counter(
            request_id
            for target in self._fleet.targets
            for request_id in target.executed_ids
        )
        for request_id in self.promised & runs.keys():
            self.broken.append(f'{request_id} ran, though said not to')
        for request_id in self.unsafe:
            if runs[request_id] > 1:
                self.broken.append(f'{request_id} ran {runs[request_id]} times')

    def check_owners(self) -> None:
        """Check that no two targets hold a key."""
        for key in range(0, 65536, 2048):
            holders = [
                target.target_id
                for target in self._fleet.targets
                if target.is_keyed and target.holds(key)
            ]
            if len(holders) > 1:
                self.broken.append(f'key {key} is held by {holders}')

    async def served(self, longest: float) -> bool:
        """Tell whether every daemon serves every part of the keys in time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + longest
        async with aiohttp.ClientSession() as session:
            while loop.time() < ends_at:
                ends = [
                    await self._lookup(session, daemon, key)
                    for daemon in self._fleet.daemons
                    for key in range(0, 65536, 8192)
                ]
                if set(ends) == {'200'}:
                    return True
                await asyncio.sleep(0.1)
        return False

    async def _ask_on(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
    ) -> None:
        while True:
            if self._draw.random() < 0.3:
                end = await self._issue(session, daemon)
            else:
                key = self._draw.randrange(65536)
                end = await self._lookup(session, daemon, key)
            self.ends[end] += 1
            await asyncio.sleep(PAUSE)

    async def _lookup(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
        key: int,
    ) -> str:
        headers = {'Host': 'registry.example', 'Shard-Key': str(key)}
        return await self._ask(session, daemon, 'GET', '/lookup', headers)

    async def _issue(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
    ) -> str:
        headers = {'Host': 'issuance.example'}
        return await self._ask(session, daemon, 'POST', '/issue', headers)

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
        method: str,
        path: str,
        headers: dict[str, str],
    ) -> str:
        request_id = f'{self._prefix}-{next(self._numbers)}'
        if method == 'POST':
            self.unsafe.add(request_id)
        headers.update({'Attempt-Id': request_id, 'Deadline-Ms': '2000'})
        url = f'{daemon.url}{path}/{request_id}'
        try:
            async with session.request(
                method,
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=PATIENCE),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            return self._lost(daemon, request_id, error)
        return self._check(request_id, response, body)

    def _lost(
        self,
        daemon: DaemonProcess,
        request_id: str,
        error: Exception,
    ) -> str:
        now = asyncio.get_running_loop().time()
        if now - daemon.touched_at > UNSETTLED:
            self.broken.append(
                f'{now:.2f} {request_id} at {daemon.name}: {error!r}',
            )
        return type(error).__name__

    def _check(
        self,
        request_id: str,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> str:
        if response.status == 200 and f'/{request_id} '.encode() not in body:
            self.broken.append(f'{request_id} got {body[:80]!r}')
        if response.headers.get('Attempt-Id') != request_id:
            self.broken.append(f'{request_id}: an answer to another request')
        if response.status == 503 and 'Retry-After' in response.headers:
            self.promised.add(request_id)
        return str(response.status)
