"""Notice when a target's latency jumps."""

from collections import deque
from typing import Final

from cassialever.types import Seconds

#: An answer this many times slower than usual counts as slow.
SLOW_FACTOR: Final = 4.0
#: This many slow answers in a row are a jump in latency.
SLOW_RUN: Final = 3
#: The share of a new answer in the usual latency.
LATENCY_WEIGHT: Final = 0.1
#: Latency is only compared once this many answers have been seen.
LEARNING_ANSWERS: Final = 8
#: The answers by which the time in a slot is judged.
RECENT_VALUES: Final = 17


class Average:
    """An average in which old values count for less and less."""

    def __init__(self, weight: float = LATENCY_WEIGHT) -> None:
        """Start without any value; the first ones count evenly."""
        self.count = 0
        self.mean: float = 0
        self._weight = weight

    def add(self, value: float) -> None:
        """Count a value in."""
        self.count += 1
        weight = max(self._weight, 1 / self.count)
        self.mean += (value - self.mean) * weight


class RecentMedian:
    """The median of the latest values; 0 until enough have been seen."""

    def __init__(self) -> None:
        """Start without any value."""
        self.median: float = 0
        self._recent: deque[float] = deque(maxlen=RECENT_VALUES)

    def add(self, value: float) -> None:
        """Count a value in."""
        self._recent.append(value)
        if len(self._recent) >= LEARNING_ANSWERS:
            ranked = sorted(self._recent)
            self.median = ranked[(len(ranked) - 1) // 2]


class LatencyWatch:
    """Compare each latency with the usual one.

    Slow ones don't change what is usual, so that a run of them is noticed.
    """

    def __init__(self) -> None:
        """Start without knowing what is usual."""
        self.is_slow = False
        self._run = 0
        self._usual = Average()

    @property
    def has_jumped(self) -> bool:
        """Say whether enough slow ones came in a row."""
        return self._run >= SLOW_RUN

    @property
    def bound(self) -> Seconds | None:
        """Return what is slow; `None` until enough has been learned."""
        if self._usual.count < LEARNING_ANSWERS:
            return None
        return self._usual.mean * SLOW_FACTOR

    def would_jump(self, open_slow: int) -> bool:
        """Say whether attempts that are slow already make it a jump."""
        return self._run + open_slow >= SLOW_RUN

    def saw(self, latency: Seconds) -> None:
        """Compare a latency and, unless it is slow, learn from it."""
        self.saw_silence(latency)
        if self.is_slow:
            return
        self._run = 0
        self._usual.add(latency)

    def saw_silence(self, elapsed: Seconds) -> None:
        """Compare how long an attempt went without an answer."""
        bound = self.bound
        self.is_slow = bound is not None and elapsed > bound
        if self.is_slow:
            self._run += 1
