"""Promises checked inside the program, each with an id and a counter."""

import collections
import enum
from typing import Any

from cassialever.events import Event, record
from cassialever.exceptions import InvariantError


class Invariant(enum.Enum):
    """Every promise that the program checks while it runs."""

    keys_covered = 'Every key has one owner in the map that is written.'
    leaves_once = 'Keys leave an owner once.'
    fence_rises = 'A fence rises from owner to owner.'
    grant_has_row = 'No keys are granted before their owner is written.'
    grant_within_term = 'Nobody grants keys after the end of a term.'


#: How often each invariant was found broken since the start.
violations_by_invariant: collections.Counter[Invariant] = collections.Counter()


def check(invariant: Invariant, ok: bool, **fields: Any) -> None:
    """Count, log and raise `InvariantError` unless the invariant holds."""
    if ok:
        return
    violations_by_invariant[invariant] += 1
    record(Event.invariant_broken, invariant=invariant.name, **fields)
    raise InvariantError(f'{invariant.value} {fields}')
