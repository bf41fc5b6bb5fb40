"""Check the answer to a request for every combination of attempt outcomes.

The sender is replaced by a scripted one; the rest of the path is real.
"""

import asyncio
import itertools
import random
import unittest

import msgspec

from cassialever.errors import ErrorKind
from cassialever.fleet.model import RequestKind, Target
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.duplicates import MayDuplicate
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.policy.loads import LoadTracker
from cassialever.types import Seconds
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    add_targets,
    configured_view,
    make_settings,
    run_virtually,
)
from tests.hop_helpers import LoggedEvents

ATTEMPTS = 3
#: Duration of an attempt, in seconds.
ATTEMPT_TIME = 0.02
TIMEOUT = 1.0


def answered_attempt(status: int, outcome: AttemptOutcome) -> Attempt:
    """Return an attempt whose target answered."""
    return Attempt(outcome, Answer('i0', status, [], b'body'))


ATTEMPT_BY_OUTCOME = {
    'answer': answered_attempt(200, AttemptOutcome.answered),
    'failure': answered_attempt(500, AttemptOutcome.failed),
    'shed': not_run('shed'),
    'unreachable': not_run('no connection', ErrorKind.target_unreachable),
    'reset': unknown('reset'),
    'too late': unknown('late', ErrorKind.deadline_passed),
}
NOT_RUN = {'shed', 'unreachable'}


class ScriptedSender:
    """Ends each attempt with the next outcome of a script."""

    def __init__(
        self, script: tuple[str, ...], duplicates_wanted: int = 0
    ) -> None:
        self.script = list(script)
        self.outcomes: list[str] = []
        self.targets: list[str] = []
        #: Second tries asked for in each attempt, and those that were allowed.
        self.duplicates_wanted = duplicates_wanted
        self.duplicates = 0

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        await asyncio.sleep(ATTEMPT_TIME)
        for _ in range(self.duplicates_wanted):
            self.duplicates += may_duplicate()
        outcome = self.script.pop(0) if self.script else 'shed'
        self.outcomes.append(outcome)
        self.targets.append(target.target_id)
        return ATTEMPT_BY_OUTCOME[outcome]


class AttemptsTest(unittest.TestCase):
    """Every outcome of the first, second and third attempt."""

    def serve_scripted(
        self,
        kind: RequestKind,
        script: tuple[str, ...],
        targets: int = 4,
        *,
        is_budget_exhausted: bool = False,
        duplicates_wanted: int = 0,
        time_left: Seconds = TIMEOUT,
    ) -> tuple[ScriptedSender, Answer | Refusal, Seconds]:
        """Serve one request; return its sender, answer and duration."""
        results = []

        async def main(loop: VirtualLoop) -> None:
            clock = LoopClock(loop)
            view = configured_view(clock, targets=0)
            names = [f'i{number}' for number in range(targets)]
            add_targets(view, names, 'issuance')
            sender = ScriptedSender(script, duplicates_wanted)
            sender.crashes = CrashGuard('edge-1', clock)
            forwarder = Forwarder(
                make_settings('127.0.0.1:9', (1, 2, 3)),
                view,
                sender,
                LoadTracker(),
                clock,
                random.Random(1),
            )
            budget = forwarder._budget('issuance')
            for _ in range(100):
                budget.count_request(clock.monotonic())
            while is_budget_exhausted and budget.try_spend(
                clock.monotonic(), 1
            ):
                continue
            route = view.routes.find('issuance.example', '/issue/1')
            assert route is not None
            now = clock.monotonic()
            routed = RoutedRequest(
                TargetRequest('a1', 'POST', '/issue/1', {}, b''),
                msgspec.structs.replace(route, kind=kind, attempts=ATTEMPTS),
                -1,
                now,
                now + time_left,
            )
            answer = await forwarder.serve(routed)
            results.append((sender, answer, clock.monotonic() - now))

        run_virtually(main)
        return results[0]

    def test_every_outcome_of_every_attempt(self) -> None:
        for kind in RequestKind:
            for script in itertools.product(
                ATTEMPT_BY_OUTCOME, repeat=ATTEMPTS
            ):
                with self.subTest(kind=kind, script=script):
                    sender, answer, elapsed = self.serve_scripted(kind, script)
                    self.check_answer(kind, sender, answer)
                    self.assertLess(elapsed, TIMEOUT)

    def check_answer(
        self,
        kind: RequestKind,
        sender: ScriptedSender,
        answer: Answer | Refusal,
    ) -> None:
        outcomes = sender.outcomes
        self.assertLessEqual(len(outcomes), ATTEMPTS)
        may_have_run = [
            outcome for outcome in outcomes if outcome not in NOT_RUN
        ]
        if kind in {RequestKind.unsafe, RequestKind.upload}:
            # Nothing is sent after an attempt that may have run.
            self.assertNotIn(
                True, [outcome not in NOT_RUN for outcome in outcomes[:-1]]
            )
        # Nothing is sent after an answer.
        self.assertNotIn('answer', outcomes[:-1])
        if outcomes[-1] == 'answer':
            self.assertIsInstance(answer, Answer)
        if isinstance(answer, Refusal):
            promises_not_run = answer.retry_after is not None
            self.assertEqual(promises_not_run, not may_have_run)
            self.assertEqual(answer.status == 503, not may_have_run)
        else:
            self.assertIn(outcomes[-1], ('answer', *ATTEMPT_BY_OUTCOME))
            self.assertTrue(may_have_run)
        # No target gets the request twice while others are untried.
        self.assertEqual(len(set(sender.targets)), len(sender.targets))

    def test_without_budget_nothing_is_retried(self) -> None:
        for first in ('shed', 'reset', 'failure'):
            sender, answer, elapsed = self.serve_scripted(
                RequestKind.safe, (first, 'answer'), is_budget_exhausted=True
            )
            self.assertEqual(sender.outcomes, [first])
            self.assertLess(elapsed, 2 * ATTEMPT_TIME)
            if first == 'shed':
                assert isinstance(answer, Refusal)
                self.assertIsNotNone(answer.retry_after)

    def test_each_line_tells_whether_the_request_is_sent_again(self) -> None:
        with LoggedEvents() as logged:
            self.serve_scripted(RequestKind.safe, ('shed',) * ATTEMPTS)
            self.serve_scripted(
                RequestKind.safe, ('reset',), is_budget_exhausted=True
            )
            self.serve_scripted(RequestKind.unsafe, ('reset',))
        self.assertEqual(
            [line['goes_on'] for line in logged.fields('attempt_failed')],
            [True, True, False, False, False],
        )

    def test_second_tries_count_as_attempts(self) -> None:
        script = ('reset',) * ATTEMPTS
        for wanted in range(1, ATTEMPTS + 1):
            sender, _, _ = self.serve_scripted(
                RequestKind.safe, script, duplicates_wanted=wanted
            )
            self.assertEqual(len(sender.outcomes) + sender.duplicates, ATTEMPTS)

    def test_without_budget_there_is_no_second_try(self) -> None:
        sender, _, _ = self.serve_scripted(
            RequestKind.safe,
            ('reset',),
            is_budget_exhausted=True,
            duplicates_wanted=1,
        )
        self.assertEqual(sender.duplicates, 0)

    def test_only_target_gets_no_more_attempts_than_allowed(self) -> None:
        script = ('shed',) * 9
        sender, _, _ = self.serve_scripted(RequestKind.safe, script, targets=1)
        self.assertLessEqual(len(sender.outcomes), ATTEMPTS)

    def test_request_without_time_left_is_not_sent(self) -> None:
        """Its body, or this daemon, was late; it would have no time limit."""
        for kind in RequestKind:
            for time_left in (0, -0.1, -1):
                sender, answer, elapsed = self.serve_scripted(
                    kind, ('answer',), time_left=time_left
                )
                self.assertEqual(sender.outcomes, [])
                assert isinstance(answer, Refusal)
                self.assertEqual(answer.status, 503)
                self.assertIsNotNone(answer.retry_after)
                self.assertLess(elapsed, 0.05)

    def test_request_without_any_target_is_refused_at_once(self) -> None:
        sender, answer, elapsed = self.serve_scripted(
            RequestKind.safe, (), targets=0
        )
        self.assertEqual(sender.outcomes, [])
        assert isinstance(answer, Refusal)
        self.assertIsNotNone(answer.retry_after)
        self.assertLess(elapsed, 0.05)


if __name__ == '__main__':
    unittest.main()
