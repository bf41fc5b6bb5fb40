"""Limit what the connections of callers hold before their requests are read.

Load patterns handled: crowds of connections that stay open without a request,
that send a head or a body slowly or in part, heads of very many short fields,
requests sent far ahead, answers that are not read. The limits follow from the
memory and the descriptors of the process, and from what operators let callers
send; no caller inside the operators' limits meets one while there is room.
"""

import enum
from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

import msgspec

from cassialever.policy.memory import (
    BUFFER_SHARE,
    BYTES_PER_MB,
    DEFAULT_MEMORY_MB,
)
from cassialever.types import Seconds

#: Descriptors for files and for what is no connection of a caller.
RESERVED_DESCRIPTORS: Final = 200
#: Largest share of all descriptors that is reserved so.
MAX_RESERVED_SHARE: Final = 0.4
#: Share of the others for connections of callers. The rest is for targets, the
#: store, other daemons, readiness and metrics.
CALLERS_SHARE: Final = 0.7
#: Connections of callers if the number of descriptors is not known.
DEFAULT_CONNECTIONS: Final = 4096
#: Connections of other daemons that pass requests on, as a share of those of
#: callers.
HOPS_SHARE: Final = 0.25
#: Links of other daemons that have not said who they are, as a share of all
#: descriptors, and their number if that is not known.
GREETINGS_SHARE: Final = 0.25
DEFAULT_GREETINGS: Final = 1024
#: Connections for readiness checks, and for metrics.
SIDE_CONNECTIONS: Final = 32
#: Memory of one parsed header field, with its copies on the way to a target.
FIELD_BYTES: Final = 600
#: Heads with more fields than this are parsed a few at a time.
LONG_HEAD_FIELDS: Final = 128
#: Share of the memory for long heads that are parsed at the same time.
LONG_HEADS_SHARE: Final = 0.05
#: Requests that are parsed ahead of the one that is answered.
MAX_PARSED_AHEAD: Final = 1
#: Longest request line, which counts in addition to the header fields.
MAX_LINE_BYTES: Final = 16384
#: A head is refused after this many times the operators' limit.
HEAD_TIME_FACTOR: Final = 2
#: How long unread bytes of an answer are kept if memory is short.
SHORT_STALL_TIME: Final[Seconds] = 1.0


class Stage(enum.Enum):
    """How far the request on a connection has come."""

    #: Nothing of a request has been received.
    idle = 'idle'
    #: Its head, or its body, has been received in part.
    head = 'head'
    body = 'body'
    #: It has been received whole.
    whole = 'whole'


class HoldingConnection(Protocol):
    """What the choice of connections to close looks at."""

    #: Number of whole requests that have been received.
    completed: int
    #: When it was accepted, or last received a whole request or answered one.
    progressed_at: Seconds
    #: Bytes that it holds in its buffers.
    held: int

    @property
    def ahead(self) -> int:
        """Return the received bytes that are not parsed yet."""

    @property
    def stage(self) -> Stage:
        """Return how far its request has come."""


_Connection = TypeVar('_Connection', bound=HoldingConnection)


class ConnectionLimits(msgspec.Struct, frozen=True):
    """The most that all connections of callers may hold together."""

    connections: int = DEFAULT_CONNECTIONS
    greetings: int = DEFAULT_GREETINGS
    buffer_bytes: float = DEFAULT_MEMORY_MB * BYTES_PER_MB * BUFFER_SHARE
    long_heads_bytes: float = (
        DEFAULT_MEMORY_MB * BYTES_PER_MB * LONG_HEADS_SHARE
    )

    @property
    def hop_connections(self) -> int:
        """Return the limit of connections of other daemons for requests."""
        return int(self.connections * HOPS_SHARE)


def connection_limits(
    memory_mb: float, max_descriptors: int
) -> ConnectionLimits:
    """Return the limits of a process; figures of 0 are unknown."""
    memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    connections = DEFAULT_CONNECTIONS
    greetings = DEFAULT_GREETINGS
    if max_descriptors:
        reserved = min(
            RESERVED_DESCRIPTORS, max_descriptors * MAX_RESERVED_SHARE
        )
        connections = int((max_descriptors - reserved) * CALLERS_SHARE)
        greetings = int(max_descriptors * GREETINGS_SHARE)
    return ConnectionLimits(
        connections, greetings, memory * BUFFER_SHARE, memory * LONG_HEADS_SHARE
    )


def least_progressed(
    connections: Iterable[_Connection], *, spares_used: bool = False
) -> _Connection | None:
    """Return the connection to close when there are too many, if any.

    Requests that were received whole go on. Connections that never had one go
    first, the oldest of them first; then idle ones, unless those are spared.
    """
    candidates = (
        one
        for one in connections
        if one.stage is not Stage.whole and not (spares_used and one.completed)
    )
    return min(candidates, key=_progress, default=None)


def largest_holder(connections: Iterable[_Connection]) -> _Connection | None:
    """Return the connection to close when buffers hold too much, if any.

    Of those with a whole request only what lies behind it is dropped.
    """
    candidates = (one for one in connections if _can_release(one))
    return min(candidates, key=_progress, default=None)


def _can_release(connection: HoldingConnection) -> bool:
    if connection.stage is Stage.whole:
        return connection.ahead > 0
    return connection.held > 0


def _progress(connection: HoldingConnection) -> tuple[int, Seconds]:
    if connection.stage is Stage.whole:
        return 3, connection.progressed_at
    if not connection.completed:
        return 0, connection.progressed_at
    rank = 1 if connection.stage is Stage.idle else 2
    return rank, connection.progressed_at


def head_cost(field_count: int) -> int:
    """Return the bytes that a parsed head takes of the long heads' share."""
    if field_count <= LONG_HEAD_FIELDS:
        return 0
    return field_count * FIELD_BYTES


class HeadBudget:
    """The memory of long heads that have been parsed."""

    def __init__(self, total: float) -> None:
        self._total = total
        self.held = 0

    def admit(self, cost: int) -> bool:
        """Claim the cost of a head if it fits; one alone always does."""
        if cost and self.held and self.held + cost > self._total:
            return False
        self.held += cost
        return True

    def release(self, cost: int) -> None:
        """Give the cost of a head back."""
        self.held -= cost
