"""Serve one request: route it, choose a target, send it, retry it."""

import asyncio
from http import HTTPStatus
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.fleet.model import Configuration, Route, Target
from cassialever.fleet.target_registry import TargetRegistry
from cassialever.fleet.view import FleetView
from cassialever.gateway.counters import Counters
from cassialever.gateway.dispatcher import TargetDispatcher
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    Withheld,
)
from cassialever.gateway.sender import TargetRequest
from cassialever.gateway.settings import GatewaySettings
from cassialever.gateway.stop_limit import StopLimit
from cassialever.interfaces import RandomSource
from cassialever.platform import wire
from cassialever.policy import refusal, subsets
from cassialever.policy.budget import RetryBudget
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import (
    NEEDS_PERMIT,
    NoTargetReason,
    PermitDelay,
    PlacementRequest,
    TargetSelector,
)
from cassialever.policy.shares import WeightedSplit
from cassialever.policy.permits import PermitLimiter
from cassialever.telemetry.spans import Hop, HopTracer, NoopTracer
from cassialever.types import Seconds, ServiceName, TargetId

#: A request with less time left than this is not retried.
MIN_RETRY_TIME: Final[Seconds] = 0.02
#: Share of the objective that a request may wait for its trial, as long as for
#: a target with a free slot.
MAX_TRIAL_WAIT_SHARE: Final = 0.5
#: How long callers that send no deadline are assumed to wait.
DEFAULT_TIMEOUT: Final[Seconds] = 30.0


class RoutedRequest(msgspec.Struct, frozen=True):
    """A caller's request with its route.

    `deadline` is when its caller or its route stops waiting.
    """

    request: TargetRequest
    route: Route
    key: int
    received_at: Seconds
    deadline: Seconds


class Refusal(msgspec.Struct, frozen=True):
    """An answer by this daemon instead of a target.

    If it has a time to retry after, the request has not run and never will.
    """

    status: int
    sentence: str
    retry_after: Seconds | None = None
    #: The label under which the metrics count it, one of a fixed set.
    cause: str = 'attempts_failed'
    kind: ErrorKind = ErrorKind.target_shed
    #: The only target that could have served it, if there is just one.
    target_id: TargetId | None = None
    #: The fingerprint of a request that may crash its target.
    fingerprint: str | None = None


class _Placement(msgspec.Struct, frozen=True):
    """The target of one attempt, and until when the request may be written."""

    target: Target
    send_before: Seconds


class _Progress(msgspec.Struct):
    """The attempts at one request."""

    #: Targets that were tried, and how each try ended.
    tried: list[TargetId] = msgspec.field(default_factory=list)
    failed: list[Attempt] = msgspec.field(default_factory=list)
    #: Attempts begun, also the second one at the same target.
    count: int = 0


class Forwarder:
    """Forwards requests to targets, by the configuration in the view."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        sender: TargetDispatcher,
        loads: LoadTracker,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        self._settings = settings
        self._view = view
        self._sender = sender
        self._loads = loads
        self._clock = clock
        self._random = random_source
        self.stop_limit = StopLimit(clock)
        self.limiter = PermitLimiter()
        self._split = WeightedSplit(random_source)
        self._budget_by_service: dict[ServiceName, RetryBudget] = {}
        self.selector = TargetSelector(
            view,
            loads,
            self.limiter,
            subsets.TargetSubsets(
                settings.instance.instance_id, settings.instance.data_centre
            ),
            random_source,
        )
        self.counters = Counters()
        self.tracing: HopTracer = NoopTracer()
        #: Number of daemons among which retry budgets are divided; 0 while it
        #: is not known.
        self.daemon_count = 0
        #: Keys requested since the last report, by service.
        self.keys_asked: dict[ServiceName, list[int]] = {}

    def route_request(
        self,
        request: TargetRequest,
        host: str,
        received_at: Seconds,
    ) -> RoutedRequest | Refusal:
        """Find the route of a request, or refuse it if there is none."""
        if self._view.configuration is None:
            return Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known yet',
                refusal.FixedRetryAfter.default.value,
                'no_configuration',
                ErrorKind.no_catalogue,
            )
        route = self._view.routes.find(host, request.raw_path)
        if route is None:
            return Refusal(
                HTTPStatus.NOT_FOUND,
                'no route matches',
                cause='no_route',
                kind=ErrorKind.unknown_service,
            )
        metadata = wire.parse_request_metadata(request.headers)
        timeout = metadata.timeout
        if timeout is None:
            timeout = DEFAULT_TIMEOUT
        return RoutedRequest(
            request=request,
            route=route,
            key=metadata.key,
            received_at=received_at,
            deadline=received_at + min(timeout, route.time_limit),
        )

    async def serve(self, routed: RoutedRequest) -> Answer | Refusal:
        """Send a request, with retries, and return its final answer."""
        service = self._split.choose(routed.route)
        self._budget(service).count_request(self._clock.monotonic())
        if routed.key >= 0:
            self.keys_asked.setdefault(service, []).append(routed.key)
        progress = _Progress()
        while True:
            sent = await self._place_and_send(routed, service, progress)
            if isinstance(sent, Refusal):
                return self._finish_unserved(routed, sent, progress.failed)
            placed, last = sent
            if (
                last.outcome is AttemptOutcome.answered
                and last.answer is not None
            ):
                return last.answer
            progress.tried.append(placed.target_id)
            progress.failed.append(last)
            self._record_failed_attempt(routed, placed, last)
            if not self._may_retry(routed, service, progress, last):
                return self._finish_unserved(
                    routed, _attempts_failed(last.reason), progress.failed
                )

    async def _place_and_send(
        self, routed: RoutedRequest, service: ServiceName, progress: _Progress
    ) -> tuple[Target, Attempt] | Refusal:
        """Choose a target and send, again if the choice was withdrawn.

        A request that may crash its target is sent alone.
        """
        max_wait = routed.route.objective * MAX_TRIAL_WAIT_SHARE
        async with self._sender.crashes.alone(
            routed.request, max_wait, self._time_left(routed)
        ) as withheld:
            if withheld is not None:
                return _withheld(withheld)
            while True:
                placed = await self._place(routed, service, progress.tried)
                if isinstance(placed, Refusal):
                    return placed
                attempt = await self._send(routed, placed, progress)
                time_left = routed.deadline - self._clock.monotonic()
                if not attempt.is_withdrawn or time_left < MIN_RETRY_TIME:
                    return placed.target, attempt
                # Nothing was sent, so this is not a retry.
                progress.count -= 1

    async def _place(
        self,
        routed: RoutedRequest,
        service: ServiceName,
        tried: list[TargetId],
    ) -> _Placement | Refusal:
        """Choose a target, waiting for one if the policy allows it."""
        started = self._clock.monotonic()
        placement = PlacementRequest(
            service,
            routed.route.kind,
            routed.key,
            routed.route.objective,
            frozenset(tried),
        )
        while True:
            now = self._clock.monotonic()
            if self._time_left(routed) <= 0:
                # A time limit of 0 or less would be none.
                return _attempts_failed('no time was left')
            chosen = self.selector.choose(placement, now)
            if isinstance(chosen, Target):
                return self._use(routed, chosen, now)
            since = started if tried else routed.received_at
            timing = refusal.RequestTiming(
                waited=now - since,
                remaining=self._time_left(routed),
                objective=routed.route.objective,
                expected_latency=0,
                permit=_permit_delay(self.selector, chosen, placement, now),
                pause=_pause_left(
                    chosen, self._view.targets, self.selector, placement
                ),
                waiting=self.selector.waiting_by_service.total(),
                cores=self._settings.instance.cores,
            )
            decision = refusal.decide(chosen, timing, self._random)
            if isinstance(decision, refusal.Refuse):
                return self._no_target(decision, placement)
            self.selector.waiting_by_service[service] += 1
            try:
                await asyncio.sleep(decision.pause)
            finally:
                self.selector.waiting_by_service[service] -= 1

    def _use(
        self, routed: RoutedRequest, target: Target, now: Seconds
    ) -> _Placement | Refusal:
        """Place a request, unless it would outlast a stop that has begun."""
        time_limit = min(routed.deadline - now, routed.route.longest_attempt)
        load = self._loads.of(target.target_id)
        latency = load.expected_latency(target.slots, now)
        if not self.stop_limit.admits(time_limit, latency):
            return _stopping(target)
        send_before = self.limiter.use_permit(target.target_id)
        return _Placement(target, send_before)

    def _no_target(
        self, decision: refusal.Refuse, placement: PlacementRequest
    ) -> Refusal:
        sentence = decision.reason.value
        owner = self.selector.owner_of(placement)
        rate = self._view.targets.limits.rate_of(owner) if owner else None
        if rate is not None and decision.reason is NoTargetReason.limited:
            sentence = f'the owner of the key takes {rate:g} requests a second'
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            sentence,
            decision.retry_after,
            decision.reason.name,
            refusal.KIND_BY_REASON[decision.reason],
            owner.target_id if owner else None,
        )

    async def _send(
        self, routed: RoutedRequest, placed: _Placement, progress: _Progress
    ) -> Attempt:
        target = placed.target
        progress.count += 1
        span = self.tracing.start_span(
            Hop.target,
            routed.request.traceparent,
            routed.request.request_id,
            target.target_id,
        )
        request = msgspec.structs.replace(
            routed.request,
            traceparent=span.traceparent,
            is_idempotent=routed.route.kind.is_idempotent,
            send_before=placed.send_before,
        )
        self.counters.sent_by_service[target.service] += 1
        sent = msgspec.structs.replace(routed, request=request)
        attempt = await self._send_once(sent, target, progress)
        # Nothing was sent, so this is not a retry. A permit may have expired.
        remaining = self._time_left(routed)
        may_repeat = attempt.is_own_delay and remaining > MIN_RETRY_TIME
        if may_repeat and self.selector.needed_permit(target) is None:
            attempt = await self._send_once(sent, target, progress)
        span.end(attempt.failure.kind if attempt.failure else None)
        return attempt

    async def _send_once(
        self, routed: RoutedRequest, target: Target, progress: _Progress
    ) -> Attempt:
        attempt = self._sender.send(
            routed.request,
            target,
            min(self._time_left(routed), routed.route.longest_attempt),
            lambda: self._may_duplicate(routed, target, progress),
        )
        return await self.stop_limit.apply(attempt)

    def _time_left(self, routed: RoutedRequest) -> Seconds:
        """Return the time until the caller or a stop waits no longer."""
        deadline = min(routed.deadline, self.stop_limit.until)
        return deadline - self._clock.monotonic()

    def _may_duplicate(
        self, routed: RoutedRequest, target: Target, progress: _Progress
    ) -> bool:
        """Return whether a request may also go another way; count that.

        A target that needs permits gets one request for each.
        """
        if self.selector.needed_permit(target) is not None:
            return False
        if self._sender.crashes.is_suspected(routed.request):
            return False
        if not self._spend_attempt(routed, target.service, progress):
            return False
        progress.count += 1
        return True

    def _may_retry(
        self,
        routed: RoutedRequest,
        service: ServiceName,
        progress: _Progress,
        last: Attempt,
    ) -> bool:
        """Return whether a request may be retried, and spend the budget."""
        if last.outcome is not AttemptOutcome.not_run:
            if not routed.route.kind.is_idempotent:
                return False
            if self._sender.crashes.is_suspected(routed.request):
                return False
        return self._spend_attempt(routed, service, progress)

    def _spend_attempt(
        self, routed: RoutedRequest, service: ServiceName, progress: _Progress
    ) -> bool:
        """Spend the budget for one more attempt, if there is one."""
        now = self._clock.monotonic()
        if self._time_left(routed) < MIN_RETRY_TIME:
            return False
        if progress.count >= max(routed.route.attempts, 1):
            return False
        return self._budget(service).try_spend(now, self.daemon_count)

    def _finish_unserved(
        self,
        routed: RoutedRequest,
        refused: Refusal,
        attempts: list[Attempt],
    ) -> Answer | Refusal:
        """Return the final answer to a request that was not served."""
        answer = final_answer(refused, attempts)
        if isinstance(answer, Answer):
            return answer
        self.counters.record_refusal(answer.cause)
        record(
            Event.request_refused,
            request=routed.request.request_id,
            route=routed.route.name,
            key=routed.key,
            target=answer.target_id,
            status=answer.status,
            reason=answer.sentence,
            waited=round(self._clock.monotonic() - routed.received_at, 3),
            retry_after=answer.retry_after,
            fingerprint=answer.fingerprint,
            configuration=_version_of(self._view.configuration),
        )
        return answer

    def _record_failed_attempt(
        self,
        routed: RoutedRequest,
        target: Target,
        attempt: Attempt,
    ) -> None:
        self.counters.record_failed_attempt(attempt.outcome.value)
        record(
            Event.attempt_failed,
            request=routed.request.request_id,
            route=routed.route.name,
            target=target.target_id,
            helper=attempt.helper or None,
            key=routed.key,
            end=attempt.outcome.value,
            reason=attempt.reason,
            after=round(self._clock.monotonic() - routed.received_at, 3),
        )

    def _budget(self, name: ServiceName) -> RetryBudget:
        budget = self._budget_by_service.get(name)
        if budget is None:
            budget = RetryBudget(self._settings.bounds)
            self._budget_by_service[name] = budget
        service = self._view.service(name)
        if service is not None and service.repeat_share is not None:
            budget.ratio = service.repeat_share
        return budget


def _permit_delay(
    selector: TargetSelector,
    reason: NoTargetReason,
    placement: PlacementRequest,
    now: Seconds,
) -> PermitDelay:
    if reason not in NEEDS_PERMIT:
        return PermitDelay()
    return selector.permit_delay(placement, now)


def _pause_left(
    reason: NoTargetReason,
    targets: TargetRegistry,
    selector: TargetSelector,
    placement: PlacementRequest,
) -> Seconds:
    """Return the time until a target that has asked for a pause may be used."""
    if reason is not NoTargetReason.paused:
        return 0
    owner = selector.owner_of(placement)
    if owner is not None:
        return targets.pause_left(owner)
    usable = targets.usable(placement.service)
    return min(map(targets.pause_left, usable), default=0)


def final_answer(
    refused: Refusal,
    attempts: list[Attempt],
) -> Answer | Refusal:
    """Return the answer to a request that no attempt has served.

    The refusal promises that the request has not run. It is returned only if
    the request was sent to no target, or every target stated that it did not
    run it.
    """
    may_have_run = [
        attempt
        for attempt in attempts
        if attempt.outcome is not AttemptOutcome.not_run
    ]
    if not may_have_run:
        return refused
    last = may_have_run[-1]
    if last.answer is not None:
        return last.answer
    kind = last.failure.kind if last.failure else None
    status = HTTPStatus.BAD_GATEWAY
    if kind is ErrorKind.deadline_passed:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return Refusal(status, last.reason, kind=ErrorKind.outcome_unknown)


def _version_of(configuration: Configuration | None) -> int:
    """Return a configuration's version; 0 if none is known."""
    return configuration.version if configuration else 0


def _stopping(target: Target) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this daemon stops before the request would end',
        refusal.FixedRetryAfter.stopping.value,
        ErrorKind.stopping.name,
        ErrorKind.stopping,
        target.target_id,
    )


def _withheld(withheld: Withheld) -> Refusal:
    """Return the refusal of a request that may crash its target."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        withheld.reason,
        withheld.retry_after,
        withheld.suspicion.name,
        ErrorKind.no_target,
        fingerprint=withheld.fingerprint,
    )


def _attempts_failed(reason: str) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
        refusal.FixedRetryAfter.default.value,
    )
