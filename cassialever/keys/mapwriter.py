"""Write the owners of a service's keys to the platform's store."""

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.view import KEY_MAP_PREFIX, LEADER_ROW, OWN_TABLE
from cassialever.platform import rows
from cassialever.types import RowVersion, ServiceName


def row_name(service: ServiceName) -> str:
    """Return the name of the row that holds a service's owners."""
    return f'{KEY_MAP_PREFIX}{service}'


class MapWriter:
    """The row of one service, written by one leader in one term.

    Each write expects the row that this writer last saw, and the row that
    made this daemon the leader. A write that is carried out late therefore
    changes nothing once a later one, or another leader's, has been.
    """

    def __init__(
        self,
        service: ServiceName,
        leading: LeaderTerm,
        version: RowVersion,
    ) -> None:
        """Take the version of the row that is known; 0 for none."""
        self._name = row_name(service)
        self._leading = leading
        self.version = version
        #: Contents of writes without an answer, which may still stand.
        self._unanswered: list[bytes] = []

    async def write(self, key_map: KeyMap) -> StoreRow | None:
        """Write a map; return its row, or nothing if it may not stand."""
        content = msgspec.msgpack.encode(key_map)
        answer = await self._leading.commit(self._transaction(content))
        if isinstance(answer, Failure):
            self._unanswered.append(content)
            return None
        if isinstance(answer, rows.Conflict):
            if not self._is_standing(answer, content):
                return None
        else:
            self.version = answer.version
        self._unanswered.clear()
        return StoreRow(OWN_TABLE, self._name, content, self.version)

    def _transaction(self, content: bytes) -> rows.Transaction:
        return rows.Transaction(
            preconditions=(
                rows.Precondition(OWN_TABLE, LEADER_ROW, self._leading.term),
                rows.Precondition(OWN_TABLE, self._name, self.version),
            ),
            writes=(rows.Write(OWN_TABLE, self._name, content),),
        )

    def _is_standing(self, conflict: rows.Conflict, content: bytes) -> bool:
        """Tell a write whose answer was lost from another leader's."""
        found_by_name = {row.name: row for row in conflict.rows}
        leader = found_by_name.get(LEADER_ROW)
        found = found_by_name.get(self._name)
        if leader is None or leader.version != self._leading.term:
            self._leading.depose()
            return False
        if found is None or found.content not in self._unanswered:
            # Somebody else's owners: what this term believes is wrong.
            self._leading.depose()
            return False
        self.version = found.version
        return found.content == content
