"""Send a request to a target and read its complete answer."""

import asyncio
import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec
from yarl import URL

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.platform import wire
from cassialever.platform.named_limit import parse_named_limit
from cassialever.platform.sessions import close_idle, open_session
from cassialever.policy.limits import TargetLimits
from cassialever.policy.loads import LoadTracker, TargetLoad
from cassialever.policy.paths import TargetPaths
from cassialever.telemetry.spans import TRACEPARENT_HEADER
from cassialever.types import Seconds

#: A new connection to a target takes 1 ms; a data centre that is cut off does
#: not answer at all.
CONNECT_TIMEOUT: Final[Seconds] = 0.3
#: How long an idle connection is kept; targets close theirs after 10 s.
KEEPALIVE_TIMEOUT: Final[Seconds] = 4.0
#: Time allowed for transmitting the answer, beyond the target's time limit.
RESPONSE_MARGIN: Final[Seconds] = 0.15


class TargetRequest(msgspec.Struct, frozen=True):
    """A caller's request, as it is sent to targets."""

    request_id: str
    method: str
    raw_path: str
    headers: Mapping[str, str]
    body: bytes
    #: The caller's trace context; empty if it sent none.
    traceparent: str = ''


class TargetSender:
    """Sends requests to targets over pooled connections."""

    def __init__(
        self,
        loads: LoadTracker,
        limits: TargetLimits,
        paths: TargetPaths,
        clock: SystemClock,
    ) -> None:
        self._loads = loads
        self._limits = limits
        self._paths = paths
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = open_session(
            # Retries by aiohttp would bypass the retry budget.
            disable_retries=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                'Accept',
                'Accept-Encoding',
                'Content-Type',
                'User-Agent',
            ),
            requote_redirect_url=False,
        )

    async def stop(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a target that can't be reached."""
        if self._session is not None:
            close_idle(self._session, address)

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        """Send a request once and record the outcome in the target's load.

        `time_left` is the target's time limit for the request.
        """
        load = self._loads.of(target.target_id)
        sent_at = self._clock.monotonic()
        queueing_factor = load.queueing_factor(target.slots, sent_at)
        load.record_open()
        unanswered = self._paths.unanswered
        unanswered.record_sent(target.target_id, request.request_id, sent_at)
        try:
            attempt = await self._exchange(request, target, time_left)
        finally:
            load.record_close()
            unanswered.record_end(target.target_id, request.request_id)
        self._record_outcome(attempt, load, sent_at, queueing_factor)
        return attempt

    async def _exchange(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        if self._session is None:
            return not_run('not started', ErrorKind.stopping)
        sent_at = self._clock.boot()
        timeout = aiohttp.ClientTimeout(
            total=time_left + RESPONSE_MARGIN,
            connect=min(CONNECT_TIMEOUT, time_left),
            # By default aiohttp rounds timeouts above 5 s up to full seconds.
            ceil_threshold=math.inf,
        )
        try:
            async with self._session.request(
                request.method,
                URL(f'http://{target.address}{request.raw_path}', encoded=True),
                headers=_headers(request, target, time_left),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                self._record_answer(request, target)
                if not wire.matches_request(
                    response.headers, request.request_id
                ):
                    _close_connection(response)
                    return unknown('the answer belongs to another request')
                self._record_limit(target, response, sent_at)
                return await self._read(target, response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self._paths.record_failure(
                target.target_id, self._clock.monotonic()
            )
            return not_run(repr(error), ErrorKind.target_unreachable)
        except asyncio.TimeoutError as error:
            return unknown(repr(error), ErrorKind.deadline_passed)
        except (aiohttp.ClientError, OSError) as error:
            self._paths.direct.record_doubt(
                target.target_id, self._clock.monotonic()
            )
            return unknown(repr(error))

    def _record_answer(self, request: TargetRequest, target: Target) -> None:
        """Note that the head of an answer has come."""
        self._paths.unanswered.record_end(target.target_id, request.request_id)
        self._paths.record_answer(target.target_id, self._clock.monotonic())

    def _record_limit(
        self,
        target: Target,
        response: aiohttp.ClientResponse,
        sent_at: Seconds,
    ) -> None:
        """Record the limit that a target names; `sent_at` is in boot time."""
        named = parse_named_limit(response.status, response.headers)
        if isinstance(named, Failure):
            if named.kind is ErrorKind.bad_request:
                record(
                    Event.entry_rejected,
                    entry=target.target_id,
                    reason=named.reason,
                )
            return
        self._limits.record_answer(
            target, named.rate, sent_at, self._clock.boot()
        )

    async def _read(
        self,
        target: Target,
        response: aiohttp.ClientResponse,
    ) -> Attempt:
        headers = response.headers
        load = self._loads.of(target.target_id)
        load.record_report(
            wire.parse_reported_load(headers), self._clock.monotonic()
        )
        if wire.reports_not_run(response.status, headers):
            return not_run(f'the target refused with {response.status}')
        body = await _read_body(response)
        if not wire.is_signed(headers):
            return unknown(f'an unsigned answer {response.status}')
        answer = Answer(
            target.target_id,
            response.status,
            wire.end_to_end_headers(headers),
            body,
        )
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Attempt(AttemptOutcome.failed, answer)
        return Attempt(AttemptOutcome.answered, answer)

    def _record_outcome(
        self,
        attempt: Attempt,
        load: TargetLoad,
        sent_at: Seconds,
        queueing_factor: float,
    ) -> None:
        now = self._clock.monotonic()
        if attempt.outcome is AttemptOutcome.answered:
            load.record_success(now - sent_at, queueing_factor, now)
            return
        failure = attempt.failure
        if failure and failure.kind is ErrorKind.target_unreachable:
            load.record_unreachable(now)
            return
        load.record_failure(now)


def _close_connection(response: aiohttp.ClientResponse) -> None:
    """Close a connection whose answers don't match its requests.

    aiohttp returns a connection to its pool as soon as the answer is
    complete, which may be before it was checked here.
    """
    protocol = response._protocol  # noqa: SLF001, WPS437
    if protocol is not None:
        protocol.close()
    response.close()


def _headers(
    request: TargetRequest,
    target: Target,
    time_left: Seconds,
) -> list[tuple[str, str]]:
    headers = wire.forwarded_headers(
        request.headers,
        target.target_id,
        time_left,
    )
    if request.traceparent:
        headers.append((TRACEPARENT_HEADER, request.traceparent))
    return headers


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read a body, and fail if its connection is reset before its end.

    aiohttp takes any end of the connection, a reset too, for the end of a
    body that has neither a length nor chunks.
    """
    closed = None
    is_framed = response.content_length is not None or (
        response.headers.get('Transfer-Encoding') is not None
    )
    if not is_framed and response.connection is not None:
        protocol = response.connection.protocol
        closed = None if protocol is None else protocol.closed
    body = await response.read()
    if closed is not None:
        await closed
    return body
