"""Twice the capacity, and every target cold at once.

Run with `python -m bench.overload`. Goodput counts answers within their
deadline, as a share of what the targets could have answered. The baseline
sends every request to its target at once.
"""

import random
import sys
from functools import partial

import msgspec

from bench.engine import (
    SLOW_REQUEST,
    WARMING_ANSWERS,
    Engine,
    FakeTarget,
    GatedTarget,
    TargetPlan,
)
from bench.report import quantile, seed_from, show, show_row
from cassialever.errors import Failure
from cassialever.tickets import Ticket
from cassialever.types import CallerId, RequestId, Seconds, TargetId

TARGETS = 8
SLOTS = 4
COLD_SLOTS = 1
SERVICE_TIME: Seconds = 0.02
DEADLINE: Seconds = 0.5
#: Requests offered, as a multiple of the warm capacity.
OFFERED = 2.0
#: The load before the measured window, as a multiple of the warm capacity.
CALM = 0.5
CALM_UNTIL: Seconds = 3.0
COLD_AT: Seconds = 4.0
END: Seconds = 10.0
#: The share of slow requests in the mixed scenarios.
SLOW_SHARE = 0.05
SEED = 5


class Scenario(msgspec.Struct, frozen=True):
    """What befalls the targets, and whether there is admission."""

    name: str
    admission: bool
    cold: bool = False
    restarted: bool = False
    slow_share: float = 0


SCENARIOS = (
    Scenario('warm, none', admission=False),
    Scenario('warm, gate', admission=True),
    Scenario('mixed, none', admission=False, slow_share=SLOW_SHARE),
    Scenario('mixed, gate', admission=True, slow_share=SLOW_SHARE),
    Scenario('restart, none', admission=False, cold=True, restarted=True),
    Scenario('restart, gate', admission=True, cold=True, restarted=True),
    Scenario('cold, none', admission=False, cold=True),
    Scenario('cold, gate', admission=True, cold=True),
)


class Run:
    """One scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Build the targets."""
        self.engine = Engine()
        self.answer_latencies: list[Seconds] = []
        self.refusal_latencies: list[Seconds] = []
        self.late = 0
        self.answered_while_cold = 0
        self.scenario = scenario
        self.source = random.Random(seed)
        plans = [
            TargetPlan(
                TargetId(str(index)),
                SLOTS,
                COLD_SLOTS,
                SERVICE_TIME,
                scenario.slow_share,
            )
            for index in range(TARGETS)
        ]
        self.targets = [
            FakeTarget(plan, self.engine, f'{seed}-{plan.target_id}')
            for plan in plans
        ]
        self.gated = [GatedTarget(one, self.engine) for one in self.targets]

    def run(self) -> None:
        """Offer requests to random targets until the end."""
        capacity = TARGETS * SLOTS / SERVICE_TIME
        at: Seconds = 0
        while at < END:
            multiple = CALM if at < CALM_UNTIL else OFFERED
            at += self.source.expovariate(capacity * multiple)
            self.engine.after(at, self._offer)
        self.engine.after(COLD_AT, self._turn_cold)
        self.engine.run()

    def _turn_cold(self) -> None:
        for gated in self.gated:
            gated.most_over = -SLOTS
        for target in self.targets:
            target.peak = target.running
            if self.scenario.cold:
                target.turn_cold(restarted=self.scenario.restarted)

    def _offer(self) -> None:
        now = self.engine.now
        ticket = Ticket(RequestId('r'), CallerId('c'), now + DEADLINE)
        index = self.source.randrange(TARGETS)
        done = partial(self._done, now)
        if self.scenario.admission:
            self.gated[index].submit(ticket, done)
            return
        self.targets[index].run(partial(done, None))

    def _done(self, began: Seconds, failure: Failure | None) -> None:
        if not COLD_AT <= self.engine.now < END:
            return
        elapsed = self.engine.now - began
        if failure is not None:
            self.refusal_latencies.append(elapsed)
            return
        if elapsed > DEADLINE:
            self.late += 1
            return
        self.answer_latencies.append(elapsed)


def possible_answers(*, cold: bool) -> float:
    """Return how many answers the targets can give in the window."""
    window = END - COLD_AT
    warm_rate = SLOTS / SERVICE_TIME
    if not cold:
        return TARGETS * warm_rate * window
    steps = range(COLD_SLOTS, SLOTS)
    warming = sum(WARMING_ANSWERS * SERVICE_TIME / slots for slots in steps)
    answers = WARMING_ANSWERS * (SLOTS - COLD_SLOTS)
    return TARGETS * (answers + (window - warming) * warm_rate)


HEAD = (
    'targets, gate',
    'goodput',
    'refused',
    'late',
    'p99 answer',
    'p99 refuse',
    'peak',
    'over limit',
)


def show_scenario(scenario: Scenario, seed: int) -> None:
    """Run a scenario and print its row."""
    run = Run(scenario, seed)
    run.run()
    possible = possible_answers(cold=scenario.cold)
    possible /= 1 + scenario.slow_share * (SLOW_REQUEST - 1)
    over = '-'
    if scenario.admission:
        over = str(max(gated.most_over for gated in run.gated))
    show_row(
        (
            scenario.name,
            len(run.answer_latencies) / possible,
            len(run.refusal_latencies),
            run.late,
            quantile(run.answer_latencies or [0], 0.99),
            quantile(run.refusal_latencies or [0], 0.99),
            max(target.peak for target in run.targets),
            over,
        ),
    )


def main() -> None:
    """Print the table; an argument is the seed."""
    seed = seed_from(sys.argv, SEED)
    show(f'seed {seed}; {OFFERED} x capacity; {SLOTS} slots, {COLD_SLOTS} cold')
    show_row(HEAD)
    for scenario in SCENARIOS:
        show_scenario(scenario, seed)


if __name__ == '__main__':
    main()
