"""Read the answer of a target, received directly or from another daemon."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

import aiohttp

from cassialever.clock import SystemClock
from cassialever.decoding import shortened
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.gateway.bodies import Body, OutOfMemoryError, read_answer
from cassialever.gateway.hop_messages import (
    HOP_HEADERS,
)
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
    refused,
    unknown,
)
from cassialever.platform import wire
from cassialever.platform.identity import answering_target
from cassialever.platform.sessions import close_connection, record_refused
from cassialever.platform.statements import parse_statements
from cassialever.policy.limits import TargetLimits
from cassialever.policy.loads import LoadTracker
from cassialever.policy.memory import MemoryClaim
from cassialever.types import Seconds


class AnswerReader:
    """Reads answers, and records what targets say of themselves in them."""

    def __init__(
        self,
        loads: LoadTracker,
        limits: TargetLimits,
        clock: SystemClock,
    ) -> None:
        self._loads = loads
        self._limits = limits
        self._clock = clock
        #: Called with a target at whose address another one has answered.
        self.on_replaced: Callable[[Target], None] = _ignore_replaced

    async def read(
        self,
        target: Target,
        request_id: str,
        response: aiohttp.ClientResponse,
        status: int,
        sent_at: Seconds,
        memory: MemoryClaim,
    ) -> Attempt:
        """Read an answer with its body; `sent_at` is in boot time.

        `status` is the target's, which another daemon passes on in a header,
        `memory` the claim of the request, which grows by the body.
        """
        if not wire.matches_request(response.headers, request_id):
            close_connection(response)
            return unknown('the answer belongs to another request')
        self.record_statements(target, response, status, sent_at)
        return await self._read(target, request_id, response, status, memory)

    async def read_relayed(
        self,
        target: Target,
        request_id: str,
        response: aiohttp.ClientResponse,
        status: int,
        sent_at: Seconds,
        memory: MemoryClaim,
    ) -> Attempt:
        """Read an answer that a helper has received at the address it knows."""
        if not wire.matches_request(response.headers, request_id):
            close_connection(response)
            return unknown('the answer belongs to another request')
        self.record_statements(
            target, response, status, sent_at, is_relayed=True
        )
        return await self._read(target, request_id, response, status, memory)

    def record_statements(
        self,
        target: Target,
        response: aiohttp.ClientResponse,
        status: int,
        sent_at: Seconds,
        *,
        is_relayed: bool = False,
    ) -> None:
        """Record what a target says of itself; `sent_at` is in boot time.

        A request that it refuses is kept off the same connection. Another
        target's answer tells only of the address that was called, which a
        helper may know from another entry.
        """
        if wire.reports_not_run(status, response.headers):
            request = wire.parse_request_metadata(response.headers)
            record_refused(response, request.request_id)
            is_replaced = _is_replaced(target, status, response.headers)
            if request.request_id and is_replaced and not is_relayed:
                self._limits.record_replaced(target)
                self.on_replaced(target)
        said = parse_statements(status, response.headers, self._clock.wall())
        if isinstance(said, Failure):
            return
        now = self._clock.boot()
        if said.is_leaving:
            self._limits.record_leaving(target, now)
        if said.pause > 0:
            self._record_pause(target, said.pause, now)
        if isinstance(said.limit, Failure):
            record(
                Event.entry_rejected,
                entry=target.target_id,
                reason=said.limit.reason,
            )
            return
        self._limits.record_answer(target, said.limit.rate, sent_at, now)

    async def _read(
        self,
        target: Target,
        request_id: str,
        response: aiohttp.ClientResponse,
        status: int,
        memory: MemoryClaim,
    ) -> Attempt:
        headers = response.headers
        if not _is_replaced(target, status, headers):
            self._loads.of(target.target_id).record_report(
                wire.parse_reported_load(headers), self._clock.monotonic()
            )
        if request_id and wire.reports_not_run(status, headers):
            return _refused(target, status, headers)
        try:
            body = await read_body(response, memory)
        except OutOfMemoryError as error:
            # The path is in order, unlike after other errors.
            close_connection(response)
            return unknown(str(error))
        if not wire.is_signed(headers):
            return unknown(f'an unsigned answer {status}')
        answer = Answer(
            target.target_id,
            status,
            wire.end_to_end_headers(headers, HOP_HEADERS),
            body,
        )
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Attempt(AttemptOutcome.failed, answer)
        return Attempt(AttemptOutcome.answered, answer)

    def _record_pause(
        self, target: Target, pause: Seconds, now: Seconds
    ) -> None:
        if self._limits.pauses.record(target, pause, now):
            record(
                Event.target_paused,
                target=target.target_id,
                started_at=target.started_at,
                seconds=pause,
            )


def _ignore_replaced(target: Target) -> None:
    """Do nothing; the default until a handler is set."""


def _is_replaced(
    target: Target, status: int, headers: Mapping[str, str]
) -> bool:
    """Return whether another target has answered in place of one."""
    answering = answering_target(status, headers)
    return bool(answering) and answering != target.target_id


def _refused(
    target: Target, status: int, headers: Mapping[str, str]
) -> Attempt:
    """Return the outcome of a request that was refused without a run."""
    if status != HTTPStatus.MISDIRECTED_REQUEST:
        return refused(f'the target refused with {status}', TargetRefusal.shed)
    if _is_replaced(target, status, headers):
        answering = shortened(answering_target(status, headers))
        return refused(
            f'{answering} has the address and refused with {status}',
            TargetRefusal.replaced,
            answering,
        )
    return refused(
        f'the target does not hold the key and refused with {status}',
        TargetRefusal.key_not_held,
    )


async def read_body(
    response: aiohttp.ClientResponse, memory: MemoryClaim
) -> Body:
    """Read a body, and fail if its connection is reset before its end."""
    end = BodyEnd(response)
    body = await read_answer(response, memory)
    await end.wait()
    return body


class BodyEnd:
    """Tells the end of a body from a connection that was reset.

    aiohttp takes any end of the connection, a reset too, for the end of a
    body that has neither a length nor chunks.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Remember the connection, before the body is read."""
        self._closed = None
        is_framed = response.content_length is not None or (
            response.headers.get('Transfer-Encoding') is not None
        )
        if not is_framed and response.connection is not None:
            protocol = response.connection.protocol
            self._closed = None if protocol is None else protocol.closed

    async def wait(self) -> None:
        """Raise the error that ended the connection, if any."""
        if self._closed is not None:
            await self._closed
