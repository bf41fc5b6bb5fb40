"""Serve one request: route it, choose a target, send it, retry it."""

from collections.abc import Callable
from typing import Final, TypeAlias

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.counters import Counters, counted
from cassialever.gateway.dispatcher import TargetDispatcher
from cassialever.gateway.late_sendings import Decision
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    TargetRefusal,
)
from cassialever.gateway.refusals import (
    Refusal,
    attempts_failed,
    final_answer,
    no_target,
    stopping,
    withheld,
)
from cassialever.gateway.routing import RoutedRequest, Router
from cassialever.gateway.settings import GatewaySettings
from cassialever.gateway.stop_limit import StopLimit
from cassialever.gateway.tables_state import TablesState
from cassialever.gateway.waiting_lines import WaitingLines
from cassialever.interfaces import RandomSource
from cassialever.policy import refusal, subsets, unheld_keys
from cassialever.policy.budget import RetryBudget
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import (
    NEEDS_LEADER,
    NEEDS_PERMIT,
    NoTargetReason,
    PermitDelay,
    Place,
    PlacementRequest,
    TargetSelector,
    place_of,
)
from cassialever.policy.shares import WeightedSplit
from cassialever.telemetry.spans import Hop, HopTracer, NoopTracer
from cassialever.types import PlaceId, Seconds, ServiceName, TargetId

#: A request with less time left than this is not retried.
MIN_RETRY_TIME: Final[Seconds] = 0.02
#: Share of the objective that a request may wait for its trial, as long as for
#: a target with a free slot.
MAX_TRIAL_WAIT_SHARE: Final = 0.5


class _Placement(msgspec.Struct, frozen=True):
    """The target of one attempt, and until when the request may be written."""

    target: Target
    send_before: Seconds
    decision: Decision
    #: The request's key with its owner by the tables, if it has one.
    held: unheld_keys.HeldKey | None = None
    #: The place at the target that it uses, if the target is contended.
    place: PlaceId | None = None


#: A request as it was routed last, its placement, and how it ended.
_Sent: TypeAlias = tuple[RoutedRequest, _Placement, Attempt]

#: Called with the service, the key and the end of a request, and with the
#: attempts that failed before.
EndObserver: TypeAlias = Callable[
    [ServiceName, int, Answer | Refusal, list[Attempt]], None
]


class _Progress:
    """The attempts at one request."""

    def __init__(self, service: ServiceName) -> None:
        """Start without attempts at a service among those of the route."""
        self.service = service
        #: Targets that were tried, and how each try ended.
        self.tried: list[TargetId] = []
        self.failed: list[Attempt] = []
        #: Grants by which owners did not hold the key.
        self.refused_by: set[unheld_keys.Grant] = set()
        #: Places where another target has answered.
        self.replaced_at: set[Place] = set()
        self.undo_admission: Callable[[], None] = _ignore
        #: Attempts begun, also the second one at the same target.
        self.count = 0

    def record_failed(self, placed: _Placement, attempt: Attempt) -> None:
        """Record an attempt that did not serve the request."""
        self.tried.append(placed.target.target_id)
        self.failed.append(attempt)
        place = place_of(placed.target)
        if attempt.refusal is TargetRefusal.replaced:
            if place not in self.replaced_at:
                # It has reached no target that may run it.
                self.count -= 1
            self.replaced_at.add(place)
        if attempt.refusal is TargetRefusal.key_not_held and placed.held:
            self.refused_by.add(placed.held.grant)


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
        self._waiting = WaitingLines(
            view,
            self.selector,
            loads,
            self.counters.waiting,
            clock,
            random_source,
        )
        self.router = Router(view, clock)
        self.tracing: HopTracer = NoopTracer()
        #: Number of daemons among which retry budgets are divided; 0 while it
        #: is not known.
        self.daemon_count = 0
        #: Keys requested since the last report, by service.
        self.keys_asked: dict[ServiceName, list[int]] = {}
        self.on_end: EndObserver = _ignore
        #: Returns the state of this daemon's tables.
        self.tables: Callable[[], TablesState] = TablesState

    async def serve(self, routed: RoutedRequest) -> Answer | Refusal:
        """Send a request, with retries, and return its final answer."""
        admitted = await self.router.admit(routed)
        if isinstance(admitted, Refusal):
            self.counters.record_refusal(admitted.cause)
            waited = self._clock.monotonic() - routed.received_at
            _record_refusal(routed, admitted, waited, self.tables())
            return admitted
        progress = _Progress(self._choose_service(routed))
        progress.undo_admission = admitted
        while True:
            sent = await self._place_and_send(routed, progress)
            if isinstance(sent, Refusal):
                return self._finish_unserved(routed, sent, progress)
            routed, placed, last = sent
            _record_key(
                placed, last, self.selector.unheld, self._clock.monotonic()
            )
            if (
                last.outcome is AttemptOutcome.answered
                and last.answer is not None
            ):
                self.on_end(
                    progress.service, routed.key, last.answer, progress.failed
                )
                return last.answer
            progress.record_failed(placed, last)
            self.counters.record_failed_attempt(placed.target.service, last)
            goes_on = self._may_retry(routed, progress, last)
            _record_failed_attempt(
                routed, placed, last, self._clock.monotonic(), goes_on
            )
            if not goes_on:
                return self._finish_unserved(
                    routed,
                    attempts_failed(last.reason),
                    progress,
                )

    def _choose_service(self, routed: RoutedRequest) -> ServiceName:
        """Choose a service of a request's route, and count the request."""
        service = self._split.choose(routed.route)
        self._budget(service).count_request(self._clock.monotonic())
        if routed.key >= 0:
            self.keys_asked.setdefault(service, []).append(routed.key)
        return service

    async def _place_and_send(
        self, routed: RoutedRequest, progress: _Progress
    ) -> _Sent | Refusal:
        """Choose a target and send a request, alone if it may crash it."""
        max_wait = routed.route.objective * MAX_TRIAL_WAIT_SHARE
        async with self._sender.crashes.alone(
            routed.request, max_wait, self._time_left(routed)
        ) as reason:
            if reason is not None:
                return withheld(reason)
            return await self._place_until_sent(routed, progress)

    async def _place_until_sent(
        self, routed: RoutedRequest, progress: _Progress
    ) -> _Sent | Refusal:
        """Choose a target and send, again if the choice was withdrawn.

        Return the request as it was routed last.
        """
        while True:
            chosen = await self._place_by_route(routed, progress)
            if isinstance(chosen, Refusal):
                return chosen
            routed, placed = chosen
            attempt = await self._send(routed, placed, progress)
            time_left = routed.deadline - self._clock.monotonic()
            if not attempt.is_withdrawn or time_left < MIN_RETRY_TIME:
                return routed, placed, attempt
            # Nothing was sent, so this is not a retry.
            progress.count -= 1

    async def _place_by_route(
        self, routed: RoutedRequest, progress: _Progress
    ) -> tuple[RoutedRequest, _Placement] | Refusal:
        """Choose a target by the request's present route."""
        while True:
            current = await self.router.find_again(routed)
            if isinstance(current, Refusal):
                return current
            if current is not routed:
                progress.service = self._choose_service(current)
                routed = current
            placed = await self._place(routed, progress)
            if isinstance(placed, Refusal):
                return placed
            if placed is not None:
                return routed, placed

    async def _place(
        self,
        routed: RoutedRequest,
        progress: _Progress,
    ) -> _Placement | Refusal | None:
        """Choose a target, waiting for one if the policy allows it.

        Return None if the request's route has changed meanwhile.
        """
        placement = PlacementRequest(
            progress.service,
            routed.route.kind,
            routed.key,
            routed.route.objective,
            frozenset(progress.tried),
            refused_by=frozenset(progress.refused_by),
            replaced_at=frozenset(progress.replaced_at),
            body_bytes=len(routed.request.body),
            max_per_slot=self._waiting.max_per_slot(routed, progress.service),
        )
        started = self._clock.monotonic()
        since = started if progress.tried else routed.received_at
        with self._waiting.turn(routed, placement) as turn:
            while True:
                now = self._clock.monotonic()
                if self._time_left(routed) <= 0:
                    # A time limit of 0 or less would be none.
                    return attempts_failed('no time was left')
                chosen = turn.choose(now)
                if isinstance(chosen, Target):
                    return self._use(routed, chosen, placement, now)
                timing = refusal.RequestTiming(
                    waited=now - since,
                    remaining=self._time_left(routed),
                    objective=routed.route.objective,
                    expected_latency=0,
                    permit=_permit_delay(self.selector, chosen, placement, now),
                    pause=_pause_left(
                        chosen, self._view, self.selector, placement
                    ),
                    cores=self._settings.instance.cores,
                    has_leader=_has_leader(chosen, self.tables),
                    ended_for=_ended_for(chosen, self.selector, placement, now),
                    is_hopeless=turn.is_out(chosen, now),
                    waiting=self._waiting.looking_count(),
                )
                decision = turn.book_return(
                    refusal.decide(chosen, timing, self._random),
                    timing.remaining,
                    now,
                )
                if isinstance(decision, refusal.Refuse):
                    return _no_target(
                        decision, placement, self._view, self.selector
                    )
                with counted(
                    self.selector.waiting_by_service, placement.service
                ):
                    await turn.wait(decision.pause)
                if self.router.has_changed(routed):
                    return None

    def _use(
        self,
        routed: RoutedRequest,
        target: Target,
        placement: PlacementRequest,
        now: Seconds,
    ) -> _Placement | Refusal:
        """Place a request, unless it would outlast a stop that has begun."""
        time_limit = min(routed.deadline - now, routed.route.longest_attempt)
        load = self._loads.of(target.target_id)
        latency = load.expected_latency(target.slots, now)
        if not self.stop_limit.admits(time_limit, latency):
            return stopping(target)
        send_before = self.limiter.use_permit(target.target_id)
        decision = Decision(routed.received_at, now, self.tables())
        held = unheld_keys.held_key(
            placement.service,
            placement.key,
            self.selector.key_range_of(placement),
        )
        if held is not None:
            self.selector.unheld.record_tried(held, now)
        place = self.selector.shares.take(target.target_id)
        return _Placement(target, send_before, decision, held, place)

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
            withdrawal_reason=lambda: (
                self.router.reason_to_withdraw(routed)
                or _reason_not_held(placed, self.selector.unheld)
            ),
            decision=placed.decision,
            place=placed.place,
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
        with counted(self._waiting.open_by_service, target.service):
            ended = await self.stop_limit.apply(attempt)
        self._waiting.wake(target)
        return ended

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
        if not self.router.quotas.admit_repeat(routed.customer):
            return False
        progress.count += 1
        return True

    def _may_retry(
        self, routed: RoutedRequest, progress: _Progress, last: Attempt
    ) -> bool:
        """Return whether a request may be retried, and spend the budget."""
        if last.outcome is not AttemptOutcome.not_run:
            if not routed.route.kind.is_idempotent:
                return False
            if self._sender.crashes.is_suspected(routed.request):
                return False
        if not self._spend_attempt(routed, progress.service, progress):
            return False
        # One that has not run needs no other token.
        return (
            last.outcome is AttemptOutcome.not_run
            or self.router.quotas.admit_repeat(routed.customer)
        )

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
        progress: _Progress,
    ) -> Answer | Refusal:
        """Return the final answer to a request that was not served."""
        answer = final_answer(refused, progress.failed)
        self.on_end(progress.service, routed.key, answer, progress.failed)
        if isinstance(answer, Answer):
            return answer
        if answer.retry_after is not None:
            # It has not run.
            progress.undo_admission()
        self.counters.record_refusal(answer.cause)
        waited = self._clock.monotonic() - routed.received_at
        _record_refusal(routed, answer, waited, self.tables())
        return answer

    def _budget(self, name: ServiceName) -> RetryBudget:
        budget = self._budget_by_service.get(name)
        if budget is None:
            budget = RetryBudget(self._settings.bounds)
            self._budget_by_service[name] = budget
        service = self._view.service(name)
        if service is not None and service.repeat_share is not None:
            budget.ratio = service.repeat_share
        return budget


def _ignore(*_: object) -> None:
    """Take no note of ends; the default until an observer is known."""


def _reason_not_held(placed: _Placement, unheld: unheld_keys.UnheldKeys) -> str:
    """Return the reason if a key was refused since a placement."""
    held = placed.held
    if held is None:
        return ''
    if unheld.is_refused_since(held, placed.decision.decided_at):
        return NoTargetReason.key_not_held.value
    return ''


def _record_key(
    placed: _Placement,
    attempt: Attempt,
    unheld: unheld_keys.UnheldKeys,
    now: Seconds,
) -> None:
    """Record whether the owner of a key has said that it holds it."""
    if placed.held is None:
        return
    sent_at = placed.decision.decided_at
    if attempt.refusal is TargetRefusal.key_not_held:
        unheld.record_refused(placed.held, sent_at, now)
    elif attempt.answer is not None:
        unheld.record_held(placed.held, sent_at)


def _permit_delay(
    selector: TargetSelector,
    reason: NoTargetReason,
    placement: PlacementRequest,
    now: Seconds,
) -> PermitDelay:
    if reason not in NEEDS_PERMIT:
        return PermitDelay()
    return selector.permit_delay(placement, now)


def _has_leader(
    reason: NoTargetReason, tables: Callable[[], TablesState]
) -> bool:
    """Return whether a leader is followed, if the reason depends on it."""
    if reason not in NEEDS_LEADER:
        return True
    return not tables().without_leader


def _ended_for(
    reason: NoTargetReason,
    selector: TargetSelector,
    placement: PlacementRequest,
    now: Seconds,
) -> Seconds:
    """Return the time since a request met an owner first that has ended."""
    if reason is not NoTargetReason.owner_ended:
        return 0
    owner = selector.owner_of(placement)
    return 0 if owner is None else selector.ended_owners.record_met(owner, now)


def _pause_left(
    reason: NoTargetReason,
    view: FleetView,
    selector: TargetSelector,
    placement: PlacementRequest,
) -> Seconds:
    """Return the time until a target that has asked for a pause may be used."""
    if reason is not NoTargetReason.paused:
        return 0
    owner = selector.owner_of(placement)
    if owner is not None:
        return view.targets.pause_left(owner)
    usable = view.targets.usable(placement.service)
    return min(map(view.targets.pause_left, usable), default=0)


def _no_target(
    decision: refusal.Refuse,
    placement: PlacementRequest,
    view: FleetView,
    selector: TargetSelector,
) -> Refusal:
    sentence = decision.reason.value
    owner = selector.owner_of(placement)
    rate = view.targets.limits.rate_of(owner) if owner else None
    if rate is not None and decision.reason is NoTargetReason.limited:
        sentence = f'the owner of the key takes {rate:g} requests a second'
    return no_target(decision, sentence, owner)


def _record_refusal(
    routed: RoutedRequest,
    answer: Refusal,
    waited: Seconds,
    tables: TablesState,
) -> None:
    record(
        Event.request_refused,
        request=routed.request.request_id,
        route=routed.route.name,
        key=routed.key,
        target=answer.target_id,
        status=answer.status,
        reason=answer.sentence,
        waited=round(waited, 3),
        retry_after=answer.retry_after,
        fingerprint=answer.fingerprint,
        **tables.fields(),
    )


def _record_failed_attempt(
    routed: RoutedRequest,
    placed: _Placement,
    attempt: Attempt,
    now: Seconds,
    goes_on: bool,
) -> None:
    record(
        Event.attempt_failed,
        request=routed.request.request_id,
        route=routed.route.name,
        target=placed.target.target_id,
        started_at=placed.target.started_at,
        helper=attempt.helper or None,
        key=routed.key,
        end=attempt.outcome.value,
        refusal=attempt.refusal.value if attempt.refusal else None,
        answered_by=attempt.answered_by or None,
        goes_on=goes_on,
        reason=attempt.reason,
        after=round(now - routed.received_at, 3),
        **placed.decision.tables.fields(),
    )
