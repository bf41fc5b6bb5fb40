"""Remember the pauses that targets asked this daemon for.

A target that refuses a request may say for how long it wants nothing more from
the daemon that sent it. It does not concern other daemons.
"""

import math
from collections.abc import Mapping
from typing import Final

from cassialever.fleet.model import StartedAt, Target
from cassialever.types import Seconds, TargetId

#: Longest pause that is kept. A longer time is more likely a mistake of the
#: target, which would get nothing from this daemon until it starts again; asked
#: once more, it may say the same again.
MAX_PAUSE: Final[Seconds] = 300.0


class TargetPauses:
    """Until when targets want no request; times are by the boot clock."""

    def __init__(self) -> None:
        """Start without any pause."""
        self._pause_by_id: dict[TargetId, tuple[StartedAt, Seconds]] = {}

    def record(self, target: Target, pause: Seconds, now: Seconds) -> bool:
        """Record a pause from now on; return whether there was none.

        A later answer does not shorten it.
        """
        known = self.until(target)
        until = max(known, now + min(pause, MAX_PAUSE))
        self._pause_by_id[target.target_id] = (target.started_at, until)
        return known <= now

    def until(self, target: Target) -> Seconds:
        """Return when a target's last pause ends; -infinity if it has none."""
        started_at, until = self._pause_by_id.get(
            target.target_id, (target.started_at, -math.inf)
        )
        return until if started_at == target.started_at else -math.inf

    def prune(self, target_by_id: Mapping[TargetId, Target]) -> None:
        """Forget the pauses of targets that are gone."""
        for target_id in self._pause_by_id.keys() - target_by_id.keys():
            self._pause_by_id.pop(target_id)
