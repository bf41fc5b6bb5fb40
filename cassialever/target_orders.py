"""Orders and questions to targets that are no caller's request."""

from http import HTTPStatus
from typing import Final, Protocol, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from cassialever.catalogue import TargetEntry
from cassialever.connectors import Sending, TargetConnector, sending
from cassialever.errors import ErrorKind, Failure
from cassialever.ownership_events import GrantAnswer
from cassialever.types import (
    Fence,
    Incarnation,
    RequestId,
    Seconds,
    ServiceName,
    SliceIndex,
    TargetId,
)

ReportT = TypeVar('ReportT', bound=msgspec.Struct)

#: How long an order may take, in seconds.
ORDER_TIMEOUT: Final[Seconds] = 0.5

#: Connections to a target that are kept for orders.
ORDER_CONNECTIONS: Final = 2

#: Connections for orders to all targets together.
ORDERS_AT_ONCE: Final = 64

_PREFIX: Final = '/_cassialever'


class SliceRange(
    msgspec.Struct,
    frozen=True,
    array_like=True,
):
    """Slices from the first to the last, both included."""

    first: SliceIndex
    last: SliceIndex


class Grant(msgspec.Struct, frozen=True):
    """What a target may serve, under which fence and until when.

    `ends` is an instant of the target's own clock, in seconds, and counts
    only in that `incarnation` of the target; 0 only asks for the clock.
    """

    fence: Fence
    incarnation: Incarnation
    ends: Seconds
    service: ServiceName
    slices: tuple[SliceRange, ...] = ()


def ranges_of(slices: frozenset[SliceIndex]) -> tuple[SliceRange, ...]:
    """Return a set of slices as sorted ranges."""
    ranges: list[SliceRange] = []
    for number in sorted(slices):
        if ranges and ranges[-1].last == number - 1:
            ranges[-1] = SliceRange(ranges[-1].first, number)
            continue
        ranges.append(SliceRange(number, number))
    return tuple(ranges)


class TargetHealth(msgspec.Struct, frozen=True):
    """What a target says of its health; it may lag or mislead."""

    state: str
    incarnation: Incarnation = Incarnation(0)


class TargetReport(msgspec.Struct, frozen=True):
    """What a target says of its load; it may lag or mislead."""

    in_flight: int
    slots: int


class EntryLookup(Protocol):
    """Where the entries of targets are looked up."""

    def target(self, target_id: TargetId) -> TargetEntry | None:
        """Return a target's entry."""


class _Reply(msgspec.Struct, frozen=True):
    status: int
    body: bytes


class TargetOrders:
    """Send orders to targets, beside the requests of callers."""

    def __init__(self, directory: EntryLookup) -> None:
        """Take what names the targets' addresses."""
        self._directory = directory
        self._connector: TargetConnector | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._connector = TargetConnector(
            ORDERS_AT_ONCE,
            limit_per_host=ORDER_CONNECTIONS,
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT),
        )

    async def stop(self) -> None:
        """Close every connection."""
        if self._session:
            await self._session.close()

    async def cancel(self, target_id: TargetId, request_id: RequestId) -> bool:
        """Ask a target to give up a request; say whether it has."""
        entry = self._directory.target(target_id)
        if entry is None or not entry.checks.cancel:
            return False
        path = f'/requests/{quote(request_id, safe="")}'
        reply = await self._exchange(target_id, 'DELETE', path)
        if isinstance(reply, Failure):
            return False
        return reply.status < HTTPStatus.BAD_REQUEST

    async def grant(
        self,
        target_id: TargetId,
        grant: Grant,
    ) -> GrantAnswer | Failure:
        """Tell a target what it may serve, and learn its clock.

        Fails with `target_unreachable` or `outcome_unknown` as a request
        does; a refused grant is an answer.
        """
        reply = await self._exchange(
            target_id,
            'PUT',
            '/grant',
            msgspec.json.encode(grant),
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status >= HTTPStatus.BAD_REQUEST:
            return _bad_answer(target_id, f'answered {reply.status}')
        try:
            return msgspec.json.decode(reply.body, type=GrantAnswer)
        except msgspec.MsgspecError as error:
            return _bad_answer(target_id, str(error))

    async def health(self, target_id: TargetId) -> TargetHealth | Failure:
        """Ask a target for its health."""
        return await self._ask(target_id, '/health', TargetHealth)

    async def load(self, target_id: TargetId) -> TargetReport | Failure:
        """Ask a target for its load."""
        return await self._ask(target_id, '/load', TargetReport)

    async def _ask(
        self,
        target_id: TargetId,
        path: str,
        report_type: type[ReportT],
    ) -> ReportT | Failure:
        reply = await self._exchange(target_id, 'GET', path)
        if isinstance(reply, Failure):
            return reply
        try:
            return msgspec.json.decode(reply.body, type=report_type)
        except msgspec.MsgspecError as error:
            return _bad_answer(target_id, str(error))

    async def _exchange(
        self,
        target_id: TargetId,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> _Reply | Failure:
        entry = self._directory.target(target_id)
        if entry is None or self._session is None:
            return Failure(ErrorKind.no_target, f'{target_id} is not known')
        progress = Sending()
        sending.set(progress)
        url = f'http://{entry.address}{_PREFIX}{path}'
        try:
            async with self._session.request(method, url, data=body) as answer:
                return _Reply(answer.status, await answer.read())
        except (aiohttp.ClientError, OSError) as error:
            self._disown(error)
            kind = ErrorKind.target_unreachable
            if progress.connected:
                kind = ErrorKind.outcome_unknown
            return Failure(kind, f'{target_id}: {error!r}')

    def _disown(self, error: Exception) -> None:
        if isinstance(error, TimeoutError) and self._connector:
            self._connector.disown_pooled()


def _bad_answer(target_id: TargetId, reason: str) -> Failure:
    return Failure(ErrorKind.target_failed, f'{target_id}: {reason}')
