"""Virtual time for the benchmarks, and small fake targets behind gates."""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import TypeAlias

import msgspec

from cassialever.catalogue import TargetEntry, TargetLimits
from cassialever.errors import Failure
from cassialever.limits import TargetGate
from cassialever.tickets import Admitted, Ending, Queued, Step, Ticket
from cassialever.types import (
    DataCentreId,
    Incarnation,
    Seconds,
    ServiceName,
    TargetId,
)

Action: TypeAlias = Callable[[], None]
Planned: TypeAlias = tuple[Seconds, int, Action]
Done: TypeAlias = Callable[[Failure | None], None]

QUEUE_LENGTH = 64
#: Work at twice the capacity takes four times as long.
CROWDING_POWER = 2
#: The shape of the gamma distribution of service times.
SHAPE = 4.0
SLOW_REQUEST = 10.0
#: The shortest pause between two checks of a gate's deadlines.
SHORTEST_WAKE: Seconds = 0.001
#: Answers by which a cold target gains capacity for one more request.
WARMING_ANSWERS = 50


class Engine:
    """Run actions in the order of virtual time."""

    def __init__(self) -> None:
        """Start at 0 seconds."""
        self.now: Seconds = 0
        self._numbers = itertools.count()
        self._heap: list[Planned] = []

    def after(self, delay: Seconds, action: Action) -> None:
        """Run an action after a delay, in seconds."""
        planned = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._heap, planned)

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._heap:
            planned = heapq.heappop(self._heap)
            self.now = planned[0]
            planned[2]()


class TargetPlan(msgspec.Struct, frozen=True):
    """How a fake target behaves; times in seconds.

    `slow_share` is the share of requests that take `SLOW_REQUEST` times as
    long as the others by their nature.
    """

    target_id: TargetId
    slots: int = 4
    cold_slots: int = 1
    service_time: Seconds = 0.02
    slow_share: float = 0


class FakeTarget:
    """A target whose service times are random, with a factor to slow it.

    Work over its capacity slows all of it by more than its share.
    """

    def __init__(self, plan: TargetPlan, engine: Engine, seed: str) -> None:
        """Start warm."""
        self.plan = plan
        self.factor = 1.0
        self.running = 0
        self.peak = 0
        self.capacity = plan.slots
        self.incarnation = Incarnation(1)
        self._answered_since_cold = 0
        self._engine = engine
        self._source = random.Random(seed)

    def run(self, answered: Action) -> None:
        """Take a request and call back once it has been answered."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        drawn = self._source.gammavariate(SHAPE, 1 / SHAPE)
        slow_share = self.plan.slow_share
        if slow_share and self._source.random() < slow_share:
            drawn *= SLOW_REQUEST
        crowding = max(1, self.running / self.capacity) ** CROWDING_POWER
        delay = self.plan.service_time * drawn * self.factor * crowding
        self._engine.after(delay, partial(self._answer, answered))

    def turn_cold(self, *, restarted: bool) -> None:
        """Lose all warmth; only a restart shows by its incarnation."""
        self.capacity = self.plan.cold_slots
        self._answered_since_cold = 0
        if restarted:
            self.incarnation = Incarnation(self.incarnation + 1)

    def _answer(self, answered: Action) -> None:
        self.running -= 1
        self._answered_since_cold += 1
        steps = self._answered_since_cold // WARMING_ANSWERS
        self.capacity = max(
            self.capacity,
            min(self.plan.slots, self.plan.cold_slots + steps),
        )
        answered()


def entry_of(plan: TargetPlan) -> TargetEntry:
    """Return the catalogue entry of a fake target."""
    return TargetEntry(
        owner='bench',
        target_id=plan.target_id,
        service=ServiceName('bench'),
        data_centre=DataCentreId('a'),
        address='127.0.0.1:1',
        limits=TargetLimits(
            slots=plan.slots,
            connections=100,
            cold_slots=plan.cold_slots,
        ),
    )


class GatedTarget:
    """A fake target behind the real gate."""

    def __init__(self, target: FakeTarget, engine: Engine) -> None:
        """Start with a cold gate."""
        self.target = target
        self.gate = TargetGate(entry_of(target.plan), QUEUE_LENGTH)
        self.most_over = -target.plan.slots
        self._engine = engine
        self._next_wake: Seconds = 0
        self._done_by_ticket: dict[Ticket, Done] = {}

    @property
    def load(self) -> int:
        """Return how many requests run or wait."""
        load = self.gate.load()
        return load.in_flight + load.queued

    def submit(self, ticket: Ticket, done: Done) -> None:
        """Offer a ticket; `done` gets `None` for an answer."""
        offered = self.gate.offer(ticket, self._engine.now)
        if isinstance(offered, Failure):
            done(offered)
            return
        self._done_by_ticket[ticket] = done
        self._wake()
        if isinstance(offered, Admitted):
            self._start(ticket)
        if isinstance(offered, Queued) and offered.evicted:
            evicted = offered.evicted
            self._done_by_ticket.pop(evicted.ticket)(evicted.failure)

    def _start(self, ticket: Ticket) -> None:
        over = self.gate.slots.in_flight - self.gate.slots.ramp.limit
        self.most_over = max(self.most_over, over)
        self.target.run(partial(self._answered, ticket))

    def _answered(self, ticket: Ticket) -> None:
        now = self._engine.now
        incarnation = self.target.incarnation
        self.gate.slots.answer_began(ticket, incarnation, now)
        step = self.gate.finish(ticket, Ending.answered, now)
        self._done_by_ticket.pop(ticket)(None)
        self._follow(step)

    def _wake(self) -> None:
        """Expire what is due, whenever it is due."""
        due = self.gate.next_expiry()
        if due is None or self._next_wake > self._engine.now:
            return
        self._next_wake = max(due, self._engine.now + SHORTEST_WAKE)
        self._engine.after(self._next_wake - self._engine.now, self._expire)

    def _expire(self) -> None:
        self._next_wake = 0
        self._follow(self.gate.expire(self._engine.now))
        self._wake()

    def _follow(self, step: Step) -> None:
        for ticket in step.started:
            self._start(ticket)
        for refusal in step.refused:
            self._done_by_ticket.pop(refusal.ticket)(refusal.failure)
