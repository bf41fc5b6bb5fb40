"""Promises checked inside the program, each with an id and a counter."""

import collections
import enum
from typing import Any

from cassialever.events import Event, record
from cassialever.exceptions import InvariantError


class Invariant(enum.Enum):
    """Every promise that the program checks while it runs."""

    single_holder = 'No target has two holders.'
    single_owner = 'No slice has two owners.'
    fence_rises = 'A fence never falls.'
    epoch_rises = 'An epoch never falls.'
    version_rises = 'A version never falls.'
    grant_has_row = 'No slice is granted that its row gives to another.'
    in_flight_within_limit = 'No target runs more requests than its limit.'
    lease_within_authority = 'No lease is granted without the authority.'
    grant_within_lease = 'No grant of a target outlasts its lease.'


#: How often each invariant was found broken since the start.
broken_by_invariant: collections.Counter[Invariant] = collections.Counter()


def check(invariant: Invariant, ok: bool, **fields: Any) -> None:
    """Count, log and raise `InvariantError` unless the invariant holds."""
    if ok:
        return
    broken_by_invariant[invariant] += 1
    record(Event.invariant_broken, invariant=invariant.name, **fields)
    raise InvariantError(f'{invariant.value} {fields}')
