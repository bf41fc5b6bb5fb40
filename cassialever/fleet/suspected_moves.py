"""Count the keys that leaders moved because they could not reach the owner.

The lease carries the moves from one leader to the next. They count by the
store's clock, which all leaders know.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from cassialever.fleet.lease import AUTHORITY_TERM
from cassialever.fleet.model import SuspectedMove
from cassialever.types import Seconds, ServiceName, TargetId

#: Time for which a move counts: the longest that a leader stays in office
#: without the store.
SUSPICION_PERIOD: Final[Seconds] = AUTHORITY_TERM
#: Moves that a lease carries; older ones count with the oldest of them. With
#: the longest names the lease's row stays below the limit of the store.
MAX_MOVES: Final = 100


class SuspectedMoves:
    """The moves on suspicion of the present leader and of earlier ones."""

    def __init__(
        self,
        earlier: tuple[SuspectedMove, ...],
        store_time: Callable[[], Seconds],
    ) -> None:
        """Start with those of earlier leaders.

        `store_time` returns the store's time, as this daemon estimates it.
        """
        self._moves = earlier
        self._store_time = store_time

    def recent(self) -> tuple[SuspectedMove, ...]:
        """Return the moves that count."""
        since = self._store_time() - SUSPICION_PERIOD
        moves = tuple(move for move in self._moves if move.moved_at >= since)
        return moves if len(moves) <= MAX_MOVES else _limit(moves)

    def count_by_owner(self, service: ServiceName) -> dict[TargetId, int]:
        """Return how many keys of a service left each owner."""
        return {
            move.owner: move.key_count
            for move in self.recent()
            if move.service == service
        }

    def note(
        self, service: ServiceName, owner: TargetId, key_count: int
    ) -> None:
        """Count a move; the transaction that carries it out stores it."""
        earlier = self.count_by_owner(service).get(owner, 0)
        others = [
            move
            for move in self.recent()
            if (move.service, move.owner) != (service, owner)
        ]
        noted = SuspectedMove(
            service, owner, earlier + key_count, self._store_time()
        )
        self._moves = (*others, noted)


def _limit(moves: tuple[SuspectedMove, ...]) -> tuple[SuspectedMove, ...]:
    """Return the latest moves, to which those of the others are added."""
    kept = list(moves[-MAX_MOVES:])
    for left_out in moves[:-MAX_MOVES]:
        for number, move in enumerate(kept):
            if move.service != left_out.service:
                continue
            key_count = move.key_count + left_out.key_count
            kept[number] = msgspec.structs.replace(move, key_count=key_count)
            break
    return tuple(kept)
