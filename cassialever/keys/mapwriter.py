"""Write the owners of a service's keys to the platform's store."""

from typing import Final

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.row_replica import UNCONFIRMED
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import KEY_MAP_PREFIX, LEADER_ROW, OWN_TABLE
from cassialever.platform import rows
from cassialever.types import RowVersion, ServiceName


#: Times that a write is sent, if the row has another version than was expected.
MAX_ATTEMPTS: Final = 4


def row_name(service: ServiceName) -> str:
    """Return the name of the row that stores a service's key map."""
    return f'{KEY_MAP_PREFIX}{service}'


class MapWriter:
    """Writes the key map of one service during one term.

    Each write expects the row as this writer knows it, and the leader row that
    began this term. A delayed write therefore has no effect once a later one,
    or one of another leader, has been committed.
    """

    def __init__(
        self,
        service: ServiceName,
        leader_term: LeaderTerm,
    ) -> None:
        """Start with no row; see `start_from`."""
        self._service = service
        self._name = row_name(service)
        self._leader_term = leader_term
        #: The version that the row is expected to have; 0 if there is none. It
        #: may be too high: see `rows.Committed`.
        self.version = RowVersion(0)
        #: The lowest version that it can have, unless the store lost writes.
        self._at_least = RowVersion(0)
        #: The highest version that the row had, and that at the last loss of
        #: the store. Daemons that know it take no lower one, nor another row of
        #: this version.
        self._highest = RowVersion(0)
        self._lost = UNCONFIRMED
        #: The content of the row as it is known.
        self._known_content: bytes | None = None
        #: Losses of the store before the last write.
        self._loss_count = 0
        #: Contents of unanswered writes, which may have been committed.
        self._uncertain_contents: list[bytes] = []

    def start_from(self, row: StoreRow) -> None:
        """Expect the row that is known when the term begins."""
        self._leader_term.mapped_services.note(self._service)
        self._highest = row.version
        self.version = row.version
        self._at_least = row.version
        self._known_content = row.content

    def may_be_lost(self) -> bool:
        """Return whether the store may have lost the last write.

        One that got a version below those that were lost is written again once
        the store has made up for them.
        """
        if self._leader_term.doubt.loss_count != self._loss_count:
            return True
        reached = self._leader_term.lease_at_least
        return self._at_least <= self._lost <= reached

    async def write(self, key_map: KeyMap) -> StoreRow | None:
        """Write a key map; return its row.

        The row's version is the lowest that it can have, which is above that
        of each earlier row. Return None if the write failed, or if its outcome
        is unknown.
        """
        content = msgspec.msgpack.encode(key_map)
        self._leader_term.mapped_services.note(self._service)
        for _ in range(MAX_ATTEMPTS):
            expected = self.version
            loss_count = self._leader_term.doubt.loss_count
            answer = await self._leader_term.commit(self._transaction(content))
            if isinstance(answer, Failure):
                self._uncertain_contents.append(content)
                return None
            if isinstance(answer, rows.Committed):
                self._note_stored(content, answer.version)
                self._note_versions(answer.lower_bound, loss_count)
                return self._row(content, answer.lower_bound)
            if not self._adopt(answer, content):
                return None
            if self._known_content == content:
                return self._row(content, self.version)
            if self.version == expected:
                return None
        return None

    def _transaction(self, content: bytes) -> rows.Transaction:
        return rows.Transaction(
            preconditions=(
                rows.Precondition(OWN_TABLE, self._name, self.version),
            ),
            writes=(rows.Write(OWN_TABLE, self._name, content),),
        )

    def _row(self, content: bytes, version: RowVersion) -> StoreRow:
        return StoreRow(OWN_TABLE, self._name, content, version)

    def _note_stored(self, content: bytes, version: RowVersion) -> None:
        """Note what the store has; no unanswered write can follow it."""
        self.version = version
        self._at_least = version
        self._known_content = content
        self._uncertain_contents.clear()

    def _note_versions(self, at_least: RowVersion, loss_count: int) -> None:
        """Note the lowest version of a write, and the losses before it."""
        self._at_least = at_least
        if loss_count != self._loss_count:
            self._lost = self._highest
        self._highest = max(self._highest, at_least)
        self._loss_count = loss_count

    def _adopt(self, conflict: rows.Conflict, written: bytes) -> bool:
        """Adopt the row that a write has met; return whether to go on.

        That is this writer's own, whose version was not known exactly, an
        earlier one to which a store that lost writes came back, or one that was
        removed, which names no owner and no fence. End the term if another
        leader has taken over, or if the row holds another map: this term's
        state does not match it.
        """
        row_by_name = {row.name: row for row in conflict.rows}
        leader = row_by_name.get(LEADER_ROW)
        if leader is None or leader.version != self._leader_term.term:
            self._leader_term.end(
                TermEnd.leader_row_changed,
                f'expected={self._leader_term.term} {_describe(leader)}',
            )
            return False
        stored = row_by_name.get(self._name)
        if stored is None or stored.content is None:
            self.version = RowVersion(0)
            self._known_content = None
            return True
        own = {self._known_content, written, *self._uncertain_contents}
        # A lower version shows that the store has lost a write of this term.
        if stored.content not in own and stored.version >= self._at_least:
            self._leader_term.end(
                TermEnd.key_map_changed,
                f'row={self._name} expected={self.version} {_describe(stored)}',
            )
            return False
        self._note_stored(stored.content, stored.version)
        return True


def _describe(row: StoreRow | None) -> str:
    """Return the version of a row that was found."""
    return f'found={row.version if row else None}'
