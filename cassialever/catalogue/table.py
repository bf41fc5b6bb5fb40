"""The rows of the catalogue and its history in the platform's store."""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import ChangeId, RowName, RowVersion

#: The table with the current catalogue, which daemons follow.
CATALOGUE_TABLE: Final = 'cassialever-catalogue'
#: The table with the change to each version; no daemon follows it.
HISTORY_TABLE: Final = 'cassialever-history'
CURRENT_ROW: Final = RowName('catalogue/current')
HISTORY_PREFIX: Final = 'catalogue/history/'
#: Versions are zero-padded in row names, so that names sort by version.
VERSION_DIGITS: Final = 12
#: The version of a row that does not exist.
ABSENT_VERSION: Final = RowVersion(0)


class Row(msgspec.Struct, frozen=True):
    """A row of a table; its version increases with each write."""

    name: RowName
    version: RowVersion
    body: bytes


class RowWrite(msgspec.Struct, frozen=True):
    """A write of one row that has to be at the expected version.

    With `ABSENT_VERSION` the row must not exist yet.
    """

    name: RowName
    expected_version: RowVersion
    body: bytes


class RowTransaction(msgspec.Struct, frozen=True):
    """Writes that are committed together or not at all.

    `change_id` is unique to the change. The transaction may be sent again
    after a response was lost, since at most one send can commit.
    """

    change_id: ChangeId
    writes: tuple[RowWrite, ...]


class RowsCommitted(msgspec.Struct, frozen=True):
    """A committed transaction; its rows have this version."""

    version: RowVersion


class CatalogueTable:
    """Read and write rows of the current catalogue and its history."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return the named rows that exist."""
        row_by_name: dict[RowName, Row] = {}
        for table in sorted({table_for_row(name) for name in names}):
            table_names = sorted(
                name for name in names if table_for_row(name) == table
            )
            table_rows = await self._read_from(table, table_names)
            if isinstance(table_rows, Failure):
                return table_rows
            row_by_name.update(table_rows)
        return row_by_name

    async def commit(
        self,
        transaction: RowTransaction,
    ) -> RowsCommitted | Failure:
        """Commit a transaction.

        Fails with `table_conflict` or `table_unavailable` if nothing was
        written, and with `table_answer_lost` if that is unknown.
        """
        answer = await self._store.commit(_to_store_transaction(transaction))
        if isinstance(answer, Failure):
            return answer
        if isinstance(answer, rows.Conflict):
            return Failure(
                ErrorKind.table_conflict,
                'a row is not at the expected version',
            )
        return RowsCommitted(answer.version)

    async def _read_from(
        self,
        table: str,
        names: Sequence[RowName],
    ) -> dict[RowName, Row] | Failure:
        """Read pages from the first named row to the last; names are sorted."""
        row_by_name: dict[RowName, Row] = {}
        start: str | None = names[0]
        while start is not None and start <= names[-1]:
            page = await self._store.read(table, start)
            if isinstance(page, Failure):
                return page
            row_by_name.update(_select_rows(page, names))
            start = page.next_start
        return row_by_name


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
    """Return the name of the table that holds a row."""
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
