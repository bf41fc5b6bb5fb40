"""A TCP proxy on the loopback interface that injects network faults."""

import asyncio
import enum
import socket
import struct

from standins.listening import LOOPBACK

CHUNK_BYTES = 65536
#: SO_LINGER on, with a timeout of 0: closing the socket sends a TCP reset.
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class ProxyMode(enum.Enum):
    """How the proxy treats connections and their bytes."""

    forwarding = 'forwarding'
    delayed = 'delayed'
    reset = 'reset'
    #: Discards requests and responses without closing the connections.
    silent = 'silent'
    #: Forwards requests and discards responses.
    one_way = 'one way'
    #: Forwards at a limited rate.
    slow = 'slow'


class FaultProxy:
    """Forwards connections to one address."""

    #: Delay of each chunk in the mode `delayed`, in seconds.
    delay = 0.3
    #: Bytes per second of each connection in the mode `slow`.
    slow_rate = 200_000

    def __init__(self, upstream: str) -> None:
        """Create a proxy to `upstream`; `address` is empty until it starts."""
        self.upstream = upstream
        self.address = ''
        self._mode = ProxyMode.forwarding
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._forward, LOOPBACK, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.set_mode(ProxyMode.reset)

    def set_mode(self, mode: ProxyMode) -> None:
        """Set the mode, which applies to open connections too."""
        self._mode = mode
        if mode is ProxyMode.reset:
            for writer in list(self._writers):
                _reset(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._mode is ProxyMode.reset:
            _reset(writer)
            return
        host, port = self.upstream.rsplit(':')
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        writers = {writer, upstream_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer, is_response=False),
                self._copy(upstream_reader, writer, is_response=True),
            )
        except OSError:
            # One side disconnected; the other one is aborted below.
            pass
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self._mode is ProxyMode.delayed:
                await asyncio.sleep(self.delay)
            if self._mode is ProxyMode.slow:
                await asyncio.sleep(len(chunk) / self.slow_rate)
            is_discarded = self._mode is ProxyMode.silent or (
                self._mode is ProxyMode.one_way and is_response
            )
            if is_discarded and chunk:
                continue
            if not chunk:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    writer.transport.abort()
