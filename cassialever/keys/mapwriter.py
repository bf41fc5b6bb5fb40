"""Write the owners of a service's keys to the platform's store."""

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.term_ends import TermEnd
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
    ) -> None:
        """Start with no row; `start_from` tells of one."""
        self._name = row_name(service)
        self._leader_term = leader_term
        #: The version of the row; 0 if there is none.
        self.version = RowVersion(0)
        #: The content of the row as it is known.
        self._known_content: bytes | None = None
        #: Contents of unanswered writes, which may have been committed.
        self._uncertain_contents: list[bytes] = []

    def start_from(self, row: StoreRow) -> None:
        """Expect the row that is known when the term begins."""
        self.version = row.version
        self._known_content = row.content

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
        self._known_content = content
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
            self._leader_term.end(
                TermEnd.leader_row_changed,
                f'expected={self._leader_term.term} {_describe(leader)}',
            )
            return False
        if stored is None or stored.content not in self._uncertain_contents:
            # Another writer's map: this term's state does not match the store.
            self._leader_term.end(
                TermEnd.key_map_changed,
                f'row={self._name} expected={self.version} '
                f'{_describe(stored)} content={self._origin(stored)}',
            )
            return False
        self.version = stored.version
        return stored.content == content

    def _origin(self, stored: StoreRow | None) -> str:
        """Return whether this daemon knows the content of a row."""
        if stored is None or stored.content is None:
            return 'none'
        return 'known' if stored.content == self._known_content else 'other'


def _describe(row: StoreRow | None) -> str:
    """Return the version of a row that was found."""
    return f'found={row.version if row else None}'
