"""Listen on ports that something else may hold when a daemon starts.

The system may have given such a port to an outgoing connection, and a process
that is ending holds its own until it has ended.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from aiohttp import web

from cassialever.events import Event, record
from cassialever.exceptions import ListenError
from cassialever.types import Seconds

#: Time between two tries.
RETRY_INTERVAL: Final[Seconds] = 0.1
#: How long a port is tried that a daemon can't serve without: twice as long as
#: systems keep that of a closed connection.
LISTEN_TIMEOUT: Final[Seconds] = 120.0
#: Time between two events about the same port.
REPORT_INTERVAL: Final[Seconds] = 5.0
#: Turns of the loop in which a server sets up a connection.
SETUP_TURNS: Final = 3

_Listening = TypeVar('_Listening')


class PortUse(enum.Enum):
    """What a daemon listens for."""

    callers = 'callers'
    readiness = 'readiness'
    operators = 'operators'
    links = 'links of other daemons'
    datagrams = 'datagrams of other daemons'
    hops = 'requests of other daemons'
    metrics = 'metrics'


class _Tries:
    """The failed tries to listen on one port."""

    def __init__(self, use: PortUse, address: str) -> None:
        self._use = use
        self._address = address
        self._clock = asyncio.get_running_loop().time
        self._began_at = self._clock()
        self._reported_at: Seconds | None = None

    def note(self, error: OSError, *, is_needed: bool) -> None:
        """Report a failed try; raise ListenError if it was the last one."""
        now = self._clock()
        if is_needed and now - self._began_at >= LISTEN_TIMEOUT:
            raise ListenError(f'{self._use.value}: {self._address}: {error!r}')
        reported_at = self._reported_at
        if reported_at is not None and now - reported_at < REPORT_INTERVAL:
            return
        self._reported_at = now
        record(
            Event.port_taken,
            use=self._use.value,
            address=self._address,
            reason=repr(error),
        )

    def end(self) -> None:
        """Report that the port is listened on, if a try had failed."""
        if self._reported_at is None:
            return
        record(
            Event.port_free,
            use=self._use.value,
            address=self._address,
            waited=round(self._clock() - self._began_at, 3),
        )


async def stop_listening(server: asyncio.Server) -> None:
    """Accept no more connections, and close the server.

    A connection that was just accepted is set up in the next turn of the loop,
    which fails if its server is closed by then.
    """
    loop = asyncio.get_running_loop()
    for listening in server.sockets:
        loop.remove_reader(listening.fileno())
    await asyncio.sleep(0)
    server.close()


async def stop_sites(runner: web.BaseRunner) -> None:
    """Have an aiohttp runner accept no more connections.

    At its end it closes those that wait for a request. One that was just
    accepted does so after a few turns of the loop; else it is waited for.
    """
    for site in runner.sites:
        server = site._server  # noqa: SLF001, WPS437
        if isinstance(server, asyncio.Server):
            await stop_listening(server)
    for _ in range(SETUP_TURNS):
        await asyncio.sleep(0)


async def listen(
    use: PortUse,
    address: str,
    start: Callable[[], Awaitable[_Listening]],
    *,
    is_needed: bool = True,
) -> _Listening:
    """Start a listener; try again while that fails.

    Raises ListenError after LISTEN_TIMEOUT if the daemon needs the port.
    """
    tries = _Tries(use, address)
    while True:
        try:
            listening = await start()
        except OSError as error:
            tries.note(error, is_needed=is_needed)
            await asyncio.sleep(RETRY_INTERVAL)
            continue
        tries.end()
        return listening
