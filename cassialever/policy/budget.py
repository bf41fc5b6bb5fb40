"""Limit how often requests are retried at another target.

Load pattern handled: retries add load to a service just when it fails or
slows down under load. All daemons together may retry a share of the requests
plus a fixed allowance in any window. Each daemon spends the share of its own
requests and its part of the allowance, which keeps the total within this
limit without coordination.
"""

import math
from collections import deque
from typing import Final

from cassialever.gateway.settings import Bounds
from cassialever.types import Seconds

#: Share of the platform's budget that is used. The platform's windows begin
#: and end at other times than ours, which the rest allows for.
SAFETY_FACTOR: Final = 0.8
#: Buckets into which the window is divided.
WINDOW_BUCKETS: Final = 20


class RetryBudget:
    """The retry budget of one service at one daemon, for a sliding window."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        #: Retries allowed per request; a service may set its own.
        self.ratio = bounds.retry_ratio
        self._bucket_length = bounds.retry_window_s / WINDOW_BUCKETS
        #: Start of each bucket, and the requests and retries counted in it.
        self._buckets: deque[list[float]] = deque()
        self._requests: float = 0
        self._retries: float = 0

    def count_request(self, now: Seconds) -> None:
        """Count the first attempt of a request."""
        self._current_bucket(now)[1] += 1
        self._requests += 1

    def try_spend(self, now: Seconds, daemon_count: int) -> bool:
        """Spend one retry and return whether the budget allowed it.

        `daemon_count` is 0 while it is not known. The allowance is shared, so
        a daemon that does not know its part takes none of it.
        """
        bucket = self._current_bucket(now)
        allowance: float = 0
        if daemon_count:
            allowance = self._bounds.retry_allowance / daemon_count
        limit = SAFETY_FACTOR * (self.ratio * self._requests + allowance)
        if self._retries + 1 > limit:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: Seconds) -> list[float]:
        oldest = now - self._bounds.retry_window_s
        buckets = self._buckets
        while buckets and buckets[0][0] < oldest:
            _, requests, retries = buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        newest = buckets[-1][0] if buckets else -math.inf
        if now - newest >= self._bucket_length:
            buckets.append([now, 0, 0])
        return buckets[-1]
