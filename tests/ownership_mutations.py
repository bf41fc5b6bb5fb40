"""Take one safety rule at a time out of the ownership core."""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from cassialever import (
    authority_state,
    coordinator_state,
    held_target,
    moves,
    target_record,
)
from tests import ownership_fakes


def _replace(owner: object, name: str, new: object) -> Callable[[], object]:
    return lambda: mock.patch.object(owner, name, new)


def _takes_any(
    target: ownership_fakes.FakeTarget, fence: int, true: float
) -> bool:
    return not target.down


def _bare_term(term: float, drift_share: float) -> float:
    return term


def _whole_grant(lease_left: float, leases: object) -> float:
    return held_target.LeaseSettings().grant_term


def _undo_lost(pending: moves.Moves, failure: object) -> bool:
    pending._undo()
    return True


#: How each rule is taken out.
MUTATIONS: dict[str, tuple[Callable[[], object], ...]] = {
    'fence check': (_replace(ownership_fakes.FakeTarget, 'takes', _takes_any),),
    'drift margin': (
        _replace(authority_state, 'giver_term', _bare_term),
        _replace(coordinator_state, 'giver_term', _bare_term),
    ),
    'wait-out': (
        _replace(
            coordinator_state.CoordinatorState,
            'wait_until',
            lambda state: 0.0,
        ),
    ),
    'read-back': (_replace(moves.Moves, 'not_written', _undo_lost),),
    'drain before grant': (
        _replace(
            target_record.TargetRecord, 'may_part', lambda record, now: True
        ),
    ),
    'promise': (
        lambda: mock.patch.object(
            authority_state.SuccessorDuty,
            'promised_until',
            property(lambda mine: 0.0, lambda mine, until: None),
            create=True,
        ),
    ),
    'grant within lease': (
        _replace(held_target, 'grant_length', _whole_grant),
    ),
}


@contextlib.contextmanager
def without(rule: str) -> Iterator[None]:
    """Run a block with one rule taken out."""
    with contextlib.ExitStack() as stack:
        for make in MUTATIONS[rule]:
            stack.enter_context(make())
        yield
