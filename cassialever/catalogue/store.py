"""Read and change the catalogue and its history in the platform's store.

A change is accepted if and only if it is in the store. One row holds the
whole current version; each change has a row of its own, which is written in
the same transaction.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Final, TypeAlias

import msgspec

from cassialever.catalogue.changes import (
    CatalogueChange,
    Origin,
    diff_catalogues,
    next_version,
    undo_change,
)
from cassialever.catalogue.check import find_faults
from cassialever.catalogue.entries import EMPTY_CATALOGUE, Catalogue
from cassialever.catalogue.table import (
    ABSENT_VERSION,
    CURRENT_ROW,
    HISTORY_PREFIX,
    VERSION_DIGITS,
    CatalogueTable,
    Row,
    RowsCommitted,
    RowTransaction,
    RowWrite,
)
from cassialever.decoding import decode_json
from cassialever.errors import ErrorKind, Failure
from cassialever.types import (
    CatalogueVersion,
    ChangeId,
    RowName,
    RowVersion,
    Seconds,
)

#: Rows are read in batches of this size, to bound the size of one read.
ROWS_PER_READ: Final = 100
#: Maximum number of times a change is sent while its outcome is unknown.
MAX_SEND_ATTEMPTS: Final = 6
#: Maximum number of attempts at an edit while unrelated changes come first.
MAX_EDIT_ATTEMPTS: Final = 5
INITIAL_RETRY_DELAY_SECONDS: Final = 0.2

Edit: TypeAlias = Callable[[Catalogue], Catalogue | Failure]
Sleep: TypeAlias = Callable[[Seconds], Awaitable[None]]


class StoredCatalogue(msgspec.Struct, frozen=True):
    """The current catalogue and the version of its row."""

    catalogue: Catalogue
    row_version: RowVersion


class Accepted(msgspec.Struct, frozen=True):
    """A change that is in the store, and the catalogue it led to."""

    catalogue: Catalogue
    change: CatalogueChange


class Conflict(msgspec.Struct, frozen=True):
    """Another change was accepted first; nothing was written.

    `theirs` and `ours` are both relative to the base version.
    """

    theirs: CatalogueChange
    ours: CatalogueChange

    def overlaps(self) -> bool:
        """Return whether both sides change the same entry."""
        theirs = {(ref.kind, ref.name) for ref in self.theirs.entry_refs()}
        return any(
            (ref.kind, ref.name) in theirs for ref in self.ours.entry_refs()
        )


Outcome: TypeAlias = Accepted | Conflict | Failure


def history_row_name(version: CatalogueVersion) -> RowName:
    """Return the name of the row that holds the change to a version."""
    return RowName(f'{HISTORY_PREFIX}{version:0{VERSION_DIGITS}}')


def new_origin(author: str, reason: str, made_at: Seconds) -> Origin:
    """Return the origin of a new change, with a new unique id."""
    return Origin(author, reason, ChangeId(uuid.uuid4().hex), made_at)


class CatalogueStore:
    """Read and change the catalogue and its history."""

    def __init__(
        self,
        table: CatalogueTable,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._table = table
        self._sleep = sleep

    async def current(self) -> StoredCatalogue | Failure:
        """Return the current catalogue; version 0 is the empty one."""
        rows = await self._table.read([CURRENT_ROW])
        if isinstance(rows, Failure):
            return rows
        row = rows.get(CURRENT_ROW)
        if row is None:
            return StoredCatalogue(EMPTY_CATALOGUE, ABSENT_VERSION)
        catalogue = decode_json(row.body, Catalogue)
        if isinstance(catalogue, Failure):
            return catalogue
        return StoredCatalogue(catalogue, row.version)

    async def changes(
        self,
        first: CatalogueVersion,
        last: CatalogueVersion,
    ) -> list[CatalogueChange] | Failure:
        """Return the changes that exist in a range, oldest first."""
        changes: list[CatalogueChange] = []
        for start in range(first, last + 1, ROWS_PER_READ):
            stop = min(start + ROWS_PER_READ, last + 1)
            names = [
                history_row_name(CatalogueVersion(version))
                for version in range(start, stop)
            ]
            rows = await self._table.read(names)
            if isinstance(rows, Failure):
                return rows
            batch = _decode_changes(
                rows[name] for name in names if name in rows
            )
            if isinstance(batch, Failure):
                return batch
            changes.extend(batch)
        return changes

    async def catalogue_at(
        self, version: CatalogueVersion
    ) -> Catalogue | Failure:
        """Return an earlier version by undoing all later changes."""
        stored = await self.current()
        if isinstance(stored, Failure):
            return stored
        return await self._rebuild_version(stored.catalogue, version)

    async def submit(
        self,
        proposed: Catalogue,
        base: CatalogueVersion,
        origin: Origin,
    ) -> Outcome:
        """Make a proposal that is based on version `base` the next version."""
        stored = await self.current()
        if isinstance(stored, Failure):
            return stored
        if stored.catalogue.version != base:
            return await self._conflict(stored.catalogue, proposed, base)
        problem = _validation_failure(proposed)
        if problem:
            return problem
        accepted = next_version(stored.catalogue, proposed, origin)
        change = diff_catalogues(stored.catalogue, accepted, origin.made_at)
        if not change.entry_refs():
            return Accepted(stored.catalogue, change)
        sent = await self._commit_until_known(
            _transaction(accepted, change, stored.row_version),
            change,
        )
        if isinstance(sent, RowsCommitted):
            return Accepted(accepted, change)
        if sent.kind is not ErrorKind.table_conflict:
            return sent
        return await self._conflict_after_race(proposed, base)

    async def edit(self, edit: Edit, origin: Origin) -> Outcome:
        """Apply an edit to the current version.

        If others change only other entries meanwhile, the edit is applied
        again on top of their change.
        """
        outcome: Outcome = Failure(ErrorKind.internal, 'no edit was made')
        for _ in range(MAX_EDIT_ATTEMPTS):
            stored = await self.current()
            if isinstance(stored, Failure):
                return stored
            proposed = edit(stored.catalogue)
            if isinstance(proposed, Failure):
                return proposed
            base = stored.catalogue.version
            outcome = await self.submit(proposed, base, origin)
            if not isinstance(outcome, Conflict) or outcome.overlaps():
                return outcome
        return outcome

    async def revert(
        self,
        version: CatalogueVersion,
        origin: Origin,
    ) -> Outcome:
        """Make the content of an earlier version the next version."""
        stored = await self.current()
        if isinstance(stored, Failure):
            return stored
        earlier = await self._rebuild_version(stored.catalogue, version)
        if isinstance(earlier, Failure):
            return earlier
        return await self.submit(earlier, stored.catalogue.version, origin)

    async def _commit_until_known(
        self,
        transaction: RowTransaction,
        change: CatalogueChange,
    ) -> RowsCommitted | Failure:
        """Send a transaction until its outcome is known.

        It is safe to send again, since the expected row versions let at
        most one send commit. Once a later send conflicts, no earlier one
        can still commit, and the history row shows whose change it holds.
        """
        outcome = await self._table.commit(transaction)
        delay = INITIAL_RETRY_DELAY_SECONDS
        is_answer_lost = _is_answer_lost(outcome)
        for _ in range(MAX_SEND_ATTEMPTS - 1):
            if not is_answer_lost or not _is_unresolved(outcome):
                break
            await self._sleep(delay)
            delay *= 2
            outcome = await self._table.commit(transaction)
        if not is_answer_lost or isinstance(outcome, RowsCommitted):
            return outcome
        return await self._resolve_outcome(transaction, change, outcome)

    async def _resolve_outcome(
        self,
        transaction: RowTransaction,
        change: CatalogueChange,
        outcome: Failure,
    ) -> RowsCommitted | Failure:
        name = history_row_name(change.version)
        rows = await self._table.read([name])
        if isinstance(rows, Failure):
            return _unknown_outcome(transaction, change)
        row = rows.get(name)
        if row and _is_change(row, transaction.change_id):
            return RowsCommitted(row.version)
        if outcome.kind is ErrorKind.table_conflict:
            return outcome
        return _unknown_outcome(transaction, change)

    async def _conflict_after_race(
        self,
        proposed: Catalogue,
        base: CatalogueVersion,
    ) -> Outcome:
        stored = await self.current()
        if isinstance(stored, Failure):
            return stored
        return await self._conflict(stored.catalogue, proposed, base)

    async def _conflict(
        self,
        current: Catalogue,
        proposed: Catalogue,
        base: CatalogueVersion,
    ) -> Conflict | Failure:
        base_catalogue = await self._rebuild_version(current, base)
        if isinstance(base_catalogue, Failure):
            return base_catalogue
        return Conflict(
            diff_catalogues(base_catalogue, current),
            diff_catalogues(base_catalogue, proposed),
        )

    async def _rebuild_version(
        self,
        current: Catalogue,
        version: CatalogueVersion,
    ) -> Catalogue | Failure:
        if not 0 <= version <= current.version:
            return Failure(
                ErrorKind.catalogue_invalid,
                f'there is no version {version}; the current one is'
                f' {current.version}',
            )
        first = CatalogueVersion(max(1, version))
        changes = await self.changes(first, current.version)
        if isinstance(changes, Failure):
            return changes
        needed = [change for change in changes if change.version > version]
        if len(needed) < current.version - version:
            return Failure(
                ErrorKind.catalogue_invalid,
                f'the stored history lacks a change after version {version}',
            )
        return _undo_all(current, changes, version)


def _undo_all(
    current: Catalogue,
    changes: Sequence[CatalogueChange],
    version: CatalogueVersion,
) -> Catalogue:
    origin_by_version = {change.version: change.origin for change in changes}
    unknown_origin = Origin('', '', ChangeId(''))
    for change in reversed(changes):
        if change.version == version:
            break
        before = CatalogueVersion(change.version - 1)
        current = undo_change(
            current, change, origin_by_version.get(before, unknown_origin)
        )
    return current


def _decode_change(row: Row) -> CatalogueChange | Failure:
    return decode_json(row.body, CatalogueChange)


def _decode_changes(
    history: Iterable[Row],
) -> list[CatalogueChange] | Failure:
    changes = []
    for row in history:
        change = _decode_change(row)
        if isinstance(change, Failure):
            return change
        changes.append(change)
    return changes


def _is_change(row: Row, change_id: ChangeId) -> bool:
    change = _decode_change(row)
    return (
        not isinstance(change, Failure) and change.origin.change_id == change_id
    )


def _validation_failure(proposed: Catalogue) -> Failure | None:
    sentences = [sentence for _, sentence in find_faults(proposed)]
    if sentences:
        return Failure(ErrorKind.catalogue_invalid, ' '.join(sentences))
    return None


def _transaction(
    accepted: Catalogue,
    change: CatalogueChange,
    expected: RowVersion,
) -> RowTransaction:
    current = RowWrite(CURRENT_ROW, expected, msgspec.json.encode(accepted))
    history = RowWrite(
        history_row_name(change.version),
        ABSENT_VERSION,
        msgspec.json.encode(change),
    )
    return RowTransaction(accepted.change_id, (current, history))


def _unknown_outcome(
    transaction: RowTransaction, change: CatalogueChange
) -> Failure:
    return Failure(
        ErrorKind.table_answer_lost,
        f'it is unknown whether change {transaction.change_id} was accepted'
        f' as version {change.version}; check the history before trying'
        ' again',
    )


def _is_answer_lost(outcome: RowsCommitted | Failure) -> bool:
    """Return whether a transaction may have been written without an answer."""
    if isinstance(outcome, RowsCommitted):
        return False
    return outcome.kind is ErrorKind.table_answer_lost


def _is_unresolved(outcome: RowsCommitted | Failure) -> bool:
    """Return whether sending a transaction again may resolve its outcome."""
    if isinstance(outcome, RowsCommitted):
        return False
    return outcome.kind is not ErrorKind.table_conflict
