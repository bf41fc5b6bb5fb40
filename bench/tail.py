"""Tail latency while a quarter of the targets are slowed.

Run with `python -m bench.tail`. Every policy sends through the same gates
and meets the same arrivals; a request that fails counts as its deadline.
"""

import random
import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial

import msgspec

from bench.engine import Engine, FakeTarget, GatedTarget, TargetPlan
from bench.policies import (
    Baseline,
    LeastReported,
    Measured,
    Oracle,
    Policy,
    Reports,
    RoundRobin,
)
from bench.report import quantile, seed_from, show, show_row
from bench.routers import DEADLINE, Counts, Daemon
from cassialever.errors import Failure
from cassialever.types import RequestId, Seconds, TargetId

TARGETS = 16
SLOWED = 4
SLOW_FACTOR = 10.0
DAEMONS = 9
SLOTS = 4
SERVICE_TIME: Seconds = 0.02
#: The share of the capacity of all targets, none slowed, that arrives.
LOAD = 0.5
REPEATABLE = 0.8
SLOW_FROM: Seconds = 4.0
SLOW_UNTIL: Seconds = 14.0
END: Seconds = 18.0
SHARE = 0.1
SEED = 3


class World:
    """One run of one policy."""

    def __init__(self, seed: int) -> None:
        """Build the targets; the first ones get slowed."""
        self.engine = Engine()
        self.counts = Counts()
        self.slowed_latencies: list[Seconds] = []
        self.later_latencies: list[Seconds] = []
        self.failed = 0
        self.source = random.Random(seed)
        self.target_ids = [TargetId(f't{index}') for index in range(TARGETS)]
        self.gated_by_id: Mapping[TargetId, GatedTarget] = {
            target_id: self._target(target_id, seed)
            for target_id in self.target_ids
        }
        self.reports = Reports(self.gated_by_id, self.engine, END)
        self.engine.after(SLOW_FROM, partial(self._slow, SLOW_FACTOR))
        self.engine.after(SLOW_UNTIL, partial(self._slow, 1))

    def run(self, policies: Sequence[Policy]) -> None:
        """Receive requests at random daemons until the end."""
        daemons = [
            Daemon(policy, SHARE, self.engine, self.gated_by_id, self.counts)
            for policy in policies
        ]
        rate = TARGETS * SLOTS / SERVICE_TIME * LOAD
        at: Seconds = 0
        while at < END:
            at += self.source.expovariate(rate)
            daemon = self.source.choice(daemons)
            self.engine.after(at, partial(self._receive, daemon))
        self.engine.run()

    def _target(self, target_id: TargetId, seed: int) -> GatedTarget:
        plan = TargetPlan(target_id, SLOTS, 1, SERVICE_TIME)
        target = FakeTarget(plan, self.engine, f'{seed}-{target_id}')
        return GatedTarget(target, self.engine)

    def _slow(self, factor: float) -> None:
        for target_id in self.target_ids[:SLOWED]:
            self.gated_by_id[target_id].target.factor = factor

    def _receive(self, daemon: Daemon) -> None:
        repeatable = self.source.random() < REPEATABLE
        number = RequestId(str(self.counts.received))
        ended = partial(self._ended, self.engine.now)
        daemon.receive(number, repeatable, ended)

    def _ended(
        self,
        began: Seconds,
        latency: Seconds,
        failure: Failure | None,
    ) -> None:
        if failure is not None:
            latency = DEADLINE
            self.failed += began >= SLOW_FROM
        if SLOW_FROM <= began < SLOW_UNTIL:
            self.slowed_latencies.append(latency)
        if began >= SLOW_UNTIL:
            self.later_latencies.append(latency)


class Row(msgspec.Struct, frozen=True):
    """One line of the table; latencies in milliseconds."""

    name: str
    median: float
    p99: float
    p999: float
    later_p99: float
    failed: int
    sends: float


def policies_of(world: World, name: str, seed: int) -> list[Policy]:
    """Return one policy for each daemon."""
    ids = world.target_ids
    make: Callable[[str], Policy] = partial(Measured, ids)
    if name == 'random':
        make = partial(Baseline, ids)
    if name == 'round robin':
        make = partial(RoundRobin, ids)
    if name == 'least reported':
        make = partial(LeastReported, ids, reports=world.reports)
    if name == 'no hedges':
        make = partial(Measured, ids, hedges=False)
    if name == 'oracle':
        make = partial(Oracle, ids, gated_by_id=world.gated_by_id)
    return [make(f'{seed}-{index}') for index in range(DAEMONS)]


def measure(name: str, seed: int) -> Row:
    """Run one policy."""
    world = World(seed)
    world.run(policies_of(world, name, seed))
    slowed = world.slowed_latencies
    return Row(
        name=name,
        median=quantile(slowed, 0.5),
        p99=quantile(slowed, 0.99),
        p999=quantile(slowed, 0.999),
        later_p99=quantile(world.later_latencies, 0.99),
        failed=world.failed,
        sends=world.counts.sends / world.counts.received,
    )


NAMES = (
    'random',
    'round robin',
    'least reported',
    'no hedges',
    'cassialever',
    'oracle',
)


HEAD = ('policy', 'p50', 'p99', 'p99.9', 'p99 after', 'failed', 'sends/req')


def main() -> None:
    """Print the table; an argument is the seed."""
    seed = seed_from(sys.argv, SEED)
    show(f'seed {seed}; ms while {SLOWED} of {TARGETS} targets are slowed')
    show_row(HEAD)
    for name in NAMES:
        show_row(msgspec.structs.astuple(measure(name, seed)))


if __name__ == '__main__':
    main()
