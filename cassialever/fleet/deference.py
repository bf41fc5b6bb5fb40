"""How long a daemon leaves the lease to others after its own failures."""

from typing import Final

from cassialever.fleet.term_ends import SHORT_TERM, TermEnd, TermResult
from cassialever.types import Seconds

#: How much longer a daemon leaves a lease to others with each step.
DEFERENCE_STEP: Final[Seconds] = 0.4
#: The most steps for takeovers in a row that were performed and led to no
#: term. The number of those for short terms is above it and at most twice as
#: high: a daemon that can't lead defers to all that may be able to.
MAX_DEFERENCE_STEPS: Final = 3
#: The same with each step beyond these, if the lease has lapsed: that takes
#: half of the 3 s in which a fleet has a leader again.
FURTHER_STEP: Final[Seconds] = 0.05

#: Ends that don't tell that the daemon can't lead.
_NO_FAILURE: Final = frozenset(
    (
        TermEnd.resigned,
        TermEnd.lease_lost,
        TermEnd.later_term,
        TermEnd.aborted,
    )
)


class Deference:
    """What tells that others should lead rather than this daemon."""

    def __init__(self) -> None:
        #: Takeovers in a row that were not answered, and after which the
        #: owners could not be read.
        self.unanswered = 0
        self.unread = 0
        #: Terms in a row that ended by themselves, and soon.
        self.short_terms = 0
        self._has_failed = False

    @property
    def steps(self) -> int:
        """Return by how many steps a lease is left to others."""
        if self.short_terms:
            further = min(self.short_terms, MAX_DEFERENCE_STEPS)
            return MAX_DEFERENCE_STEPS + further
        without_term = min(self.unanswered + self.unread, MAX_DEFERENCE_STEPS)
        return max(without_term, int(self._has_failed))

    def delay(self, *, has_lapsed: bool) -> Seconds:
        """Return for how long a lease is left to others.

        It has lapsed if its holder did not release it.
        """
        if not has_lapsed:
            return self.steps * DEFERENCE_STEP
        steps = min(self.steps, MAX_DEFERENCE_STEPS)
        further = self.steps - steps
        return steps * DEFERENCE_STEP + further * FURTHER_STEP

    def note_term(self, ended: TermResult) -> None:
        """Note how a term of this daemon has ended."""
        is_failure = ended.end not in _NO_FAILURE
        if ended.lasted >= SHORT_TERM:
            self.forget()
            self._has_failed = is_failure
        elif is_failure:
            self.short_terms += 1

    def forget(self) -> None:
        """Forget all failures, since this daemon or another one has led."""
        self.unanswered = 0
        self.unread = 0
        self.short_terms = 0
        self._has_failed = False
