"""Invariants checked at run time, each with a counter of violations."""

import collections
import enum
from typing import Any

from cassialever.events import Event, record
from cassialever.exceptions import InvariantError


class Invariant(enum.Enum):
    """The invariants that are checked while the program runs."""

    keys_covered = (
        'Every key has exactly one owner in the key map that is written.'
    )
    leaves_once = 'Keys are taken from an owner only once.'
    fence_rises = 'The fence of a key increases with each new owner.'
    grant_has_row = 'Keys are granted only after their owner is written.'
    grant_within_term = 'No keys are granted after the end of a term.'


#: Violations of each invariant since the process started.
violations_by_invariant: collections.Counter[Invariant] = collections.Counter()


def check(invariant: Invariant, ok: bool, **fields: Any) -> None:
    """Count, log and raise `InvariantError` if the invariant is violated."""
    if ok:
        return
    violations_by_invariant[invariant] += 1
    record(Event.invariant_broken, invariant=invariant.name, **fields)
    raise InvariantError(f'{invariant.value} {fields}')


class FirstViolation:
    """The first violation that a background task has found."""

    def __init__(self) -> None:
        """Start without a violation."""
        self.error: InvariantError | None = None

    def note(self, error: BaseException) -> None:
        """Note the error of a task if it is a violation."""
        if isinstance(error, InvariantError) and self.error is None:
            self.error = error
