"""The HTTP servers for callers and for the load balancer."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias

from aiohttp import web

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.gateway.flushing import UnsentAnswers
from cassialever.gateway.forwarder import Forwarder, Refusal
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.settings import GatewaySettings
from cassialever.platform import wire
from cassialever.types import Seconds

#: Connections that may wait to be accepted; the load balancer opens as many
#: as a burst needs.
BACKLOG: Final = 1024
#: Longest request line or header field that is read; the operators limit all
#: headers of a request together to 16384 bytes.
MAX_FIELD_BYTES: Final = 16384
#: How long an idle connection of a caller is kept. Callers reuse theirs for
#: up to 15 s, a limit set by the operators.
KEEPALIVE_TIMEOUT: Final[Seconds] = 75.0

#: Time after the timeout of a drain in which answers may still be sent.
SENDING_TIME: Final[Seconds] = 0.3

_RequestHandler: TypeAlias = Callable[
    [web.BaseRequest],
    Awaitable[web.StreamResponse],
]


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
        self._runners: list[web.ServerRunner] = []
        self._sites: list[web.TCPSite] = []
        self.is_ready = False
        self.is_stopping = False
        self.open_requests = 0

    async def start(self) -> None:
        """Listen for callers and for the load balancer."""
        listen = self._settings.listen
        await self._listen(listen.readiness, self._handle_readiness)
        await self._listen(listen.callers, self._handle)

    async def drain(self, timeout: Seconds) -> None:
        """Stop listening, finish open requests and close each connection.

        Answers may be sent until `SENDING_TIME` after the timeout.
        """
        ends_at = self._clock.monotonic() + timeout + SENDING_TIME
        for site in self._sites:
            await site.stop()
        unsent = UnsentAnswers(
            connection
            for runner in self._runners
            if runner.server is not None
            for connection in runner.server.connections
        )
        await asyncio.gather(
            *(_drain(runner.server, timeout) for runner in self._runners),
        )
        await unsent.wait(ends_at - self._clock.monotonic())

    async def stop(self) -> None:
        """Close every connection."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(
        self, address: str, request_handler: _RequestHandler
    ) -> None:
        host, port = split_address(address)
        server = web.Server(
            request_handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, port, backlog=BACKLOG)
        await site.start()
        self._sites.append(site)

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


async def _drain(server: web.Server | None, timeout: Seconds) -> None:
    if server is None:
        return
    # Without this call aiohttp would wait for a next request on connections
    # that are idle.
    server.pre_shutdown()
    await asyncio.sleep(0)
    # aiohttp applies the timeout twice: to the answer and to its task.
    await server.shutdown(timeout / 2)


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
