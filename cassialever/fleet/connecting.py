"""Open connections to other instances and to targets.

Tell, too, how long ago bytes arrived that are read only now, since a process
may stand still between the two.
"""

import asyncio
import re
import socket
import struct
from typing import Final, TypeAlias

from cassialever.errors import ErrorKind, Failure
from cassialever.types import MS_PER_SECOND, Seconds

#: A connection to another data centre takes 2 ms; one to an address that is
#: cut off is never answered.
CONNECT_TIMEOUT: Final[Seconds] = 0.3

#: An IP address or a name of up to 253 letters, and a port to 65,535.
_ADDRESS: Final = re.compile(
    r'[0-9A-Za-z._:%\[\]-]{1,253}:([1-9][0-9]{0,3}|[1-5][0-9]{4}'
    r'|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])'
)
#: `tcpi_last_data_recv` of Linux's `tcp_info`: milliseconds since data came.
_LAST_RECEIVED: Final = struct.Struct('=52xI')

Streams: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port to which one can connect."""
    return _ADDRESS.fullmatch(text) is not None


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, port = address.rsplit(':', 1)
    return host, int(port)


async def can_connect(address: str, timeout: Seconds = CONNECT_TIMEOUT) -> bool:
    """Return whether an address accepts a connection in time."""
    connected = await connect(address, timeout)
    if isinstance(connected, Failure):
        return False
    connected[1].close()
    return True


async def connect(
    address: str, timeout: Seconds = CONNECT_TIMEOUT
) -> Streams | Failure:
    """Open a connection.

    A failure of kind `target_unreachable` means that the connection was
    refused, one of kind `peer_unreachable` that there was no answer.
    """
    if not is_address(address):
        return Failure(ErrorKind.peer_unreachable, 'the address is invalid')
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout):
            return await asyncio.open_connection(host, port)
    except ConnectionRefusedError as refusal:
        return Failure(ErrorKind.target_unreachable, repr(refusal))
    except (OSError, UnicodeError, asyncio.TimeoutError) as error:
        # A name of a host that can't be encoded raises UnicodeError.
        return Failure(ErrorKind.peer_unreachable, repr(error))


def time_since_arrival(transport: asyncio.BaseTransport | None) -> Seconds:
    """Return the time since the last bytes of the peer arrived.

    The system counts it, so that it goes on while this process is stopped. It
    is 0 where that is not known.
    """
    sock = None if transport is None else transport.get_extra_info('socket')
    if sock is None:
        return 0
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.size
        )
    except OSError:
        # The connection is lost.
        return 0
    if len(info) < _LAST_RECEIVED.size:
        return 0
    return float(_LAST_RECEIVED.unpack(info)[0]) / MS_PER_SECOND
