"""Wait until closed connections have sent what was written to them."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Iterable
from typing import Final, NamedTuple

from aiohttp import web

from cassialever.events import Event, record
from cassialever.types import Seconds

#: Time between two checks of what is not sent yet.
POLL_INTERVAL: Final[Seconds] = 0.02
_INT: Final = struct.Struct('i')


class _HeldSocket(NamedTuple):
    transport: asyncio.WriteTransport
    duplicate: socket.socket


class UnsentAnswers:
    """Holds the sockets of connections that are about to be closed.

    A socket that is closed with unread bytes in it is reset, and what its peer
    has not received is lost. The same may happen when the process ends.
    """

    def __init__(self, connections: Iterable[web.RequestHandler]) -> None:
        """Hold a duplicate of each connection's socket."""
        self._held: list[_HeldSocket] = []
        try:
            self._hold(connections)
        except OSError as error:
            # Descriptors are limited.
            record(Event.answers_unsent, reason=repr(error))

    async def wait(self, timeout: Seconds) -> None:
        """Close each socket once it has sent everything, or at the timeout."""
        ends_at = asyncio.get_running_loop().time() + timeout
        self._close_sent()
        while self._held and asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(POLL_INTERVAL)
            self._close_sent()
        if self._held:
            record(Event.answers_unsent, connections=len(self._held))
        for held in self._held:
            held.duplicate.close()

    def _hold(self, connections: Iterable[web.RequestHandler]) -> None:
        for connection in connections:
            transport = connection.transport
            if isinstance(transport, asyncio.WriteTransport):
                duplicate = transport.get_extra_info('socket').dup()
                self._held.append(_HeldSocket(transport, duplicate))

    def _close_sent(self) -> None:
        waiting = []
        for held in self._held:
            if _unsent_bytes(held):
                waiting.append(held)
                continue
            held.duplicate.close()
        self._held = waiting


def _unsent_bytes(held: _HeldSocket) -> int:
    """Return the bytes that the peer has not confirmed; 0 if not known."""
    buffered = held.transport.get_write_buffer_size()
    if buffered:
        return buffered
    try:
        answer = fcntl.ioctl(held.duplicate, termios.TIOCOUTQ, _INT.pack(0))
    except OSError:
        # Not all systems tell; the socket is closed as it would have been.
        return 0
    return int(_INT.unpack(answer)[0])
