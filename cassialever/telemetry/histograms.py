"""A latency histogram that costs each request little more than an addition.

Its counts are read when metrics are collected. Recording each request in an
OpenTelemetry histogram costs several times as much.
"""

import bisect
from collections.abc import Iterator
from typing import Final

from cassialever.types import Seconds

#: Upper bounds of the buckets; one more bucket has no upper bound.
BUCKET_BOUNDS_SECONDS: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.019,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
)
INFINITE_BOUND: Final = '+Inf'


class LatencyHistogram:
    """Count latencies by bucket."""

    def __init__(self) -> None:
        self.total_seconds: Seconds = 0
        self._counts = [0 for _ in (*BUCKET_BOUNDS_SECONDS, INFINITE_BOUND)]

    def observe(self, seconds: Seconds) -> None:
        """Count one latency."""
        self.total_seconds += seconds
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1

    def cumulative_counts(self) -> Iterator[tuple[str, int]]:
        """Yield each upper bound and the number of latencies up to it."""
        total = 0
        bounds = [*map(str, BUCKET_BOUNDS_SECONDS), INFINITE_BOUND]
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            yield bound, total
