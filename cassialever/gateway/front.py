"""The HTTP servers for callers and for the load balancer."""

import asyncio
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.gateway.bodies import (
    RequestMemory,
    read_request,
    send_whole,
)
from cassialever.gateway.connection_guard import ConnectionGuard
from cassialever.gateway.connections import CallerListener, RequestHandler
from cassialever.gateway.counters import RefusalCount
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import Answer
from cassialever.gateway.refusals import STRAINED_CAUSE, Refusal
from cassialever.gateway.routes import split_request_target
from cassialever.gateway.routing import DEFAULT_TIMEOUT, RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.settings import GatewaySettings
from cassialever.listening import PortUse
from cassialever.platform import wire
from cassialever.policy.connection_limits import SIDE_CONNECTIONS
from cassialever.policy.memory import (
    SHORT_BODY_BYTES,
    MemoryBudget,
)
from cassialever.types import Seconds

#: Longest request line or header field that is read; the operators limit all
#: headers of a request together to 16384 bytes.
MAX_FIELD_BYTES: Final = 16384
#: Most header fields: as many as fit into that limit. aiohttp's is 128.
MAX_FIELDS: Final = MAX_FIELD_BYTES // len('a:\r\n')
#: How long an idle connection of a caller is kept. Callers reuse theirs for
#: up to 15 s, a limit set by the operators.
KEEPALIVE_TIMEOUT: Final[Seconds] = 75.0

#: Failed readiness checks after which the load balancer opens no more
#: connections to a daemon.
FAILED_CHECKS_UNTIL_OUT: Final = 2
#: A balancer that has opened no connection for this long has taken the daemon
#: out. It goes on if too few other daemons are ready.
QUIET_TIME: Final[Seconds] = 0.3
#: Time between two checks whether the balancer has taken the daemon out.
BALANCER_POLL_INTERVAL: Final[Seconds] = 0.05


class GatewayServer:
    """Serves callers, and the load balancer's readiness checks."""

    def __init__(
        self,
        settings: GatewaySettings,
        forwarder: Forwarder,
        clock: SystemClock,
        memory: MemoryBudget,
        guard: ConnectionGuard,
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._forwarder = forwarder
        self._clock = clock
        self._callers = _listener(self._handle, guard)
        self._readiness = _listener(
            self._handle_readiness, guard, SIDE_CONNECTIONS
        )
        self.is_ready = False
        self.is_stopping = False
        self.open_requests = 0
        self._refused_keys = RefusalCount()
        self._failed_checks = 0
        self._last_check_at: Seconds = 0

    async def start(self) -> None:
        """Listen for callers and for the load balancer."""
        listen = self._settings.listen
        await self._readiness.start(
            PortUse.readiness, *split_address(listen.readiness)
        )
        await self._callers.start(
            PortUse.callers, *split_address(listen.callers)
        )

    async def wait_until_taken_out(self, timeout: Seconds) -> None:
        """Serve until the load balancer opens no more connections.

        This is so when it has seen enough failed checks and no connection
        has come since, at the latest at the timeout.
        """
        now = self._clock.monotonic()
        ends_at = now + timeout
        while now < ends_at:
            used_at = max(self._last_check_at, self._callers.accepted_at)
            if self._is_taken_out() and now - used_at >= QUIET_TIME:
                return
            await asyncio.sleep(BALANCER_POLL_INTERVAL)
            now = self._clock.monotonic()

    async def drain(self, timeout: Seconds) -> None:
        """Stop listening, answer what has arrived, close each connection.

        Readiness checks are answered until `stop`.
        """
        await self._callers.drain(timeout)

    async def stop(self) -> None:
        """Close every connection immediately."""
        await self._callers.stop()
        await self._readiness.stop()

    def _is_taken_out(self) -> bool:
        return self._failed_checks >= FAILED_CHECKS_UNTIL_OUT

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != wire.READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self.is_ready and not self.is_stopping:
            return web.Response()
        if self.is_stopping and not self._is_taken_out():
            self._failed_checks += 1
            self._last_check_at = self._clock.monotonic()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.open_requests += 1
        try:
            with RequestMemory(self._memory) as memory:
                response = await self._answer(request, memory)
        finally:
            self.open_requests -= 1
        if self.is_stopping and not response.prepared:
            # A head that was sent before the stop announced no close: the next
            # answer does, or the drain closes the idle connection.
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, memory: RequestMemory
    ) -> web.StreamResponse:
        received_at = self._clock.monotonic()
        host, raw_path = split_request_target(
            request.raw_path, request.headers.get('Host', '')
        )
        metadata = wire.parse_request_metadata(request.headers)
        target_request = TargetRequest(
            request_id=metadata.request_id,
            method=request.method,
            raw_path=raw_path,
            headers=request.headers,
            body=b'',
            memory=memory,
        )
        routed = await self._forwarder.router.find(
            target_request, host, received_at
        )
        if not isinstance(routed, Refusal):
            routed = await self._with_body(request, routed, metadata.timeout)
        if isinstance(routed, Refusal):
            self._record_unrouted(target_request, host, routed)
            response = _refusal_response(routed, target_request.request_id)
            has_rest = request.can_read_body and not request.content.is_eof()
            if has_rest or routed.cause == STRAINED_CAUSE:
                # The rest of the body must not be taken for a request, and
                # the next try may reach another daemon.
                response.force_close()
            return response
        answer = await self._forwarder.serve(routed)
        if isinstance(answer, Refusal):
            return _refusal_response(answer, target_request.request_id)
        self._forwarder.counters.record_answer(
            self._clock.monotonic() - received_at
        )
        return await self._relay(request, target_request.request_id, answer)

    async def _with_body(
        self,
        request: web.BaseRequest,
        routed: RoutedRequest,
        timeout: Seconds | None,
    ) -> RoutedRequest | Refusal:
        """Read the body of a routed request within the limits."""
        configuration = self._forwarder.router.configuration
        body = await read_request(
            request,
            routed.request.memory,
            configuration.max_body_bytes if configuration else None,
            DEFAULT_TIMEOUT
            if timeout is None
            else min(timeout, DEFAULT_TIMEOUT),
        )
        if isinstance(body, Refusal):
            return body
        return msgspec.structs.replace(
            routed, request=msgspec.structs.replace(routed.request, body=body)
        )

    async def _relay(
        self, request: web.BaseRequest, request_id: str, answer: Answer
    ) -> web.StreamResponse:
        """Return a response, which has been sent if its body is long."""
        if len(answer.body) <= SHORT_BODY_BYTES or request.method == 'HEAD':
            return relayed_response(answer)
        response = relayed_stream(answer)
        if self.is_stopping:
            response.force_close()
        try:
            await send_whole(request, response, answer.body)
        except ConnectionError as error:
            record(
                Event.answer_unsent,
                request=request_id,
                reason=repr(error),
            )
        return response

    def _record_unrouted(
        self,
        request: TargetRequest,
        host: str,
        refusal: Refusal,
    ) -> None:
        self._forwarder.counters.record_refusal(refusal.cause)
        event = Event.request_refused
        count = 1
        if refusal.kind is ErrorKind.bad_credential:
            # Callers without a key may send very many.
            event = Event.key_refused
            count = self._refused_keys.note(self._clock.monotonic())
        if not count:
            return
        record(
            event,
            request=request.request_id,
            host=host,
            path=request.raw_path,
            status=refusal.status,
            count=count,
            reason=refusal.sentence,
            **self._forwarder.tables().fields(),
        )


def _listener(
    request_handler: RequestHandler,
    guard: ConnectionGuard,
    max_connections: int | None = None,
) -> CallerListener:
    return CallerListener(
        request_handler,
        guard,
        max_connections=max_connections,
        access_log=None,
        keepalive_timeout=KEEPALIVE_TIMEOUT,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        max_headers=MAX_FIELDS,
        auto_decompress=False,
    )


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
    response.headers.extend(answer.headers)
    return response


def relayed_stream(answer: Answer) -> web.StreamResponse:
    """Return a target's answer without its body."""
    response = web.StreamResponse(status=answer.status)
    response.headers.extend(answer.headers)
    return response
