"""Writes of leaders that the store has acknowledged, and has no more.

The platform's store loses none. One that comes back from an older copy does,
and gives their versions out again: a row of it is then older than the known
one, whatever was written since. Grants may be in force that it does not name.
"""

from collections.abc import Iterable
from typing import Annotated, Any, Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import StoreRow
from cassialever.platform.entry_limits import MAX_INTEGER
from cassialever.types import RowVersion, Seconds

#: Versions that a store may have lost beyond those that are known: more than
#: the platform's store takes in 10 s.
MAX_LOST_VERSIONS: Final = 4096
#: Losses that are kept; of more, those found first are forgotten.
MAX_LOSSES: Final = 64
#: For how long grants may be in force that the store has lost: the authority
#: of a leader that does not learn of it, and the longest grant.
MAX_LOSS_AGE: Final[Seconds] = 15.0


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A write that the store has lost, as daemons tell each other.

    It was found `age` ago. `leader_id` is the leader that it made, if any.
    """

    version: Annotated[RowVersion, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    leader_id: str
    age: Annotated[Seconds, msgspec.Meta(ge=0, le=MAX_LOSS_AGE)]


class LostWrites:
    """The latest lost writes of the leaders and of the owners of keys."""

    def __init__(self, clock: SystemClock) -> None:
        """Start without a loss."""
        self._clock = clock
        #: The highest version and when it was found, by the leader it made.
        self._found_by_leader: dict[str, tuple[RowVersion, Seconds]] = {}
        #: The version of each row that was found lost last.
        self._lost_by_row: dict[str, RowVersion] = {}
        #: How often a row was found lost.
        self.count = 0

    def note(
        self, known: StoreRow, stored_version: RowVersion, leader_id: str = ''
    ) -> None:
        """Note that the store has a row with an earlier version, or has none.

        That has to be of a read which began after the known one was learnt.
        Each version of a row is lost once.
        """
        if self._lost_by_row.get(known.name) == known.version:
            return
        self._lost_by_row.pop(known.name, None)
        self._lost_by_row[known.name] = known.version
        _limit(self._lost_by_row)
        self.count += 1
        record(
            Event.writes_lost,
            table=known.table,
            row=known.name,
            version=stored_version,
            known=known.version,
        )
        self._note(known.version, leader_id, self._clock.boot())

    def note_told(self, losses: Iterable[Loss]) -> None:
        """Note what another daemon has found, or was told."""
        now = self._clock.boot()
        for loss in losses:
            self._note(loss.version, loss.leader_id, now - loss.age)

    def recent(self) -> tuple[Loss, ...]:
        """Return the losses after which grants may still be in force."""
        now = self._clock.boot()
        losses = []
        for leader_id, (version, at) in tuple(self._found_by_leader.items()):
            if now - at > MAX_LOSS_AGE:
                self._found_by_leader.pop(leader_id)
                continue
            losses.append(Loss(version, leader_id, max(now - at, 0)))
        return tuple(losses)

    def _note(
        self, version: RowVersion, leader_id: str, found_at: Seconds
    ) -> None:
        known = self._found_by_leader.pop(leader_id, (version, found_at))
        self._found_by_leader[leader_id] = (
            max(known[0], version),
            max(known[1], found_at),
        )
        _limit(self._found_by_leader)


def _limit(known: dict[str, Any]) -> None:
    while len(known) > MAX_LOSSES:
        known.pop(next(iter(known)))
