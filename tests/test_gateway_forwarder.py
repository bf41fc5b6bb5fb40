"""Tests of the final answer to a request that was not served."""

import unittest

from cassialever.errors import ErrorKind
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.gateway.refusals import Refusal, final_answer
from cassialever.types import TargetId

REFUSED = Refusal(503, 'full', 0.3)


class FinalAnswerTest(unittest.TestCase):
    """A refusal is returned only if the request certainly did not run."""

    def test_request_never_sent_is_refused(self) -> None:
        self.assertIs(final_answer(REFUSED, []), REFUSED)

    def test_request_shed_by_every_target_is_refused(self) -> None:
        attempts = [not_run('shed'), not_run('shed')]
        self.assertIs(final_answer(REFUSED, attempts), REFUSED)

    def test_refusal_after_unknown_outcome_promises_nothing(self) -> None:
        answer = final_answer(REFUSED, [unknown('reset'), not_run('shed')])
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.status, answer.retry_after), (502, None))

    def test_passed_deadline_is_answered_with_504(self) -> None:
        late = unknown('too late', ErrorKind.deadline_passed)
        answer = final_answer(REFUSED, [late])
        assert isinstance(answer, Refusal)
        self.assertEqual(answer.status, 504)

    def test_failure_answer_of_a_target_is_passed_on(self) -> None:
        answer = Answer(TargetId('t'), 500, [], b'no')
        failed = Attempt(AttemptOutcome.failed, answer)
        self.assertIs(final_answer(REFUSED, [failed, not_run('shed')]), answer)
