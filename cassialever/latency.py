"""Notice when a target's latency jumps."""

import math
from collections import deque
from typing import Final

from cassialever.types import Seconds

#: An answer this many times slower than usual counts as slow.
SLOW_FACTOR: Final = 4.0
#: Slow answers are never taken to be rarer than this.
LEAST_SHARE: Final = 0.01
#: Three slow answers in a row are a jump where slow ones are that rare.
JUMP_EVIDENCE: Final = -math.log(LEAST_SHARE) * 3
#: The share of a new answer in how rare slow ones are.
SHARE_WEIGHT: Final = 0.01
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
    """Compare each latency with the usual one, and notice when it jumps.

    Services with slow requests among quick ones have some slow answers at
    all times. So each slow one counts by how rare it has been: a jump is
    what chance brings about less than once in a million answers.
    """

    def __init__(self) -> None:
        """Start without knowing what is usual."""
        self.is_slow = False
        self._run: list[Seconds] = []
        self._usual = Average()
        self._share = Average(SHARE_WEIGHT)
        self._slow = Average()

    @property
    def has_jumped(self) -> bool:
        """Say whether enough slow ones came in a row."""
        return self.would_jump(0)

    @property
    def bound(self) -> Seconds | None:
        """Return what is slow; `None` until enough has been learned."""
        if self._usual.count < LEARNING_ANSWERS:
            return None
        return self._usual.mean * SLOW_FACTOR

    def would_jump(self, open_slow: int) -> bool:
        """Say whether attempts that are slow already make it a jump."""
        evidence = len(self._run) * _rarity(self._share.mean)
        if open_slow:
            evidence += open_slow * _rarity(self._open_share())
        return evidence >= JUMP_EVIDENCE

    def saw(self, latency: Seconds) -> None:
        """Compare a latency and, unless it is slow, learn from it."""
        self.saw_silence(latency)
        if self.is_slow:
            return
        for slow in self._run:
            self._share.add(1)
            self._slow.add(slow)
        self._run.clear()
        self._share.add(0)
        self._usual.add(latency)

    def saw_silence(self, elapsed: Seconds) -> None:
        """Compare how long an attempt went without an answer."""
        bound = self.bound
        self.is_slow = bound is not None and elapsed > bound
        if self.is_slow:
            self._run.append(elapsed)

    def start_over(self) -> None:
        """Learn anew what is usual; how rare slow ones are is kept."""
        self.is_slow = False
        self._run.clear()
        self._usual = Average()

    def _open_share(self) -> float:
        """Return the share of open attempts that are slow at any time."""
        share = self._share.mean
        slow_time = share * self._slow.mean
        time = slow_time + (1 - share) * self._usual.mean
        seen_slow = slow_time - share * self._usual.mean * SLOW_FACTOR
        return seen_slow / time


def _rarity(share: float) -> float:
    """Return how much a slow one says, given the share that is slow."""
    return -math.log(min(1, max(share, LEAST_SHARE)))
