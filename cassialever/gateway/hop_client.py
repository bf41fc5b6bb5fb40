"""Pass a request on to another daemon, which exchanges with its target."""

import math
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec
from yarl import URL

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import Target, version_of
from cassialever.fleet.view import FleetView
from cassialever.gateway.bodies import payload_of
from cassialever.gateway.hop_messages import (
    HOP_HEADERS,
    HopOutcome,
    HopReply,
    HopRequest,
    decode_reply,
    encode_request,
    new_nonce,
)
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.gateway.receiving import AnswerReader
from cassialever.gateway.sender import (
    EXCHANGE_ERRORS,
    TargetRequest,
    failed_attempt,
)
from cassialever.gateway.settings import GatewaySettings, hop_address
from cassialever.gateway.stop_limit import RESPONSE_MARGIN
from cassialever.interfaces import HelperDaemon
from cassialever.platform import wire
from cassialever.platform.answer_bodies import read_limited
from cassialever.platform.sessions import (
    close_connection,
    open_forwarding_session,
)
from cassialever.policy.connect_times import ConnectTimes
from cassialever.telemetry.spans import TRACEPARENT_HEADER
from cassialever.types import Seconds

#: How long an idle connection to a helper is kept. Helpers that stop close
#: none that may still be used.
KEEPALIVE_TIMEOUT: Final[Seconds] = 1.0
#: Bytes of the body of a reply without an answer; what it tells is in its head.
MAX_REPLY_BYTES: Final = 4096


class HopClient:
    """Sends requests to helpers over connections that are opened on use."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        answers: AnswerReader,
        clock: SystemClock,
        connect_times: ConnectTimes,
    ) -> None:
        self._connect_times = connect_times
        self._settings = settings
        self._view = view
        self._answers = answers
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = open_forwarding_session(KEEPALIVE_TIMEOUT)

    async def stop(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def exchange(
        self,
        request: TargetRequest,
        target: Target,
        helper: HelperDaemon,
        time_left: Seconds,
    ) -> Attempt:
        """Have a helper exchange with a target once.

        `time_left` is the target's time limit for the request.
        """
        try:
            attempt = await self._exchange(request, target, helper, time_left)
        except EXCHANGE_ERRORS as error:
            attempt = _ended_by_error(error)
        return msgspec.structs.replace(attempt, helper=helper.instance_id)

    async def _exchange(
        self,
        request: TargetRequest,
        target: Target,
        helper: HelperDaemon,
        time_left: Seconds,
    ) -> Attempt:
        if self._session is None:
            return not_run('not started', ErrorKind.stopping)
        connect_timeout = self._connect_timeout(request)
        hop = self._hop_request(request, target, time_left, connect_timeout)
        key = self._settings.fleet_key
        headers = wire.end_to_end_headers(request.headers, HOP_HEADERS)
        if request.traceparent:
            headers.append((TRACEPARENT_HEADER, request.traceparent))
        address = hop_address(helper.address)
        sent_at = self._clock.boot()
        async with self._session.post(
            URL(f'http://{address}{request.raw_path}', encoded=True),
            headers=headers + encode_request(hop, key),
            data=payload_of(request.body),
            timeout=_timeout(time_left, connect_timeout),
            allow_redirects=False,
        ) as response:
            reply = _decode_reply(response, hop, key)
            if isinstance(reply, Failure):
                close_connection(response)
                return _helper_failure(unknown(reply.reason))
            if reply.outcome is HopOutcome.relayed:
                return await self._answers.read_relayed(
                    target,
                    request.request_id,
                    response,
                    reply.status,
                    sent_at,
                    request.memory,
                )
            await read_limited(response, MAX_REPLY_BYTES)
            return _unanswered(reply)

    def _connect_timeout(self, request: TargetRequest) -> Seconds:
        """Return how long the connection to a helper may take.

        A helper has at least as long to reach the target.
        """
        limit = self._connect_times.timeout_for(has_permit=request.has_permit)
        permit_left = request.send_before - self._clock.monotonic()
        return min(limit, permit_left / 2)

    def _hop_request(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        connect_timeout: Seconds,
    ) -> HopRequest:
        return HopRequest(
            method=request.method,
            raw_path=request.raw_path,
            target_id=target.target_id,
            started_at=target.started_at,
            time_left=time_left,
            origin=self._settings.instance.instance_id,
            configuration=version_of(self._view.configuration),
            sent_at=self._clock.wall(),
            nonce=new_nonce(),
            # The helper does not know how long the connection to it took.
            send_within=request.send_before
            - self._clock.monotonic()
            - connect_timeout,
        )


def _decode_reply(
    response: aiohttp.ClientResponse,
    hop: HopRequest,
    key: str,
) -> HopReply | Failure:
    if response.status != HTTPStatus.OK:
        return Failure(
            ErrorKind.outcome_unknown, f'the daemon answered {response.status}'
        )
    return decode_reply(response.headers, hop.nonce, key)


def _unanswered(reply: HopReply) -> Attempt:
    if reply.outcome is HopOutcome.not_run:
        return _helper_failure(
            Attempt(AttemptOutcome.not_run, failure=reply.failure)
        )
    return Attempt(AttemptOutcome.unknown, failure=reply.failure)


def _ended_by_error(error: Exception) -> Attempt:
    attempt = failed_attempt(error, ErrorKind.peer_unreachable)
    failure = attempt.failure
    if failure and failure.kind is ErrorKind.deadline_passed:
        # The target may be the slow one.
        return attempt
    return _helper_failure(attempt)


def _helper_failure(attempt: Attempt) -> Attempt:
    return msgspec.structs.replace(attempt, is_helper_failure=True)


def _timeout(
    time_left: Seconds, connect_timeout: Seconds
) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=time_left + RESPONSE_MARGIN,
        connect=min(connect_timeout, time_left),
        # By default aiohttp rounds timeouts above 5 s up to full seconds.
        ceil_threshold=math.inf,
    )
