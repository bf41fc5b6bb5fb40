"""Watch the calls to the table: how many, and whether they are answered."""

import collections
from collections.abc import Mapping, Sequence

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import Committed, Row, TableClient, Transaction
from cassialever.types import RowName

#: What the table answered, though the answer is no success.
_ANSWERS = frozenset((ErrorKind.table_conflict,))


class WatchedTable:
    """A table client that counts; implements `interfaces.TableClient`."""

    def __init__(self, table: TableClient) -> None:
        """Watch a client; it counts as reachable until it fails."""
        self._table = table
        self.is_reachable = True
        self.calls: collections.Counter[str] = collections.Counter()

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist."""
        rows = await self._table.read(names)
        self._note('read', rows)
        return rows

    async def scan(self, prefix: str) -> Mapping[RowName, Row] | Failure:
        """Return every row whose name starts with the prefix."""
        rows = await self._table.scan(prefix)
        self._note('scan', rows)
        return rows

    async def commit(self, transaction: Transaction) -> Committed | Failure:
        """Write a transaction."""
        committed = await self._table.commit(transaction)
        self._note('commit', committed)
        return committed

    def _note(self, call: str, outcome: object) -> None:
        failed = isinstance(outcome, Failure) and outcome.kind not in _ANSWERS
        self.is_reachable = not failed
        ending = 'failed' if failed else 'answered'
        self.calls[f'{call} {ending}'] += 1
