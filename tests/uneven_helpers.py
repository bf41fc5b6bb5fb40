"""Replay requests of several daemons to targets of uneven speed.

Daemons choose by the real selector and loads; targets, gossip and callers are
simulated in virtual time.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from cassialever.fleet.gossip import (
    MAX_DATAGRAMS_PER_SECOND,
    MIN_SEND_INTERVAL,
)
from cassialever.fleet.model import RequestKind, Target
from cassialever.platform.wire import ReportedLoad
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import PlacementRequest, TargetSelector
from cassialever.policy.subsets import TargetSubsets
from cassialever.types import Seconds
from tests.fleet_helpers import (
    ManualClock,
    configured_view,
    json_row,
    target_entry,
)

SLOTS = 4
#: Requests that a target queues; it resets the connections of any more.
QUEUE = 16
SPEEDS = (0.5, 1.0, 1.0, 1.7)
#: A fifth of the targets is slower by this factor, drawn again each time.
NOISE_SHARE = 0.2
NOISE_FACTOR = 3.0
NOISE_PERIOD: Seconds = 0.4
#: How long refused requests wait for a target, as a share of the objective.
MAX_WAIT_SHARE = 0.5
POLL: Seconds = 0.05


class Clockwork:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now: Seconds = 10
        self._due: list[tuple[Seconds, int, Callable[..., None], Any]] = []
        self._count = 0

    def after(self, delay: Seconds, call: Callable[..., None], *what: Any):
        self._count += 1
        heapq.heappush(self._due, (self.now + delay, self._count, call, what))

    def run_until(self, end: Seconds) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, call, what = heapq.heappop(self._due)
            call(*what)
        self.now = end


class UnevenTarget:
    """A target with a speed of its own that is slow at moments."""

    def __init__(self, clockwork: Clockwork, speed: float, work: Seconds):
        self.clockwork = clockwork
        self.speed = speed
        self.work = work
        self.slowdown = 1.0
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.received = 0

    def receive(self, random_source: random.Random, done) -> bool:
        """Run a request, or queue it; return false if there is no room."""
        self.received += 1
        if self.running >= SLOTS and len(self.queue) >= QUEUE:
            return False

        def start() -> None:
            self.running += 1
            spread = random_source.uniform(0.7, 1.3)
            duration = self.work * spread * self.slowdown / self.speed
            self.clockwork.after(duration, self._end, done)

        if self.running < SLOTS:
            start()
        else:
            self.queue.append(start)
        return True

    def report(self) -> ReportedLoad:
        return ReportedLoad(self.running, len(self.queue), SLOTS, self.slowdown)

    def _end(self, done) -> None:
        self.running -= 1
        if self.queue:
            self.queue.popleft()()
        done()


class Call(msgspec.Struct):
    """A request with the daemon that it has reached."""

    daemon: TargetSelector
    begun_at: Seconds
    body_bytes: int = 0


class UnevenFleet:
    """Daemons and the targets of one service, without keys."""

    def __init__(
        self,
        daemons: int,
        targets: int,
        work: Seconds = 0.3,
        objective: Seconds = 1.2,
        speeds: tuple[float, ...] = SPEEDS,
        seed: int = 4,
    ) -> None:
        self.random = random.Random(seed)
        self.clockwork = Clockwork()
        self.objective = objective
        names = [f't{number}' for number in range(targets)]
        self.target_by_id = {
            name: UnevenTarget(
                self.clockwork, speeds[number % len(speeds)], work
            )
            for number, name in enumerate(names)
        }
        view = configured_view(ManualClock(), targets=0)
        rows = [
            json_row('servers', name, _entry(number), 11 + number)
            for number, name in enumerate(names)
        ]
        view.apply('servers', rows, 11 + targets)
        self.daemons = [
            TargetSelector(
                view,
                LoadTracker(),
                PermitLimiter(),
                TargetSubsets(f'edge-{number}', 'astana-a'),
                random.Random(seed + number),
            )
            for number in range(daemons)
        ]
        self.outcomes: Counter[str] = Counter()
        #: Lengths of bodies, and whether daemons place by them.
        self.body_bytes = (0, 0)
        self.is_body_known = True
        self.bytes_by_id: Counter[str] = Counter()
        self.most_bytes = 0
        self.request = PlacementRequest(
            'issuance', RequestKind.unsafe, -1, objective
        )
        self._make_noise()
        self._gossip_period = max(
            MIN_SEND_INTERVAL, daemons / MAX_DATAGRAMS_PER_SECOND
        )
        for number in range(daemons):
            phase = self.random.random() * self._gossip_period
            self.clockwork.after(phase, self._gossip, number)

    def capacity(self) -> float:
        """Return the requests per second that all targets can run."""
        usual_slowdown = 1 + NOISE_SHARE * (NOISE_FACTOR - 1)
        return sum(
            SLOTS * target.speed / target.work / usual_slowdown
            for target in self.target_by_id.values()
        )

    def run(self, rate: float, duration: Seconds) -> None:
        """Have requests arrive at a rate, each at any daemon."""
        ends_at = self.clockwork.now + duration
        self._arrive(rate, ends_at)
        self.clockwork.run_until(ends_at)

    def share_in_time(self, rate: float, duration: Seconds) -> float:
        """Return the share of such requests that is served in time."""
        self.outcomes.clear()
        self.run(rate, duration)
        # Those that are still open are left out.
        return self.outcomes['in time'] / self.outcomes.total()

    def _arrive(self, rate: float, ends_at: Seconds) -> None:
        if self.clockwork.now >= ends_at:
            return
        call = Call(
            self.random.choice(self.daemons),
            self.clockwork.now,
            self.random.randint(*self.body_bytes),
        )
        self._place(call)
        self.clockwork.after(
            self.random.expovariate(rate), self._arrive, rate, ends_at
        )

    def _place(self, call: Call) -> None:
        now = self.clockwork.now
        request = msgspec.structs.replace(
            self.request,
            body_bytes=call.body_bytes if self.is_body_known else 0,
        )
        chosen = call.daemon.choose(request, now)
        if isinstance(chosen, Target):
            self._send(call, chosen)
            return
        if now - call.begun_at > MAX_WAIT_SHARE * self.objective:
            self.outcomes['refused'] += 1
            return
        self.clockwork.after(POLL, self._place, call)

    def _send(self, call: Call, target: Target) -> None:
        sent_at = self.clockwork.now
        loads = call.daemon._loads
        load = loads.of(target.target_id)
        sim = self.target_by_id[target.target_id]
        factor = load.queueing_factor(target.slots, sent_at)

        target_id = target.target_id
        sending = loads.long_bodies.counted(target_id, call.body_bytes)
        sending.__enter__()
        self.bytes_by_id[target_id] += call.body_bytes
        self.most_bytes = max(self.most_bytes, self.bytes_by_id[target_id])

        def done() -> None:
            sending.__exit__(None, None, None)
            self.bytes_by_id[target_id] -= call.body_bytes
            now = self.clockwork.now
            load.record_report(sim.report(), now)
            load.record_close()
            _record(loads, target, now - sent_at, factor, now)
            is_late = now - call.begun_at > self.objective
            self.outcomes['late' if is_late else 'in time'] += 1

        load.record_open()
        if not sim.receive(self.random, done):
            sending.__exit__(None, None, None)
            self.bytes_by_id[target_id] -= call.body_bytes
            load.record_close()
            load.record_failure(sent_at)
            self.outcomes['reset'] += 1

    def _make_noise(self) -> None:
        for target in self.target_by_id.values():
            is_slow = self.random.random() < NOISE_SHARE
            target.slowdown = NOISE_FACTOR if is_slow else 1.0
        self.clockwork.after(NOISE_PERIOD, self._make_noise)

    def _gossip(self, number: int) -> None:
        """Have a daemon report its open requests to all others."""
        report = self.daemons[number]._loads.open_by_target()
        for other, daemon in enumerate(self.daemons):
            if other != number:
                daemon._loads.set_peer_load(f'edge-{number}', report)
        self.clockwork.after(self._gossip_period, self._gossip, number)


def _record(loads, target, latency, factor, now) -> None:
    load = loads.of(target.target_id)
    usual = loads.usual_service_time(target.service)
    load.record_success(latency, factor, now, usual)
    service_time = latency / factor / load.slowdown(now)
    loads.record_service_time(target.service, service_time)


def _entry(number: int) -> dict[str, Any]:
    zone = ('astana-a', 'astana-b', 'karaganda-c')[number % 3]
    entry = target_entry('issuance', zone=zone)
    entry['info']['capacity'] = SLOTS
    return entry
