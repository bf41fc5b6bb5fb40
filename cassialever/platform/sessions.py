"""Open HTTP sessions whose connections end as soon as the peer is gone."""

import socket
import struct
from typing import Any, Final

import aiohttp

#: A silent connection is found by probes of the kernel after 1 s, 1 s and
#: 1 s, which is within the 3 s after which bounds hold again.
KEEPALIVE_IDLE: Final = 1
KEEPALIVE_INTERVAL: Final = 1
KEEPALIVE_PROBES: Final = 2
#: How long an idle connection is kept, where nothing else is said: the
#: library's default, in seconds.
KEPT_IDLE: Final = 15.0

#: Linger is on and lasts no time.
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)


def open_session(
    *,
    disable_retries: bool = False,
    keepalive_timeout: float = KEPT_IDLE,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session without a limit of connections.

    Where `is_sent_once` is set, a request is never sent a second time by the
    library itself. Other options are those of the session.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=keepalive_timeout,
            socket_factory=keepalive_socket,
        ),
        **options,
    )
    if disable_retries:
        session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def keepalive_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Make a socket whose kernel finds out when the peer is gone.

    Closed, it resets the connection: bytes that a partition holds up are
    then dropped, where they would otherwise arrive once it has healed.
    """
    family, kind, protocol = address_info[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL
    )
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return made
