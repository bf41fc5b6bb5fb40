"""Write the owners of a service's keys to the platform's store."""

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.view import KEY_MAP_PREFIX, LEADER_ROW, OWN_TABLE
from cassialever.platform import rows
from cassialever.types import RowVersion, ServiceName


def row_name(service: ServiceName) -> str:
    """Return the name of the row that stores a service's key map."""
    return f'{KEY_MAP_PREFIX}{service}'


class MapWriter:
    """Writes the key map of one service during one term.

    Each write expects the version of the row that this writer last saw, and
    the leader row that began this term. A delayed write therefore has no
    effect once a later one, or one of another leader, has been committed.
    """

    def __init__(
        self,
        service: ServiceName,
        leader_term: LeaderTerm,
        version: RowVersion,
    ) -> None:
        """Start at the known version of the row; 0 if there is none."""
        self._name = row_name(service)
        self._leader_term = leader_term
        self.version = version
        #: Contents of unanswered writes, which may have been committed.
        self._uncertain_contents: list[bytes] = []

    async def write(self, key_map: KeyMap) -> StoreRow | None:
        """Write a key map; return its row.

        Return None if the write failed, or if its outcome is unknown.
        """
        content = msgspec.msgpack.encode(key_map)
        answer = await self._leader_term.commit(self._transaction(content))
        if isinstance(answer, Failure):
            self._uncertain_contents.append(content)
            return None
        if isinstance(answer, rows.Conflict):
            if not self._is_committed(answer, content):
                return None
        else:
            self.version = answer.version
        self._uncertain_contents.clear()
        return StoreRow(OWN_TABLE, self._name, content, self.version)

    def _transaction(self, content: bytes) -> rows.Transaction:
        return rows.Transaction(
            preconditions=(
                rows.Precondition(
                    OWN_TABLE, LEADER_ROW, self._leader_term.term
                ),
                rows.Precondition(OWN_TABLE, self._name, self.version),
            ),
            writes=(rows.Write(OWN_TABLE, self._name, content),),
        )

    def _is_committed(self, conflict: rows.Conflict, content: bytes) -> bool:
        """Return whether an earlier, unanswered write stored this content.

        End the term if another leader has taken over, or if the row holds
        a map that this writer did not write.
        """
        row_by_name = {row.name: row for row in conflict.rows}
        leader = row_by_name.get(LEADER_ROW)
        stored = row_by_name.get(self._name)
        if leader is None or leader.version != self._leader_term.term:
            self._leader_term.depose()
            return False
        if stored is None or stored.content not in self._uncertain_contents:
            # Another writer's map: this term's state does not match the store.
            self._leader_term.depose()
            return False
        self.version = stored.version
        return stored.content == content
