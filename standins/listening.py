"""HTTP servers on ports of the loopback interface."""

import os
import socket
from collections.abc import Iterator

from aiohttp import web

from cassialever.listening import stop_sites

LOOPBACK = '127.0.0.1'
#: Candidate ports start here, below the system's ephemeral ports. They are
#: divided into blocks, of which each process reserves its own.
FIRST_PORT = 12_000
PORT_BLOCKS = 66
#: Enough for a soak test of 30 daemons.
PORTS_PER_BLOCK = 300
#: Ports in a row that a daemon uses from its internal port on.
PORTS_PER_DAEMON = 3

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
        #: Whether it was closed as by the end of its process.
        self.is_aborted = False

    async def start(self, application: web.Application, port: int = 0) -> None:
        """Serve an application; port 0 selects a free port.

        It is none that the system gives to others while the server is down.
        """
        self._runner = web.AppRunner(
            application,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
            handler_cancellation=True,
            max_headers=MAX_FIELDS,
        )
        await self._runner.setup()
        port = port or free_ports(1)[0]
        await web.TCPSite(self._runner, LOOPBACK, port).start()
        self.address = f'{LOOPBACK}:{port}'

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
        self.is_aborted = True
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
    ports, and no other process of tests has them, so that they are still free
    when a daemon starts again.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        if all(_is_free(port + offset) for offset in range(PORTS_PER_DAEMON)):
            ports.append(port)
    return tuple(ports)


def _candidates() -> Iterator[int]:
    """Return the ports of the blocks that this process reserves."""
    start = os.getpid()
    reservations: list[socket.socket] = []
    for number in range(start, start + PORT_BLOCKS):
        first = FIRST_PORT + number % PORT_BLOCKS * PORTS_PER_BLOCK
        reservation = _bind(first)
        if reservation is None:
            continue
        reservations.append(reservation)
        ports = range(first, first + PORTS_PER_BLOCK, PORTS_PER_DAEMON)
        # The first one is the reservation.
        yield from ports[1:]
    raise RuntimeError('other processes have all ports')


def _bind(port: int) -> socket.socket | None:
    """Return a socket that holds a port; None if something else does.

    That may be a connection which has ended and whose port the system keeps.
    """
    holding = socket.socket()
    try:
        holding.bind(('', port))
    except OSError:
        holding.close()
        return None
    return holding


def _is_free(port: int) -> bool:
    holding = _bind(port)
    if holding is not None:
        holding.close()
    return holding is not None


_PORTS = _candidates()
