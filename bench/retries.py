"""Sends per request after half of the targets begin to fail.

Run with `python -m bench.retries`. A failing target sheds some requests and
answers nothing to others. The baseline tries each request up to three times.
"""

import itertools
import random
import sys
from functools import partial

import msgspec

from bench.engine import Engine
from bench.report import seed_from, show, show_row
from cassialever.attempts import Attempts, FinalAnswer, RequestTerms
from cassialever.budget import RetryBudget
from cassialever.errors import ErrorKind, Failure
from cassialever.messages import TargetLoad
from cassialever.selection import Candidate, TargetChooser
from cassialever.types import AttemptState, RequestId, Seconds, TargetId

TARGETS = 16
FAILING = 8
RATE = 1000.0
FAIL_FROM: Seconds = 2.0
END: Seconds = 20.0
LATENCY: Seconds = 0.01
#: How long a request goes unanswered before its attempt is given up.
ATTEMPT_TIMEOUT: Seconds = 0.2
DEADLINE: Seconds = 2.0
REPEATABLE = 0.8
#: The share of requests that a failing target sheds; the rest go unanswered.
SHED = 0.5
SHARE = 0.1
NAIVE_TRIES = 3
SEED = 11
TARGET_IDS = tuple(TargetId(str(index)) for index in range(TARGETS))
NUMBERS = itertools.count()
FAILING_IDS = frozenset(TARGET_IDS[:FAILING])


class Policy(msgspec.Struct, frozen=True):
    """How a run chooses targets and whether it keeps to the budget."""

    name: str
    chooses: bool
    has_budget: bool


POLICIES = (
    Policy('naive 3 tries', chooses=False, has_budget=False),
    Policy('random, budget', chooses=False, has_budget=True),
    Policy('cassialever', chooses=True, has_budget=True),
)


class Run:
    """One policy with one seed."""

    def __init__(self, policy: Policy, seed: int) -> None:
        """Start before the first request."""
        self.engine = Engine()
        self.policy = policy
        self.received = 0
        self.sends = 0
        self.answered = 0
        self.run_twice = 0
        self.source = random.Random(seed)
        self.budget = RetryBudget(SHARE, 0)
        self.chooser = TargetChooser(random.Random(seed))
        self.chooser.adopt(
            [Candidate(one, is_local=True) for one in TARGET_IDS]
        )

    def run(self) -> None:
        """Receive requests until the end."""
        at: Seconds = 0
        while at < END:
            at += self.source.expovariate(RATE)
            self.engine.after(at, self._receive)
        self.engine.run()

    def choose(self, attempts: Attempts) -> TargetId:
        """Return the target of one attempt."""
        chosen = None
        if self.policy.chooses:
            chosen = self.chooser.choose(attempts.tried, self.engine.now)
        return chosen or self.source.choice(TARGET_IDS)

    def _receive(self) -> None:
        self.received += self.engine.now >= FAIL_FROM
        self.budget.fresh(self.engine.now)
        Request(self, self.source.random() < REPEATABLE).send()


class Request:
    """One request until its answer or its final failure."""

    def __init__(self, run: Run, repeatable: bool) -> None:
        """Start before the first attempt."""
        deadline = run.engine.now + DEADLINE
        terms = RequestTerms(repeatable, sole_target=False, deadline=deadline)
        self._run = run
        self._repeatable = repeatable
        self._unknown = 0
        self._counts = run.engine.now >= FAIL_FROM
        self._number = next(NUMBERS)
        self._attempts = Attempts(terms, run.budget)

    def send(self) -> None:
        """Send an attempt."""
        run = self._run
        target_id = run.choose(self._attempts)
        self._attempts.started(target_id)
        run.sends += self._counts
        self._count_repeats()
        run.chooser.sent(target_id, self._attempt_id(), run.engine.now)
        fails = target_id in FAILING_IDS and run.engine.now >= FAIL_FROM
        if not fails:
            run.engine.after(LATENCY, partial(self._answered, target_id))
            return
        failure = Failure(ErrorKind.target_shed, 'shed')
        state = AttemptState.answered
        delay = LATENCY
        if run.source.random() >= SHED:
            failure = Failure(ErrorKind.outcome_unknown, 'no answer')
            state = AttemptState.outcome_unknown
            delay = ATTEMPT_TIMEOUT
        failed = partial(self._failed, target_id, failure, state)
        run.engine.after(delay, failed)

    def _attempt_id(self) -> RequestId:
        return RequestId(f'{self._number}-{self._attempts.count}')

    def _count_repeats(self) -> None:
        if self._unknown and not self._repeatable:
            self._run.run_twice += 1

    def _answered(self, target_id: TargetId) -> None:
        self._run.answered += self._counts
        load = TargetLoad(target_id, capacity=4)
        now = self._run.engine.now
        self._run.chooser.answered(load, self._attempt_id(), now)

    def _failed(
        self,
        target_id: TargetId,
        failure: Failure,
        state: AttemptState,
    ) -> None:
        run = self._run
        now = run.engine.now
        run.chooser.gave_up(
            target_id,
            self._attempt_id(),
            now,
            failure.kind,
        )
        self._unknown += state is AttemptState.outcome_unknown
        if not run.policy.has_budget:
            if self._attempts.count < NAIVE_TRIES:
                self.send()
            return
        decision = self._attempts.failed(failure, state, now)
        if not isinstance(decision, FinalAnswer):
            self.send()


HEAD = ('policy', 'sends/req', 'answered', 'ran twice')


def main() -> None:
    """Print the table; an argument is the seed."""
    seed = seed_from(sys.argv, SEED)
    show(f'seed {seed}; {FAILING} of {TARGETS} targets fail')
    show_row(HEAD)
    for policy in POLICIES:
        run = Run(policy, seed)
        run.run()
        sends = run.sends / run.received
        answered = run.answered / run.received
        show_row((policy.name, sends, answered, run.run_twice))


if __name__ == '__main__':
    main()
