"""Lines that repeat are written at growing intervals, with their count."""

from collections.abc import Hashable
from typing import Final

import msgspec

from cassialever.types import Seconds

#: Time between the first two lines of a kind; it doubles up to the maximum.
FIRST_INTERVAL: Final[Seconds] = 5.0
MAX_INTERVAL: Final[Seconds] = 60.0
#: Kinds that are counted each by itself; all others are counted together.
MAX_KINDS: Final = 16


class GrowingInterval:
    """When the next line of a kind may be written."""

    def __init__(self, next_at: Seconds) -> None:
        """Let the first line be written at a time."""
        self._next_at = next_at
        self._length = FIRST_INTERVAL

    def is_over(self, now: Seconds) -> bool:
        """Return whether a line may be written; then the next one waits."""
        if now < self._next_at:
            return False
        self._next_at = now + self._length
        self._length = min(2 * self._length, MAX_INTERVAL)
        return True


class _Kind(msgspec.Struct):
    interval: GrowingInterval
    count: int = 0


class RepeatedLines:
    """Counts what repeats, by kind, and says when to write a line."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._by_key: dict[Hashable, _Kind] = {}

    def count(self, key: Hashable, now: Seconds) -> int:
        """Count once; return the count if a line is due, and else 0."""
        if key not in self._by_key and len(self._by_key) >= MAX_KINDS:
            key = None
        kind = self._by_key.setdefault(key, _Kind(GrowingInterval(now)))
        kind.count += 1
        return kind.count if kind.interval.is_over(now) else 0

    def forget(self) -> int:
        """Forget all kinds; return how often anything was counted."""
        total = sum(kind.count for kind in self._by_key.values())
        self._by_key.clear()
        return total
