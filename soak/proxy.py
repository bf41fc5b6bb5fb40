"""A TCP proxy on the loopback interface that injects network faults."""

import asyncio
import ctypes
import enum
import random
import socket
import struct
from collections.abc import Callable, Sequence
from typing import Any

from soak.disruptions import Disruptions
from standins.listening import LOOPBACK

CHUNK_BYTES = 65536
#: SO_LINGER on, with a timeout of 0: closing the socket sends a TCP reset.
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)
#: Options of Linux that the socket module does not name.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
#: Classic BPF programs, as (code, jump if true, jump if false, operand).
_DROP_ALL = ((0x06, 0, 0, 0),)
#: Loads a random number of 32 bits and drops the packet if it is below 30% of
#: the range.
_DROP_THREE_IN_TEN = (
    (0x20, 0, 0, 0xFFFFF000 + 56),
    (0x35, 0, 1, int(0.3 * 2**32)),
    (0x06, 0, 0, 0xFFFFFFFF),
    (0x06, 0, 0, 0),
)


class ProxyMode(enum.Enum):
    """How the proxy treats connections and their bytes."""

    forwarding = 'forwarding'
    delayed = 'delayed'
    #: Resets connections; new ones are accepted and then reset.
    reset = 'reset'
    #: Discards requests and responses without closing the connections.
    silent = 'silent'
    #: Forwards requests and discards responses.
    one_way = 'one way'
    #: Forwards at a limited rate.
    slow = 'slow'
    #: Resets connections and refuses new ones.
    refused = 'refused'
    #: Refuses new connections; open ones live on.
    refuse_new = 'refuse new'
    #: Drops all packets from clients and holds back all responses.
    hang = 'hang'
    #: Forwards requests and holds back responses; since the answer to a new
    #: connection is lost too, none is established.
    no_answers = 'no answers'
    #: Drops 3 in 10 packets from clients, and delays as many of the chunks of
    #: responses.
    lossy = 'lossy'


#: Modes without a listening socket.
_REFUSING = (ProxyMode.refused, ProxyMode.refuse_new)
#: Modes that keep responses until the next mode.
_HOLDING = (ProxyMode.hang, ProxyMode.no_answers)
_FILTER_BY_MODE = {
    ProxyMode.hang: _DROP_ALL,
    ProxyMode.lossy: _DROP_THREE_IN_TEN,
}


class FaultProxy:
    """Forwards connections to one address.

    What Linux does not allow without privileges: its acknowledgements of
    requests can't be dropped in the mode `no_answers`.
    """

    #: Delay of each chunk in the mode `delayed`, in seconds.
    delay = 0.3
    #: Bytes per second of each connection in the mode `slow`.
    slow_rate = 200_000
    #: Part of the chunks that are delayed in the mode `lossy`, and the range
    #: of the delay, in seconds: that of one or two retransmissions.
    loss = 0.3
    loss_delays = (0.2, 1.0)

    def __init__(
        self, upstream: str, host: str = LOOPBACK, port: int = 0
    ) -> None:
        """Create a proxy to `upstream`; port 0 selects any free port."""
        self.upstream = upstream
        self.address = f'{host}:{port}'
        #: Number of chunks of requests that were forwarded.
        self.request_count = 0
        #: When the proxy did not forward.
        self.disruptions = Disruptions()
        #: Called with the local port of each connection to the upstream.
        self.note_port: Callable[[int], None] = _ignore_port
        self._mode = ProxyMode.forwarding
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        #: Faults overlap; one at a time changes whether the proxy listens.
        self._listening = asyncio.Lock()
        self._client_writers: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Let nothing more through open connections, which stay open."""
        self._silenced |= self._writers

    async def start(self) -> None:
        """Start listening."""
        host, port = self.address.rsplit(':')
        self._server = await asyncio.start_server(
            self._forward, host, int(port)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._apply(ProxyMode.reset)

    async def set_mode(self, mode: ProxyMode) -> None:
        """Set the mode, which applies to open connections too."""
        self._apply(mode)
        async with self._listening:
            await self._listen_as_set()

    async def _listen_as_set(self) -> None:
        """Listen, or not, by the mode that was set last."""
        is_refusing = self._mode in _REFUSING
        if is_refusing and self._server is not None:
            self._server.close()
            self._server = None
        if not is_refusing and self._server is None:
            await self.start()
        if self._server is None:
            return
        # Without an answer to their first packet, clients wait to connect.
        is_deaf = self._mode is ProxyMode.no_answers
        for listening in self._server.sockets:
            _set_filter(listening, _DROP_ALL if is_deaf else self._filter())

    def _apply(self, mode: ProxyMode) -> None:
        """Set the mode of open connections."""
        self._mode = mode
        if mode is ProxyMode.forwarding:
            self.disruptions.end()
        else:
            self.disruptions.begin()
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode in {ProxyMode.reset, ProxyMode.refused}:
            for writer in list(self._writers):
                _reset(writer)
        for client_writer in self._client_writers:
            _set_filter(client_writer.get_extra_info('socket'), self._filter())

    def _filter(self) -> Sequence[tuple[int, int, int, int]] | None:
        return _FILTER_BY_MODE.get(self._mode)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._mode in {ProxyMode.reset, ProxyMode.refused}:
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
        self.note_port(upstream_writer.get_extra_info('sockname')[1])
        writers = {writer, upstream_writer}
        self._writers |= writers
        self._client_writers.add(writer)
        _set_filter(writer.get_extra_info('socket'), self._filter())
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
            self._silenced -= writers
            self._client_writers.discard(writer)
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
            if writer in self._silenced and (chunk or is_response):
                if not chunk:
                    # The client keeps its side until it gives up.
                    return
                continue
            if is_response:
                await self._hold_response()
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
            self.request_count += not is_response
            writer.write(chunk)
            await writer.drain()

    async def _hold_response(self) -> None:
        """Wait for as long as the mode keeps a response from its client."""
        if self._mode is ProxyMode.lossy and random.random() < self.loss:
            await asyncio.sleep(random.uniform(*self.loss_delays))
        while self._mode in _HOLDING:
            await self._mode_changed.wait()


def _ignore_port(port: int) -> None:
    """Do not note the port of a connection."""


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    writer.transport.abort()


def drop_packets(sock: socket.socket) -> None:
    """Drop all packets that a socket receives from now on."""
    _set_filter(sock, _DROP_ALL)


def pass_packets(sock: socket.socket) -> None:
    """Drop none of the packets that a socket receives from now on."""
    _set_filter(sock, None)


def _set_filter(
    sock: Any, program: Sequence[tuple[int, int, int, int]] | None
) -> None:
    """Set the filter of the packets that a socket receives, or remove it."""
    if sock is None or sock.fileno() < 0:
        return
    if program is None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        except FileNotFoundError:
            # No filter was set.
            pass
        return
    code = b''.join(struct.pack('HBBI', *step) for step in program)
    memory = ctypes.create_string_buffer(code)
    option = struct.pack('HP', len(program), ctypes.addressof(memory))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)
