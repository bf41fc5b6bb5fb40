"""The HTTP server for callers."""

import asyncio
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from cassialever.callers.answers import refusal_response, target_response
from cassialever.callers.intake import (
    ParsedRequest,
    RawRequest,
    body_too_large,
    new_request_id,
    parse_request,
    request_id_of,
)
from cassialever.callers.limiter import CallerLimiter
from cassialever.catalogue.adoption import build_route
from cassialever.catalogue.entries import CatalogueIndex, ServiceEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.model import NO_KEY
from cassialever.gateway.connections import CallerListener
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.stop_limit import TIMEOUT_ANSWER_RESERVE
from cassialever.interfaces import Clock
from cassialever.listening import PortUse
from cassialever.platform import wire
from cassialever.settings import Settings
from cassialever.telemetry.spans import TRACEPARENT_HEADER, Hop
from cassialever.telemetry.telemetry import Telemetry
from cassialever.types import MS_PER_SECOND, RequestId, Seconds

#: Longest header field and request line that a caller may send.
MAX_FIELD_BYTES: Final = 8_190
#: Poll interval while requests in progress end.
DRAIN_POLL_INTERVAL: Final[Seconds] = 0.02
#: Refusals that operators may have caused by taking targets out.
NO_TARGET_KINDS: Final = frozenset((ErrorKind.no_target, ErrorKind.no_owner))


class CallerServer:
    """Admit, route and answer callers' requests."""

    def __init__(
        self,
        settings: Settings,
        forwarder: Forwarder,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        """Set the server up; `start` listens."""
        self._settings = settings
        self._index: CatalogueIndex | None = None
        self._forwarder = forwarder
        self._telemetry = telemetry
        self._clock = clock
        self._limiter = CallerLimiter()
        #: Whether new requests are refused.
        self.is_draining = False
        self.in_progress = 0
        self._listener = CallerListener(
            self._serve,
            access_log=None,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        self.url = ''

    def adopt(self, index: CatalogueIndex) -> None:
        """Route by this catalogue from now on."""
        self._index = index

    async def start(self) -> None:
        """Listen on the configured address."""
        instance = self._settings.instance
        host, port = await self._listener.start(
            PortUse.callers, instance.address, instance.caller_port
        )
        self.url = f'http://{host}:{port}'

    async def drain(self, timeout: Seconds) -> None:
        """Refuse new requests and finish those in progress, then close.

        Stops listening once none is in progress. Returns when all callers
        have received their answers, at the latest at the timeout. Targets
        are waited for until shortly before it.
        """
        self.is_draining = True
        deadline = self._clock.monotonic() + timeout
        self._forwarder.stop_limit.begin(deadline - TIMEOUT_ANSWER_RESERVE)
        while self.in_progress and self._clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        await self._listener.drain(deadline - self._clock.monotonic())

    async def stop(self) -> None:
        """Stop listening and close every connection immediately."""
        await self._listener.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_progress += 1
        try:
            response = await self._answer(request)
        finally:
            self.in_progress -= 1
        if self.is_draining:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        raw = _raw_request(request)
        request_id = request_id_of(raw)
        if isinstance(request_id, Failure):
            return self._refuse(new_request_id(), request_id)
        parsed = self._admit(raw, request_id)
        if isinstance(parsed, Failure):
            return self._refuse(request_id, parsed)
        try:
            return await self._answer_admitted(request, parsed)
        finally:
            self._limiter.finish(parsed.caller_id)

    def _admit(
        self,
        raw: RawRequest,
        request_id: RequestId,
    ) -> ParsedRequest | Failure:
        """Parse a request and count it against its caller's limits."""
        index = self._index
        if self.is_draining:
            return Failure(ErrorKind.stopping, 'this instance is stopping')
        if index is None:
            return Failure(ErrorKind.no_catalogue, 'no catalogue was found yet')
        parsed = parse_request(raw, index, request_id)
        if isinstance(parsed, Failure):
            return parsed
        now = self._clock.monotonic()
        failure = self._limiter.admit(parsed.caller_id, parsed.caller, now)
        return failure or parsed

    async def _answer_admitted(
        self,
        request: web.BaseRequest,
        parsed: ParsedRequest,
    ) -> web.StreamResponse:
        started_at = self._clock.monotonic()
        span = self._telemetry.tracing.start_span(
            Hop.caller,
            parsed.traceparent,
            parsed.request_id,
        )
        outcome = await self._serve_admitted(
            request,
            parsed.with_traceparent(span.traceparent),
            started_at,
        )
        span.end(outcome.kind if isinstance(outcome, Failure) else None)
        self._telemetry.record_outcome(parsed, outcome, started_at)
        if isinstance(outcome, Failure):
            return self._refuse(parsed.request_id, outcome, parsed)
        return target_response(parsed.request_id, outcome)

    async def _serve_admitted(
        self,
        request: web.BaseRequest,
        parsed: ParsedRequest,
        started_at: Seconds,
    ) -> Answer | Failure:
        body = await _read_body(request, parsed)
        if isinstance(body, Failure):
            return body
        routed = routed_request(parsed, body, started_at)
        try:
            outcome = await self._forwarder.serve(routed)
        except Exception as error:
            record(Event.task_failed, task='request', error=repr(error))
            return Failure(ErrorKind.internal, 'the router has a fault')
        if isinstance(outcome, Refusal):
            return Failure(
                outcome.kind,
                outcome.sentence,
                self._responsible_entry(parsed.service, outcome.kind),
                outcome.retry_after or 0,
            )
        return outcome

    def _responsible_entry(
        self, service: ServiceEntry, kind: ErrorKind
    ) -> EntryRef:
        """Return the catalogue entry that operators should check."""
        index = self._index
        if index is None or kind not in NO_TARGET_KINDS:
            return service.ref()
        targets = index.targets_by_service.get(service.name, [])
        out_by = [index.out_of_service_entry(target) for target in targets]
        if out_by and out_by[0] is not None and None not in out_by:
            return out_by[0]
        return service.ref()

    def _refuse(
        self,
        request_id: RequestId,
        failure: Failure,
        parsed: ParsedRequest | None = None,
    ) -> web.Response:
        self._telemetry.record_refusal(request_id, failure, parsed)
        return refusal_response(request_id, failure)


def routed_request(
    parsed: ParsedRequest,
    body: bytes,
    received_at: Seconds,
) -> RoutedRequest:
    """Convert a parsed request to the form that the forwarder takes."""
    key = parsed.key_number
    headers = CIMultiDict(parsed.headers)
    # Replaced by the trace context of the hop to the target.
    headers.popall(TRACEPARENT_HEADER, None)
    return RoutedRequest(
        request=TargetRequest(
            request_id=parsed.request_id,
            method=parsed.method,
            raw_path=parsed.path,
            headers=wire.with_target_headers(headers, parsed.request_id, key),
            body=body,
            traceparent=parsed.traceparent,
        ),
        route=build_route(parsed.service, is_retryable=parsed.is_retryable),
        key=NO_KEY if key is None else key,
        received_at=received_at,
        deadline=received_at + parsed.timeout_ms / MS_PER_SECOND,
    )


def _raw_request(request: web.BaseRequest) -> RawRequest:
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
    parsed: ParsedRequest,
) -> bytes | Failure:
    """Read the whole body, so that retries can send it again."""
    if not request.can_read_body:
        return b''
    try:
        async with asyncio.timeout(parsed.timeout_ms / MS_PER_SECOND):
            return await _read_within_limit(request, parsed)
    except TimeoutError:
        return Failure(
            ErrorKind.deadline_passed,
            'the deadline passed before the body had come',
            parsed.service.ref(),
        )


async def _read_within_limit(
    request: web.BaseRequest,
    parsed: ParsedRequest,
) -> bytes | Failure:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body.extend(chunk)
        if len(body) > parsed.service.limits.body_bytes:
            return body_too_large(parsed.service)
    return bytes(body)
