"""The HTTP servers for callers and for the load balancer."""

from http import HTTPStatus
from typing import Final

from aiohttp import web

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.gateway.connections import CallerListener, RequestHandler
from cassialever.gateway.forwarder import Forwarder, Refusal
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.settings import GatewaySettings
from cassialever.platform import wire
from cassialever.types import Seconds

#: Longest request line or header field that is read; the operators limit all
#: headers of a request together to 16384 bytes.
MAX_FIELD_BYTES: Final = 16384
#: How long an idle connection of a caller is kept. Callers reuse theirs for
#: up to 15 s, a limit set by the operators.
KEEPALIVE_TIMEOUT: Final[Seconds] = 75.0


class GatewayServer:
    """Serves callers, and the load balancer's readiness checks."""

    def __init__(
        self,
        settings: GatewaySettings,
        forwarder: Forwarder,
        clock: SystemClock,
    ) -> None:
        self._settings = settings
        self._forwarder = forwarder
        self._clock = clock
        self._callers = _listener(self._handle)
        self._readiness = _listener(self._handle_readiness)
        self.is_ready = False
        self.is_stopping = False
        self.open_requests = 0

    async def start(self) -> None:
        """Listen for callers and for the load balancer."""
        listen = self._settings.listen
        await self._readiness.start(*split_address(listen.readiness))
        await self._callers.start(*split_address(listen.callers))

    async def drain(self, timeout: Seconds) -> None:
        """Stop listening, answer what has arrived, close each connection.

        Readiness checks are answered until `stop`.
        """
        await self._callers.drain(timeout)

    async def stop(self) -> None:
        """Close every connection immediately."""
        await self._callers.stop()
        await self._readiness.stop()

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != wire.READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self.is_ready and not self.is_stopping:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.open_requests += 1
        try:
            response = await self._answer(request)
        finally:
            self.open_requests -= 1
        if self.is_stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        received_at = self._clock.monotonic()
        target_request = TargetRequest(
            request_id=wire.parse_request_metadata(request.headers).request_id,
            method=request.method,
            raw_path=request.raw_path,
            headers=request.headers,
            body=await _body(request),
        )
        host = request.headers.get('Host', '')
        routed = self._forwarder.route_request(
            target_request, host, received_at
        )
        if isinstance(routed, Refusal):
            self._record_unrouted(target_request, host, routed)
            return _refusal_response(routed, target_request.request_id)
        answer = await self._forwarder.serve(routed)
        if isinstance(answer, Refusal):
            return _refusal_response(answer, target_request.request_id)
        self._forwarder.counters.record_answer(
            self._clock.monotonic() - received_at
        )
        return relayed_response(answer)

    def _record_unrouted(
        self,
        request: TargetRequest,
        host: str,
        refusal: Refusal,
    ) -> None:
        self._forwarder.counters.record_refusal(refusal.cause)
        record(
            Event.request_refused,
            request=request.request_id,
            host=host,
            path=request.raw_path,
            status=refusal.status,
            reason=refusal.sentence,
        )


def _listener(request_handler: RequestHandler) -> CallerListener:
    return CallerListener(
        request_handler,
        access_log=None,
        keepalive_timeout=KEEPALIVE_TIMEOUT,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        auto_decompress=False,
    )


async def _body(request: web.BaseRequest) -> bytes:
    if not request.can_read_body:
        return b''
    return await request.content.read()


def _refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    response = web.Response(
        status=refusal.status,
        text=f'{refusal.sentence}\n',
        headers=wire.router_response_headers(request_id),
    )
    if refusal.retry_after is not None:
        response.headers['Retry-After'] = f'{refusal.retry_after:.2f}'
    return response


def relayed_response(answer: Answer) -> web.Response:
    """Convert a target's answer to a response with the same headers."""
    response = web.Response(status=answer.status, body=answer.body)
    # aiohttp sets a default content type, which would be sent beside the
    # target's own.
    response.headers.clear()
    for name, text in answer.headers:
        response.headers.add(name, text)
    return response
