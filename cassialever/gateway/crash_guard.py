"""Keep requests that crash targets from crashing any more of them.

A suspect is sent alone, by one daemon of the fleet at a time. One that was at
work at several crashes is refused until it has not come for a long time.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.gateway.outcomes import AttemptOutcome, Withheld
from cassialever.gateway.sender import CALLER_HEADER, TargetRequest
from cassialever.policy.crashes import (
    RETENTION,
    CrashMemory,
    CrashRecord,
    Fingerprint,
    PendingCrashes,
    Suspicion,
    TargetLife,
    describe_crashes,
    fingerprint_request,
)
from cassialever.policy.trials import SETTLING_TIME, Trials
from cassialever.types import InstanceId, Seconds

#: Time after which a request may be tried alone that had to wait for another
#: trial.
TRIAL_RETRY_AFTER: Final[Seconds] = 0.5
#: Time between two looks whether another trial has ended.
TRIAL_POLL_INTERVAL: Final[Seconds] = 0.02


class CrashGuard:
    """What a daemon knows of requests that crash targets, and does about it."""

    def __init__(self, instance_id: InstanceId, clock: SystemClock) -> None:
        """Start without any suspicion."""
        self._clock = clock
        self.memory = CrashMemory()
        #: Exchanges that broke, where no crash is confirmed yet.
        self.pending = PendingCrashes()
        self.trials = Trials(instance_id)
        #: Called with each request of which other daemons have to hear.
        self.on_news: Callable[[Fingerprint], None] = _ignore_news

    def is_suspected(self, request: TargetRequest) -> bool:
        """Return whether a request was at work where a target crashed."""
        if self.memory.is_empty:
            return False
        known = self.memory.find(fingerprint(request))
        return known is not None and bool(known.crashes)

    def is_quarantined(self, request: TargetRequest) -> bool:
        """Return whether a request may be sent to no target."""
        if self.memory.is_empty:
            return False
        suspicion = self.memory.suspicion_of(fingerprint(request))
        return suspicion is Suspicion.quarantined

    def alone(
        self, request: TargetRequest, max_wait: Seconds, time_left: Seconds
    ) -> 'Trial':
        """Return the context in which to send a request, a suspect one alone.

        It is entered after a wait of at most `max_wait` for other trials, and
        gives the reason if the request may not be sent.
        """
        return Trial(self, request, max_wait, time_left)

    async def begin_trial(
        self, one: Fingerprint, max_wait: Seconds, time_left: Seconds
    ) -> bool:
        """Wait for the trial of a suspect; return whether this daemon has it.

        It has none if the request is no suspect any more.
        """
        now = self._clock.monotonic()
        wait_until = now + max_wait
        self.memory.record_coming(one, now)
        suspicion = self.memory.suspicion_of(one)
        while suspicion is Suspicion.suspect:
            now = self._clock.monotonic()
            if self.trials.claim(one, time_left, now):
                if await self._settle(one):
                    return True
            elif now >= wait_until:
                return False
            else:
                await asyncio.sleep(TRIAL_POLL_INTERVAL)
            suspicion = self.memory.suspicion_of(one)
        return False

    def finish_trial(self, one: Fingerprint) -> None:
        """Let the next one be tried."""
        self.trials.release(one)
        self.on_news(one)

    def refusal(self, one: Fingerprint) -> Withheld | None:
        """Return the refusal of a request without a trial, if it needs one."""
        known = self.memory.find(one)
        if known is None or known.suspicion is Suspicion.none:
            return None
        crashes = describe_crashes(known.crashes)
        if known.suspicion is Suspicion.suspect:
            return Withheld(
                Suspicion.suspect,
                f'sent alone, since it was at work where {crashes} crashed',
                TRIAL_RETRY_AFTER,
                describe(one),
            )
        return Withheld(
            Suspicion.quarantined,
            f'it was at work where {crashes} crashed',
            RETENTION,
            describe(one),
        )

    def record_crash(
        self, one: Fingerprint, life: TargetLife, reason: str
    ) -> None:
        """Take a request as suspect that was at work where a target ended."""
        before = self.memory.suspicion_of(one)
        if not self.memory.record_crash(
            one,
            life,
            self._clock.monotonic(),
            was_alone=self.pending.was_alone(one, life),
        ):
            return
        record(
            Event.request_suspected,
            fingerprint=describe(one),
            target=life.target_id,
            started_at=life.started_at,
            reason=reason,
        )
        self._note_change(one, before, 'an own exchange')
        self.on_news(one)

    def record_answered(
        self,
        request: TargetRequest,
        target: Target,
        outcome: AttemptOutcome,
        sent_at: Seconds,
    ) -> None:
        """Clear a request that was served, and crashes that were none."""
        life = TargetLife.of(target)
        self.pending.record_alive(life, sent_at)
        if self.memory.is_empty:
            return
        now = self._clock.monotonic()
        cleared = self.memory.record_alive(life, sent_at, now)
        one = fingerprint(request)
        if outcome is AttemptOutcome.answered:
            if self.memory.record_answer(one, now):
                cleared.append(one)
        for other in cleared:
            self.on_news(other)

    def merge(self, reported: CrashRecord, peer: str) -> None:
        """Merge what another daemon knows of a request."""
        before = self.memory.suspicion_of(reported.fingerprint)
        if self.memory.merge(reported, self._clock.monotonic()):
            self._note_change(reported.fingerprint, before, peer)

    def prune(self) -> None:
        """Forget what is too old."""
        now = self._clock.monotonic()
        self.pending.prune(now)
        self.trials.prune(now)
        for expired in self.memory.prune(now):
            if expired.suspicion is Suspicion.quarantined:
                _record_released(expired.fingerprint, 'it came no more')

    def quarantined_count(self) -> int:
        """Return the number of requests that are sent to no target."""
        return sum(
            known.suspicion is Suspicion.quarantined
            for known in self.memory.records()
        )

    async def _settle(self, one: Fingerprint) -> bool:
        """Return whether an own claim holds once all others are known."""
        is_held = False
        self.on_news(one)
        try:
            await asyncio.sleep(SETTLING_TIME)
            is_held = self._holds_trial(one)
        finally:
            if not is_held:
                self.finish_trial(one)
        return is_held

    def _holds_trial(self, one: Fingerprint) -> bool:
        if self.memory.suspicion_of(one) is not Suspicion.suspect:
            return False
        return self.trials.holds(one, self._clock.monotonic())

    def _note_change(
        self, one: Fingerprint, before: Suspicion, learned_from: str
    ) -> None:
        known = self.memory.find(one)
        if known is None or known.suspicion is before:
            return
        if before is Suspicion.quarantined:
            _record_released(one, 'another cause of a crash is known')
        if known.suspicion is Suspicion.quarantined:
            record(
                Event.request_quarantined,
                fingerprint=describe(one),
                crashes=[msgspec.to_builtins(life) for life in known.crashes],
                learned_from=learned_from,
            )


class Trial:
    """The context in which a request is sent.

    Each request passes through it, so that it is no generator.
    """

    def __init__(
        self,
        guard: CrashGuard,
        request: TargetRequest,
        max_wait: Seconds,
        time_left: Seconds,
    ) -> None:
        self._guard = guard
        self._request = request
        self._max_wait = max_wait
        self._time_left = time_left
        #: The request whose trial this daemon has, if it has one.
        self._held: Fingerprint | None = None

    async def __aenter__(self) -> Withheld | None:
        """Wait for the trial of a suspect; return why one may not be sent."""
        if self._guard.memory.is_empty:
            return None
        one = fingerprint(self._request)
        if not await self._guard.begin_trial(
            one, self._max_wait, self._time_left
        ):
            return self._guard.refusal(one)
        self._held = one
        return None

    async def __aexit__(self, *_: object) -> None:
        """Let the next one be tried."""
        if self._held is not None:
            self._guard.finish_trial(self._held)


def fingerprint(request: TargetRequest) -> Fingerprint:
    """Return the fingerprint of a request as it is sent to targets."""
    return fingerprint_request(
        request.method,
        request.headers.get('Host', ''),
        request.raw_path,
        request.headers.get(CALLER_HEADER, ''),
        request.body,
    )


def describe(one: Fingerprint) -> str:
    """Return a fingerprint as it is written in logs."""
    return f'{one:016x}'


def _ignore_news(one: Fingerprint) -> None:
    """Report nothing; the default until a handler is set."""


def _record_released(one: Fingerprint, reason: str) -> None:
    record(Event.request_released, fingerprint=describe(one), reason=reason)
