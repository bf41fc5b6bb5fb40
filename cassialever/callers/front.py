"""The HTTP server that callers reach."""

import asyncio
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from cassialever.callers.answers import pass_on, refuse
from cassialever.callers.intake import (
    Intake,
    RawRequest,
    body_too_large,
    mint_request_id,
    read_request,
    request_id_of,
)
from cassialever.callers.limiter import CallerLimiter
from cassialever.catalogue.adoption import build_route
from cassialever.catalogue.entries import CatalogueIndex, ServiceEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.model import NO_KEY
from cassialever.gateway.forwarder import Forwarder, Refusal, RoutedRequest
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.sender import TargetRequest
from cassialever.interfaces import Clock
from cassialever.platform import wire
from cassialever.serving import ServerSite
from cassialever.settings import Settings
from cassialever.telemetry.spans import TRACEPARENT_HEADER, Hop
from cassialever.telemetry.telemetry import Telemetry
from cassialever.types import MILLISECONDS, RequestId, Seconds

#: Longest header and request line that a caller may send, in bytes.
HEADER_BYTES: Final = 8_190
#: Between two looks at whether requests in progress have ended, in seconds.
DRAIN_PAUSE: Final[Seconds] = 0.02
#: Refusals that may follow from targets that were taken out.
LACKS_TARGETS: Final = frozenset((ErrorKind.no_target, ErrorKind.no_owner))


class Front:
    """Take callers' requests and give each its own answer."""

    def __init__(
        self,
        settings: Settings,
        forwarder: Forwarder,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        """Make the server; nothing listens yet."""
        self._settings = settings
        self._index: CatalogueIndex | None = None
        self._forwarder = forwarder
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

    def adopt(self, index: CatalogueIndex) -> None:
        """Go by another catalogue from now on."""
        self._index = index

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
        index = self._index
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
        outcome = await self._serve_admitted(
            request,
            intake.under(span.traceparent),
            began,
        )
        span.end(outcome.kind if isinstance(outcome, Failure) else None)
        self._telemetry.ended(intake, outcome, began)
        if isinstance(outcome, Failure):
            return self._refuse(intake.request_id, outcome, intake)
        return pass_on(intake.request_id, outcome)

    async def _serve_admitted(
        self,
        request: web.BaseRequest,
        intake: Intake,
        began: Seconds,
    ) -> Answer | Failure:
        body = await _read_body(request, intake)
        if isinstance(body, Failure):
            return body
        arrival = arrival_of(intake, body, began)
        try:
            outcome = await self._forwarder.serve(arrival)
        except Exception as error:
            record(Event.task_failed, task='request', error=repr(error))
            return Failure(ErrorKind.internal, 'the router has a fault')
        if isinstance(outcome, Refusal):
            return Failure(
                outcome.kind,
                outcome.sentence,
                self._entry_behind(intake.service, outcome.kind),
                outcome.retry_after or 0,
            )
        return outcome

    def _entry_behind(self, service: ServiceEntry, kind: ErrorKind) -> EntryRef:
        """Return the entry that a manager has to look at."""
        index = self._index
        if index is None or kind not in LACKS_TARGETS:
            return service.ref()
        targets = index.targets_by_service.get(service.name, [])
        outs = [index.out_of_service_entry(target) for target in targets]
        if outs and outs[0] is not None and None not in outs:
            return outs[0]
        return service.ref()

    def _refuse(
        self,
        request_id: RequestId,
        failure: Failure,
        intake: Intake | None = None,
    ) -> web.Response:
        self._telemetry.refused(request_id, failure, intake)
        return refuse(request_id, failure)


def arrival_of(
    intake: Intake, body: bytes, received_at: Seconds
) -> RoutedRequest:
    """Return a request as the request path takes it."""
    key = intake.key_number
    headers = CIMultiDict(intake.headers)
    # The span of the hop to the target takes its place.
    headers.popall(TRACEPARENT_HEADER, None)
    return RoutedRequest(
        request=TargetRequest(
            request_id=intake.request_id,
            method=intake.method,
            raw_path=intake.path,
            headers=wire.labelled(headers, intake.request_id, key),
            body=body,
            traceparent=intake.traceparent,
        ),
        route=build_route(intake.service, is_retryable=intake.repeatable),
        key=NO_KEY if key is None else key,
        received_at=received_at,
        deadline=received_at + intake.timeout_ms / MILLISECONDS,
    )


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
