"""The request rate of each key range, and the latency of each target.

Heat is an exponential average of the requests per second for keys.
"""

from array import array
from collections import Counter
from collections.abc import Mapping
from typing import Final

from cassialever.fleet.model import KEY_COUNT, StartedAt, Target
from cassialever.types import Seconds, TargetId

#: Neighbouring keys that share one counter.
KEYS_PER_BUCKET: Final = 8
BUCKET_COUNT: Final = KEY_COUNT // KEYS_PER_BUCKET
#: Time between two updates of the average.
HEAT_UPDATE_INTERVAL: Final[Seconds] = 0.25
#: Share of the old heat that an update keeps. Hot keys change within seconds,
#: so only the last few seconds should count.
DECAY_FACTOR: Final = 0.8
#: The same for the heat that lasts. It tells which owners have more than their
#: part for good, which chance hides in the other one for all but hot keys.
LASTING_UPDATE_INTERVAL: Final[Seconds] = 1.0
LASTING_UPDATE_ROUNDS: Final = round(
    LASTING_UPDATE_INTERVAL / HEAT_UPDATE_INTERVAL
)
LASTING_DECAY_FACTOR: Final = 0.9
#: Share of the total heat that is spread evenly over all keys, so that keys
#: without requests so far count too.
BASELINE_SHARE: Final = 0.1
#: A key below this heat is only counted with its neighbours, in requests per
#: second.
MIN_KEY_HEAT: Final = 0.1
#: Weight of one answer in the average latency of its target.
LATENCY_WEIGHT: Final = 0.2
#: Weight of one answer in the average service time, which lasts: keys that
#: follow the moments of their owners move without gain.
SERVICE_TIME_WEIGHT: Final = 0.03


class KeyHeat:
    """The heat of one service's keys, in requests per second.

    Single hot keys are known beside the buckets, so that hot neighbours can go
    to different owners.
    """

    def __init__(
        self,
        interval: Seconds = HEAT_UPDATE_INTERVAL,
        decay_factor: float = DECAY_FACTOR,
    ) -> None:
        """Take the time between two updates, and what an update keeps."""
        self._interval = interval
        self._decay_factor = decay_factor
        self._heat = array('d', bytes(8 * BUCKET_COUNT))  # noqa: WPS432
        self._heat_by_key: dict[int, float] = {}
        self._counted: Counter[int] = Counter()
        self.total: float = 0

    @property
    def span(self) -> Seconds:
        """Return the span of requests that the average reflects."""
        return self._interval / (1 - self._decay_factor)

    def count(self, keys: list[int]) -> None:
        """Count requested keys."""
        self._counted.update(keys)

    def update(self) -> None:
        """Add the requests counted since the last update to the average."""
        heat = array('d', [old * self._decay_factor for old in self._heat])
        heat_by_key = {
            key: old * self._decay_factor
            for key, old in self._heat_by_key.items()
            if old * self._decay_factor >= MIN_KEY_HEAT
        }
        for key, count in self._counted.items():
            added = (1 - self._decay_factor) * count / self._interval
            heat[key // KEYS_PER_BUCKET] += added
            heat_by_key[key] = heat_by_key.get(key, 0) + added
        self._counted.clear()
        self._heat = heat
        self._heat_by_key = heat_by_key
        self.total = sum(heat)

    def of(self, first: int, last: int) -> float:
        """Return the heat of a key range, its baseline included."""
        baseline = self._baseline_per_key() * (last - first + 1)
        start = -(-first // KEYS_PER_BUCKET)
        end = (last + 1) // KEYS_PER_BUCKET
        if start >= end:
            return self._of_keys(first, last) + baseline
        return (
            sum(self._heat[start:end])
            + self._of_keys(first, start * KEYS_PER_BUCKET - 1)
            + self._of_keys(end * KEYS_PER_BUCKET, last)
            + baseline
        )

    def prefix_end(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the prefix that has about the wanted heat.

        The key that exceeds it is left out if that is nearer to it. The result
        is `last` if the whole range has no more heat than that.
        """
        heat: float = 0
        baseline = self._baseline_per_key()
        key = first
        while key < last:
            step = _step(key, last)
            added = step * baseline
            if step > 1:
                added += self._heat[key // KEYS_PER_BUCKET]
            if step == 1 or heat + added >= wanted:
                step = 1
                added = self._heat_by_key.get(key, 0) + baseline
            if heat + added >= wanted:
                is_nearer_without = wanted - heat < heat + added - wanted
                return key - (is_nearer_without and key > first)
            heat += added
            key += step
        return last

    def _of_keys(self, first: int, last: int) -> float:
        """Return the heat of a few keys, without their baseline."""
        heat_by_key = self._heat_by_key
        return sum(heat_by_key.get(key, 0) for key in range(first, last + 1))

    def _baseline_per_key(self) -> float:
        return max(self.total, 1) * BASELINE_SHARE / KEY_COUNT


class KeyHeats:
    """The heat of one service's keys now, and the one that lasts."""

    def __init__(self) -> None:
        self.recent = KeyHeat()
        self.lasting = KeyHeat(LASTING_UPDATE_INTERVAL, LASTING_DECAY_FACTOR)
        self._rounds = 0

    def count(self, keys: list[int]) -> None:
        """Count requested keys."""
        self.recent.count(keys)
        self.lasting.count(keys)

    def update(self) -> None:
        """Begin a round, every HEAT_UPDATE_INTERVAL."""
        self._rounds += 1
        self.recent.update()
        if self._is_lasting_new():
            self.lasting.update()

    def to_plan_with(self) -> list[tuple[KeyHeat, str]]:
        """Return each heat to plan with in this round, and what it shows."""
        recent = (self.recent, 'its owner is too busy')
        if self._is_lasting_new():
            return [recent, (self.lasting, 'its owner is slow for its keys')]
        return [recent]

    def _is_lasting_new(self) -> bool:
        return not self._rounds % LASTING_UPDATE_ROUNDS


def _step(key: int, last: int) -> int:
    """Return how many keys a search passes at a time: a bucket, or one."""
    is_whole = not key % KEYS_PER_BUCKET and key + KEYS_PER_BUCKET <= last
    return KEYS_PER_BUCKET if is_whole else 1


class TargetLatencies:
    """The average latency of each target, as all daemons report it."""

    def __init__(self) -> None:
        self._service_time_by_id: dict[TargetId, Seconds] = {}
        self._answers_by_id: Counter[TargetId] = Counter()
        self._latency_by_id: dict[TargetId, Seconds] = {}
        self._answered_at_by_id: dict[TargetId, Seconds] = {}
        self._started_at_by_id: dict[TargetId, StartedAt] = {}

    def note_lives(self, targets: Mapping[TargetId, Target]) -> None:
        """Forget targets that are gone, and speeds of earlier lives."""
        started_at_by_id = {
            target_id: target.started_at
            for target_id, target in targets.items()
        }
        if started_at_by_id == self._started_at_by_id:
            return
        for target_id in list(self._latency_by_id):
            started_at = started_at_by_id.get(target_id)
            known = self._started_at_by_id.get(target_id, started_at)
            if started_at is None or started_at != known:
                self._forget(target_id)
        self._started_at_by_id = started_at_by_id

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

    def report_service_times(
        self, target_id: TargetId, count: int, total: Seconds
    ) -> None:
        """Add answers and the sum of their service times."""
        if count <= 0:
            return
        mean = total / count
        self._answers_by_id[target_id] += count
        known = self._service_time_by_id.get(target_id, mean)
        weight = max(
            1 - (1 - SERVICE_TIME_WEIGHT) ** count,
            count / self._answers_by_id[target_id],
        )
        self._service_time_by_id[target_id] = known + weight * (mean - known)

    def service_time_of(self, target_id: TargetId) -> Seconds:
        """Return a target's lasting service time; 0 if none is known.

        Time in the queue is left out; the slowdowns that the target reports
        are part of it.
        """
        return self._service_time_by_id.get(target_id, 0)

    def answered_at(self, target_id: TargetId) -> Seconds:
        """Return when an answer was last reported; 0 if none was."""
        return self._answered_at_by_id.get(target_id, 0)

    def of(self, target_id: TargetId) -> Seconds:
        """Return a target's average latency; 0 if none is known."""
        return self._latency_by_id.get(target_id, 0)

    def _forget(self, target_id: TargetId) -> None:
        self._service_time_by_id.pop(target_id, None)
        self._answers_by_id.pop(target_id, None)
        self._latency_by_id.pop(target_id, None)
        self._answered_at_by_id.pop(target_id, None)
