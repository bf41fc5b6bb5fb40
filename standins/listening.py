"""Listen on a port of the loopback."""

import itertools
import os
import socket

from aiohttp import web

LOOPBACK = '127.0.0.1'
#: Where ports to try begin, under those that the system gives out by itself,
#: and how they are shared out among test runs side by side.
FIRST_PORT = 12_000
PORT_BLOCKS = 500
PORTS_PER_BLOCK = 40
#: Ports to try, from a place that differs between runs side by side.
_PORTS = itertools.count(
    FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK,
    2,
)

#: How long open requests may take at the end of a test, in seconds.
SHUTDOWN_TIMEOUT = 0.1


class Listener:
    """A server of an application."""

    def __init__(self) -> None:
        """Listen nowhere yet."""
        self._runner: web.AppRunner | None = None
        self.address = ''

    async def start(self, application: web.Application, port: int = 0) -> None:
        """Serve an application; port 0 takes any free one."""
        self._runner = web.AppRunner(
            application,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the server."""
        if self._runner is not None:
            await self._runner.cleanup()


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports of the loopback that nobody uses, nor the next ones.

    They lie under those that the system gives out by itself, so that no
    other test gets them meanwhile.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        if _is_free(port) and _is_free(port + 1):
            ports.append(port)
    return tuple(ports)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
