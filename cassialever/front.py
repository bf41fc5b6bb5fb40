"""The HTTP server that callers reach."""

from typing import Final

import msgspec
from aiohttp import web

from cassialever.callers import CallerLimiter
from cassialever.catalogue import ServiceEntry
from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.intake import (
    REQUEST_ID_HEADER,
    Intake,
    RawRequest,
    body_too_large,
    mint_request_id,
    read_request,
    request_id_of,
)
from cassialever.interfaces import Clock
from cassialever.messages import HolderAnswer
from cassialever.misc import ServerSite, close_body
from cassialever.placement import Placement
from cassialever.exchange import Routed
from cassialever.router import Router
from cassialever.settings import Settings
from cassialever.types import RequestId

ERROR_HEADER: Final = 'X-Cassialever-Error'
TARGET_HEADER: Final = 'X-Cassialever-Target'
HOLDER_HEADER: Final = 'X-Cassialever-Holder'

#: Longest header and request line that a caller may send, in bytes.
HEADER_BYTES = 8_190


class Refusal(msgspec.Struct, frozen=True):
    """The body of an answer that the router gives by itself."""

    request_id: RequestId
    kind: str
    sentence: str
    reason: str
    not_run: bool
    entry: str = ''


class Front:
    """Take callers' requests and give each its own answer."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        router: Router,
        clock: Clock,
    ) -> None:
        """Make the server; nothing listens yet."""
        self._settings = settings
        self._placement = placement
        self._router = router
        self._clock = clock
        self._callers = CallerLimiter()
        self.in_progress = 0
        server = web.Server(
            self._serve,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
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
            return _refuse(mint_request_id(), request_id)
        routed = await self._route(request, raw, request_id)
        if isinstance(routed, Failure):
            return _refuse(request_id, routed)
        if isinstance(routed.outcome, Failure):
            return _refuse(request_id, routed.outcome)
        return await _stream(request, request_id, routed, routed.outcome)

    async def _route(
        self,
        request: web.BaseRequest,
        raw: RawRequest,
        request_id: RequestId,
    ) -> Routed | Failure:
        index = self._placement.index
        if index is None:
            return Failure(ErrorKind.no_catalogue, 'no catalogue was found yet')
        intake = read_request(raw, index, request_id)
        if isinstance(intake, Failure):
            return intake
        over = self._callers.admit(
            intake.caller_id,
            intake.caller,
            self._clock.monotonic(),
        )
        if over:
            return over
        try:
            return await self._route_admitted(request, intake)
        finally:
            self._callers.finish(intake.caller_id)

    async def _route_admitted(
        self,
        request: web.BaseRequest,
        intake: Intake,
    ) -> Routed | Failure:
        body = await _read_body(request, intake.service)
        if isinstance(body, Failure):
            return body
        try:
            return await self._router.route(intake, body)
        except Exception as error:
            record(Event.task_failed, task='request', error=repr(error))
            return Failure(ErrorKind.internal, 'the router has a fault')


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
    service: ServiceEntry,
) -> bytes | Failure:
    if not request.can_read_body:
        return b''
    body = bytearray()
    async for chunk in request.content.iter_any():
        body.extend(chunk)
        if len(body) > service.limits.body_bytes:
            return body_too_large(service)
    return bytes(body)


def _refuse(request_id: RequestId, failure: Failure) -> web.Response:
    answer = ANSWER_BY_KIND[failure.kind]
    entry = str(failure.entry) if failure.entry else ''
    refusal = Refusal(
        request_id=request_id,
        kind=failure.kind.value,
        sentence=answer.sentence,
        reason=failure.reason,
        not_run=answer.not_run,
        entry=entry,
    )
    record(
        Event.request_refused,
        request_id=request_id,
        kind=failure.kind.value,
        entry=entry,
    )
    headers = {
        REQUEST_ID_HEADER: request_id,
        ERROR_HEADER: failure.kind.value,
    }
    if failure.retry_after:
        headers['Retry-After'] = str(max(1, round(failure.retry_after)))
    return web.Response(
        status=answer.status,
        headers=headers,
        body=msgspec.json.encode(refusal),
        content_type='application/json',
    )


async def _stream(
    request: web.BaseRequest,
    request_id: RequestId,
    routed: Routed,
    answer: HolderAnswer,
) -> web.StreamResponse:
    response = web.StreamResponse(
        status=answer.status,
        headers=_answer_headers(request_id, routed, answer),
    )
    try:
        await response.prepare(request)
        await _write_body(request, response, answer)
    finally:
        await close_body(answer.body)
    return response


async def _write_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: HolderAnswer,
) -> None:
    async for chunk in answer.body:
        if isinstance(chunk, Failure):
            # The head has gone out, so that only a broken connection can
            # tell the caller that this body is not whole.
            _break_off(request)
            return
        await response.write(chunk)
    await response.write_eof()


def _break_off(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport:
        transport.abort()


def _answer_headers(
    request_id: RequestId,
    routed: Routed,
    answer: HolderAnswer,
) -> list[tuple[str, str]]:
    headers = list(answer.headers)
    headers.append((REQUEST_ID_HEADER, request_id))
    headers.append((TARGET_HEADER, str(routed.target_id)))
    headers.append((HOLDER_HEADER, str(routed.holder)))
    return headers
