"""Limit until when a call is sent, also by a process that stands still.

It resets no connection at a time limit, and its kernel would repeat what a cut
has held up, and deliver it seconds after the cut.
"""

import contextlib
import math
import socket
import time
from collections.abc import AsyncIterator
from contextvars import ContextVar
from typing import Any, Final
from weakref import WeakSet

from cassialever.platform.time_limits import time_limit
from cassialever.types import Seconds

_MS_PER_SECOND: Final = 1000
#: Until when the current request may be sent, in monotonic seconds.
_ends_at: Final[ContextVar[Seconds]] = ContextVar('ends_at', default=math.inf)


@contextlib.asynccontextmanager
async def call_limit(limit: Seconds) -> AsyncIterator[None]:
    """Raise TimeoutError at a limit, by which a request is sent or never."""
    token = _ends_at.set(time.monotonic() + limit)
    try:
        async with time_limit(limit):
            yield
    finally:
        _ends_at.reset(token)


class SendingLimits:
    """The connections whose bytes the kernel drops at a limit."""

    def __init__(self) -> None:
        """Start without connections."""
        self._limited: WeakSet[Any] = WeakSet()

    def begin(self, protocol: Any) -> bool:
        """Limit what is sent next; return whether it may be sent at all."""
        if math.isinf(_ends_at.get()):
            return True
        time_left = _ends_at.get() - time.monotonic()
        if time_left <= 0:
            return False
        _set_user_timeout(protocol, math.ceil(time_left * _MS_PER_SECOND))
        self._limited.add(protocol)
        return True

    def end(self, protocol: Any) -> None:
        """Leave it to keepalive probes when an idle connection is lost."""
        if protocol in self._limited:
            self._limited.discard(protocol)
            _set_user_timeout(protocol, 0)


def _set_user_timeout(protocol: Any, timeout_ms: int) -> None:
    """Set when the kernel resets a connection whose bytes aren't received."""
    if protocol.transport is None:
        return
    with contextlib.suppress(OSError):
        protocol.transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
