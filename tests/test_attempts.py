"""Tests of cassialever.attempts and cassialever.budget."""

import itertools
import unittest

from cassialever.attempts import (
    MOST_ATTEMPTS,
    REDIRECT_PAUSES,
    Attempts,
    FinalAnswer,
    Redirect,
    RequestTerms,
    Retry,
    Wait,
    Where,
    hop_time_left,
)
from cassialever.budget import RetryBudget
from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.types import AttemptState, TargetId

UNKNOWN = AttemptState.outcome_unknown
NOT_SENT = AttemptState.not_sent
ANSWERED = AttemptState.answered


def attempts(
    *,
    repeatable: bool = False,
    sole: bool = False,
    saved: int = 10,
) -> Attempts:
    """Return a request whose first attempt is out, and money for more."""
    budget = RetryBudget(1.0, 0)
    budget.draw(0)
    for _ in range(saved):
        budget.fresh(0)
    request = Attempts(RequestTerms(repeatable, sole, deadline=10), budget)
    request.started(TargetId('a'))
    return request


class TestAttempts(unittest.TestCase):
    """Decisions after an attempt."""

    def test_what_may_have_run_is_never_sent_again(self) -> None:
        """For every kind and state: no retry, and never a false "not run"."""
        for kind, state in itertools.product(ErrorKind, AttemptState):
            may_have_run = state is UNKNOWN or (
                state is ANSWERED and not ANSWER_BY_KIND[kind].not_run
            )
            if not may_have_run:
                continue
            with self.subTest(kind=kind, state=state):
                decision = attempts().failed(Failure(kind, ''), state, 0)
                assert isinstance(decision, FinalAnswer)
                said = ANSWER_BY_KIND[decision.failure.kind]
                self.assertFalse(said.not_run)

    def test_not_run_goes_elsewhere_but_not_from_the_only_target(self) -> None:
        """A shed is tried elsewhere; a key's owner gets no second one."""
        shed = Failure(ErrorKind.target_shed, '', None, 2)
        decision = attempts().failed(shed, ANSWERED, 0)
        self.assertEqual(decision, Retry(Where.elsewhere))
        decision = attempts(sole=True).failed(shed, ANSWERED, 0)
        self.assertEqual(decision, FinalAnswer(shed))

    def test_silence_of_the_only_target_is_tried_again_if_repeatable(
        self,
    ) -> None:
        """The next try goes to the same target, for repeatable work only."""
        silence = Failure(ErrorKind.outcome_unknown, '')
        request = attempts(sole=True, repeatable=True)
        decision = request.failed(silence, UNKNOWN, 0)
        self.assertEqual(decision, Retry(Where.same_target))

    def test_without_budget_the_answer_is_given_at_once(self) -> None:
        """The failure itself is the answer."""
        busy = Failure(ErrorKind.target_busy, '', None, 0.3)
        decision = attempts(saved=0).failed(busy, NOT_SENT, 0)
        self.assertEqual(decision, FinalAnswer(busy))

    def test_no_try_once_the_hop_margin_is_gone(self) -> None:
        """What could only come back late is not sent."""
        shed = Failure(ErrorKind.target_shed, '')
        decision = attempts().failed(shed, ANSWERED, 9.996)
        self.assertIsInstance(decision, FinalAnswer)
        self.assertEqual(hop_time_left(0.004), 0)

    def test_attempts_are_bounded(self) -> None:
        """A rich budget doesn't make one request go round for ever."""
        request = attempts()
        shed = Failure(ErrorKind.target_shed, '')
        sends = 1
        while isinstance(request.failed(shed, ANSWERED, 0), Retry):
            request.started(TargetId(str(sends)))
            sends += 1
        self.assertEqual(sends, MOST_ATTEMPTS)

    def test_redirects_are_free_but_bounded(self) -> None:
        """They need no budget and end after a few."""
        request = attempts(saved=0)
        moved = Failure(ErrorKind.not_holder, '')
        for pause in REDIRECT_PAUSES:
            decision = request.failed(moved, NOT_SENT, 0)
            self.assertEqual(decision, Redirect(pause))
            request.started(TargetId('a'))
        decision = request.failed(moved, NOT_SENT, 0)
        self.assertEqual(decision, FinalAnswer(moved))

    def test_refusal_after_an_unknown_attempt_does_not_say_not_run(
        self,
    ) -> None:
        """The first attempt may have run, whatever the second one says."""
        request = attempts(repeatable=True)
        silence = Failure(ErrorKind.outcome_unknown, '')
        self.assertIsInstance(request.failed(silence, UNKNOWN, 0), Retry)
        request.started(TargetId('b'))
        late = Failure(ErrorKind.deadline_passed, '')
        decision = request.failed(late, NOT_SENT, 1)
        assert isinstance(decision, FinalAnswer)
        self.assertEqual(decision.failure.kind, ErrorKind.outcome_unknown)

    def test_refusal_between_attempts_is_truthful(self) -> None:
        """Finding no target for the next attempt doesn't undo the first."""
        nowhere = Failure(ErrorKind.no_target, '')
        request = attempts(repeatable=True)
        self.assertEqual(request.truthful(nowhere), nowhere)
        silence = Failure(ErrorKind.outcome_unknown, '')
        request.failed(silence, UNKNOWN, 0)
        told = request.truthful(nowhere)
        self.assertEqual(told.kind, ErrorKind.outcome_unknown)

    def test_hedge_is_for_repeatable_work_with_budget_only(self) -> None:
        """One hedge at most, and a failure beside it waits for it."""
        self.assertFalse(attempts().may_hedge(0))
        self.assertFalse(attempts(repeatable=True, saved=0).may_hedge(0))
        self.assertFalse(attempts(repeatable=True, sole=True).may_hedge(0))
        request = attempts(repeatable=True)
        self.assertTrue(request.may_hedge(0))
        request.started(TargetId('b'))
        self.assertFalse(request.may_hedge(0))
        failure = Failure(ErrorKind.target_failed, '')
        self.assertEqual(request.failed(failure, ANSWERED, 0), Wait())
        self.assertIsInstance(request.failed(failure, ANSWERED, 0), Retry)


class TestRetryBudget(unittest.TestCase):
    """Extra sends stay a share of fresh work."""

    def test_share_bounds_extra_sends_of_a_busy_service(self) -> None:
        """However often it is asked, no more than the share and one."""
        budget = RetryBudget(0.1, 0)
        drawn = 0
        for index in range(5000):
            now = index * 0.001
            budget.fresh(now)
            drawn += budget.draw(now) + budget.draw(now)
        self.assertGreaterEqual(drawn, 490)
        self.assertLessEqual(drawn, 501)

    def test_idle_service_saves_little(self) -> None:
        """A long calm never pays for a storm."""
        budget = RetryBudget(0.1, 0)
        for index in range(5000):
            budget.fresh(index)
        drawn = sum(budget.draw(5000) for _ in range(100))
        self.assertLessEqual(drawn, 11)

    def test_floor_serves_a_service_with_little_work(self) -> None:
        """One extra send each ten seconds is always there."""
        budget = RetryBudget(0.0, 0)
        self.assertTrue(budget.draw(0))
        self.assertFalse(budget.draw(1))
        self.assertTrue(budget.draw(11))
