"""The request rate of each key range, and the latency of each target.

Heat is an exponential average of the requests per second for keys.
"""

from array import array
from typing import Final

from cassialever.fleet.model import KEY_COUNT
from cassialever.types import Seconds, TargetId

#: Neighbouring keys that share one counter.
KEYS_PER_BUCKET: Final = 8
BUCKET_COUNT: Final = KEY_COUNT // KEYS_PER_BUCKET
#: Time between two updates of the average.
HEAT_UPDATE_INTERVAL: Final[Seconds] = 0.25
#: Share of the old heat that an update keeps. Hot keys change within seconds,
#: so only the last few seconds should count.
DECAY_FACTOR: Final = 0.8
#: Time constant of the average: the span of requests that it reflects.
HEAT_TIME_CONSTANT: Final[Seconds] = HEAT_UPDATE_INTERVAL / (1 - DECAY_FACTOR)
#: Share of the total heat that is spread evenly over all keys, so that keys
#: without requests so far count too.
BASELINE_SHARE: Final = 0.1
#: Weight of one answer in the average latency of its target.
LATENCY_WEIGHT: Final = 0.2


class KeyHeat:
    """The heat of one service's keys, in requests per second."""

    def __init__(self) -> None:
        self._heat = array('d', bytes(8 * BUCKET_COUNT))  # noqa: WPS432
        self._counted: dict[int, int] = {}
        self.total: float = 0

    def count(self, keys: list[int]) -> None:
        """Count requested keys."""
        for key in keys:
            bucket = key // KEYS_PER_BUCKET
            self._counted[bucket] = self._counted.get(bucket, 0) + 1

    def update(self) -> None:
        """Add the requests counted since the last update to the average."""
        heat = array('d', [old * DECAY_FACTOR for old in self._heat])
        for bucket, count in self._counted.items():
            heat[bucket] += (1 - DECAY_FACTOR) * count / HEAT_UPDATE_INTERVAL
        self._counted.clear()
        self._heat = heat
        self.total = sum(heat)

    def of(self, first: int, last: int) -> float:
        """Return the heat of a key range, its baseline included."""
        end = last // KEYS_PER_BUCKET + 1
        measured = sum(self._heat[first // KEYS_PER_BUCKET : end])
        return measured + self._baseline_per_key() * (last - first + 1)

    def prefix_end(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the prefix that has the wanted heat.

        The result is `last` if the whole range has no more heat than that.
        """
        heat: float = 0
        baseline = self._baseline_per_key() * KEYS_PER_BUCKET
        bucket = first // KEYS_PER_BUCKET
        while bucket < last // KEYS_PER_BUCKET:
            heat += self._heat[bucket] + baseline
            if heat >= wanted:
                return bucket * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1
            bucket += 1
        return last

    def _baseline_per_key(self) -> float:
        return max(self.total, 1) * BASELINE_SHARE / KEY_COUNT


class TargetLatencies:
    """The average latency of each target, as all daemons report it."""

    def __init__(self) -> None:
        self._latency_by_id: dict[TargetId, Seconds] = {}
        self._answered_at_by_id: dict[TargetId, Seconds] = {}

    def report(
        self,
        target_id: TargetId,
        count: int,
        total: Seconds,
        now: Seconds = 0,
    ) -> None:
        """Add a number of answers and the sum of their latencies."""
        self._answered_at_by_id[target_id] = now
        mean = total / max(count, 1)
        known = self._latency_by_id.get(target_id, mean)
        weight = 1 - (1 - LATENCY_WEIGHT) ** count
        self._latency_by_id[target_id] = known + weight * (mean - known)

    def answered_at(self, target_id: TargetId) -> Seconds:
        """Return when an answer was last reported; 0 if none was."""
        return self._answered_at_by_id.get(target_id, 0)

    def of(self, target_id: TargetId) -> Seconds:
        """Return a target's average latency; 0 if none is known."""
        return self._latency_by_id.get(target_id, 0)
