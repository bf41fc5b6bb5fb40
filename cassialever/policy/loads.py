"""Track the load and health of each target.

A load that a target reports with an answer is soon outdated, so its weight
decays with age; the daemon's own open requests are always exact.
"""

import math
from collections.abc import Container, Iterable, Mapping
from typing import Final

from cassialever.fleet.model import StartedAt, Target
from cassialever.platform.wire import ReportedLoad
from cassialever.policy.speeds import ServedAnswer, TargetSpeed
from cassialever.policy.upload_bytes import LongBodies
from cassialever.types import Seconds, ServiceName, TargetId

#: Time constant with which a reported load decays; targets start and end
#: several requests in this time.
REPORT_TIME_CONSTANT: Final[Seconds] = 0.3
#: Weight of the newest answer in the moving averages of latency, service time
#: and failures; a failed request has twice this weight.
SMOOTHING_FACTOR: Final = 0.1
#: Time constant with which a target's latency returns to the usual one;
#: slow phases of targets last about 5 s.
LATENCY_TIME_CONSTANT: Final[Seconds] = 2.0
#: Least slowdown that a report is taken to show: service times are divided by
#: it, and some reports say 0.
MIN_SLOWDOWN: Final = 0.1
#: How long a target is avoided after a connection to it failed.
UNREACHABLE_PERIOD: Final[Seconds] = 1.0
#: Failure rate above which a target is avoided if others are below it.
FAILURE_THRESHOLD: Final = 0.25
#: Time constant with which the failure rate decays.
FAILURE_TIME_CONSTANT: Final[Seconds] = 3.0


class TargetLoad:
    """The load and health of one target, as this daemon sees it.

    A target starts out idle, healthy and without a known latency.
    """

    def __init__(self) -> None:
        self.open_requests = 0
        #: Whether it has answered this daemon before.
        self.was_used = False
        #: Open requests of the other daemons, as they report them.
        self.open_elsewhere = 0
        #: The target's latest report, and this daemon's open requests then.
        self._reported_requests: float = 0
        self._reported_at: Seconds = 0
        self._own_when_reported = 0
        #: When the target last reported, and the requests that it named.
        self.last_report: tuple[Seconds, int] = (0, 0)
        self._slowdown = 1.0
        self._failure_rate: float = 0
        self._failed_at: Seconds = 0
        self._unreachable_until: Seconds = 0
        #: Moving average of the latency, and when it was last updated.
        self._latency: Seconds = 0
        self._answered_at: Seconds = -math.inf
        self.speed = TargetSpeed()
        #: When the life began that has this speed; `None` if not known.
        self.started_at: StartedAt | None = None
        #: Number and summed latency of answers since `take_latencies`.
        self._answer_count = 0
        self._latency_sum: Seconds = 0

    def estimated_requests(self, now: Seconds) -> float:
        """Estimate how many requests are running or queued at the target."""
        age = now - self._reported_at
        weight = (
            math.exp(-age / REPORT_TIME_CONSTANT) if self._reported_at else 0
        )
        reported_others = max(
            self._reported_requests - self._own_when_reported, 0
        )
        others = weight * reported_others + (1 - weight) * self.open_elsewhere
        return self.open_requests + others

    def expected_latency(
        self, slots: int, now: Seconds, usual: Seconds = 0
    ) -> Seconds:
        """Return how long a request sent now would take.

        Requests that find no free slot wait for those before them. `usual` is
        the service time that is assumed until this daemon knows one.
        """
        return (
            self.speed.expected(now, usual)
            * self.queueing_factor(slots, now)
            * self.slowdown(now)
        )

    def queueing_factor(self, slots: int, now: Seconds) -> float:
        """Return the latency of a new request as a multiple of service time.

        It is 1 while a slot is free, 2 if every slot is taken and as many
        requests are queued, and so on.
        """
        return max((self.estimated_requests(now) + 1) / slots, 1)

    def slowdown(self, now: Seconds) -> float:
        """Return the service time as a multiple of the usual one.

        This is the reported slowdown, which decays to 1 as the report ages.
        """
        age = now - self._reported_at
        weight = (
            math.exp(-age / REPORT_TIME_CONSTANT) if self._reported_at else 0
        )
        return 1 + weight * (self._slowdown - 1)

    def is_reachable(self, now: Seconds) -> bool:
        """Return whether no connection to the target failed recently."""
        return now >= self._unreachable_until

    def is_failing(self, now: Seconds) -> bool:
        """Return whether many recent requests failed at the target."""
        age = now - self._failed_at
        return (
            self._failure_rate * math.exp(-age / FAILURE_TIME_CONSTANT)
            > FAILURE_THRESHOLD
        )

    def record_open(self) -> None:
        """Count a request that is being sent."""
        self.open_requests += 1

    def record_close(self) -> None:
        """Count a request that has ended, whatever its outcome."""
        self.open_requests -= 1

    def record_report(self, load: ReportedLoad | None, now: Seconds) -> None:
        """Store the load that the target reported with an answer."""
        if load is None:
            return
        self._reported_requests = load.running + load.queued
        self._reported_at = now
        self.last_report = (now, load.running + load.queued)
        # The answered request is still open here but no longer at the target.
        self._own_when_reported = max(self.open_requests - 1, 0)
        self._slowdown = max(load.slowdown, MIN_SLOWDOWN)

    def average_latency(self, now: Seconds, usual: Seconds) -> Seconds:
        """Return the moving average of the latency of answers.

        Without new answers it converges to the usual latency, so that new
        targets and those that were slow are tried again.
        """
        weight = math.exp(-(now - self._answered_at) / LATENCY_TIME_CONSTANT)
        return usual + weight * (self._latency - usual)

    def record_success(
        self,
        latency: Seconds,
        queueing_factor: float,
        now: Seconds,
        usual: Seconds = 0,
    ) -> None:
        """Count a complete answer.

        `queueing_factor` is the one at the time when the request was sent;
        `usual` the usual service time, 0 if it is not known.
        """
        served = ServedAnswer(
            latency / queueing_factor, self.slowdown(now), queueing_factor > 1
        )
        self.speed.add(served, usual, now)
        self._failure_rate *= 1 - SMOOTHING_FACTOR
        self.was_used = True
        self._answer_count += 1
        self._latency_sum += latency
        if not self._latency:
            self._latency = latency
        self._latency += SMOOTHING_FACTOR * (latency - self._latency)
        self._answered_at = now

    def is_idle(self) -> bool:
        """Return whether no daemon has a request open at the target."""
        return not self.open_requests and not self.open_elsewhere

    def take_latencies(self) -> tuple[int, Seconds]:
        """Return count and sum of the latencies since the last call."""
        taken = (self._answer_count, self._latency_sum)
        self._answer_count = 0
        self._latency_sum = 0
        return taken

    def record_failure(self, now: Seconds) -> None:
        """Count a request that failed at the target."""
        self._failure_rate += SMOOTHING_FACTOR * 2 * (1 - self._failure_rate)
        self._failed_at = now

    def record_unreachable(self, now: Seconds) -> None:
        """Count a connection that could not be established."""
        self._unreachable_until = now + UNREACHABLE_PERIOD
        self.record_failure(now)


class LoadTracker:
    """The load of every target, by id."""

    def __init__(self) -> None:
        self._load_by_id: dict[TargetId, TargetLoad] = {}
        self.long_bodies = LongBodies()
        #: Moving average of the service time at all targets of a service.
        self._service_time_by_name: dict[ServiceName, Seconds] = {}
        #: Each peer's latest report: its open requests by target.
        self._open_by_peer: dict[str, Mapping[str, int]] = {}

    def set_peer_load(
        self, peer: str, open_by_target: Mapping[str, int]
    ) -> None:
        """Replace the open requests that a peer reported before."""
        for name, number in self._open_by_peer.pop(peer, {}).items():
            self.of(TargetId(name)).open_elsewhere -= number
        for name, number in open_by_target.items():
            self.of(TargetId(name)).open_elsewhere += number
        if open_by_target:
            self._open_by_peer[peer] = open_by_target

    def record_service_time(
        self, service: ServiceName, service_time: Seconds
    ) -> None:
        """Count the service time of an answer of any target of a service."""
        usual = self._service_time_by_name.setdefault(service, service_time)
        usual += SMOOTHING_FACTOR * (service_time - usual)
        self._service_time_by_name[service] = usual

    def usual_service_time(self, service: ServiceName) -> Seconds:
        """Return the usual service time of a service; 0 if it isn't known."""
        return self._service_time_by_name.get(service, 0)

    def open_by_target(self) -> dict[str, int]:
        """Return this daemon's open requests, by target."""
        return {
            str(target_id): load.open_requests
            for target_id, load in self._load_by_id.items()
            if load.open_requests
        }

    def of(self, target_id: TargetId) -> TargetLoad:
        """Return the load of a target, new if it was not known."""
        load = self._load_by_id.get(target_id)
        if load is None:
            load = TargetLoad()
            self._load_by_id[target_id] = load
        return load

    def items(self) -> list[tuple[TargetId, TargetLoad]]:
        """Return every target's id and load."""
        return list(self._load_by_id.items())

    def take_latencies(self) -> dict[TargetId, tuple[int, Seconds]]:
        """Return count and sum of each target's latencies since last time.

        Targets without answers are left out.
        """
        taken = {
            target_id: load.take_latencies()
            for target_id, load in self._load_by_id.items()
        }
        return {name: sums for name, sums in taken.items() if sums[0]}

    def take_service_times(self) -> dict[TargetId, tuple[int, Seconds]]:
        """Return count and sum of each target's service times, likewise."""
        taken = {
            target_id: load.speed.take()
            for target_id, load in self._load_by_id.items()
        }
        return {name: sums for name, sums in taken.items() if sums[0]}

    def note_lives(self, targets: Iterable[Target]) -> None:
        """Forget the speeds of targets that have started again."""
        for target in targets:
            load = self._load_by_id.get(target.target_id)
            if load is None or load.started_at == target.started_at:
                continue
            if load.started_at is not None:
                load.speed = TargetSpeed()
            load.started_at = target.started_at

    def prune(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone and have no open request."""
        gone = [
            target_id
            for target_id, load in self._load_by_id.items()
            if target_id not in known and load.is_idle()
        ]
        for target_id in gone:
            self._load_by_id.pop(target_id)
