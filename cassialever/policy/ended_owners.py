"""Remember since when requests meet owners of keys that have ended.

Load patterns handled: owners that have ended while the leader can't move their
keys, so that requests that wait for the next owner would wait in vain.
"""

from typing import Final, TypeAlias

import msgspec

from cassialever.fleet.model import StartedAt, Target
from cassialever.types import Seconds, TargetId

#: How long an owner is remembered after a request has met it last.
MAX_AGE: Final[Seconds] = 60.0
#: Owners that are remembered; those that were met last stay.
MAX_OWNERS: Final = 1024

_Life: TypeAlias = tuple[TargetId, StartedAt]


class _Meeting(msgspec.Struct):
    """When requests have met an owner that has ended."""

    first_at: Seconds
    last_at: Seconds


class EndedOwners:
    """The owners that have ended, by life, as requests meet them."""

    def __init__(self) -> None:
        """Start without any."""
        self._meeting_by_life: dict[_Life, _Meeting] = {}

    def record_met(self, owner: Target, now: Seconds) -> Seconds:
        """Record that a request meets an owner.

        Return the time since the first one did.
        """
        life = (owner.target_id, owner.started_at)
        # The one that was met last stands last.
        known = self._meeting_by_life.pop(life, None) or _Meeting(now, now)
        known.last_at = now
        self._meeting_by_life[life] = known
        if len(self._meeting_by_life) > MAX_OWNERS:
            self._meeting_by_life.pop(next(iter(self._meeting_by_life)))
        return now - known.first_at

    def prune(self, now: Seconds) -> None:
        """Forget owners that no request has met for a while."""
        for life, known in list(self._meeting_by_life.items()):
            if now >= known.last_at + MAX_AGE:
                self._meeting_by_life.pop(life)
