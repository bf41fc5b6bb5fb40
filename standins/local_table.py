"""The stand-in table, reached without a network."""

from collections.abc import Mapping, Sequence

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import Committed, Row, Transaction
from cassialever.types import RowName
from standins.table import TableRows


class LocalTable:
    """Implement `interfaces.TableClient` on rows in memory."""

    def __init__(self, rows: TableRows) -> None:
        """Take the rows."""
        self._rows = rows

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist."""
        return {row.name: row for row in self._rows.read(names)}

    async def scan(self, prefix: str) -> Mapping[RowName, Row] | Failure:
        """Return every row whose name starts with the prefix."""
        return {row.name: row for row in self._rows.scan(prefix)}

    async def commit(self, transaction: Transaction) -> Committed | Failure:
        """Write a transaction."""
        reply = self._rows.commit(transaction)
        if reply.conflicts:
            return Failure(ErrorKind.table_conflict, str(reply.conflicts))
        return Committed(reply.version_by_name)
