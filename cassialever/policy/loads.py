"""What a daemon knows of the load and health of each target.

What a target tells with an answer ages fast, so it counts less the older it
is; the daemon's own open requests are always exact.
"""

import math
from collections.abc import Container, Mapping
from typing import Final

from cassialever.platform.wire import ReportedLoad
from cassialever.types import Seconds, TargetId

#: After this time a told load counts for a third: targets start and end
#: several requests meanwhile.
TOLD_LOAD_LIFE: Final[Seconds] = 0.3
#: Weight of the newest answer in the averages of latency and failures.
NEWEST_WEIGHT: Final = 0.1
#: After this time a target's own latency counts for a third; targets are
#: slow for about 5 s on the measured days.
LATENCY_LIFE: Final[Seconds] = 2.0
#: How long a target that could not be reached is passed over.
UNREACHABLE_PAUSE: Final[Seconds] = 1.0
#: The failure average above which a target is passed over if others do.
FAILING: Final = 0.25
#: The life after which the failure average has fallen to a third.
FAILING_LIFE: Final[Seconds] = 3.0


class TargetLoad:
    """The load and health of one target, as this daemon sees it."""

    def __init__(self) -> None:
        """Start idle and sound."""
        self.open_requests = 0
        #: Open requests of the other daemons, as they tell.
        self.open_elsewhere = 0
        self._told_busy: float = 0
        self._told_at: Seconds = 0
        self._own_when_told = 0
        self._slowness = 1.0
        self._failing: float = 0
        self._failed_at: Seconds = 0
        self._unreachable_until: Seconds = 0
        #: Average time from sending to the whole answer, and the last one's.
        self._latency: Seconds = 0
        self._answered_at: Seconds = -math.inf
        #: Average time in a slot, without waiting for one.
        self._work: Seconds = 0
        #: Number and sum of the times of answers since the last report.
        self._answers = 0
        self._answer_time: Seconds = 0

    def busy(self, now: Seconds) -> float:
        """Return about how many requests run or wait there."""
        age = now - self._told_at
        weight = math.exp(-age / TOLD_LOAD_LIFE) if self._told_at else 0
        told_by_others = max(self._told_busy - self._own_when_told, 0)
        others = max(weight * told_by_others, self.open_elsewhere)
        return self.open_requests + others

    def expected(self, slots: int, now: Seconds) -> Seconds:
        """Return how long a request sent now would take there.

        Requests beyond the slots wait for those before them.
        """
        return self._work * self.turns(slots, now) * self.slowness(now)

    def turns(self, slots: int, now: Seconds) -> float:
        """Return how many turns of all slots a request takes to be done."""
        return max((self.busy(now) + 1) / slots, 1)

    def slowness(self, now: Seconds) -> float:
        """Return how long work takes there; 1 is as usual."""
        age = now - self._told_at
        weight = math.exp(-age / TOLD_LOAD_LIFE) if self._told_at else 0
        return 1 + weight * (self._slowness - 1)

    def is_reachable(self, now: Seconds) -> bool:
        """Tell whether no connection failed a moment ago."""
        return now >= self._unreachable_until

    def is_failing(self, now: Seconds) -> bool:
        """Tell whether many of the latest requests failed there."""
        age = now - self._failed_at
        return self._failing * math.exp(-age / FAILING_LIFE) > FAILING

    def opened(self) -> None:
        """Count a request that is being sent."""
        self.open_requests += 1

    def closed(self) -> None:
        """Count a request that is over, however it ended."""
        self.open_requests -= 1

    def told(self, load: ReportedLoad | None, now: Seconds) -> None:
        """Take in the load that came with an answer."""
        if load is None:
            return
        self._told_busy = load.running + load.queued
        self._told_at = now
        # The answered request is still counted as open here, not there.
        self._own_when_told = max(self.open_requests - 1, 0)
        self._slowness = load.slowdown

    def latency(self, now: Seconds, usual: Seconds) -> Seconds:
        """Return the time that an answer takes there.

        It tends to the usual time while nothing is heard, so that a target
        that was slow, or is new, is tried.
        """
        weight = math.exp(-(now - self._answered_at) / LATENCY_LIFE)
        return usual + weight * (self._latency - usual)

    def succeeded(self, latency: Seconds, turns: float, now: Seconds) -> None:
        """Count a whole answer; `turns` is its share of waiting and work."""
        work = latency / turns
        if not self._work:
            self._work = work
        self._work += NEWEST_WEIGHT * (work - self._work)
        self._failing *= 1 - NEWEST_WEIGHT
        self._answers += 1
        self._answer_time += latency
        if not self._latency:
            self._latency = latency
        self._latency += NEWEST_WEIGHT * (latency - self._latency)
        self._answered_at = now

    def is_idle(self) -> bool:
        """Tell whether nobody has a request open there."""
        return not self.open_requests and not self.open_elsewhere

    def take_times(self) -> tuple[int, Seconds]:
        """Return number and sum of answer times since the last call."""
        taken = (self._answers, self._answer_time)
        self._answers = 0
        self._answer_time = 0
        return taken

    def failed(self, now: Seconds) -> None:
        """Count a request that the target failed."""
        self._failing += NEWEST_WEIGHT * 2 * (1 - self._failing)
        self._failed_at = now

    def could_not_be_reached(self, now: Seconds) -> None:
        """Count a connection that could not be made."""
        self._unreachable_until = now + UNREACHABLE_PAUSE
        self.failed(now)


class LoadBook:
    """The loads of all targets."""

    def __init__(self) -> None:
        """Start empty."""
        self._load_by_id: dict[TargetId, TargetLoad] = {}
        #: What each peer told last: its open requests by target.
        self._open_by_peer: dict[str, Mapping[str, int]] = {}

    def hear(self, peer: str, open_by_target: Mapping[str, int]) -> None:
        """Take in the open requests of a peer, in place of its last ones."""
        for name, number in self._open_by_peer.pop(peer, {}).items():
            self.of(TargetId(name)).open_elsewhere -= number
        for name, number in open_by_target.items():
            self.of(TargetId(name)).open_elsewhere += number
        if open_by_target:
            self._open_by_peer[peer] = open_by_target

    def open_by_target(self) -> dict[str, int]:
        """Return this daemon's open requests, by target."""
        return {
            str(target_id): load.open_requests
            for target_id, load in self._load_by_id.items()
            if load.open_requests
        }

    def of(self, target_id: TargetId) -> TargetLoad:
        """Return the load of a target."""
        load = self._load_by_id.get(target_id)
        if load is None:
            load = TargetLoad()
            self._load_by_id[target_id] = load
        return load

    def items(self) -> list[tuple[TargetId, TargetLoad]]:
        """Return every target's load."""
        return list(self._load_by_id.items())

    def take_times(self) -> dict[TargetId, tuple[int, Seconds]]:
        """Return the answer times of each target since the last call."""
        taken = {
            target_id: load.take_times()
            for target_id, load in self._load_by_id.items()
        }
        return {name: times for name, times in taken.items() if times[0]}

    def keep_only(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone and have no open request."""
        gone = [
            target_id
            for target_id, load in self._load_by_id.items()
            if target_id not in known and load.is_idle()
        ]
        for target_id in gone:
            self._load_by_id.pop(target_id)
