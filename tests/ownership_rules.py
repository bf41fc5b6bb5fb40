"""Take one safety rule at a time out of the ownership of keys."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from cassialever.fleet import leading
from cassialever.fleet.model import StoreRow
from cassialever.fleet.view import OWN_TABLE
from cassialever.keys import doubts, granting, holdings, mapwriter, service
from cassialever.platform import rows
from tests import keeper_fakes

_real_holdings_of = holdings.holdings_of


async def _grant_unwritten(writer: Any, key_map: Any) -> StoreRow:
    """Go on as if every write stood."""
    content = msgspec.msgpack.encode(key_map)
    await writer._leading.commit(writer._transaction(content))
    return StoreRow(OWN_TABLE, writer._name, content, writer.version)


async def _commit_unconditionally(
    term: leading.LeaderTerm,
    transaction: rows.Transaction,
) -> Any:
    """Write whatever anybody else has written meanwhile."""
    bare = rows.Transaction((), transaction.writes)
    return await term._store.commit(bare)


def _without_doubt(key_map: Any, now: float) -> holdings.Holdings:
    """Take another leader's owners for granted."""
    taken = _real_holdings_of(key_map, now)
    for holding in taken.holdings:
        holding.is_doubted = False
        holding.is_inherited = False
    return taken


def _always(*_: Any) -> bool:
    return True


def _never(*_: Any) -> bool:
    return False


def _replace(owner: object, name: str, new: object) -> Callable[[], Any]:
    return lambda: mock.patch.object(owner, name, new)


#: How each rule is taken out.
WITHOUT: dict[str, tuple[Callable[[], Any], ...]] = {
    'targets refuse lower fences': (
        _replace(keeper_fakes.World, 'outranks', _never),
    ),
    'owners are written before they are granted': (
        _replace(mapwriter.MapWriter, 'write', _grant_unwritten),
    ),
    'writes expect this term and the last map': (
        _replace(leading.LeaderTerm, 'commit', _commit_unconditionally),
    ),
    'keys wait until the last grant has lapsed': (
        _replace(granting, 'LONGEST_HOLD', 0),
        _replace(holdings, 'LONGEST_HOLD', 0),
    ),
    'keys wait for earlier leaders': (
        _replace(leading.LeaderTerm, 'earlier_leaders_expired', _always),
    ),
    'a new leader doubts what it takes over': (
        _replace(service, 'holdings_of', _without_doubt),
    ),
    'an owner is doubted after a failed order': (
        _replace(doubts.Doubts, 'doubt', _never),
    ),
    'a leader that the store does not hear ends': (
        _replace(leading.LeaderTerm, 'has_authority', _always),
    ),
}


@contextlib.contextmanager
def without(rule: str) -> Iterator[None]:
    """Run a block with one rule taken out."""
    with contextlib.ExitStack() as stack:
        for make in WITHOUT[rule]:
            stack.enter_context(make())
        yield
