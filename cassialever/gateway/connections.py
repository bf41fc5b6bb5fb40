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

from cassialever.decoding import shortened
from cassialever.events import Event, record
from cassialever.gateway.connection_guard import (
    NO_DESCRIPTORS,
    STALL_TIMEOUT,
    CloseCause,
    ConnectionGuard,
)
from cassialever.gateway.gated_connection import GatedConnection
from cassialever.listening import PortUse, listen
from cassialever.policy.connection_limits import (
    ConnectionLimits,
    Stage,
    least_progressed,
)
from cassialever.policy.memory import READ_BYTES
from cassialever.types import Seconds

#: Connections that may wait to be accepted; the load balancer opens as many
#: as a burst needs.
BACKLOG: Final = 1024
#: Pause before connections are accepted again after a failure to do so, which
#: is usually a lack of descriptors.
ACCEPT_RETRY_DELAY: Final[Seconds] = 0.1
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


class CallerConnection(GatedConnection):
    """The connection of one caller."""

    __slots__ = ('_connections', '_unsent')

    def __init__(
        self,
        server: web.Server,
        connections: set['CallerConnection'],
        guard: ConnectionGuard,
        **options: Any,
    ) -> None:
        """Create a connection that is in `connections` while it is open."""
        super().__init__(server, guard, **options)
        self._connections = connections
        #: Unsent bytes, and since when there are as many.
        self._unsent: tuple[int | None, Seconds] = (0, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the open ones."""
        plain_transport = cast(asyncio.Transport, transport)
        plain_transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._plain_transport = plain_transport
        self._connections.add(self)
        self._guard.add(self)
        super().connection_made(
            cast(asyncio.Transport, LingeringTransport(plain_transport))
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the open ones."""
        self._connections.discard(self)
        self._guard.remove(self)
        super().connection_lost(exc)

    def log_exception(self, *arguments: Any, **options: Any) -> None:
        """Log a fault of this program; bytes that are no request are none."""
        error = options.get('exc_info')
        if isinstance(error, HttpProcessingError):
            reason = shortened(error.message)
            record(Event.request_refused, status=error.code, reason=reason)
            return
        super().log_exception(*arguments, **options)

    def stalled_for(self, now: Seconds) -> Seconds:
        """Return for how long the peer has received no more of an answer."""
        transport = self._plain_transport
        if transport is None or not transport.get_write_buffer_size():
            self._unsent = (0, now)
            return 0
        unsent = count_unsent_bytes(transport)
        if unsent != self._unsent[0]:
            self._unsent = (unsent, now)
        return now - self._unsent[1]

    def end(self, cause: CloseCause) -> None:
        """Refuse a request that is not there whole, and close at once.

        Requests behind one that is there whole are dropped; its answer closes
        the connection.
        """
        self._received.clear()
        transport = self._plain_transport
        if transport is None or transport.is_closing():
            return
        if cause.status and self.stage is Stage.whole:
            self.close()
            return
        if cause.status and self.stage is not Stage.idle:
            transport.write(
                b'HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n'
                b'\r\n' % cause.status
            )
        transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has arrived or begun to.

        If an answer is still being sent, its connection is closed after it.
        Otherwise a request that arrives later is not read, so its caller may
        repeat it.
        """
        transport = self._plain_transport
        if transport is None or transport.is_closing():
            return
        if self._is_in_body() or self._received.has_begun:
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


class _SideConnection(CallerConnection):
    """A connection whose faults aiohttp logs."""

    def log_exception(self, *arguments: Any, **options: Any) -> None:
        self.logger.exception(*arguments, **options)


class GuardedServer(web.Server):
    """A server of aiohttp with few connections, which a guard watches."""

    def __init__(
        self,
        request_handler: RequestHandler,
        guard: ConnectionGuard,
        max_connections: int,
        **options: Any,
    ) -> None:
        """Set the server up; options are those of aiohttp's server."""
        super().__init__(request_handler, **options)
        self._guard = guard
        self._max_connections = max_connections
        self._open: set[CallerConnection] = set()
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Return a new connection; close another if there are too many."""
        if len(self._open) >= self._max_connections:
            connection = least_progressed(self._open)
            if connection is not None:
                self._guard.end(connection, NO_DESCRIPTORS)
                self._open.discard(connection)
        return _SideConnection(self, self._open, self._guard, **self._options)


class CallerListener:
    """Accepts the connections of callers and serves them."""

    def __init__(
        self,
        request_handler: RequestHandler,
        guard: ConnectionGuard | None = None,
        *,
        max_connections: int | None = None,
        spares_used: bool = False,
        **options: Any,
    ) -> None:
        """Set the listener up; options are those of aiohttp's server.

        Beyond `max_connections` it closes the ones that have made least
        progress; idle ones that were used are spared on request.
        """
        self._request_handler = request_handler
        self._guard = guard or ConnectionGuard(ConnectionLimits())
        self._max_connections = max_connections or (
            self._guard.limits.connections
        )
        self._spares_used = spares_used
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

    def _has_room(self) -> bool:
        """Close a connection if there are too many; return false if none can.

        None that has just been accepted is closed.
        """
        count = len(self.connections) + len(self._accepting)
        if count < self._max_connections:
            return True
        connection = least_progressed(
            self.connections, spares_used=self._spares_used
        )
        if connection is None:
            return False
        self._guard.end(connection, NO_DESCRIPTORS)
        self.connections.discard(connection)
        return True

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
            if not self._has_room():
                self._accept_later()
                return False
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
        self._accept_later()

    def _accept_later(self) -> None:
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
        return CallerConnection(
            self._server, self.connections, self._guard, **self._options
        )


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
