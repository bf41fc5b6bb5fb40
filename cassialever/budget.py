"""One budget per service for retries and hedges together."""

from typing import Final

from cassialever.types import Seconds

#: Extra sends that may be saved up while few are needed.
MOST_SAVED: Final = 10.0
#: What a service may always spend in the long run, in sends per second.
FLOOR_PER_SECOND: Final = 0.1


class RetryBudget:
    """Extra sends, earned as a share of fresh requests.

    A service with little work earns at least the floor. The floor is no
    addition: fresh requests use it up first.
    """

    def __init__(self, share: float, now: Seconds) -> None:
        """Start with one extra send; `share` is per fresh request."""
        self.share = share
        self._saved = 1.0
        self._floor: float = 0
        self._floor_at = now

    def fresh(self, now: Seconds) -> None:
        """Earn by a fresh request, which is none that this daemon repeats."""
        self._raise_floor(now)
        self._floor = max(0, self._floor - self.share)
        self._saved = min(MOST_SAVED, self._saved + self.share)

    def draw(self, now: Seconds) -> bool:
        """Pay for one extra send; return whether it may be sent."""
        self._raise_floor(now)
        if self._saved >= 1:
            self._saved -= 1
            return True
        if self._floor >= 1:
            self._floor -= 1
            return True
        return False

    def _raise_floor(self, now: Seconds) -> None:
        earned = (now - self._floor_at) * FLOOR_PER_SECOND
        self._floor_at = now
        self._floor = min(1, self._floor + earned)
