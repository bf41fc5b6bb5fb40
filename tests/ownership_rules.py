"""Remove one safety rule of key ownership at a time."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from cassialever.fleet import earlier_grants, leading, mapped_services
from cassialever.fleet.model import StoreRow
from cassialever.fleet.view import OWN_TABLE
from cassialever.keys import assignments, granting, mapwriter, service, suspects
from cassialever.platform import rows
from cassialever.types import Fence
from tests import ownership_fakes

_real_inherited_assignments = assignments.inherited_assignments


async def _assume_written(writer: Any, key_map: Any) -> StoreRow:
    """Report every write as committed, whatever the store answers."""
    content = msgspec.msgpack.encode(key_map)
    await writer._leader_term.commit(writer._transaction(content))
    return StoreRow(OWN_TABLE, writer._name, content, writer.version)


async def _commit_unconditionally(
    leader_term: leading.LeaderTerm,
    transaction: rows.Transaction,
) -> Any:
    """Overwrite whatever others have written in the meantime."""
    unconditional = rows.Transaction((), transaction.writes)
    return await leader_term._store.commit(unconditional)


def _inherit_without_suspicion(
    key_map: Any, now: float
) -> assignments.Assignments:
    """Treat another leader's assignments as granted by this one."""
    inherited = _real_inherited_assignments(key_map, now)
    for assignment in inherited.ordered:
        assignment.is_suspect = False
        assignment.is_inherited = False
    return inherited


def _always(*_: Any) -> bool:
    return True


def _never(*_: Any) -> bool:
    return False


def _first_of_all(_: Any) -> Fence:
    return Fence(1)


def _no_process(_: Any) -> None:
    return None


def _no_time(duration: float) -> float:
    return 0


def _replace(owner: object, name: str, new: object) -> Callable[[], Any]:
    return lambda: mock.patch.object(owner, name, new)


#: The patches that remove each rule.
PATCHES_BY_RULE: dict[str, tuple[Callable[[], Any], ...]] = {
    'targets reject lower fences': (
        _replace(ownership_fakes.World, 'has_seen_higher_fence', _never),
    ),
    'owners are written before they are granted keys': (
        _replace(mapwriter.MapWriter, 'write', _assume_written),
    ),
    'writes expect this term and the last key map': (
        _replace(leading.LeaderTerm, 'commit', _commit_unconditionally),
    ),
    'keys are not reassigned until the last grant has lapsed': (
        _replace(granting, 'GRANT_TIMEOUT', 0),
        _replace(granting, 'MAX_TRANSIT_TIME', 0),
        _replace(granting, 'max_hold_time', _no_time),
        _replace(assignments, 'MAX_GRANT_DURATION', 0),
    ),
    'keys are not reassigned until earlier leaders have expired': (
        _replace(leading.LeaderTerm, 'earlier_leaders_expired', _always),
    ),
    'keys are reserved while unnamed calls may give them': (
        _replace(earlier_grants.EarlierGrants, 'unnamed_have_expired', _always),
    ),
    'keys of a removed map wait for the grants of earlier leaders': (
        _replace(mapped_services.MappedServices, 'may_be_granted', _never),
    ),
    'first fences are above all earlier ones': (
        _replace(service, 'first_fence', _first_of_all),
    ),
    'a new leader suspects the owners that it inherits': (
        _replace(service, 'inherited_assignments', _inherit_without_suspicion),
    ),
    'an owner is suspect after a failed grant': (
        _replace(suspects.SuspectOwners, 'suspect', _never),
    ),
    'a fence is renewed only with the process that has accepted it': (
        _replace(assignments.Assignment, 'process_with_fence', _no_process),
    ),
    'a leader that can not reach the store stops granting': (
        _replace(leading.LeaderTerm, 'has_authority', _always),
    ),
}


#: Those that concern a leader of the build before, which the random runs lack:
#: what it does itself breaks the checks.
RULES_OF_TWO_BUILDS: frozenset[str] = frozenset(
    ('keys are reserved while unnamed calls may give them',)
)

#: Those that only matter where another writer removes the key map.
RULES_OF_REMOVED_MAPS: frozenset[str] = frozenset(
    (
        'keys of a removed map wait for the grants of earlier leaders',
        'first fences are above all earlier ones',
    )
)


@contextlib.contextmanager
def without_rule(rule: str) -> Iterator[None]:
    """Run a block with one rule removed."""
    with contextlib.ExitStack() as stack:
        for make_patch in PATCHES_BY_RULE[rule]:
            stack.enter_context(make_patch())
        yield
