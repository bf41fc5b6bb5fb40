"""What the core needs from outside: clock, random source, table, targets.

Each is a protocol, so that tests put a small fake in its place.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Protocol

import msgspec

from cassialever.errors import Failure
from cassialever.types import (
    ChangeId,
    Fence,
    Headers,
    Incarnation,
    RequestId,
    RowName,
    RowVersion,
    Seconds,
    TargetId,
)

#: The version that a row has before it is first written.
ABSENT = RowVersion(0)


class Clock(Protocol):
    """Tell monotonic time; wall time is for people only."""

    def monotonic(self) -> Seconds:
        """Return seconds that never go back."""

    def wall(self) -> Seconds:
        """Return seconds since 1970, for display."""


class RandomSource(Protocol):
    """Give random numbers from a seed."""

    def random(self) -> float:
        """Return a number of at least 0 and under 1."""

    def randrange(self, stop: int, /) -> int:
        """Return a whole number of at least 0 and under `stop`."""


class Row(msgspec.Struct, frozen=True):
    """One row of the table; `version` rises by one with each write."""

    name: RowName
    version: RowVersion
    body: bytes


class RowWrite(msgspec.Struct, frozen=True):
    """Write one row if it still has the expected version.

    `ABSENT` expects no such row; a `body` of `None` deletes the row.
    """

    name: RowName
    expected: RowVersion
    body: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that happen together or not at all.

    `change_id` is unique to this change; the same transaction may be sent
    again after its answer was lost, since at most one sending can commit.
    """

    change_id: ChangeId
    writes: tuple[RowWrite, ...]
    checks: Mapping[RowName, RowVersion] = {}


class Committed(msgspec.Struct, frozen=True):
    """A transaction has been written; versions are those after it."""

    version_by_name: Mapping[RowName, RowVersion]


class TableClient(Protocol):
    """The platform's transactional table service."""

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist."""

    async def scan(self, prefix: str) -> Mapping[RowName, Row] | Failure:
        """Return every row whose name starts with the prefix."""

    async def commit(self, transaction: Transaction) -> Committed | Failure:
        """Write a transaction.

        Fails with `table_conflict` (not written), `table_unavailable` (not
        written) or `table_answer_lost` (it is not known).
        """


class TargetRequest(msgspec.Struct, frozen=True):
    """One attempt to run a request on a target.

    `time_left` is what remains until the deadline, in seconds.
    """

    target_id: TargetId
    request_id: RequestId
    method: str
    path: str
    headers: Headers
    time_left: Seconds
    fence: Fence
    traceparent: str = ''


class TargetAnswer(msgspec.Struct):
    """The head of a target's answer, and its body still to be read.

    `body` raises no exception: a chunk may be a `Failure`, and is then last.
    """

    status: int
    headers: Headers
    incarnation: Incarnation
    body: AsyncIterator[bytes | Failure]


class TargetClient(Protocol):
    """Send requests to targets."""

    async def send(
        self,
        request: TargetRequest,
        body: AsyncIterator[bytes] | None,
    ) -> TargetAnswer | Failure:
        """Send one attempt and return once the head of its answer is here.

        Fails with `target_unreachable` only where no byte of the request
        has left; with `outcome_unknown` where one may have.
        """

    async def cancel(self, target_id: TargetId, request_id: RequestId) -> bool:
        """Ask a target to give up a request.

        Returns whether it has said that it does not run it any more; that
        says nothing of whether it ran before.
        """
