"""Test what a request gets that was not served."""

import unittest

from cassialever.errors import ErrorKind
from cassialever.gateway.forwarder import Refusal, final_answer
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.types import TargetId

REFUSED = Refusal(503, 'full', 0.3)


class FinalAnswerTest(unittest.TestCase):
    """Promises are given only where they are true."""

    def test_never_sent(self) -> None:
        self.assertIs(final_answer(REFUSED, []), REFUSED)

    def test_every_target_refused(self) -> None:
        attempts = [not_run('shed'), not_run('shed')]
        self.assertIs(final_answer(REFUSED, attempts), REFUSED)

    def test_a_refusal_after_doubt_promises_nothing(self) -> None:
        ended = final_answer(REFUSED, [unknown('reset'), not_run('shed')])
        assert isinstance(ended, Refusal)
        self.assertEqual((ended.status, ended.retry_after), (502, None))

    def test_time_limit(self) -> None:
        late = unknown('too late', ErrorKind.deadline_passed)
        ended = final_answer(REFUSED, [late])
        assert isinstance(ended, Refusal)
        self.assertEqual(ended.status, 504)

    def test_a_targets_own_failure_is_passed_on(self) -> None:
        answer = Answer(TargetId('t'), 500, [], b'no')
        failed = Attempt(AttemptOutcome.failed, answer)
        self.assertIs(final_answer(REFUSED, [failed, not_run('shed')]), answer)
