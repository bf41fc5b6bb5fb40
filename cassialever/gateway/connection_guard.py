"""Keep what the connections of callers hold within the limits."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final, Protocol

import msgspec

from cassialever.events import Event, record
from cassialever.fleet.model import CallerLimits
from cassialever.policy.connection_limits import (
    HEAD_TIME_FACTOR,
    MAX_LINE_BYTES,
    SHORT_STALL_TIME,
    ConnectionLimits,
    HeadBudget,
    HoldingConnection,
    Stage,
    largest_holder,
)
from cassialever.policy.memory import MAX_WAIT, MemoryBudget
from cassialever.types import Seconds

#: Time between two looks at all connections.
WATCH_INTERVAL: Final[Seconds] = 0.5
#: How long a peer may go on without receiving more of what was sent.
STALL_TIMEOUT: Final[Seconds] = 5.0


class CloseCause(msgspec.Struct, frozen=True):
    """Why a connection is closed, and the status of the answer before."""

    name: str
    status: bytes


HEAD_LATE: Final = CloseCause('head_late', b'408 Request Timeout')
HEAD_TOO_LONG: Final = CloseCause(
    'head_too_long', b'431 Request Header Fields Too Large'
)
NO_MEMORY: Final = CloseCause('no_memory', b'503 Service Unavailable')
NO_DESCRIPTORS: Final = CloseCause('no_descriptors', b'503 Service Unavailable')
#: Its request may have run: there is no answer of this daemon.
UNREAD: Final = CloseCause('unread', b'')


class GuardedConnection(HoldingConnection, Protocol):
    """A connection that a guard watches."""

    #: Since when a part of a head, or one that waits for memory, is there.
    begun_at: Seconds | None
    waits_for_memory: bool

    def count_held(self) -> None:
        """Tell the guard how many bytes the connection holds now."""

    def stalled_for(self, now: Seconds) -> Seconds:
        """Return for how long the peer has received no more of an answer."""

    def end(self, cause: CloseCause) -> None:
        """Refuse a request that is not there whole, and close at once."""

    def parse(self) -> None:
        """Parse what has been received, if there is room for it."""


def usual_limits() -> CallerLimits:
    """Return the limits of callers without a configuration."""
    return CallerLimits()


class ConnectionGuard:
    """Watches the connections of several listeners.

    When their buffers hold too much, those that have made least progress are
    closed. So are those whose heads are late or whose answers are not read.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        caller_limits: Callable[[], CallerLimits] = usual_limits,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Watch no connection; `run` looks at all of them regularly."""
        self.limits = limits
        self.caller_limits = caller_limits
        #: The budget of the bodies that are read from the connections.
        self.memory = memory or MemoryBudget()
        self.heads = HeadBudget(limits.long_heads_bytes)
        self.connections: set[GuardedConnection] = set()
        #: Bytes in the buffers of all connections.
        self.held = 0
        self.closed_by_cause: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()
        self._makes_room = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def max_head_bytes(self) -> int:
        """Return the size beyond which an unfinished head is refused."""
        return self.caller_limits().max_header_bytes + MAX_LINE_BYTES

    def add(self, connection: GuardedConnection) -> None:
        """Watch a connection."""
        self.connections.add(connection)
        if self._timer is None:
            self._watch_later()

    def remove(self, connection: GuardedConnection) -> None:
        """Watch a connection no longer."""
        self.connections.discard(connection)
        self.held -= connection.held
        connection.held = 0

    def note_held(self, connection: GuardedConnection, held: int) -> None:
        """Record what a connection holds; close others if it is too much."""
        if connection not in self.connections:
            return
        self.held += held - connection.held
        connection.held = held
        if self.held > self.limits.buffer_bytes and not self._makes_room:
            self._makes_room = True
            self._make_room()
            self._makes_room = False

    def release_head(self, cost: int) -> None:
        """Give the memory of a head back, to heads that wait for it."""
        if not cost:
            return
        self.heads.release(cost)
        for connection in list(self.connections):
            if connection.waits_for_memory:
                connection.parse()

    def end(self, connection: GuardedConnection, cause: CloseCause) -> None:
        """Close a connection and count why."""
        self.closed_by_cause[cause.name] += 1
        connection.end(cause)

    def _make_room(self) -> None:
        for connection in list(self.connections):
            connection.count_held()
        while self.held > self.limits.buffer_bytes:
            holder = largest_holder(self.connections)
            if holder is None:
                return
            self.end(holder, NO_MEMORY)
            self.held -= holder.held
            holder.held = 0

    def _watch_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            WATCH_INTERVAL, self._watch
        )

    def _watch(self) -> None:
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.count_held()
            cause = self._fault_of(connection, now)
            if cause is not None:
                self.end(connection, cause)
        self._report()
        self._timer = None
        if self.connections:
            self._watch_later()

    def _fault_of(
        self, connection: GuardedConnection, now: Seconds
    ) -> CloseCause | None:
        """Return why a connection is to be closed, if it is."""
        is_short = self.held > self.limits.buffer_bytes / 2
        max_stall = SHORT_STALL_TIME if is_short else STALL_TIMEOUT
        if connection.stalled_for(now) >= max_stall:
            return UNREAD
        begun_at = connection.begun_at
        if begun_at is None or connection.stage is not Stage.head:
            return None
        if connection.waits_for_memory and now - begun_at > MAX_WAIT:
            return NO_MEMORY
        head_time = self.caller_limits().header_timeout * HEAD_TIME_FACTOR
        return HEAD_LATE if now - begun_at > head_time else None

    def _report(self) -> None:
        """Log how many connections were closed since the last time."""
        closed = self.closed_by_cause - self._reported
        self._reported = self.closed_by_cause.copy()
        for cause, count in closed.items():
            record(
                Event.connections_closed,
                cause=cause,
                count=count,
                held=self.held,
                connections=len(self.connections),
            )
