"""Bound the keys that move because their owner seems to be unreachable.

Its grants have failed, but the fault may lie in this daemon's path to it: the
owner is well then, and others would have to carry its load.
"""

from collections import deque
from typing import Final

import msgspec

from cassialever.fleet.lease import AUTHORITY_TERM
from cassialever.fleet.model import KEY_COUNT
from cassialever.policy.paths import TargetPaths
from cassialever.types import Seconds, TargetId

#: Share of a service's keys that may move on this daemon's word alone: the
#: keys of one data centre of three.
MAX_SUSPECTED_SHARE: Final = 1 / 3
#: Time for which moved keys count: the longest that a leader stays in office
#: without the store.
SUSPICION_PERIOD: Final[Seconds] = AUTHORITY_TERM
#: Time after a cut of this daemon in which it reaches owners again: their next
#: probe, and the grant that follows.
STALE_PERIOD: Final[Seconds] = 1.5


class _Move(msgspec.Struct, frozen=True):
    owner: TargetId
    key_count: int
    moved_at: Seconds


class SuspicionLimit:
    """The keys of one service that moved on suspicion lately."""

    def __init__(self, paths: TargetPaths) -> None:
        """Start without moves."""
        self._paths = paths
        self._moves: deque[_Move] = deque()
        #: Until when failed grants belong to an earlier cut.
        self._stale_until: Seconds = 0

    def claim(self, owner: TargetId, key_count: int, now: Seconds) -> bool:
        """Return whether keys of an unreachable owner may move; count them.

        `now` is in monotonic time. The keys of a first owner always may;
        otherwise a service of few targets would not recover from a crash.
        """
        if self._paths.is_cut_off(now):
            self._stale_until = now + STALE_PERIOD
        if now < self._stale_until:
            return False
        if self._is_confirmed(owner, now):
            return True
        while self._moves and now > self._moves[0].moved_at + SUSPICION_PERIOD:
            self._moves.popleft()
        others = sum(
            move.key_count for move in self._moves if move.owner != owner
        )
        moved = sum(move.key_count for move in self._moves)
        if others and moved + key_count > MAX_SUSPECTED_SHARE * KEY_COUNT:
            return False
        self._moves.append(_Move(owner, key_count, now))
        return True

    def _is_confirmed(self, owner: TargetId, now: Seconds) -> bool:
        """Return whether others miss the owner too, or there are none."""
        if not self._paths.reports.reaching(now):
            return True
        return self._paths.is_confirmed_unreachable(owner, now)
