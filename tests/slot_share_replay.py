"""Replay a load on the targets of one service, placed by many daemons.

The decision modules are real: choosing a target, its load, waiting and shares.
Sockets and the platform are absent, and time is virtual.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from cassialever.fleet.datagrams import READ_INTERVAL
from cassialever.fleet.gossip import (
    MAX_DATAGRAMS_PER_SECOND,
    MIN_SEND_INTERVAL,
)
from cassialever.fleet.model import RequestKind, Target
from cassialever.platform.wire import ReportedLoad
from cassialever.policy import refusal
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import PlacementRequest, TargetSelector
from cassialever.policy.slot_keeper import PlaceReport, SlotKeeper
from cassialever.policy.slot_shares import PlaceEnd
from cassialever.policy.subsets import TargetSubsets
from tests.fleet_helpers import ManualClock, configured_view, json_row
from tests.fleet_helpers import target_entry

SERVICE: Final = 'issuance'
SLOTS: Final = 4
#: Requests that a target queues for each slot; it refuses any more.
QUEUE_PER_SLOT: Final = 4
#: The time of a request at a target of speed 1, and its aim, in seconds.
WORK: Final = 0.27
AIM: Final = 0.8
DEADLINE: Final = 5.0
SPEEDS: Final = (0.5, 0.8, 1.0, 1.1, 1.3, 1.7)
#: How much slower a target is in its slow moments, and how long these last.
SLOWDOWN: Final = 3.0
SLOW_TIME: Final = 5.0
SLOW_INTERVAL: Final = 2.5
#: The waves of three data centres, a third of their period out of phase.
WAVE_PERIOD: Final = 17.0
WAVES: Final = 3
WAY: Final = 0.001
MAX_ATTEMPTS: Final = 3

Demand: TypeAlias = Callable[[float], float]


class ReplayTarget:
    """A target with slots, a queue, a speed and slow moments."""

    def __init__(self, fleet: 'Fleet', name: str, speed: float) -> None:
        self.fleet = fleet
        self.name = name
        self.speed = speed
        self.slow_until = 0.0
        self.running = 0
        self.queue: deque[Request] = deque()
        self.busy_time = 0.0

    def slowdown(self) -> float:
        return SLOWDOWN if self.fleet.clock.now < self.slow_until else 1.0

    def receive(self, request: 'Request') -> None:
        self.fleet.sent += 1
        if len(self.queue) >= SLOTS * QUEUE_PER_SLOT:
            self.fleet.sent_to_full += 1
            request.end(self, ran=False)
            return
        self.queue.append(request)
        self.start_next()
        if self.fleet.clock.now > self.fleet.settles_at:
            at_once = self.running + len(self.queue)
            self.fleet.most_at_once = max(self.fleet.most_at_once, at_once)

    def start_next(self) -> None:
        while self.queue and self.running < SLOTS:
            request = self.queue.popleft()
            self.running += 1
            jitter = self.fleet.rng.uniform(0.8, 1.2)
            duration = WORK / self.speed * self.slowdown() * jitter
            self.busy_time += duration
            self.fleet.after(duration, lambda one=request: self._finish(one))

    def _finish(self, request: 'Request') -> None:
        self.running -= 1
        self.start_next()
        request.end(self, ran=True)


class ReplayDaemon:
    """A daemon with its own loads and choice, which hears of the others."""

    def __init__(self, fleet: 'Fleet', number: int, weight: float) -> None:
        self.fleet = fleet
        self.name = f'edge-{number}'
        self.wave = number % WAVES
        self.weight = weight
        self.loads = LoadTracker()
        self.selector = TargetSelector(
            fleet.view,
            self.loads,
            PermitLimiter(),
            TargetSubsets(self.name, f'dc-{self.wave}'),
            fleet.rng,
        )
        #: Whether its reports reach the others, and theirs reach it.
        self.is_cut_off = False
        self.keeper = SlotKeeper(fleet.rng)
        shares = self.selector.shares
        shares.daemon_count = fleet.daemon_count if fleet.has_shares else 1
        shares.staleness.report_period = (
            fleet.daemon_count / MAX_DATAGRAMS_PER_SECOND
        )
        shares.send = self._send_report

    def _send_report(self, target_id: str, report: PlaceReport) -> None:
        """Send a report to the keeper of a target, and its answer back."""
        keeper = self.fleet.keeper_of(target_id)
        if keeper is None:
            return
        self.fleet.datagrams += 1
        self.fleet.after(
            self.fleet.datagram_delay(),
            lambda: self._handle(keeper, target_id, report),
        )

    def _handle(
        self, keeper: 'ReplayDaemon', target_id: str, report: PlaceReport
    ) -> None:
        if keeper.is_cut_off != self.is_cut_off:
            return
        target = self.fleet.view.targets.by_id[target_id]
        now = self.fleet.clock.now
        places = keeper.keeper.handle(target, report, AIM, now)
        if not report.wanted:
            return
        self.fleet.datagrams += 1
        delay = keeper.keeper.next_delay(target)
        self.fleet.after(
            self.fleet.datagram_delay(),
            lambda: self.selector.shares.add_places(
                target_id, places, delay, self.fleet.clock.now
            ),
        )


class Request:
    """One request of a caller, from its arrival to its end."""

    def __init__(self, daemon: ReplayDaemon) -> None:
        self.daemon = daemon
        self.fleet = daemon.fleet
        self.arrived_at = self.fleet.clock.now
        self.tried: set[Any] = set()
        self.since = self.arrived_at

    def place(self) -> None:
        """Choose a target, wait for one, or be refused."""
        now = self.fleet.clock.now
        placement = PlacementRequest(
            SERVICE, RequestKind.unsafe, -1, AIM, frozenset(self.tried)
        )
        selector = self.daemon.selector
        chosen = selector.choose(placement, now)
        if isinstance(chosen, Target):
            self._send(chosen)
            return
        timing = refusal.RequestTiming(
            waited=now - self.since,
            remaining=self.arrived_at + DEADLINE - now,
            objective=AIM,
            expected_latency=0,
            waiting=selector.waiting_by_service[SERVICE],
        )
        decision = refusal.decide(chosen, timing, self.fleet.rng)
        if isinstance(decision, refusal.Refuse):
            self.fleet.outcomes['refused'] += 1
            self.fleet.refused_after.append(now - self.arrived_at)
            return
        selector.waiting_by_service[SERVICE] += 1
        self.fleet.after(decision.pause, self._look_again)

    def end(self, target: ReplayTarget, *, ran: bool) -> None:
        """Take the answer of a target."""
        self.fleet.after(WAY, lambda: self._answer(target, ran))

    def _end_share(self, target: ReplayTarget, end: PlaceEnd) -> None:
        known = self.fleet.view.targets.by_id[target.name]
        now = self.fleet.clock.now
        self.daemon.selector.shares.record_end(known, end, SERVICE, now)

    def _look_again(self) -> None:
        self.daemon.selector.waiting_by_service[SERVICE] -= 1
        self.place()

    def _send(self, target: Target) -> None:
        now = self.fleet.clock.now
        load = self.daemon.loads.of(target.target_id)
        self.factor = load.queueing_factor(target.slots, now)
        self.sent_at = now
        self.place_id = self.daemon.selector.shares.take(target.target_id)
        load.record_open()
        self.tried.add(target.target_id)
        sim = self.fleet.targets[target.target_id]
        self.fleet.after(WAY, lambda: sim.receive(self))

    def _answer(self, target: ReplayTarget, ran: bool) -> None:
        now = self.fleet.clock.now
        loads = self.daemon.loads
        load = loads.of(target.name)
        if not ran:
            load.record_close()
            load.record_failure(now)
            self._end_share(target, PlaceEnd(self.place_id, is_shed=True))
            self.since = now
            if len(self.tried) < MAX_ATTEMPTS:
                self.place()
                return
            self.fleet.outcomes['failed'] += 1
            return
        queued = len(target.queue)
        load.record_report(
            ReportedLoad(target.running, queued, SLOTS, target.slowdown()), now
        )
        load.record_close()
        latency = now - self.sent_at
        load.record_success(latency, self.factor, now)
        loads.record_service_time(SERVICE, latency / self.factor)
        requests = target.running + queued
        self._end_share(target, PlaceEnd(self.place_id, latency, requests))
        total = now - self.arrived_at
        self.fleet.latencies.append(total)
        self.fleet.outcomes['in time' if total <= AIM else 'late'] += 1


class Fleet:
    """Daemons and targets in virtual time."""

    def __init__(
        self,
        daemons: int,
        targets: int = 18,
        seed: int = 1,
        *,
        has_shares: bool = True,
    ) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.seed = seed
        self.has_shares = has_shares
        self.daemon_count = daemons
        self.datagrams = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.view = configured_view(self.clock, targets=0)
        self.targets: dict[str, ReplayTarget] = {}
        for number in range(targets):
            self._add_target(f't{number}', SPEEDS[number % len(SPEEDS)], number)
        # The balancer's hash gives some daemons several times the others' load.
        self.daemons = [
            ReplayDaemon(self, number, self.rng.gammavariate(3, 1 / 3))
            for number in range(daemons)
        ]
        self.outcomes: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.refused_after: list[float] = []
        #: From when on the most requests at a target are counted.
        self.settles_at = self.clock.now + 8
        self.keepers: dict[str, ReplayDaemon | None] = {}
        self.sent = 0
        self.sent_to_full = 0
        self.most_at_once = 0
        self.best = 0.0
        self.period = max(MIN_SEND_INTERVAL, daemons / MAX_DATAGRAMS_PER_SECOND)
        for daemon in self.daemons:
            self.after(
                self.rng.random() * self.period,
                lambda one=daemon: self._report(one),
            )

    def after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.clock.now + delay, next(self._numbers), action)
        )

    def capacity(self) -> float:
        """Return the requests a second that the targets can answer now."""
        return sum(
            SLOTS * one.speed / WORK / one.slowdown()
            for one in self.targets.values()
        )

    def run(self, duration: float, demand: Demand) -> None:
        """Send requests; `demand` is their rate as a share of the capacity."""
        ends_at = self.clock.now + duration
        nominal = self.capacity()
        self._run_until(ends_at, nominal, demand)
        while self._events and self.clock.now < ends_at + DEADLINE:
            self._step()

    def report(self) -> dict[str, float]:
        """Return the shares that a test states."""
        total = max(self.outcomes.total(), 1)
        return {
            'in time': self.outcomes['in time'] / max(self.best, 1),
            'late': self.outcomes['late'] / total,
            'refused': self.outcomes['refused'] / total,
            'failed': self.outcomes['failed'] / total,
            'most at once': self.most_at_once / SLOTS,
            'to full': self.sent_to_full / max(self.sent, 1),
            'total': total,
        }

    def _run_until(
        self, ends_at: float, nominal: float, demand: Demand
    ) -> None:
        # Callers and slow moments are the same for any number of daemons.
        rng = random.Random(self.seed)
        # Thinning, after Lewis and Shedler, of the highest rate of all.
        peak = 4 * nominal
        started = self.clock.now
        next_slow = started
        while self.clock.now < ends_at:
            gap = rng.expovariate(peak)
            arrives_at = self.clock.now + gap
            while self._events and self._events[0][0] <= arrives_at:
                self._step()
            self.clock.now = arrives_at
            since = arrives_at - started
            share = demand(since)
            self.best += gap * min(share * nominal, self.capacity())
            if arrives_at >= next_slow:
                slow = rng.choice(list(self.targets.values()))
                slow.slow_until = arrives_at + SLOW_TIME
                next_slow = arrives_at + SLOW_INTERVAL
            if rng.random() < share * nominal / peak:
                Request(self._entry(since)).place()

    def _entry(self, since: float) -> ReplayDaemon:
        """Return the daemon that a caller reaches."""
        weights = [one.weight * _wave(since, one.wave) for one in self.daemons]
        return self.rng.choices(self.daemons, weights)[0]

    def _step(self) -> None:
        at, _, action = heapq.heappop(self._events)
        self.clock.now = at
        action()

    def _report(self, daemon: ReplayDaemon) -> None:
        self.after(self.period, lambda: self._report(daemon))
        if daemon.is_cut_off:
            return
        report = daemon.loads.open_by_target()
        shares = daemon.selector.shares
        shares.prune(self.targets, self.clock.now)
        daemon.keeper.prune(self.clock.now)
        contended = shares.contention.reported()
        for other in self.daemons:
            if other is not daemon and not other.is_cut_off:
                other.loads.set_peer_load(daemon.name, report)
                other.selector.shares.contention.record_heard(
                    contended, self.clock.now
                )

    def datagram_delay(self) -> float:
        return WAY + self.rng.random() * READ_INTERVAL

    def keeper_of(self, target_id: str) -> ReplayDaemon | None:
        if target_id not in self.keepers:
            self.keepers[target_id] = self.rng.choice(self.daemons)
        return self.keepers[target_id]

    def _add_target(self, name: str, speed: float, number: int) -> None:
        entry = target_entry(
            SERVICE,
            address=f'10.1.64.{number}:8707',
            zone=f'dc-{number % WAVES}',
        )
        entry['info']['capacity'] = SLOTS
        row = json_row('servers', name, entry, 2 + number)
        self.view.apply('servers', [row], row.version)
        self.targets[name] = ReplayTarget(self, name, speed)


def _wave(since: float, number: int) -> float:
    """Return the share of a data centre's callers at a time."""
    phase = since / WAVE_PERIOD + number / WAVES
    return 1 + 0.5 * math.sin(2 * math.pi * phase)
