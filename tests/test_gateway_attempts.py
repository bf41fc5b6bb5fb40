"""Bring about every end of every attempt of a request, and check its answer.

The sender is replaced by a script; everything else of the path is real.
"""

import asyncio
import itertools
import random
import unittest

import msgspec

from cassialever.errors import ErrorKind
from cassialever.fleet.model import RequestKind, Target
from cassialever.gateway.forwarder import Forwarder, Refusal, RoutedRequest
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
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

ATTEMPTS = 3
#: How long an attempt takes, in seconds.
WORK = 0.02
PATIENCE = 1.0


def answered(status: int, end: AttemptOutcome) -> Attempt:
    """Return an attempt whose target answered."""
    return Attempt(end, Answer('i0', status, [], b'body'))


ENDS = {
    'answer': answered(200, AttemptOutcome.answered),
    'failure': answered(500, AttemptOutcome.failed),
    'shed': not_run('shed'),
    'unreachable': not_run('no connection', ErrorKind.target_unreachable),
    'reset': unknown('reset'),
    'too late': unknown('late', ErrorKind.deadline_passed),
}
NOT_RUN = {'shed', 'unreachable'}


class ScriptedSender:
    """Ends attempts as a script says."""

    def __init__(self, script: tuple[str, ...]) -> None:
        self.script = list(script)
        self.ends: list[str] = []
        self.targets: list[str] = []

    async def send(
        self, request: TargetRequest, target: Target, time_left: Seconds
    ) -> Attempt:
        await asyncio.sleep(WORK)
        end = self.script.pop(0) if self.script else 'shed'
        self.ends.append(end)
        self.targets.append(target.target_id)
        return ENDS[end]


class AttemptsTest(unittest.TestCase):
    """Every end of the first, second and third attempt."""

    def play(
        self,
        kind: RequestKind,
        script: tuple[str, ...],
        targets: int = 4,
        *,
        is_budget_spent: bool = False,
    ) -> tuple[ScriptedSender, Answer | Refusal, Seconds]:
        """Serve one request; return what was sent, its answer and its time."""
        outcome = []

        async def main(loop: VirtualLoop) -> None:
            clock = LoopClock(loop)
            view = configured_view(clock, targets=0)
            names = [f'i{number}' for number in range(targets)]
            add_targets(view, names, 'issuance')
            sender = ScriptedSender(script)
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
            while is_budget_spent and budget.try_spend(clock.monotonic(), 1):
                continue
            route = view.routes.find('issuance.example', '/issue/1')
            assert route is not None
            now = clock.monotonic()
            routed = RoutedRequest(
                TargetRequest('a1', 'POST', '/issue/1', {}, b''),
                msgspec.structs.replace(route, kind=kind, attempts=ATTEMPTS),
                -1,
                now,
                now + PATIENCE,
            )
            answer = await forwarder.serve(routed)
            outcome.append((sender, answer, clock.monotonic() - now))

        run_virtually(main)
        return outcome[0]

    def test_every_end_of_every_attempt(self) -> None:
        for kind in RequestKind:
            for script in itertools.product(ENDS, repeat=ATTEMPTS):
                with self.subTest(kind=kind, script=script):
                    sender, answer, time = self.play(kind, script)
                    self.check(kind, sender, answer)
                    self.assertLess(time, PATIENCE)

    def check(
        self,
        kind: RequestKind,
        sender: ScriptedSender,
        answer: Answer | Refusal,
    ) -> None:
        ends = sender.ends
        self.assertLessEqual(len(ends), ATTEMPTS)
        may_have_run = [end for end in ends if end not in NOT_RUN]
        if kind is RequestKind.unsafe:
            # Nothing is sent after an attempt that may have run.
            self.assertNotIn(True, [end not in NOT_RUN for end in ends[:-1]])
        # Nothing is sent after an answer.
        self.assertNotIn('answer', ends[:-1])
        if ends[-1] == 'answer':
            self.assertIsInstance(answer, Answer)
        if isinstance(answer, Refusal):
            promises = answer.retry_after is not None
            self.assertEqual(promises, not may_have_run)
            self.assertEqual(answer.status == 503, not may_have_run)
        else:
            self.assertIn(ends[-1], ('answer', *ENDS))
            self.assertTrue(may_have_run)
        # No target gets it twice while others have not had it.
        self.assertEqual(len(set(sender.targets)), len(sender.targets))

    def test_without_budget_nothing_is_repeated(self) -> None:
        for first in ('shed', 'reset', 'failure'):
            sender, answer, time = self.play(
                RequestKind.safe, (first, 'answer'), is_budget_spent=True
            )
            self.assertEqual(sender.ends, [first])
            self.assertLess(time, 2 * WORK)
            if first == 'shed':
                assert isinstance(answer, Refusal)
                self.assertIsNotNone(answer.retry_after)

    def test_alone_target_is_asked_no_more_than_allowed(self) -> None:
        script = ('shed',) * 9
        sender, _, _ = self.play(RequestKind.safe, script, targets=1)
        self.assertLessEqual(len(sender.ends), ATTEMPTS)

    def test_no_target_at_all(self) -> None:
        sender, answer, time = self.play(RequestKind.safe, (), targets=0)
        self.assertEqual(sender.ends, [])
        assert isinstance(answer, Refusal)
        self.assertIsNotNone(answer.retry_after)
        self.assertLess(time, 0.05)


if __name__ == '__main__':
    unittest.main()
