"""The HTTP server that callers reach."""

import asyncio
from typing import Final

from aiohttp import web

from cassialever.answers import refuse, stream
from cassialever.callers import CallerLimiter
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.exchange import Routed
from cassialever.intake import (
    Intake,
    RawRequest,
    body_too_large,
    mint_request_id,
    read_request,
    request_id_of,
)
from cassialever.interfaces import Clock
from cassialever.misc import ServerSite
from cassialever.placement import Placement
from cassialever.router import Router
from cassialever.settings import Settings
from cassialever.telemetry import Telemetry
from cassialever.tracing import Hop
from cassialever.types import MILLISECONDS, RequestId, Seconds, TargetId

#: Longest header and request line that a caller may send, in bytes.
HEADER_BYTES: Final = 8_190
#: Between two looks at whether requests in progress have ended, in seconds.
DRAIN_PAUSE: Final[Seconds] = 0.02


class Front:
    """Take callers' requests and give each its own answer."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        router: Router,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        """Make the server; nothing listens yet."""
        self._settings = settings
        self._placement = placement
        self._router = router
        self._telemetry = telemetry
        self._clock = clock
        self._callers = CallerLimiter()
        self._stopping = False
        self.in_progress = 0
        server = web.Server(
            self._serve,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
            # A caller that goes away has its work given up.
            handler_cancellation=True,
        )
        self._site = ServerSite(server)
        self.url = ''

    async def start(self) -> None:
        """Listen at the address of the settings."""
        instance = self._settings.instance
        self.url = await self._site.start(
            instance.address,
            instance.caller_port,
        )

    async def drain(self, longest: Seconds) -> None:
        """Refuse new requests; return once those in progress have ended."""
        self._stopping = True
        give_up = self._clock.monotonic() + longest
        while self.in_progress and self._clock.monotonic() < give_up:
            await asyncio.sleep(DRAIN_PAUSE)

    async def stop(self) -> None:
        """Stop listening."""
        await self._site.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_progress += 1
        try:
            return await self._answer(request)
        finally:
            self.in_progress -= 1

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        raw = _raw(request)
        request_id = request_id_of(raw)
        if isinstance(request_id, Failure):
            return self._refuse(mint_request_id(), request_id)
        intake = self._admit(raw, request_id)
        if isinstance(intake, Failure):
            return self._refuse(request_id, intake)
        try:
            return await self._answer_admitted(request, intake)
        finally:
            self._callers.finish(intake.caller_id)

    def _admit(
        self,
        raw: RawRequest,
        request_id: RequestId,
    ) -> Intake | Failure:
        """Count a request in at its caller, or say why it is refused."""
        index = self._placement.index
        if self._stopping:
            return Failure(ErrorKind.stopping, 'this instance is stopping')
        if index is None:
            return Failure(ErrorKind.no_catalogue, 'no catalogue was found yet')
        intake = read_request(raw, index, request_id)
        if isinstance(intake, Failure):
            return intake
        now = self._clock.monotonic()
        over = self._callers.admit(intake.caller_id, intake.caller, now)
        return over or intake

    async def _answer_admitted(
        self,
        request: web.BaseRequest,
        intake: Intake,
    ) -> web.StreamResponse:
        began = self._clock.monotonic()
        span = self._telemetry.tracing.hop(
            Hop.caller,
            intake.traceparent,
            intake.request_id,
        )
        routed = await self._route(
            request,
            intake.under(span.traceparent),
        )
        outcome = routed.outcome
        self._telemetry.ended(
            intake,
            routed,
            began,
            moving=self._placement.is_moving,
        )
        if isinstance(outcome, Failure):
            span.end(outcome.kind)
            return self._refuse(
                intake.request_id,
                outcome,
                intake,
                routed.target_id,
            )
        try:
            return await stream(request, intake.request_id, routed, outcome)
        except ConnectionError:
            # The caller has gone away, so that nobody is left to be told.
            return web.Response()
        finally:
            span.end()

    async def _route(self, request: web.BaseRequest, intake: Intake) -> Routed:
        body = await _read_body(request, intake)
        if isinstance(body, Failure):
            return Routed(body)
        try:
            return await self._router.route(intake, body)
        except Exception as error:
            record(Event.task_failed, task='request', error=repr(error))
            return Routed(
                Failure(ErrorKind.internal, 'the router has a fault'),
            )

    def _refuse(
        self,
        request_id: RequestId,
        failure: Failure,
        intake: Intake | None = None,
        target_id: TargetId | None = None,
    ) -> web.Response:
        self._telemetry.refused(request_id, failure, intake, target_id)
        return refuse(request_id, failure)


def _raw(request: web.BaseRequest) -> RawRequest:
    return RawRequest(
        method=request.method,
        path=request.rel_url.raw_path,
        query=request.rel_url.raw_query_string,
        header_by_name=request.headers,
        headers=tuple(request.headers.items()),
        body_length=request.content_length if request.can_read_body else 0,
    )


async def _read_body(
    request: web.BaseRequest,
    intake: Intake,
) -> bytes | Failure:
    """Read a body whole, so that it can be sent again."""
    if not request.can_read_body:
        return b''
    try:
        async with asyncio.timeout(intake.timeout_ms / MILLISECONDS):
            return await _read_within_limit(request, intake)
    except TimeoutError:
        return Failure(
            ErrorKind.deadline_passed,
            'the deadline passed before the body had come',
            intake.service.ref(),
        )


async def _read_within_limit(
    request: web.BaseRequest,
    intake: Intake,
) -> bytes | Failure:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body.extend(chunk)
        if len(body) > intake.service.limits.body_bytes:
            return body_too_large(intake.service)
    return bytes(body)
