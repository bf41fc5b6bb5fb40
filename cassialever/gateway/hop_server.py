"""Carry requests for other daemons, which cannot reach their targets.

The other daemon has chosen the target and counts the request, its attempts and
its permit. This one exchanges with that target once, and refuses if it knows
of a reason not to.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Final

from aiohttp import ClientResponse, web
from multidict import CIMultiDict

from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address, time_since_arrival
from cassialever.fleet.model import Target
from cassialever.gateway import hop_client
from cassialever.gateway.bodies import (
    Body,
    OutOfMemoryError,
    RequestMemory,
    read_request,
)
from cassialever.gateway.carrying import CarryingPolicy
from cassialever.gateway.connection_guard import ConnectionGuard
from cassialever.gateway.connections import CallerListener
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.hop_messages import (
    HOP_HEADERS,
    HopOutcome,
    HopReply,
    HopRequest,
    decode_request,
    encode_reply,
    nonce_of,
)
from cassialever.gateway.outcomes import Attempt, AttemptOutcome, unknown
from cassialever.gateway.receiving import BodyEnd, read_body
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.sender import (
    EXCHANGE_ERRORS,
    TargetRequest,
    TargetSender,
    failed_attempt,
)
from cassialever.gateway.settings import GatewaySettings
from cassialever.listening import PortUse
from cassialever.platform import wire
from cassialever.platform.sessions import close_connection
from cassialever.types import Seconds

#: Longest header field that is read. Callers' fields may have 16384 bytes.
MAX_FIELD_BYTES: Final = 16384
#: Most header fields: those of callers and of the daemon that passes them on.
MAX_FIELDS: Final = 2 * MAX_FIELD_BYTES // len('a:\r\n')
#: How long an idle connection is kept, longer than the daemons that open them
#: keep it.
KEEPALIVE_TIMEOUT: Final[Seconds] = 10.0
#: Answers up to this size are read whole, which saves writes; longer ones are
#: sent on while they arrive.
MAX_WHOLE_BODY: Final = 65536
#: Margin for the late timers of other daemons.
TIMER_MARGIN: Final[Seconds] = 0.3
#: How long after a stop was announced other daemons may use connections that
#: were idle then.
IDLE_CLOSE_DELAY: Final[Seconds] = hop_client.KEEPALIVE_TIMEOUT + TIMER_MARGIN


class HopServer:
    """The HTTP server for requests of other daemons."""

    def __init__(
        self,
        settings: GatewaySettings,
        policy: CarryingPolicy,
        sender: TargetSender,
        crashes: CrashGuard,
        guard: ConnectionGuard,
    ) -> None:
        self._settings = settings
        self._memory = guard.memory
        self._policy = policy
        self._sender = sender
        self._crashes = crashes
        self._clock = policy.clock
        self._listener = CallerListener(
            self._handle,
            guard,
            max_connections=guard.limits.hop_connections,
            spares_used=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            auto_decompress=False,
        )
        #: When a stop was announced, if one was.
        self._stopping_since: Seconds | None = None
        self._answers_until: Seconds = math.inf

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are carried now."""
        return self._policy.open_requests

    async def start(self) -> None:
        """Listen for other daemons."""
        await self._listener.start(
            PortUse.hops, *split_address(self._settings.hop_address)
        )

    def announce_stop(self, answers_until: Seconds) -> None:
        """Close connections after their answers, since this daemon stops.

        Targets are waited for until `answers_until`.
        """
        self._stopping_since = self._clock.monotonic()
        self._answers_until = answers_until

    async def drain(self, timeout: Seconds) -> None:
        """Refuse new requests, finish the others and close each connection.

        No connection is closed while the daemon that opened it may use it
        again.
        """
        self._policy.is_draining = True
        now = self._clock.monotonic()
        ends_at = now + timeout
        if self._stopping_since is not None:
            unused_at = self._stopping_since + IDLE_CLOSE_DELAY
            await asyncio.sleep(min(unused_at - now, timeout))
        await self._listener.drain(ends_at - self._clock.monotonic())

    async def stop(self) -> None:
        """Close every connection immediately."""
        await self._listener.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # It may have waited while this process stood still.
        arrived_at = self._clock.monotonic() - time_since_arrival(
            request.transport
        )
        hop = decode_request(
            request.headers,
            request.raw_path,
            self._settings.fleet_key,
            self._clock.wall(),
        )
        if isinstance(hop, Failure):
            response: web.StreamResponse = self._refuse(request, None, hop)
        else:
            response = await self._admit(request, hop, arrived_at)
        return self._announce_close(response)

    async def _admit(
        self,
        request: web.BaseRequest,
        hop: HopRequest,
        arrived_at: Seconds,
    ) -> web.StreamResponse:
        admitted = self._policy.admit(hop, request.content_length)
        if isinstance(admitted, Failure):
            return self._refuse(request, hop, admitted)
        self._policy.open_requests += 1
        try:
            with RequestMemory(self._memory) as memory:
                return await self._carry(
                    request, hop, admitted, arrived_at, memory
                )
        finally:
            self._policy.open_requests -= 1

    async def _carry(
        self,
        request: web.BaseRequest,
        hop: HopRequest,
        target: Target,
        arrived_at: Seconds,
        memory: RequestMemory,
    ) -> web.StreamResponse:
        body = await read_request(request, memory, None, hop.time_left)
        if isinstance(body, Refusal):
            response = self._refuse(
                request, hop, Failure(body.kind, body.sentence)
            )
            response.force_close()
            return response
        deadline = min(arrived_at + hop.time_left, self._answers_until)
        time_left = deadline - self._clock.monotonic()
        if time_left <= 0:
            late = Failure(ErrorKind.deadline_passed, 'no time was left')
            return self._refuse(request, hop, late)
        target_request = _target_request(
            request.headers,
            hop,
            body,
            memory,
            send_before=self._policy.send_before(hop, target, arrived_at),
            withdrawal_reason=lambda: self._policy.route_withdrawal(
                hop, target, request.headers.get('Host', '')
            ),
        )
        if self._crashes.is_quarantined(target_request):
            # The build before does not know the kind of an own refusal.
            crashing = Failure(ErrorKind.no_target, 'it has crashed targets')
            return self._refuse(request, hop, crashing)
        return await self._exchange(
            request, hop, target_request, target, time_left
        )

    async def _exchange(
        self,
        request: web.BaseRequest,
        hop: HopRequest,
        target_request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> web.StreamResponse:
        self._policy.count_carried()
        sent_at = self._clock.boot()
        try:
            async with self._sender.open_exchange(
                target_request, target, time_left
            ) as answer:
                return await self._relay(
                    request,
                    hop,
                    target,
                    answer,
                    sent_at,
                    target_request.memory,
                )
        except EXCHANGE_ERRORS as error:
            attempt = failed_attempt(error)
            return self._reply_unanswered(request, hop, attempt)

    async def _relay(
        self,
        request: web.BaseRequest,
        hop: HopRequest,
        target: Target,
        response: ClientResponse,
        sent_at: Seconds,
        memory: RequestMemory,
    ) -> web.StreamResponse:
        """Send a target's answer on; raise if it ends before its head is.

        `sent_at` is when its request was sent, in boot time.
        """
        request_id = wire.parse_request_metadata(request.headers).request_id
        if not wire.matches_request(response.headers, request_id):
            close_connection(response)
            attempt = unknown('the answer belongs to another request')
            return self._reply_unanswered(request, hop, attempt)
        self._sender.answers.record_statements(
            target, response, response.status, sent_at
        )
        length = response.content_length
        if length is not None and length <= MAX_WHOLE_BODY:
            try:
                body = await read_body(response, memory)
            except OutOfMemoryError as error:
                close_connection(response)
                return self._reply_unanswered(request, hop, unknown(str(error)))
            return _with_headers(
                web.Response(body=body),
                _relayed_headers(hop, response, self._settings.fleet_key),
            )
        return await self._stream(request, hop, response)

    async def _stream(
        self,
        request: web.BaseRequest,
        hop: HopRequest,
        response: ClientResponse,
    ) -> web.StreamResponse:
        """Send an answer on in chunks, or cut it off where it breaks off."""
        stream = self._announce_close(
            _with_headers(
                web.StreamResponse(),
                _relayed_headers(hop, response, self._settings.fleet_key),
            )
        )
        stream.enable_chunked_encoding()
        end = BodyEnd(response)
        await stream.prepare(request)
        try:
            await _copy_body(response, stream)
            await end.wait()
        except EXCHANGE_ERRORS as error:
            self._record_failure(request, hop, failed_attempt(error))
            if request.transport is not None:
                request.transport.abort()
        return stream

    def _announce_close(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Have an answer end its connection if this daemon stops.

        It says so unless its head has been written.
        """
        if self._stopping_since is not None or self._policy.is_draining:
            response.force_close()
        return response

    def _record_failure(
        self, request: web.BaseRequest, hop: HopRequest, attempt: Attempt
    ) -> None:
        metadata = wire.parse_request_metadata(request.headers)
        self._policy.record_failure(hop, metadata.request_id, attempt)

    def _reply_unanswered(
        self, request: web.BaseRequest, hop: HopRequest, attempt: Attempt
    ) -> web.Response:
        """Reply that a target gave no answer, or none to this request."""
        self._record_failure(request, hop, attempt)
        outcome = HopOutcome.unknown
        if attempt.outcome is AttemptOutcome.not_run:
            outcome = HopOutcome.not_run
        failure = attempt.failure or Failure(ErrorKind.internal, '')
        reply = HopReply(hop.nonce, outcome, failure=failure)
        return _response_of(reply, self._settings.fleet_key)

    def _refuse(
        self,
        request: web.BaseRequest,
        hop: HopRequest | None,
        failure: Failure,
    ) -> web.Response:
        """Reply that a request was not sent to its target."""
        metadata = wire.parse_request_metadata(request.headers)
        self._policy.count_refusal(failure)
        record(
            Event.carrying_refused,
            request=metadata.request_id,
            origin=hop.origin if hop else request.remote,
            target=hop.target_id if hop else None,
            reason=failure.reason,
            **self._policy.tables().fields(),
        )
        nonce = hop.nonce if hop else nonce_of(request.headers)
        reply = HopReply(nonce, HopOutcome.not_run, failure=failure)
        return _response_of(reply, self._settings.fleet_key)


def _response_of(reply: HopReply, fleet_key: str) -> web.Response:
    return web.Response(headers=CIMultiDict(encode_reply(reply, fleet_key)))


def _target_request(
    headers: Mapping[str, str],
    hop: HopRequest,
    body: Body,
    memory: RequestMemory,
    *,
    send_before: Seconds,
    withdrawal_reason: Callable[[], str],
) -> TargetRequest:
    forwarded = wire.end_to_end_headers(headers, HOP_HEADERS)
    return TargetRequest(
        wire.parse_request_metadata(headers).request_id,
        hop.method,
        hop.raw_path,
        CIMultiDict(forwarded),
        body,
        send_before=send_before,
        withdrawal_reason=withdrawal_reason,
        memory=memory,
    )


async def _copy_body(
    response: ClientResponse, stream: web.StreamResponse
) -> None:
    """Copy a body at the speed of the slower side."""
    async for chunk in response.content.iter_any():
        await stream.write(chunk)


def _with_headers(
    response: web.StreamResponse, headers: list[tuple[str, str]]
) -> web.StreamResponse:
    # aiohttp sets a default content type, which would be sent beside the
    # target's own.
    response.headers.clear()
    response.headers.extend(headers)
    return response


def _relayed_headers(
    hop: HopRequest, response: ClientResponse, fleet_key: str
) -> list[tuple[str, str]]:
    reply = HopReply(hop.nonce, HopOutcome.relayed, response.status)
    return [
        *wire.end_to_end_headers(response.headers, HOP_HEADERS),
        *encode_reply(reply, fleet_key),
    ]
