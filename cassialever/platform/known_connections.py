"""Choose by which of the connections that are open a request may be sent."""

import contextlib
from collections.abc import Container, Iterator
from contextvars import ContextVar
from typing import Final, Protocol

import aiohttp

#: The connections that may carry the current request, if only known ones may.
_allowed: Final[ContextVar[Container[object] | None]] = ContextVar(
    'allowed', default=None
)
#: Whether the current request needs a new connection.
_needs_new: Final[ContextVar[bool]] = ContextVar('needs_new', default=False)
#: The connection that the current request got.
_in_use: Final[ContextVar['_Connection | None']] = ContextVar(
    'in_use', default=None
)


class _Connection(Protocol):
    """A connection that can be closed."""

    def close(self) -> None:
        """Close the connection."""


class NoKnownConnectionError(aiohttp.ClientError):
    """None of the connections that a request may use is idle and open."""


@contextlib.contextmanager
def only_on(connections: Container[object] | None) -> Iterator[None]:
    """Send requests only on some of the idle connections, or not at all.

    With `None` any connection will do, also a new one.
    """
    token = _allowed.set(connections)
    try:
        yield
    finally:
        _allowed.reset(token)


@contextlib.contextmanager
def only_on_new() -> Iterator[None]:
    """Send each request on a new connection."""
    token = _needs_new.set(True)
    try:
        yield
    finally:
        _needs_new.reset(token)


def needs_new() -> bool:
    """Return whether the current request needs a new connection."""
    return _needs_new.get()


def may_use(connection: object) -> bool:
    """Return whether the current request may be sent on a connection."""
    allowed = _allowed.get()
    return allowed is None or connection in allowed


def check_may_open() -> None:
    """Raise an error if no new connection may carry the current request."""
    if _allowed.get() is not None:
        raise NoKnownConnectionError


def set_in_use(connection: _Connection | None) -> None:
    """Note the connection that the current request got."""
    _in_use.set(connection)


def connection_in_use() -> object | None:
    """Return the connection that the current request got."""
    return _in_use.get()


def close_in_use() -> None:
    """Close the connection that the current request got, if it got one."""
    connection = _in_use.get()
    if connection is not None:
        connection.close()
