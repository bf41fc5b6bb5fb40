"""Send a request to a target and read its whole answer."""

import asyncio
import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec
from yarl import URL

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.fleet.model import Target
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptEnd,
    not_run,
    unknown,
)
from cassialever.platform import wire
from cassialever.platform.sessions import open_session
from cassialever.policy.loads import LoadBook, TargetLoad
from cassialever.telemetry.spans import TRACEPARENT_HEADER
from cassialever.types import Seconds

#: How long a connection to a target may take; a new one takes 1 ms and a
#: data centre that is cut off does not answer at all.
CONNECT_TIMEOUT: Final[Seconds] = 0.3
#: How long an idle connection is kept; targets close theirs after 10 s.
IDLE_LIMIT: Final[Seconds] = 4.0
#: What the answer to a request may add to its time at the target.
ANSWER_SLACK: Final[Seconds] = 0.15


class TargetRequest(msgspec.Struct, frozen=True):
    """A caller's request, as it is sent to targets."""

    request_id: str
    method: str
    raw_path: str
    headers: Mapping[str, str]
    body: bytes
    #: The caller's trace context, or none.
    traceparent: str = ''


class TargetSender:
    """Connections to targets and what is sent on them."""

    def __init__(self, loads: LoadBook, clock: SystemClock) -> None:
        """Take where loads are noted; `start` opens the session."""
        self._loads = loads
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = open_session(
            # A repeat of the library's own would be outside the budget.
            disable_retries=True,
            keepalive_timeout=IDLE_LIMIT,
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

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        """Send a request once; `time_left` bounds the target's work."""
        load = self._loads.of(target.target_id)
        sent_at = self._clock.monotonic()
        turns = load.turns(target.slots, sent_at)
        load.opened()
        try:
            attempt = await self._exchange(request, target, time_left)
        finally:
            load.closed()
        self._note(attempt, load, sent_at, turns)
        return attempt

    async def _exchange(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        if self._session is None:
            return not_run('not started', ErrorKind.stopping)
        timeout = aiohttp.ClientTimeout(
            total=time_left + ANSWER_SLACK,
            connect=min(CONNECT_TIMEOUT, time_left),
            # The library would round longer times up to whole seconds.
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
                return await self._read(request, target, response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return not_run(repr(error), ErrorKind.target_unreachable)
        except asyncio.TimeoutError as error:
            return unknown(repr(error), ErrorKind.deadline_passed)
        except (aiohttp.ClientError, OSError) as error:
            return unknown(repr(error))

    async def _read(
        self,
        request: TargetRequest,
        target: Target,
        response: aiohttp.ClientResponse,
    ) -> Attempt:
        headers = response.headers
        if not wire.matches_request(headers, request.request_id):
            _end_connection(response)
            return unknown('the answer belongs to another request')
        load = self._loads.of(target.target_id)
        load.told(wire.parse_reported_load(headers), self._clock.monotonic())
        if wire.reports_not_run(response.status, headers):
            return not_run(f'the target refused with {response.status}')
        body = await _whole_body(response)
        if not wire.is_signed(headers):
            return unknown(f'an unsigned answer {response.status}')
        answer = Answer(
            target.target_id,
            response.status,
            wire.end_to_end_headers(headers),
            body,
        )
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Attempt(AttemptEnd.failed, answer)
        return Attempt(AttemptEnd.answered, answer)

    def _note(
        self,
        attempt: Attempt,
        load: TargetLoad,
        sent_at: Seconds,
        turns: float,
    ) -> None:
        now = self._clock.monotonic()
        if attempt.end is AttemptEnd.answered:
            load.succeeded(now - sent_at, turns, now)
            return
        failure = attempt.failure
        if failure and failure.kind is ErrorKind.target_unreachable:
            load.could_not_be_reached(now)
            return
        load.failed(now)


def _end_connection(response: aiohttp.ClientResponse) -> None:
    """Close a connection that is out of step with its requests.

    The library gives a connection back as soon as an answer is whole, which
    may be before anybody has looked at it.
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


async def _whole_body(response: aiohttp.ClientResponse) -> bytes:
    """Read a body; one that ends with its connection must not be reset.

    The library takes any end of the connection for the end of such a body.
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
