"""What to do next about one request, given how its attempts went.

Only what is known not to have run, or may be repeated, is ever sent again.
"""

import enum
from typing import Final, TypeAlias

import msgspec

from cassialever.budget import RetryBudget
from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.types import AttemptState, Seconds, TargetId

#: What each hop keeps of the time left, for the way back of the answer.
HOP_MARGIN: Final[Seconds] = 0.005
#: Sends to targets for one request, hedge included.
MOST_ATTEMPTS: Final = 3
#: The pause before each further try to find who takes the request now.
REDIRECT_PAUSES: Final[tuple[Seconds, ...]] = (0, 0.02, 0.1)

#: The request never got near a target: another daemon or target has it now.
REDIRECTED: Final = frozenset(
    (
        ErrorKind.not_holder,
        ErrorKind.lease_lapsed,
        ErrorKind.stopping,
        ErrorKind.target_leaving,
        ErrorKind.data_centre_out,
    )
)
#: Another try at the only target may go better, on a fresh connection.
SAME_TARGET: Final = frozenset(
    (
        ErrorKind.target_unreachable,
        ErrorKind.peer_unreachable,
        ErrorKind.outcome_unknown,
        ErrorKind.stale_fence,
    )
)
#: Failures after which only repeatable work is sent again.
REPEATED: Final = frozenset(
    (ErrorKind.outcome_unknown, ErrorKind.target_failed),
)


class Where(enum.Enum):
    """Where the next attempt goes."""

    elsewhere = 'elsewhere'
    same_target = 'same_target'


class Retry(msgspec.Struct, frozen=True):
    """Send the request again; the budget has paid."""

    where: Where


class Redirect(msgspec.Struct, frozen=True):
    """Look up anew who takes the request, after a pause in seconds."""

    pause: Seconds


class Wait(msgspec.Struct, frozen=True):
    """Another attempt is still running: its outcome decides."""


class FinalAnswer(msgspec.Struct, frozen=True):
    """Give the caller this answer now."""

    failure: Failure


Decision: TypeAlias = Retry | Redirect | Wait | FinalAnswer


class RequestTerms(msgspec.Struct, frozen=True):
    """What holds for all attempts at one request.

    `deadline` is a monotonic instant; `sole_target` says that a key has an
    owner, so that no other target will do.
    """

    repeatable: bool
    sole_target: bool
    deadline: Seconds


def hop_time_left(time_left: Seconds) -> Seconds:
    """Return the time that the next hop gets, in seconds."""
    return max(0, time_left - HOP_MARGIN)


class Attempts:
    """The attempts at one request."""

    def __init__(self, terms: RequestTerms, budget: RetryBudget) -> None:
        """Start before the first attempt."""
        self.tried: set[TargetId] = set()
        self.count = 0
        self._terms = terms
        self._budget = budget
        self._running = 0
        self._redirects = 0
        self._may_have_run = False

    def started(self, target_id: TargetId) -> None:
        """Note that an attempt goes out."""
        self.tried.add(target_id)
        self.count += 1
        self._running += 1

    def failed(
        self,
        failure: Failure,
        state: AttemptState,
        now: Seconds,
    ) -> Decision:
        """Decide after an attempt that brought no answer for the caller."""
        self._running -= 1
        ran = _may_have_run(failure, state)
        self._may_have_run = self._may_have_run or ran
        if ran and not self._terms.repeatable:
            return self._final(failure, state)
        if self._running:
            return Wait()
        if hop_time_left(self._terms.deadline - now) <= 0:
            return self._final(failure, state)
        if failure.kind in REDIRECTED and not ran:
            return self._redirect(failure, state)
        where = self._where(failure.kind)
        if where is None or not self._draw(now):
            return self._final(failure, state)
        return Retry(where)

    def may_hedge(self, now: Seconds) -> bool:
        """Pay for a second attempt beside the running one, if allowed."""
        if not self._terms.repeatable or self._terms.sole_target:
            return False
        if self._running != 1:
            return False
        if hop_time_left(self._terms.deadline - now) <= 0:
            return False
        return self._draw(now)

    def truthful(self, failure: Failure) -> Failure:
        """Return a failure that came up between attempts, as it may be told.

        It never says "not run" once an attempt may have run.
        """
        return self._final(failure, AttemptState.not_sent).failure

    def _redirect(self, failure: Failure, state: AttemptState) -> Decision:
        if self._redirects >= len(REDIRECT_PAUSES):
            return self._final(failure, state)
        pause = REDIRECT_PAUSES[self._redirects]
        self._redirects += 1
        self.count -= 1
        return Redirect(pause)

    def _where(self, kind: ErrorKind) -> Where | None:
        repeats = kind in REPEATED and self._terms.repeatable
        if not repeats and not ANSWER_BY_KIND[kind].repeatable_elsewhere:
            return None
        if not self._terms.sole_target:
            return Where.elsewhere
        return Where.same_target if kind in SAME_TARGET else None

    def _draw(self, now: Seconds) -> bool:
        return self.count < MOST_ATTEMPTS and self._budget.draw(now)

    def _final(self, failure: Failure, state: AttemptState) -> FinalAnswer:
        """Never say "not run" if any attempt may have run."""
        is_unknown = state is AttemptState.outcome_unknown
        says_not_run = ANSWER_BY_KIND[failure.kind].not_run
        if not is_unknown and not (says_not_run and self._may_have_run):
            return FinalAnswer(failure)
        if failure.kind is ErrorKind.outcome_unknown:
            return FinalAnswer(failure)
        reason = f'an attempt may have run; the last one: {failure.reason}'
        return FinalAnswer(
            Failure(
                ErrorKind.outcome_unknown,
                reason,
                failure.entry,
                failure.retry_after,
            ),
        )


def _may_have_run(failure: Failure, state: AttemptState) -> bool:
    """Say whether an attempt may have run; a doubt counts as yes."""
    if state is AttemptState.outcome_unknown:
        return True
    if state is AttemptState.not_sent:
        return False
    return not ANSWER_BY_KIND[failure.kind].not_run
