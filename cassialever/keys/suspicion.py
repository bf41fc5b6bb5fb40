"""Bound the keys that move because their owner seems to be unreachable.

Its grants have failed, but the fault may lie in this daemon's path to it: the
owner is well then, and others would have to carry its load.
"""

from typing import Final

from cassialever.fleet.model import KEY_COUNT
from cassialever.fleet.suspected_moves import SuspectedMoves
from cassialever.policy.paths import TargetPaths
from cassialever.types import Seconds, ServiceName, TargetId

#: Share of a service's keys that may move on the word of leaders alone: the
#: keys of one data centre of three.
MAX_SUSPECTED_SHARE: Final = 1 / 3
#: Time after a cut of this daemon in which it reaches owners again: their next
#: probe, and the grant that follows.
STALE_PERIOD: Final[Seconds] = 1.5


class SuspicionLimit:
    """The keys of one service that moved on suspicion lately.

    Those that earlier leaders moved count too, since each leader may miss other
    owners.
    """

    def __init__(
        self, service: ServiceName, moves: SuspectedMoves, paths: TargetPaths
    ) -> None:
        """Start with the moves that are known from earlier terms."""
        self._service = service
        self._moves = moves
        self._paths = paths
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
        count_by_owner = self._moves.count_by_owner(self._service)
        moved = sum(count_by_owner.values())
        is_first_owner = moved == count_by_owner.get(owner, 0)
        is_too_many = moved + key_count > MAX_SUSPECTED_SHARE * KEY_COUNT
        if is_too_many and not is_first_owner:
            return False
        self._moves.note(self._service, owner, key_count)
        return True

    def _is_confirmed(self, owner: TargetId, now: Seconds) -> bool:
        """Return whether others miss the owner too, or there are none."""
        if not self._paths.reports.reaching(now):
            return True
        return self._paths.is_confirmed_unreachable(owner, now)
