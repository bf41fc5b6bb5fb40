"""Daemons of the benchmarks: one request's attempts through the real core."""

from collections.abc import Callable, Mapping
from functools import partial
from typing import TypeAlias

import msgspec

from bench.engine import Engine, GatedTarget
from bench.policies import Policy
from cassialever.attempts import (
    Attempts,
    FinalAnswer,
    Redirect,
    RequestTerms,
    Retry,
)
from cassialever.budget import RetryBudget
from cassialever.errors import Failure
from cassialever.messages import TargetLoad
from cassialever.tickets import Ticket
from cassialever.types import (
    AttemptState,
    CallerId,
    RequestId,
    Seconds,
    TargetId,
)

Ended: TypeAlias = Callable[[Seconds, Failure | None], None]

#: One way between two daemons.
HOP: Seconds = 0.0005
DEADLINE: Seconds = 2.0


class Counts(msgspec.Struct):
    """What a run has sent, over all its daemons."""

    received: int = 0
    sends: int = 0
    hedges: int = 0


class Attempt(msgspec.Struct, frozen=True):
    """One attempt under an id of its own."""

    target_id: TargetId
    attempt_id: RequestId


class Daemon:
    """One daemon with its policy and its budget."""

    def __init__(
        self,
        policy: Policy,
        share: float,
        engine: Engine,
        gated_by_id: Mapping[TargetId, GatedTarget],
        counts: Counts,
    ) -> None:
        """Take what all daemons of a run share."""
        self.policy = policy
        self.engine = engine
        self.gated_by_id = gated_by_id
        self.counts = counts
        self.budget = RetryBudget(share, 0)

    def receive(
        self,
        request_id: RequestId,
        repeatable: bool,
        ended: Ended,
    ) -> None:
        """Start a request."""
        self.counts.received += 1
        self.budget.fresh(self.engine.now)
        OpenRequest(self, request_id, repeatable, ended).send()


class OpenRequest:
    """One request until its first answer or its final failure."""

    def __init__(
        self,
        daemon: Daemon,
        request_id: RequestId,
        repeatable: bool,
        ended: Ended,
    ) -> None:
        """Start the clock."""
        engine = daemon.engine
        deadline = engine.now + DEADLINE
        terms = RequestTerms(repeatable, sole_target=False, deadline=deadline)
        self._daemon = daemon
        self._engine = engine
        self._request_id = request_id
        self._ended = ended
        self._began = engine.now
        self._deadline = deadline
        self._is_open = True
        self._attempts = Attempts(terms, daemon.budget)

    def send(self) -> None:
        """Send an attempt to the target that the policy chooses."""
        target_id = self._daemon.policy.choose(
            self._attempts.tried,
            self._engine.now,
        )
        if target_id is None:
            return
        self._attempts.started(target_id)
        self._daemon.counts.sends += 1
        attempt = Attempt(
            target_id,
            RequestId(f'{self._request_id}-{self._attempts.count}'),
        )
        self._send(attempt)
        delay = self._daemon.policy.hedge_delay
        if delay is not None and self._attempts.count == 1:
            self._engine.after(delay, self._hedge)

    def _send(self, attempt: Attempt) -> None:
        self._daemon.policy.sent(
            attempt.target_id,
            attempt.attempt_id,
            self._engine.now,
        )
        ticket = Ticket(self._request_id, CallerId('bench'), self._deadline)
        gated = self._daemon.gated_by_id[attempt.target_id]
        done = partial(self._answer, attempt)
        self._engine.after(HOP, partial(gated.submit, ticket, done))

    def _hedge(self) -> None:
        if self._is_open and self._attempts.may_hedge(self._engine.now):
            self._daemon.counts.hedges += 1
            self.send()

    def _answer(self, attempt: Attempt, failure: Failure | None) -> None:
        gated = self._daemon.gated_by_id[attempt.target_id]
        load = gated.gate.load()
        arrive = partial(self._arrive, attempt, failure, load)
        self._engine.after(HOP, arrive)

    def _arrive(
        self,
        attempt: Attempt,
        failure: Failure | None,
        load: TargetLoad,
    ) -> None:
        now, policy = self._engine.now, self._daemon.policy
        if failure is None:
            policy.answered(load, attempt.attempt_id, now)
        else:
            policy.gave_up(
                attempt.target_id,
                attempt.attempt_id,
                now,
                failure.kind,
            )
        if not self._is_open:
            return
        if failure is None:
            self._end(None)
            return
        self._decide(failure)

    def _decide(self, failure: Failure) -> None:
        decision = self._attempts.failed(
            failure,
            AttemptState.answered,
            self._engine.now,
        )
        if isinstance(decision, FinalAnswer):
            self._end(decision.failure)
        if isinstance(decision, Retry):
            self.send()
        if isinstance(decision, Redirect):
            self._engine.after(decision.pause, self.send)

    def _end(self, failure: Failure | None) -> None:
        self._is_open = False
        self._ended(self._engine.now - self._began, failure)
