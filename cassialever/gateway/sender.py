"""Send a request to a target and read its complete answer."""

import asyncio
import math
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
    MutableMapping,
)
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    contextmanager,
)
from contextvars import ContextVar
from typing import Final, TypeAlias

import aiohttp
import msgspec
from yarl import URL

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.fleet.model import Target
from cassialever.gateway.bodies import (
    Body,
    RequestMemory,
    payload_of,
    unlimited_memory,
)
from cassialever.gateway.late_sendings import Decision, LateSendings
from cassialever.gateway.loop_watch import LoopWatch
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    TargetRefusal,
    not_run,
    unknown,
    withdrawn,
)
from cassialever.gateway.receiving import AnswerReader
from cassialever.gateway.stop_limit import RESPONSE_MARGIN
from cassialever.platform import wire
from cassialever.platform.sessions import (
    close_idle,
    has_idle,
    open_forwarding_session,
    record_broken,
)
from cassialever.platform.time_left import set_time_left
from cassialever.policy.limits import TargetLimits
from cassialever.policy.loads import LoadTracker, TargetLoad
from cassialever.policy.paths import TargetPaths
from cassialever.telemetry.spans import TRACEPARENT_HEADER
from cassialever.types import DataCentreId, PlaceId, Seconds

#: How long an idle connection is kept; targets close theirs after 10 s.
KEEPALIVE_TIMEOUT: Final[Seconds] = 8.0
#: Names the caller in the project's own interface.
CALLER_HEADER: Final = 'X-Cassialever-Caller'
#: The errors of a connection that could not be made.
CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
#: The errors by which an exchange over HTTP may end.
EXCHANGE_ERRORS: Final = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


#: Handles the end of a request's connection before its answer.
BrokenHandler: TypeAlias = Callable[['TargetRequest', Target], Awaitable[None]]


class WithdrawnError(aiohttp.ClientError):
    """Nothing was sent; the message is the reason."""


class TargetRequest(msgspec.Struct, frozen=True):
    """A caller's request, as it is sent to targets."""

    request_id: str
    method: str
    raw_path: str
    headers: Mapping[str, str]
    body: Body
    #: The caller's trace context; empty if it sent none.
    traceparent: str = ''
    #: Whether it may run more than once.
    is_idempotent: bool = False
    #: Until when it may be written, in monotonic time; infinity if it needs no
    #: permit of its target.
    send_before: Seconds = math.inf
    #: Returns why it may no longer be sent as it was placed; empty if it may.
    withdrawal_reason: Callable[[], str] = str
    #: The choice of its target; None if another daemon has made it.
    decision: Decision | None = None
    #: The place at its target that it uses, if the target is contended.
    place: PlaceId | None = None
    #: The memory that it holds, for its body and its answers.
    memory: RequestMemory = msgspec.field(default_factory=unlimited_memory)

    @property
    def has_permit(self) -> bool:
        """Return whether it uses a permit of its target."""
        return math.isfinite(self.send_before)


class _Sending(msgspec.Struct):
    """A request whose connection is made, with its target."""

    request: TargetRequest
    target: Target
    #: Until when its answer is waited for, in monotonic time.
    deadline: Seconds
    is_connected: bool = False


class OwnDelayError(aiohttp.ConnectionTimeoutError):
    """No connection was made in time because this daemon was late itself."""


class TargetSender:
    """Sends requests to targets over pooled connections."""

    def __init__(
        self,
        loads: LoadTracker,
        limits: TargetLimits,
        paths: TargetPaths,
        clock: SystemClock,
    ) -> None:
        self._loads = loads
        self.long_bodies = loads.long_bodies
        self._paths = paths
        self._clock = clock
        self.answers = AnswerReader(loads, limits, clock)
        self.answers.on_replaced = lambda one: self.close_idle(one.address)
        self._loop_watch = LoopWatch(paths.own_delays.lateness)
        self._data_centre_by_address: dict[str, DataCentreId] = {}
        self._session: aiohttp.ClientSession | None = None
        #: Returns why a target may get no request, though it was chosen; an
        #: empty text if it may.
        self.withdrawal_reason: Callable[[Target], str] = _no_reason
        #: Called with a request whose connection broke unanswered, before its
        #: outcome is known.
        self.on_broken: BrokenHandler = _ignore_broken
        #: Called with a target that refused a connection.
        self.on_refused: Callable[[Target], None] = _ignore_refused
        #: The request that the current task sends.
        self._sending: ContextVar[_Sending] = ContextVar('sending')
        self._late_sendings = LateSendings()

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = open_forwarding_session(
            KEEPALIVE_TIMEOUT,
            self.connecting,
            self._prepare,
            is_patient=True,
        )

    async def stop(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    @contextmanager
    def connecting(self, address: str) -> Iterator[None]:
        """Measure this daemon's lateness while a connection is made.

        An error that leaves the context shows that it was not made.
        """
        link = self._paths.own_delays.link
        data_centre = self._data_centre_by_address.get(
            address, DataCentreId('')
        )
        begun_at = self._clock.monotonic()
        connection = link.begin(data_centre, begun_at)
        is_made = False
        try:
            with self._loop_watch.watching():
                yield
            is_made = True
        finally:
            now = self._clock.monotonic()
            link.end(connection, now, is_made=is_made)
        self._paths.connect_times.record_made(now - begun_at)

    def has_connection(self, address: str) -> bool:
        """Return whether an idle connection to a target is open."""
        return self._session is not None and has_idle(self._session, address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a target that can't be reached."""
        if self._session is not None:
            close_idle(self._session, address)

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        """Send a request once and record the outcome in the target's load.

        `time_left` is the target's time limit for the request.
        """
        return await self.record_exchange(
            target, self._exchange(request, target, time_left)
        )

    async def record_exchange(
        self,
        target: Target,
        exchange: Awaitable[Attempt],
    ) -> Attempt:
        """Await an exchange and record the outcome in the target's load."""
        load = self._loads.of(target.target_id)
        sent_at = self._clock.monotonic()
        queueing_factor = load.queueing_factor(target.slots, sent_at)
        load.record_open()
        try:
            attempt = await exchange
        finally:
            load.record_close()
        usual = self._loads.usual_service_time(target.service)
        self._record_outcome(attempt, load, sent_at, queueing_factor, usual)
        if attempt.outcome is AttemptOutcome.answered:
            now = self._clock.monotonic()
            self._loads.record_service_time(
                target.service,
                (now - sent_at) / queueing_factor / load.slowdown(now),
            )
        return attempt

    @asynccontextmanager
    async def open_exchange(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request directly, and receive the head of its answer.

        `time_left` is the target's time limit for the request. The context
        raises what `failed_attempt` takes, and records what it shows of the
        path.
        """
        target_id = target.target_id
        sent_at = self._clock.monotonic()
        self._sending.set(_Sending(request, target, sent_at + time_left))
        connect_time = self._connect_time(request, time_left)
        is_short = connect_time < self._paths.connect_times.timeout
        self._paths.record_sent(target_id, request.request_id, sent_at)
        self._data_centre_by_address[target.address] = target.data_centre
        is_answered = False
        try:
            async with _connected(
                self._open(request, target, time_left, connect_time),
                self._sending.get(),
            ) as response:
                self._paths.unanswered.record_end(target_id, request.request_id)
                self._paths.record_answer(target_id, self._clock.monotonic())
                is_answered = True
                yield response
        except CONNECT_ERRORS as error:
            self._record_unconnected(target, error, sent_at, is_short=is_short)
            raise
        except (asyncio.TimeoutError, WithdrawnError):
            raise
        except (aiohttp.ClientError, OSError):
            await self._record_broken(request, target, is_answered)
            raise
        finally:
            self._paths.unanswered.record_end(target_id, request.request_id)

    async def _record_broken(
        self, request: TargetRequest, target: Target, is_answered: bool
    ) -> None:
        """Record that a connection ended before the end of an answer."""
        now = self._clock.monotonic()
        if self._session is not None:
            record_broken(self._session, target.address)
        self._paths.direct.record_doubt(target.target_id, now)
        self._paths.exchanges.record_broken(
            target.target_id, target.data_centre, now
        )
        if not is_answered:
            await self.on_broken(request, target)

    def _prepare(self, headers: MutableMapping[str, str]) -> None:
        """Set the time left of a request whose connection is made.

        Raise WithdrawnError if its target may not get it now.
        """
        sending = self._sending.get()
        sending.is_connected = True
        request = sending.request
        target_id = sending.target.target_id
        reason = (
            self.withdrawal_reason(sending.target)
            or request.withdrawal_reason()
        )
        now = self._clock.monotonic()
        if now >= request.send_before:
            reason = f'the permit of {target_id} has run out'
        if reason:
            raise WithdrawnError(reason)
        self._late_sendings.note(
            request.request_id, target_id, request.decision, now
        )
        set_time_left(headers, sending.deadline - now)

    def _record_unconnected(
        self,
        target: Target,
        error: Exception,
        begun_at: Seconds,
        *,
        is_short: bool,
    ) -> None:
        """Record a failed connection; raise OwnDelayError if it is excused.

        One that had less time than late links need is a reason to probe.
        """
        target_id = target.target_id
        now = self._clock.monotonic()
        # A connection that was refused is evidence, however late.
        was_given_up = isinstance(error, aiohttp.ConnectionTimeoutError)
        if not was_given_up:
            self._paths.record_failure(target_id, now)
            if isinstance(error, aiohttp.ClientConnectorError):
                if isinstance(error.os_error, ConnectionRefusedError):
                    self.on_refused(target)
            return
        if is_short:
            self._paths.direct.record_doubt(target_id, now)
            return
        if not self._paths.record_timeout(target_id, begun_at, now):
            raise OwnDelayError(str(error)) from error

    def _connect_time(
        self, request: TargetRequest, time_left: Seconds
    ) -> Seconds:
        """Return how long a request may wait for a new connection.

        Raise WithdrawnError if it may not wait at all.
        """
        limit = self._paths.connect_times.timeout_for(
            has_permit=request.has_permit
        )
        permit_left = request.send_before - self._clock.monotonic()
        connect_time = min(limit, time_left, permit_left)
        if connect_time <= 0:
            raise WithdrawnError('no time is left to connect')
        return connect_time

    def _open(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        connect_time: Seconds,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        if self._session is None:
            raise aiohttp.ClientConnectionError('not started')
        timeout = aiohttp.ClientTimeout(
            total=time_left + RESPONSE_MARGIN,
            connect=connect_time,
            # By default aiohttp rounds timeouts above 5 s up to full seconds.
            ceil_threshold=math.inf,
        )
        return self._session.request(
            request.method,
            URL(f'http://{target.address}{request.raw_path}', encoded=True),
            headers=_headers(request, target),
            data=payload_of(request.body),
            timeout=timeout,
            allow_redirects=False,
        )

    async def _exchange(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        if self._session is None:
            return not_run('not started', ErrorKind.stopping)
        sent_at = self._clock.boot()
        try:
            async with self.open_exchange(
                request, target, time_left
            ) as response:
                return await self.answers.read(
                    target,
                    request.request_id,
                    response,
                    response.status,
                    sent_at,
                    request.memory,
                )
        except EXCHANGE_ERRORS as error:
            return failed_attempt(error)

    def _record_outcome(
        self,
        attempt: Attempt,
        load: TargetLoad,
        sent_at: Seconds,
        queueing_factor: float,
        usual: Seconds,
    ) -> None:
        now = self._clock.monotonic()
        if attempt.outcome is AttemptOutcome.answered:
            load.record_success(now - sent_at, queueing_factor, now, usual)
            return
        if attempt.is_helper_failure or attempt.is_own_delay:
            return
        if attempt.is_withdrawn:
            return
        if attempt.refusal is TargetRefusal.replaced:
            # Another target has answered.
            return
        failure = attempt.failure
        if failure and failure.kind is ErrorKind.target_unreachable:
            load.record_unreachable(now)
            return
        load.record_failure(now)


@asynccontextmanager
async def _connected(
    opening: AbstractAsyncContextManager[aiohttp.ClientResponse],
    sending: _Sending,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Open an exchange; tell a timeout before its request was connected.

    On a late loop the limit of the whole exchange may be over first.
    """
    try:
        async with opening as response:
            yield response
    except aiohttp.ConnectionTimeoutError:
        raise
    except asyncio.TimeoutError as error:
        if sending.is_connected:
            raise
        raise aiohttp.ConnectionTimeoutError(repr(error)) from error


def failed_attempt(
    error: Exception,
    kind: ErrorKind = ErrorKind.target_unreachable,
) -> Attempt:
    """Return the outcome of an exchange that ended with an error.

    `kind` is that of a connection which could not be made.
    """
    if isinstance(error, CONNECT_ERRORS):
        return msgspec.structs.replace(
            not_run(repr(error), kind),
            is_own_delay=isinstance(error, OwnDelayError),
        )
    if isinstance(error, WithdrawnError):
        return withdrawn(str(error))
    if isinstance(error, asyncio.TimeoutError):
        return unknown(repr(error), ErrorKind.deadline_passed)
    return unknown(repr(error))


def _no_reason(_: Target) -> str:
    """Take every choice as still right; the default until one is set."""
    return ''


async def _ignore_broken(request: TargetRequest, target: Target) -> None:
    """Do nothing; the default until a handler is set."""


def _ignore_refused(target: Target) -> None:
    """Do nothing; the default until a handler is set."""


def _headers(request: TargetRequest, target: Target) -> list[tuple[str, str]]:
    headers = wire.forwarded_headers(request.headers, target.target_id)
    if request.traceparent:
        headers.append((TRACEPARENT_HEADER, request.traceparent))
    return headers
