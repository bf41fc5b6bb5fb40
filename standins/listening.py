"""HTTP servers on ports of the loopback interface."""

import itertools
import os
import socket

from aiohttp import web

from cassialever.listening import stop_sites

LOOPBACK = '127.0.0.1'
#: Candidate ports start here, below the system's ephemeral ports. They are
#: divided into blocks, so that parallel test runs try different ones.
FIRST_PORT = 12_000
PORT_BLOCKS = 66
#: Enough for a soak test of 30 daemons.
PORTS_PER_BLOCK = 300
#: Ports in a row that a daemon uses from its internal port on.
PORTS_PER_DAEMON = 3
#: Candidate ports, starting at the block chosen by the process ID.
_PORTS = itertools.count(
    FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK,
    PORTS_PER_DAEMON,
)

#: How long open requests may take when a server stops, in seconds.
SHUTDOWN_TIMEOUT = 0.1
#: Most fields of a request.
MAX_FIELDS = 1024


class Listener:
    """An HTTP server on the loopback interface."""

    def __init__(self) -> None:
        """Create a stopped server; `address` is empty until it starts."""
        self._runner: web.AppRunner | None = None
        self.address = ''

    async def start(self, application: web.Application, port: int = 0) -> None:
        """Serve an application; port 0 selects any free port."""
        self._runner = web.AppRunner(
            application,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
            handler_cancellation=True,
            max_headers=MAX_FIELDS,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the server."""
        if self._runner is not None:
            await stop_sites(self._runner)
            await self._runner.cleanup()

    async def abort(self) -> None:
        """Close the server as the end of its process does.

        New connections are refused, and the open ones are reset at once.
        """
        if self._runner is None:
            return
        await stop_sites(self._runner)
        server = self._runner.server
        for connection in list(server.connections) if server else ():
            if connection.transport is not None:
                connection.transport.abort()


class ListeningProcess:
    """A stand-in for a process that listens at one address."""

    def __init__(self) -> None:
        """Create a stopped server."""
        self._listener = Listener()

    @property
    def address(self) -> str:
        """Return the host and port that the process listens on."""
        return self._listener.address

    @property
    def port(self) -> int:
        """Return the port that the process listens on, or listened on."""
        return int(self.address.rpartition(':')[2])

    async def stop(self) -> None:
        """Stop the server."""
        await self._listener.stop()


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports that are free at all addresses of the loopback interface.

    The two ports after each of them are free too, since the gateway listens on
    its internal port and the next two. They lie below the system's ephemeral
    ports, so that no other test gets them in the meantime.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        if all(_is_free(port + offset) for offset in range(PORTS_PER_DAEMON)):
            ports.append(port)
    return tuple(ports)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('', port))
        except OSError:
            return False
    return True
