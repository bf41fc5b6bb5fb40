"""Serve one request: find its route, place it, send it, answer it."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.fleet.model import Configuration, Route, Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.counters import Counters
from cassialever.gateway.outcomes import Answer, Attempt, AttemptEnd
from cassialever.gateway.sender import TargetRequest, TargetSender
from cassialever.gateway.settings import GatewaySettings
from cassialever.interfaces import RandomSource
from cassialever.platform import wire
from cassialever.policy import refusal
from cassialever.policy.budget import RepeatBudget
from cassialever.policy.loads import LoadBook
from cassialever.policy.placing import NoPlace, Placing, Question
from cassialever.policy.shares import Shares
from cassialever.policy.warmup import WarmUpRates
from cassialever.telemetry.spans import Hop, NoTracing, SpanMaker
from cassialever.types import Seconds, ServiceName, TargetId

#: A request with less than this left is not sent once more.
LEAST_USEFUL: Final[Seconds] = 0.02
#: What callers without a deadline are taken to wait.
DEFAULT_PATIENCE: Final[Seconds] = 30.0

_KIND_BY_REASON: Final[Mapping[NoPlace, ErrorKind]] = MappingProxyType(
    {
        NoPlace.no_service: ErrorKind.no_target,
        NoPlace.no_owner: ErrorKind.no_owner,
        NoPlace.moving: ErrorKind.no_owner,
        NoPlace.unreachable: ErrorKind.target_unreachable,
        NoPlace.cold: ErrorKind.target_busy,
        NoPlace.full: ErrorKind.target_busy,
    },
)


class Arrival(msgspec.Struct, frozen=True):
    """A request as it came in, before its body was read.

    `ends_at` is when its caller or its route waits no longer.
    """

    request: TargetRequest
    route: Route
    key: int
    came_at: Seconds
    ends_at: Seconds


class Refusal(msgspec.Struct, frozen=True):
    """An answer of this daemon's own; one that says when to come back has
    not run and never will."""

    status: int
    sentence: str
    retry_after: Seconds | None = None
    #: What the metrics count it under; one of a few words.
    cause: str = 'attempts_failed'
    kind: ErrorKind = ErrorKind.target_shed


class Forwarder:
    """Serve requests by what the view knows."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        sender: TargetSender,
        loads: LoadBook,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        """Take the parts that requests go through."""
        self._settings = settings
        self._view = view
        self._sender = sender
        self._loads = loads
        self._clock = clock
        self._random = random_source
        self._warm_up = WarmUpRates()
        self._shares = Shares(random_source)
        self._budget_by_service: dict[ServiceName, RepeatBudget] = {}
        self.placing = Placing(
            view,
            loads,
            self._warm_up,
            settings.instance.data_centre,
            random_source,
        )
        self.counters = Counters()
        self.tracing: SpanMaker = NoTracing()
        #: Daemons that are taken to be alive.
        self.daemons = 1
        #: Keys asked for since the last report, by service.
        self.keys_asked: dict[ServiceName, list[int]] = {}

    def receive(
        self,
        request: TargetRequest,
        host: str,
        came_at: Seconds,
    ) -> Arrival | Refusal:
        """Find the route of a request or say why there is none."""
        if self._view.configuration is None:
            return Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known yet',
                refusal.ReturnTime.no_configuration.value,
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
        facts = wire.parse_request_metadata(request.headers)
        patience = facts.timeout
        if patience is None:
            patience = DEFAULT_PATIENCE
        return Arrival(
            request=request,
            route=route,
            key=facts.key,
            came_at=came_at,
            ends_at=came_at + min(patience, route.time_limit),
        )

    async def serve(self, arrival: Arrival) -> Answer | Refusal:
        """Place and send a request until it has a final answer."""
        service = self._shares.choose(arrival.route)
        self._budget(service).count_fresh(self._clock.monotonic())
        if arrival.key >= 0:
            self.keys_asked.setdefault(service, []).append(arrival.key)
        tried: list[TargetId] = []
        ended: list[Attempt] = []
        while True:
            placed = await self._place(arrival, service, tried)
            if isinstance(placed, Refusal):
                return self._ended(arrival, placed, ended)
            last = await self._send(arrival, placed)
            if last.end is AttemptEnd.answered and last.answer is not None:
                return last.answer
            tried.append(placed.target_id)
            ended.append(last)
            self._note_failure(arrival, placed, last)
            if not self._may_repeat(arrival, service, tried, last):
                return self._ended(arrival, _come_back(last.reason), ended)

    async def _place(
        self,
        arrival: Arrival,
        service: ServiceName,
        tried: list[TargetId],
    ) -> Target | Refusal:
        started = self._clock.monotonic()
        question = Question(
            service,
            arrival.route.kind,
            arrival.key,
            arrival.route.objective,
            frozenset(tried),
        )
        while True:
            now = self._clock.monotonic()
            found = self.placing.choose(question, now)
            if isinstance(found, Target):
                self._spend_warm_up(found, now)
                return found
            since = started if tried else arrival.came_at
            standing = refusal.Standing(
                waited=now - since,
                left=arrival.ends_at - now,
                objective=arrival.route.objective,
                work=0,
            )
            decision = refusal.decide(found, standing, self._random)
            if isinstance(decision, refusal.Refuse):
                return _refused(decision)
            await asyncio.sleep(decision.pause)

    async def _send(self, arrival: Arrival, target: Target) -> Attempt:
        left = arrival.ends_at - self._clock.monotonic()
        request = arrival.request
        span = self.tracing.hop(
            Hop.target,
            request.traceparent,
            request.request_id,
            target.target_id,
        )
        if span.traceparent != request.traceparent:
            request = msgspec.structs.replace(
                request,
                traceparent=span.traceparent,
            )
        self.counters.sent_by_service[target.service] += 1
        attempt = await self._sender.send(
            request,
            target,
            min(left, arrival.route.longest_attempt),
        )
        span.end(attempt.failure.kind if attempt.failure else None)
        return attempt

    def _may_repeat(
        self,
        arrival: Arrival,
        service: ServiceName,
        tried: list[TargetId],
        last: Attempt,
    ) -> bool:
        """Tell whether a request may be sent once more, and pay for it."""
        if last.end is not AttemptEnd.not_run:
            if not arrival.route.kind.is_idempotent:
                return False
        now = self._clock.monotonic()
        if arrival.ends_at - now < LEAST_USEFUL:
            return False
        if len(tried) >= max(arrival.route.attempts, 1):
            return False
        return self._budget(service).take(now, self.daemons)

    def _ended(
        self,
        arrival: Arrival,
        refused: Refusal,
        attempts: list[Attempt],
    ) -> Answer | Refusal:
        """Return the final answer to a request that was not served."""
        ended = final_answer(refused, attempts)
        if isinstance(ended, Answer):
            return ended
        self.counters.refused(ended.cause)
        record(
            Event.request_refused,
            request=arrival.request.request_id,
            route=arrival.route.name,
            key=arrival.key,
            status=ended.status,
            reason=ended.sentence,
            waited=round(self._clock.monotonic() - arrival.came_at, 3),
            retry_after=ended.retry_after,
            configuration=self._version(),
        )
        return ended

    def _note_failure(
        self,
        arrival: Arrival,
        target: Target,
        attempt: Attempt,
    ) -> None:
        self.counters.attempt_failed(attempt.end.value)
        record(
            Event.attempt_failed,
            request=arrival.request.request_id,
            route=arrival.route.name,
            target=target.target_id,
            key=arrival.key,
            end=attempt.end.value,
            reason=attempt.reason,
            after=round(self._clock.monotonic() - arrival.came_at, 3),
        )

    def _spend_warm_up(self, target: Target, now: Seconds) -> None:
        if not self._view.targets.is_cold(target.target_id):
            return
        service = self._view.service(target.service)
        if service is not None:
            self._warm_up.spend(
                target.target_id,
                now,
                service.cold_rate,
                self.daemons,
            )

    def _budget(self, name: ServiceName) -> RepeatBudget:
        budget = self._budget_by_service.get(name)
        if budget is None:
            budget = RepeatBudget(self._settings.bounds)
            self._budget_by_service[name] = budget
        service = self._view.service(name)
        if service is not None and service.repeat_share is not None:
            budget.ratio = service.repeat_share
        return budget

    def _version(self) -> int:
        configuration: Configuration | None = self._view.configuration
        return configuration.version if configuration else 0


def final_answer(
    refused: Refusal,
    attempts: list[Attempt],
) -> Answer | Refusal:
    """Return what a request gets that no attempt has served.

    The refusal is a promise that the request has not run: it is given only
    if every target states so, or none was sent the request.
    """
    may_have_run = [
        attempt for attempt in attempts if attempt.end is not AttemptEnd.not_run
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


def _come_back(reason: str) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
        refusal.ReturnTime.no_configuration.value,
    )


def _refused(decision: refusal.Refuse) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        decision.reason.value,
        decision.retry_after,
        decision.reason.name,
        _KIND_BY_REASON[decision.reason],
    )
