"""Test helpers: daemon processes that are cut off from targets under load."""

import asyncio
import itertools
import pathlib
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Collection, Iterable

import aiohttp
import msgspec

from soak.callers import Callers
from soak.fleet import DaemonProcess, SoakFleet
from soak.proxy import ProxyMode
from tests.gateway_helpers import ISSUE_HEADERS, LOOKUP_HEADERS

DAEMONS = 4
UNKEYED_TARGETS = 3
#: Pause between the requests to one daemon, in seconds.
REQUEST_INTERVAL = 0.025
#: Longer than the deadline that callers send, in seconds.
CALLER_TIMEOUT = 3.5
#: Longest wait until all daemons serve all keys, in seconds.
SETTLE_TIMEOUT = 15.0


class FirstTry(msgspec.Struct):
    """One request and its outcome."""

    request_id: str
    daemon: str
    is_lookup: bool
    #: By the loop's clock.
    sent_at: float
    #: Status of the answer, or the name of the error.
    outcome: str = ''
    duration: float = 0
    #: Whether the answer says that the request was not run.
    is_not_run: bool = False
    #: Whether the answer is that of another request.
    is_foreign: bool = False

    @property
    def is_served(self) -> bool:
        """Return whether the request was served."""
        return self.outcome == '200'


class CutOffFleet:
    """Daemon processes with callers that send first tries only."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner(debug=False)
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = SoakFleet(
            pathlib.Path(self._folder.name), DAEMONS, UNKEYED_TARGETS
        )
        self.tries: list[FirstTry] = []
        self._numbers = itertools.count()
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the session of the callers."""
        assert self._session is not None
        return self._session

    def start(self) -> None:
        self.runner.run(self._start())

    def stop(self) -> None:
        self.runner.run(self._stop())
        self.runner.close()
        self._folder.cleanup()

    async def settle(self) -> None:
        """Wait until every daemon serves all keys."""
        callers = Callers(self.fleet, 0)
        assert await callers.wait_until_served(SETTLE_TIMEOUT)

    def followers(self) -> list[DaemonProcess]:
        """Return the daemons that don't lead."""
        leader = self.fleet.leader()
        return [one for one in self.fleet.daemons if one is not leader]

    async def cut(
        self, daemons: Iterable[DaemonProcess], mode: ProxyMode
    ) -> None:
        """Cut daemons off from all targets."""
        for daemon in daemons:
            await daemon.set_paths(mode)

    async def heal(self) -> None:
        """End all cuts."""
        for daemon in self.fleet.daemons:
            await daemon.set_paths(ProxyMode.forwarding)

    async def load(
        self, duration: float, daemons: Collection[DaemonProcess] = ()
    ) -> None:
        """Send first tries to daemons, by default to all, for a duration."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration
        sending = []
        while loop.time() < ends_at:
            for daemon in daemons or self.fleet.daemons:
                sending.append(asyncio.create_task(self._send(daemon)))
            await asyncio.sleep(REQUEST_INTERVAL)
        await asyncio.gather(*sending)

    async def restart(self, daemon: DaemonProcess) -> int:
        """Stop a daemon as planned, start it again; return its status."""
        assert daemon.store_proxy is not None
        daemon.send(signal.SIGTERM)
        status = await daemon.wait_for_exit()
        await daemon.start(daemon.store_proxy)
        return status

    def run_counts(self) -> Counter[str]:
        """Return how often the targets ran each request."""
        return Counter(
            request_id
            for target in self.fleet.targets
            for request_id in target.executed_ids
        )

    def next_id(self) -> str:
        return f'c{next(self._numbers)}'

    async def _start(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT),
        )
        await self.fleet.start()
        await self.settle()

    async def _stop(self) -> None:
        await self.session.close()
        await self.fleet.stop()

    async def _send(self, daemon: DaemonProcess) -> None:
        request_id = self.next_id()
        number = int(request_id[1:])
        # Pairs, so that every daemon gets both kinds.
        is_lookup = number // DAEMONS % 2 == 0
        sent_at = asyncio.get_running_loop().time()
        first_try = FirstTry(request_id, daemon.name, is_lookup, sent_at)
        self.tries.append(first_try)
        started = time.monotonic()
        headers = {**ISSUE_HEADERS, 'Attempt-Id': request_id}
        method, path = 'POST', '/issue'
        if is_lookup:
            key = str(number * 7919 % 65536)
            headers = {**LOOKUP_HEADERS, 'Attempt-Id': request_id}
            headers['Shard-Key'] = key
            method, path = 'GET', '/lookup'
        try:
            async with self.session.request(
                method, f'{daemon.url}{path}/{request_id}', headers=headers
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            first_try.outcome = type(error).__name__
        else:
            first_try.outcome = str(response.status)
            first_try.is_not_run = (
                response.status == 503 and 'Retry-After' in response.headers
            )
            first_try.is_foreign = (
                response.headers.get('Attempt-Id') != request_id
                or (first_try.is_served)
                and f'/{request_id} '.encode() not in body
            )
        first_try.duration = time.monotonic() - started


def served_share(
    tries: Iterable[FirstTry], names: Collection[str] | None = None
) -> float:
    """Return the part of the tries at some daemons that were served."""
    served = [
        one.is_served for one in tries if names is None or one.daemon in names
    ]
    return sum(served) / max(len(served), 1)
