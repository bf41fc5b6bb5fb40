"""The rows of the catalogue, in the platform's store."""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import ChangeId, RowName, RowVersion

#: The table with the present catalogue, which daemons follow.
CATALOGUE_TABLE: Final = 'cassialever-catalogue'
#: The table with what changed in each version, which nobody follows.
HISTORY_TABLE: Final = 'cassialever-history'
CURRENT_ROW: Final = RowName('catalogue/current')
HISTORY_PREFIX: Final = 'catalogue/history/'
#: Digits of a version in a row's name, so that names sort as versions do.
VERSION_DIGITS: Final = 12
#: The version that a row has before it is first written.
ABSENT_VERSION: Final = RowVersion(0)


class Row(msgspec.Struct, frozen=True):
    """One row of the table; `version` rises with each write."""

    name: RowName
    version: RowVersion
    body: bytes


class RowWrite(msgspec.Struct, frozen=True):
    """Write one row if it still has the expected version.

    `ABSENT` expects no such row.
    """

    name: RowName
    expected_version: RowVersion
    body: bytes


class RowTransaction(msgspec.Struct, frozen=True):
    """Writes that happen together or not at all.

    `change_id` is unique to this change; the same transaction may be sent
    again after its answer was lost, since at most one sending can commit.
    """

    change_id: ChangeId
    writes: tuple[RowWrite, ...]


class RowsCommitted(msgspec.Struct, frozen=True):
    """A transaction has been written; its rows have this version."""

    version: RowVersion


class CatalogueTable:
    """The present catalogue and its history, by row."""

    def __init__(self, store: StoreClient) -> None:
        """Take the client of the store."""
        self._store = store

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist."""
        found: dict[RowName, Row] = {}
        for table in sorted({table_for_row(name) for name in names}):
            table_names = sorted(
                name for name in names if table_for_row(name) == table
            )
            rows_found = await self._read_from(table, table_names)
            if isinstance(rows_found, Failure):
                return rows_found
            found.update(rows_found)
        return found

    async def commit(
        self,
        transaction: RowTransaction,
    ) -> RowsCommitted | Failure:
        """Write a transaction.

        Fails with `table_conflict` (not written), `table_unavailable` (not
        written) or `table_answer_lost` (it is not known).
        """
        answer = await self._store.commit(_to_store_transaction(transaction))
        if isinstance(answer, Failure):
            return answer
        if isinstance(answer, rows.Conflict):
            return Failure(
                ErrorKind.table_conflict,
                'a row has another version than expected',
            )
        return RowsCommitted(answer.version)

    async def _read_from(
        self,
        table: str,
        names: Sequence[RowName],
    ) -> dict[RowName, Row] | Failure:
        """Read pages from the first wanted row up to the last."""
        found: dict[RowName, Row] = {}
        start: str | None = names[0]
        while start is not None and start <= names[-1]:
            page = await self._store.read(table, start)
            if isinstance(page, Failure):
                return page
            found.update(_select_rows(page, names))
            start = page.next_start
        return found


def _select_rows(
    page: rows.Rows,
    names: Sequence[RowName],
) -> dict[RowName, Row]:
    by_name = {RowName(row.name): row for row in page.rows}
    return {
        name: Row(name, row.version, row.content)
        for name, row in by_name.items()
        if name in names and row.content is not None
    }


def table_for_row(name: RowName) -> str:
    """Return the table of a row of the catalogue."""
    if name.startswith(HISTORY_PREFIX):
        return HISTORY_TABLE
    return CATALOGUE_TABLE


def _to_store_transaction(transaction: RowTransaction) -> rows.Transaction:
    return rows.Transaction(
        preconditions=tuple(
            rows.Precondition(
                table_for_row(write.name), write.name, write.expected_version
            )
            for write in transaction.writes
        ),
        writes=tuple(
            rows.Write(table_for_row(write.name), write.name, write.body)
            for write in transaction.writes
        ),
    )
