"""Open HTTP sessions that detect dead peers and reset what they close."""

import asyncio
import contextlib
import functools
import select
import socket
import struct
import time
from collections.abc import Callable, MutableMapping
from contextvars import ContextVar
from typing import Any, Final, TypeAlias
from weakref import WeakKeyDictionary

import aiohttp
from yarl import URL

from cassialever.platform import known_connections, wire
from cassialever.platform.answer_heads import BoundedResponseHandler
from cassialever.platform.refused_requests import RefusedRequests
from cassialever.platform.sending_limits import SendingLimits
from cassialever.platform.time_limits import time_limit
from cassialever.policy.rest_times import RestTimes
from cassialever.types import Seconds

#: The kernel detects a silent connection after 3 s: 1 s without traffic, then
#: two probes of 1 s each. The platform's bounds must hold 3 s after a fault.
TCP_KEEPALIVE_IDLE_SECONDS: Final = 1
TCP_KEEPALIVE_INTERVAL_SECONDS: Final = 1
TCP_KEEPALIVE_PROBE_COUNT: Final = 2
#: How long an idle connection is kept by default, as in aiohttp.
DEFAULT_KEEPALIVE_TIMEOUT_SECONDS: Final = 15.0

#: Returns the context in which a connection to an address is made.
Connecting: TypeAlias = Callable[
    [str], contextlib.AbstractContextManager[object]
]

#: Called with the headers of a request right before it is written. It may
#: change them; an error that it raises ends the request.
BeforeSending: TypeAlias = Callable[[MutableMapping[str, str]], None]

#: Idle connections that are kept to one address. Those of two hundred daemons
#: together are fewer than a target accepts.
MAX_IDLE_PER_ADDRESS: Final = 4
#: Addresses that are kept before those without a connection are forgotten.
MAX_KNOWN_ADDRESSES: Final = 2048
_refused_requests: Final = RefusedRequests()
#: The id of the request that gets a connection in the current task.
_connecting_id: Final[ContextVar[str]] = ContextVar('connecting_id', default='')
#: How long the connection of the current request rested before; 0 if it is
#: new.
_rested: Final[ContextVar[Seconds]] = ContextVar('rested', default=0)
#: SO_LINGER: on, for 0 s.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def _send_unchanged(headers: MutableMapping[str, str]) -> None:
    """Have every request sent as it is; the default."""


class _CheckingConnector(aiohttp.TCPConnector):
    """A connection pool that reuses only connections without unread bytes.

    aiohttp takes bytes that came while a connection was idle for the answer
    to the next request on it. A request that was refused on a connection does
    not get that one again. Each new connection is made in a context, which
    gets its address. With `is_patient` one that was made while the event loop
    was late is in time.
    """

    #: Whether connections have a `time_limit` in place of aiohttp's timer.
    is_patient = False

    def __init__(
        self,
        connecting: Connecting,
        before_sending: BeforeSending,
        *,
        takes_turns: bool,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=asyncio.get_running_loop()
        )
        self._connecting = connecting
        self._before_sending = before_sending
        self._takes_turns = takes_turns
        #: The keys of aiohttp's pool, by address, of idle connections.
        self._key_by_address: dict[str, Any] = {}
        #: When each idle connection was used last.
        self._used_at: WeakKeyDictionary[object, Seconds] = WeakKeyDictionary()
        self.rest_times = RestTimes()
        self._sending_limits = SendingLimits()

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is open."""
        key = self._key_by_address.get(address)
        return key is not None and bool(self._conns.get(key))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Connections with a request in progress stay open.
        """
        key = self._key_by_address.pop(address, None)
        if key is None:
            return
        for protocol, _ in self._conns.pop(key, ()):
            protocol.close()

    def idle(self, address: str) -> list[object]:
        """Return the idle connections to an address that are open."""
        key = self._key_by_address.get(address)
        connections = () if key is None else self._conns.get(key, ())
        return [one for one, _ in connections if _is_open(one)]

    async def open_idle(self, address: str, timeout: Seconds) -> object:
        """Open a connection to an address and keep it for later requests."""
        request = aiohttp.ClientRequest(
            'POST', URL(f'http://{address}/'), loop=asyncio.get_running_loop()
        )
        protocol = await self._create_connection(
            request, [], aiohttp.ClientTimeout(total=None, connect=timeout)
        )
        self._release(request.connection_key, protocol)
        return protocol

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection, unless `before_sending` raises by then.

        A request that may not be sent any more has no connection in time.
        """
        metadata = wire.parse_request_metadata(req.headers)
        _connecting_id.set(metadata.request_id)
        _rested.set(0)
        async with contextlib.AsyncExitStack() as limits:
            if self.is_patient and timeout.connect is not None:
                await limits.enter_async_context(time_limit(timeout.connect))
                timeout = aiohttp.ClientTimeout(
                    sock_connect=timeout.sock_connect
                )
            connection = await super().connect(req, traces, timeout)
        known_connections.set_in_use(connection.protocol)
        if not self._sending_limits.begin(connection.protocol):
            connection.release()
            raise aiohttp.ConnectionTimeoutError
        try:
            self._before_sending(req.headers)
        except BaseException:
            connection.release()
            raise
        return connection

    async def _create_connection(self, request: Any, *arguments: Any) -> Any:
        known_connections.check_may_open()
        with self._connecting(f'{request.url.host}:{request.url.port}'):
            return await super()._create_connection(request, *arguments)

    def _release(self, key: Any, protocol: Any, **options: Any) -> None:
        """Return a connection to the pool, as the next one to be used.

        Those that only a burst needed are the ones that time out. If they take
        turns, all are used.
        """
        super()._release(key, protocol, **options)
        idle = self._conns.get(key)
        if not idle or idle[-1][0] is not protocol:
            return
        self._sending_limits.end(protocol)
        self._used_at[protocol] = time.monotonic()
        self._note_key(f'{key.host}:{key.port}', key)
        if not self._takes_turns:
            idle.rotate()
        while len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.pop()[0].close()

    def _note_key(self, address: str, key: Any) -> None:
        if len(self._key_by_address) >= MAX_KNOWN_ADDRESSES:
            self._key_by_address = {
                one: known
                for one, known in self._key_by_address.items()
                if known in self._conns
            }
        self._key_by_address[address] = key

    async def _get(
        self, key: Any, traces: list[Any]
    ) -> aiohttp.connector.Connection | None:
        if known_connections.needs_new():
            return None
        set_aside: list[aiohttp.connector.Connection] = []
        now = time.monotonic()
        longest = self.rest_times.longest(f'{key.host}:{key.port}', now)
        connection = await super()._get(key, traces)
        while connection is not None and not _is_usable(connection):
            if _is_unused(connection):
                set_aside.append(connection)
            else:
                connection.close()
            connection = await super()._get(key, traces)
        for other in set_aside:
            other.release()
        if connection is None:
            return None
        rested = now - self._used_at.get(connection.protocol, now)
        if rested > longest:
            # Those that are left in the pool have rested for longer.
            connection.close()
            return None
        _rested.set(rested)
        return connection


def open_session(
    *,
    disable_retries: bool = False,
    takes_turns: bool = False,
    keepalive_timeout: float = DEFAULT_KEEPALIVE_TIMEOUT_SECONDS,
    connecting: Connecting = contextlib.nullcontext,
    before_sending: BeforeSending = _send_unchanged,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session without a limit of connections.

    `disable_retries` turns off the retries that aiohttp makes on its own, with
    `takes_turns` the connection that has rested for longest is used next,
    `connecting` returns the context in which each new connection is made, and
    `before_sending` is called right before a request is written. Other options
    are passed to the session.
    """
    session = aiohttp.ClientSession(
        connector=_CheckingConnector(
            connecting,
            before_sending,
            takes_turns=takes_turns,
            limit=0,
            keepalive_timeout=keepalive_timeout,
            socket_factory=keepalive_socket,
        ),
        **options,
    )
    if disable_retries:
        session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def record_broken(session: aiohttp.ClientSession, address: str) -> None:
    """Note that the connection of the current request was lost."""
    connector = session.connector
    if isinstance(connector, _CheckingConnector):
        connector.rest_times.record_broken(
            address, _rested.get(), time.monotonic()
        )


def has_idle(session: aiohttp.ClientSession, address: str) -> bool:
    """Return whether a session has an idle connection to an address."""
    connector = session.connector
    return isinstance(connector, _CheckingConnector) and connector.has_idle(
        address
    )


def idle_connections(
    session: aiohttp.ClientSession, address: str
) -> list[object]:
    """Return the idle connections of a session to an address."""
    connector = session.connector
    if not isinstance(connector, _CheckingConnector):
        return []
    return connector.idle(address)


async def open_idle(
    session: aiohttp.ClientSession | None, address: str, timeout: Seconds
) -> object | None:
    """Open a connection for later requests; `None` if that fails."""
    connector = None if session is None else session.connector
    if not isinstance(connector, _CheckingConnector):
        return None
    try:
        with known_connections.only_on(None):
            return await connector.open_idle(address, timeout)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return None


def close_idle(session: aiohttp.ClientSession, address: str) -> None:
    """Close the idle connections to an address, so that none is used again."""
    connector = session.connector
    if isinstance(connector, _CheckingConnector):
        connector.close_idle(address)


def open_forwarding_session(
    keepalive_timeout: float,
    connecting: Connecting = contextlib.nullcontext,
    before_sending: BeforeSending = _send_unchanged,
    *,
    is_patient: bool = False,
) -> aiohttp.ClientSession:
    """Return a session that sends requests and answers as they came.

    Retries by aiohttp would bypass the retry budget. With `is_patient`
    connections that were made while the event loop was late are used, so that
    `before_sending` has to check whether the request may still be sent.
    """
    session = open_session(
        connecting=connecting,
        before_sending=before_sending,
        disable_retries=True,
        keepalive_timeout=keepalive_timeout,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'Content-Type',
            'User-Agent',
        ),
        requote_redirect_url=False,
    )
    if isinstance(session.connector, _CheckingConnector):
        session.connector.is_patient = is_patient
    return session


def record_refused(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Keep a request that was refused off the connection of its refusal."""
    protocol = response._protocol  # noqa: SLF001, WPS437
    if protocol is None:
        return
    if not _refused_requests.add(protocol, request_id):
        close_connection(response)


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close a connection that no further request may use.

    aiohttp returns a connection to its pool as soon as the answer is
    complete, which may be before it was checked.
    """
    protocol = response._protocol  # noqa: SLF001, WPS437
    if protocol is not None:
        protocol.close()
    response.close()


def keepalive_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return a socket that detects a dead peer by keepalive probes.

    Closing it resets the connection, so that data which a network partition
    delays is dropped instead of delivered once the partition has healed.
    """
    family, kind, protocol = address_info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBE_COUNT
    )
    return sock


def _is_usable(connection: aiohttp.connector.Connection) -> bool:
    """Return whether an idle connection may get the current request."""
    if not known_connections.may_use(connection.protocol):
        return False
    return _is_unused(connection) and _refused_requests.may_send(
        connection.protocol, _connecting_id.get()
    )


def _is_unused(connection: aiohttp.connector.Connection) -> bool:
    """Return whether nothing came, also not its end, while it was idle."""
    return connection.protocol is not None and _is_open(connection.protocol)


def _is_open(protocol: Any) -> bool:
    if protocol.transport is None or protocol.should_close:
        return False
    poller = select.poll()
    poller.register(protocol.transport.get_extra_info('socket'), select.POLLIN)
    return not poller.poll(0)
