"""Listen for callers, and end their connections without losing an answer.

A socket that is closed while bytes of its peer are unread, or arrive later, is
reset, and the peer loses what it has not received yet. A connection that has
carried an answer is therefore closed as RFC 9112, section 9.6, describes: the
sending side first, the receiving side when the peer has closed its own.
"""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, cast

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from cassialever.decoding import shortened
from cassialever.events import Event, record
from cassialever.listening import PortUse, listen
from cassialever.policy.memory import READ_AHEAD_BYTES
from cassialever.types import Seconds

#: Connections that may wait to be accepted; the load balancer opens as many
#: as a burst needs.
BACKLOG: Final = 1024
#: Pause before connections are accepted again after a failure to do so, which
#: is usually a lack of descriptors.
ACCEPT_RETRY_DELAY: Final[Seconds] = 0.1
#: How long a peer may go on without receiving more of what was sent.
STALL_TIMEOUT: Final[Seconds] = 5.0
#: How long a peer that has received everything may take to close.
LINGER_TIME: Final[Seconds] = 1.0
#: Time between two checks of a connection that is being closed.
LINGER_CHECK_INTERVAL: Final[Seconds] = 0.5
#: Time between two looks for idle connections during a drain.
DRAIN_POLL_INTERVAL: Final[Seconds] = 0.02
#: How long answers may be late that are due at the end of a drain, and how
#: often they are looked for if the loop is later than that.
LATE_ANSWERS_TIME: Final[Seconds] = 0.2
MIN_LATE_LOOKS: Final = 3
#: How long cancelled requests may take to end.
CANCEL_TIMEOUT: Final[Seconds] = 0.1
#: What the head of a request ends with.
HEAD_END: Final = b'\r\n\r\n'
_INT: Final = struct.Struct('i')

RequestHandler: TypeAlias = Callable[
    [web.BaseRequest],
    Awaitable[web.StreamResponse],
]


class LingeringTransport:
    """A transport whose `close` waits for the peer to close as well.

    Everything else is passed on to the transport that it wraps.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._is_closing = False
        self._unsent_bytes: int | None = 0
        self._unchanged_for: Seconds = 0

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped transport."""
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self._is_closing or self._transport.is_closing()

    def close(self) -> None:
        """Send what was written, and close when the peer has closed.

        What the peer still sends is discarded.
        """
        if self.is_closing():
            return
        self._is_closing = True
        protocol = self._transport.get_protocol()
        self._transport.set_protocol(_DiscardingProtocol(protocol))
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection.
            self._transport.abort()
            return
        self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        """Close the connection of a peer that neither reads nor closes."""
        if self._transport.is_closing():
            # The peer has closed at least its sending side.
            if not self._transport.get_write_buffer_size():
                return
        unsent_bytes = count_unsent_bytes(self._transport)
        self._unchanged_for += LINGER_CHECK_INTERVAL
        if unsent_bytes != self._unsent_bytes:
            self._unchanged_for = 0
        self._unsent_bytes = unsent_bytes
        # They are not known on all systems.
        has_received_all = unsent_bytes == 0
        timeout = LINGER_TIME if has_received_all else STALL_TIMEOUT
        if self._unchanged_for >= timeout:
            # `close` would wait until everything has been sent.
            self._transport.abort()
            return
        self._check_later()


class _DiscardingProtocol(asyncio.Protocol):
    """Discards what a peer sends while its connection is being closed."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)


class CallerConnection(web.RequestHandler):
    """The connection of one caller."""

    __slots__ = (
        '_awaits_rest',
        '_connections',
        '_last_bytes',
        '_plain_transport',
    )

    def __init__(
        self,
        server: web.Server,
        connections: set['CallerConnection'],
        **options: Any,
    ) -> None:
        """Create a connection that is in `connections` while it is open."""
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self._connections = connections
        self._plain_transport: asyncio.Transport | None = None
        #: Whether a part of a request has been received.
        self._awaits_rest = False
        self._last_bytes = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the open ones."""
        plain_transport = cast(asyncio.Transport, transport)
        self._plain_transport = plain_transport
        self._connections.add(self)
        super().connection_made(
            cast(asyncio.Transport, LingeringTransport(plain_transport))
        )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        received_before = self._request_count
        super().data_received(data)
        if not self._buffer_paused and self._is_far_ahead():
            self._pause_reading_for_buffer()
        last_bytes = self._last_bytes + data[-len(HEAD_END) :]
        self._last_bytes = last_bytes[-len(HEAD_END) :]
        if self._request_count > received_before:
            payload = self._messages[-1][1]
            # Where a body ends, and what follows it, is not known here.
            self._awaits_rest = (
                payload is EMPTY_PAYLOAD and self._last_bytes != HEAD_END
            )
        elif not self._awaits_request():
            return
        elif data.strip():
            # Blank lines may stand before a request.
            self._awaits_rest = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the open ones."""
        self._connections.discard(self)
        super().connection_lost(exc)

    def log_exception(self, *arguments: Any, **options: Any) -> None:
        """Log a fault of this program; bytes that are no request are none."""
        error = options.get('exc_info')
        if isinstance(error, HttpProcessingError):
            reason = shortened(error.message)
            record(Event.request_refused, status=error.code, reason=reason)
            return
        super().log_exception(*arguments, **options)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has arrived or begun to.

        If an answer is still being sent, its connection is closed after it.
        Otherwise a request that arrives later is not read, so its caller may
        repeat it.
        """
        transport = self._plain_transport
        if transport is None or transport.is_closing() or self._awaits_rest:
            return
        if self._awaits_request() and not _is_readable(transport):
            if count_unsent_bytes(transport) == 0:
                transport.close()
            # Ends the task that waits for a request.
            self.force_close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._plain_transport is not None:
            self._plain_transport.abort()

    def _resume_reading_if_drained(self) -> None:
        """Resume reading unless bodies of later requests have to wait."""
        if not self._is_far_ahead():
            super()._resume_reading_if_drained()

    def _is_far_ahead(self) -> bool:
        """Return whether the requests behind this one have long bodies.

        Each body has a limit of its own, and there may be many of them.
        """
        queued = (payload for _, payload in self._messages)
        sizes = (
            payload.total_bytes
            for payload in queued
            if isinstance(payload, StreamReader)
        )
        return sum(sizes) > READ_AHEAD_BYTES

    def _awaits_request(self) -> bool:
        """Return whether no request has been received completely."""
        return self._waiter is not None and not self._waiter.done()


class CallerListener:
    """Accepts the connections of callers and serves them."""

    def __init__(self, request_handler: RequestHandler, **options: Any) -> None:
        """Set the listener up; options are those of aiohttp's server."""
        self._request_handler = request_handler
        self._options = options
        self._server: web.Server | None = None
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[Any]] = set()
        self.connections: set[CallerConnection] = set()
        #: When a connection was last accepted, in the loop's time.
        self.accepted_at: Seconds = 0

    async def start(
        self, use: PortUse, host: str, port: int
    ) -> tuple[str, int]:
        """Listen and return the address; port 0 selects any free port."""
        self._server = web.Server(
            self._request_handler, handler_cancellation=True
        )
        listening = await listen(
            use, f'{host}:{port}', lambda: _listen(host, port)
        )
        self._socket = listening
        self._accept_from_now()
        name = listening.getsockname()
        return name[0], name[1]

    async def stop_listening(self, timeout: Seconds = 0) -> None:
        """Stop listening; connections that wait are still accepted.

        If that fails, it is tried again until the timeout.
        """
        listening = self._socket
        if listening is None:
            return
        self._socket = None
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        ends_at = loop.time() + timeout
        while not self._accept(listening) and loop.time() < ends_at:
            await asyncio.sleep(ACCEPT_RETRY_DELAY)
        listening.close()
        if self._accepting:
            await asyncio.wait(self._accepting)

    async def drain(self, timeout: Seconds) -> None:
        """Stop listening, answer what has arrived, close each connection.

        Every answer has to close its connection from now on. Returns when
        all callers have closed theirs too, or at the timeout.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout
        self._close_idle()
        await self.stop_listening(timeout)
        while self.connections and loop.time() < ends_at:
            # Not in one pass: a connection may become idle later.
            self._close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        await self._await_late_answers(ends_at + LATE_ANSWERS_TIME)
        if self.connections:
            record(Event.answers_unsent, connections=len(self.connections))

    async def stop(self) -> None:
        """Stop listening and close every connection immediately."""
        await self.stop_listening()
        if self._server is not None:
            await self._server.shutdown(CANCEL_TIMEOUT)
        for connection in list(self.connections):
            connection.abort()

    async def _await_late_answers(self, ends_at: Seconds) -> None:
        """Wait for answers that were due at the timeout of a drain.

        They come as late as the loop, which may have noticed the timeout only
        after this end too: it looks a few times in any case.
        """
        loop = asyncio.get_running_loop()
        looks = 0
        while self.connections:
            if looks >= MIN_LATE_LOOKS and loop.time() >= ends_at:
                return
            looks += 1
            self._close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    def _accept_from_now(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(
                self._socket, self._accept, self._socket
            )

    def _accept(self, listening: socket.socket) -> bool:
        """Accept every connection that waits; return false on a failure."""
        while True:
            try:
                accepted = listening.accept()[0]
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._retry_accepting(error)
                return False
            accepted.setblocking(False)
            self.accepted_at = asyncio.get_running_loop().time()
            task = asyncio.create_task(self._connect(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _retry_accepting(self, error: OSError) -> None:
        record(Event.accept_failed, reason=repr(error))
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            loop.remove_reader(self._socket)
            loop.call_later(ACCEPT_RETRY_DELAY, self._accept_from_now)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_connection, accepted
            )
        except OSError as error:
            record(Event.accept_failed, reason=repr(error))
            accepted.close()

    def _make_connection(self) -> CallerConnection:
        if self._server is None:
            raise RuntimeError('the listener has not been started')
        return CallerConnection(self._server, self.connections, **self._options)


async def _listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens at an address."""
    listening = socket.create_server((host, port), backlog=BACKLOG)
    listening.setblocking(False)
    return listening


def _is_readable(transport: asyncio.Transport) -> bool:
    """Return whether bytes, or the end of the connection, are unread."""
    poller = select.poll()
    poller.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poller.poll(0))


def count_unsent_bytes(transport: asyncio.Transport) -> int | None:
    """Return the bytes that the peer has not confirmed; None if not known."""
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, _INT.pack(0))
    except (OSError, ValueError):
        # Not all systems tell, nor does a connection that is lost.
        return buffered or None
    # A peer may receive what the system holds before the buffer changes.
    return buffered + int(_INT.unpack(answer)[0])
