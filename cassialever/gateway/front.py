"""The servers that callers and the balancer reach."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias

from aiohttp import web

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.gateway.forwarder import Forwarder, Refusal
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.settings import GatewaySettings
from cassialever.platform import wire
from cassialever.types import Seconds

#: Connections that wait to be accepted; the balancer sends a burst's worth.
BACKLOG: Final = 1024
#: Longest line or header field that is read, in bytes; the operators' own
#: limit on all headers of a request is 16384.
LONGEST_FIELD: Final = 16384
#: How long an idle connection of a caller is kept, above the operators'
#: limit of 15 s up to which callers reuse theirs.
IDLE_LIMIT: Final[Seconds] = 75.0

_Taker: TypeAlias = Callable[
    [web.BaseRequest],
    Awaitable[web.StreamResponse],
]


class Front:
    """Take requests from callers and tell the balancer of readiness."""

    def __init__(
        self,
        settings: GatewaySettings,
        forwarder: Forwarder,
        clock: SystemClock,
    ) -> None:
        """Take the forwarder; `start` listens."""
        self._settings = settings
        self._forwarder = forwarder
        self._clock = clock
        self._runners: list[web.ServerRunner] = []
        self._sites: list[web.TCPSite] = []
        self.is_ready = False
        self.is_leaving = False
        self.open_requests = 0

    async def start(self) -> None:
        """Listen for callers and for the balancer."""
        listen = self._settings.listen
        await self._listen(listen.readiness, self._tell_readiness)
        await self._listen(listen.callers, self._take)

    async def finish(self, longest: Seconds) -> None:
        """Take nothing new, answer what was read, close each connection."""
        for site in self._sites:
            await site.stop()
        await asyncio.gather(
            *(_finish(runner.server, longest) for runner in self._runners),
        )

    async def stop(self) -> None:
        """Close every connection."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, address: str, take: _Taker) -> None:
        host, port = split_address(address)
        server = web.Server(
            take,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_LIMIT,
            max_line_size=LONGEST_FIELD,
            max_field_size=LONGEST_FIELD,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, port, backlog=BACKLOG)
        await site.start()
        self._sites.append(site)

    async def _tell_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != wire.READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self.is_ready and not self.is_leaving:
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _take(self, request: web.BaseRequest) -> web.StreamResponse:
        self.open_requests += 1
        try:
            response = await self._answer(request)
        finally:
            self.open_requests -= 1
        if self.is_leaving:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        came_at = self._clock.monotonic()
        taken = TargetRequest(
            request_id=wire.parse_request_metadata(request.headers).request_id,
            method=request.method,
            raw_path=request.raw_path,
            headers=request.headers,
            body=await _body(request),
        )
        host = request.headers.get('Host', '')
        arrival = self._forwarder.receive(taken, host, came_at)
        if isinstance(arrival, Refusal):
            self._log_unrouted(taken, host, arrival)
            return _own_response(arrival, taken.request_id)
        ended = await self._forwarder.serve(arrival)
        if isinstance(ended, Refusal):
            return _own_response(ended, taken.request_id)
        self._forwarder.counters.answered(self._clock.monotonic() - came_at)
        return passed_on(ended)

    def _log_unrouted(
        self,
        request: TargetRequest,
        host: str,
        refusal: Refusal,
    ) -> None:
        self._forwarder.counters.refused(refusal.cause)
        record(
            Event.request_refused,
            request=request.request_id,
            host=host,
            path=request.raw_path,
            status=refusal.status,
            reason=refusal.sentence,
        )


async def _finish(server: web.Server | None, longest: Seconds) -> None:
    if server is None:
        return
    # Ends the wait for a next request on idle connections, which the library
    # would else wait for.
    server.pre_shutdown()
    await asyncio.sleep(0)
    # The library waits this long twice: for the answer, and for its task.
    await server.shutdown(longest / 2)


async def _body(request: web.BaseRequest) -> bytes:
    if not request.can_read_body:
        return b''
    return await request.content.read()


def _own_response(refusal: Refusal, request_id: str) -> web.Response:
    response = web.Response(
        status=refusal.status,
        text=f'{refusal.sentence}\n',
        headers=wire.router_response_headers(request_id),
    )
    if refusal.retry_after is not None:
        response.headers['Retry-After'] = f'{refusal.retry_after:.2f}'
    return response


def passed_on(answer: Answer) -> web.Response:
    """Return a target's answer with the headers that it has."""
    response = web.Response(status=answer.status, body=answer.body)
    # The library's own default would stand beside the target's type.
    response.headers.clear()
    for name, text in answer.headers:
        response.headers.add(name, text)
    return response
