"""Have requests that find every target full wait in order.

Only the first of a queue looks at the targets: when a request of this daemon
has ended there, and from time to time. The others wait for their turn.
"""

import asyncio
from collections import Counter
from typing import Final, Self, TypeAlias

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.model import Configuration, Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.counters import WaitingCounters
from cassialever.gateway.routing import RoutedRequest
from cassialever.interfaces import RandomSource
from cassialever.policy import refusal
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import (
    DEFAULT_LATENCY,
    MAX_REQUESTS_PER_SLOT,
    NoTargetReason,
    PlacementRequest,
    TargetSelector,
)
from cassialever.policy.waiting import (
    FORGET_AFTER,
    PLACE_FACTOR,
    Contender,
    PlaceRate,
    WaitingQueue,
    contend,
    fill_level,
)
from cassialever.types import Seconds, ServiceName, TargetId

#: How long a request that has got a place takes to be counted as sent.
HANDOVER_DELAY: Final[Seconds] = 0.001
#: Time after which a request that is not first looks whether its key or its
#: route has changed.
CHECK_INTERVAL: Final[Seconds] = 0.05
#: Minimum time between two log entries on too little room.
REPORT_INTERVAL: Final[Seconds] = 5.0
#: Steps of the time left that count as different in a look at the targets.
TIME_STEPS: Final = 16

#: A service, and the owner of the key if it has one.
_QueueKey: TypeAlias = tuple[ServiceName, TargetId | None]


class WaitingLines:
    """The queues of one daemon, by service or by owner of keys."""

    def __init__(
        self,
        view: FleetView,
        selector: TargetSelector,
        loads: LoadTracker,
        counters: WaitingCounters,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        """Start without queues."""
        self._random = random_source
        self.counters = counters
        counters.count_by_rank = self._count_by_rank
        self._view = view
        #: The configuration whose ranks are known, and they by service.
        self._ranked: Configuration | None = None
        self._ranks_by_service: dict[ServiceName, list[int]] = {}
        self.selector = selector
        self._loads = loads
        self._clock = clock
        self._queue_by_key: dict[_QueueKey, WaitingQueue] = {}
        self._prune_at: Seconds = 0
        self._report_at: Seconds = 0
        #: Requests of this daemon that targets are working on.
        self.open_by_service: Counter[ServiceName] = Counter()

    def max_per_slot(
        self, routed: RoutedRequest, service: ServiceName
    ) -> float:
        """Return the requests a slot up to which a request fills targets."""
        configuration = self._view.configuration
        if configuration is None:
            return MAX_REQUESTS_PER_SLOT
        if configuration is not self._ranked:
            self._ranked = configuration
            self._ranks_by_service = ranks_by_service(configuration)
        ranks = self._ranks_by_service.get(service, [])
        if len(ranks) < 2:
            return MAX_REQUESTS_PER_SLOT
        return fill_level(routed.precedence.rank, ranks)

    def turn(
        self, routed: RoutedRequest, placement: PlacementRequest
    ) -> 'Turn':
        """Return the place of a request among those that wait."""
        return Turn(self, routed, placement)

    def is_idle(self, now: Seconds) -> bool:
        """Return whether there was room for all lately."""
        if self._queue_by_key and now >= self._prune_at:
            self._prune(now)
        return not self._queue_by_key

    def key_of(self, placement: PlacementRequest) -> _QueueKey:
        """Return the key of the queue in which a request would wait."""
        owner = self.selector.owner_of(placement)
        return placement.service, owner.target_id if owner else None

    def find(self, key: _QueueKey) -> WaitingQueue | None:
        """Return a queue, if there were too few places lately."""
        return self._queue_by_key.get(key)

    def open(self, key: _QueueKey, now: Seconds) -> WaitingQueue:
        """Return a queue, new if there was none."""
        queue = self._queue_by_key.get(key)
        if queue is None:
            queue = WaitingQueue(
                PlaceRate(self._usual_rate(key, now)),
                refusal.ReturnTimes(self._random),
            )
            self._queue_by_key[key] = queue
        return queue

    def service_time(self, key: _QueueKey, now: Seconds) -> Seconds:
        """Return how long a request takes that finds a free slot."""
        usual = self._loads.usual_service_time(key[0]) or DEFAULT_LATENCY
        if key[1] is None:
            return usual
        load = self._loads.of(key[1])
        return load.expected_latency(1, now, usual) / load.queueing_factor(
            1, now
        )

    def wake(self, target: Target) -> None:
        """Have the first look again, since a request ended at a target."""
        if not self._queue_by_key:
            return
        now = self._clock.monotonic()
        self.selector.full.forget(target.service, now)
        for owner in (None, target.target_id):
            queue = self._queue_by_key.get((target.service, owner))
            if queue is not None and queue.first is not None:
                queue.first.wake()

    def report(self, service: ServiceName, now: Seconds) -> None:
        """Log that a service has too little room, at most so often."""
        if now < self._report_at:
            return
        self._report_at = now + REPORT_INTERVAL
        record(
            Event.room_short,
            service=service,
            waiting=self._count_by_rank().total(),
            refused_at_once=self.counters.refused_at_once,
            put_out=self.counters.put_out,
        )

    def looking_count(self) -> int:
        """Return the number of waiting requests that look at the targets."""
        waiting = self.selector.waiting_by_service.total()
        for queue in self._queue_by_key.values():
            waiting -= max(len(queue) - 1, 0)
        return waiting

    def _count_by_rank(self) -> Counter[int]:
        """Return the number of requests in all queues, by rank."""
        counts: Counter[int] = Counter()
        for queue in self._queue_by_key.values():
            counts.update(queue.count_by_rank())
        return counts

    def _prune(self, now: Seconds) -> None:
        """Forget the queues that are empty and long out of use."""
        self._prune_at = now + FORGET_AFTER
        self._queue_by_key = {
            key: queue
            for key, queue in self._queue_by_key.items()
            if queue or not queue.rate.is_outdated(now)
        }

    def _usual_rate(self, key: _QueueKey, now: Seconds) -> float:
        """Return the places a second to expect before any was got.

        An owner that has just become full may have no one else waiting. Of
        other targets this daemon goes on getting what it had.
        """
        service_time = self.service_time(key, now)
        owner = self._view.targets.by_id.get(key[1]) if key[1] else None
        if owner is not None:
            return owner.slots / service_time
        running = self.open_by_service[key[0]] + 1
        return running / (service_time * PLACE_FACTOR)


class Turn:
    """One request among those that wait, while in its context."""

    __slots__ = (
        '_contender',
        '_is_queued',
        '_key',
        '_lines',
        '_placement',
        '_queue',
        '_routed',
        '_waiter',
    )

    def __init__(
        self,
        lines: WaitingLines,
        routed: RoutedRequest,
        placement: PlacementRequest,
    ) -> None:
        """Start outside of any queue."""
        self._lines = lines
        self._routed = routed
        self._placement = placement
        self._key: _QueueKey | None = None
        self._queue: WaitingQueue | None = None
        self._contender: Contender | None = None
        self._is_queued = False
        self._waiter: asyncio.Future[None] | None = None

    def __enter__(self) -> Self:
        """Return the turn itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Leave the queue, however the wait has ended."""
        self.leave()

    def choose(self, now: Seconds) -> Target | NoTargetReason:
        """Choose a target, if no other request goes before this one."""
        if not self._may_look(now):
            return NoTargetReason.full
        chosen = self._lines.selector.choose(self._current(now), now)
        if isinstance(chosen, Target):
            self._take(now)
        return chosen

    def is_out(self, reason: NoTargetReason, now: Seconds) -> bool:
        """Return whether a request without a place has to be refused.

        It joins its queue if there is no room, and leaves it if it waits for
        something else.
        """
        if reason is not NoTargetReason.full:
            self.leave()
            return False
        if self._key is None:
            self._key = self._lines.key_of(self._placement)
        contender = self._as_contender(now)
        if contender.is_out:
            return True
        queue = self._find_queue() or self._lines.open(self._key, now)
        self._queue = queue
        queue.rate.record_full(now)
        if not self._is_queued:
            self._is_queued = True
            self._put_out(queue, queue.join(contender, now), now)
        elif queue.first is contender:
            self._put_out(queue, queue.take_hopeless(now), now)
        return contender.is_out

    def book_return(
        self,
        decision: refusal.Wait | refusal.Refuse,
        time_left: Seconds,
        now: Seconds,
    ) -> refusal.Wait | refusal.Refuse:
        """Tell a request that finds no room when to come back."""
        if isinstance(decision, refusal.Wait):
            return decision
        if decision.reason is not NoTargetReason.full or self._queue is None:
            return decision
        room = refusal.ExpectedRoom(
            len(self._queue), self._queue.rate.per_second(now), time_left
        )
        rank = self._routed.precedence.rank
        retry_after = self._queue.returns.book(rank, room, now)
        return refusal.Refuse(decision.reason, retry_after)

    async def wait(self, pause: Seconds) -> None:
        """Wait for a turn, or for a pause if the request looks by itself."""
        if not self._is_queued or self._queue is None:
            await asyncio.sleep(pause)
            return
        if self._queue.first is not self._contender:
            pause = CHECK_INTERVAL
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(pause, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def leave(self) -> None:
        """Leave the queue; the next one has its turn soon."""
        queue, contender = self._queue, self._contender
        if queue is None or contender is None or not self._is_queued:
            return
        self._is_queued = False
        self._queue = None
        if queue.leave(contender) and queue.first is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(HANDOVER_DELAY, queue.first.wake)

    def _may_look(self, now: Seconds) -> bool:
        """Return whether no other request goes before this one."""
        if self._lines.is_idle(now):
            return True
        self._follow_key()
        queue = self._find_queue()
        if queue is None:
            return True
        if self._is_queued:
            return queue.first is self._contender
        return queue.goes_first(self._as_contender(now))

    def _current(self, now: Seconds) -> PlacementRequest:
        """Return what a target is chosen by, with the useful time left."""
        objective = self._placement.objective
        step = objective / TIME_STEPS
        waited = now - self._routed.received_at
        if waited < step:
            return self._placement
        contender = self._contender
        if contender is not None and now < contender.patient_until:
            return self._placement
        left = max(TIME_STEPS - int(waited / step) - 1, 0) * step
        return msgspec.structs.replace(self._placement, objective=left)

    def _take(self, now: Seconds) -> None:
        """Leave with a place."""
        if self._queue is not None:
            others = len(self._queue) - self._is_queued
            self._queue.rate.record_place(now, others_wait=others > 0)
            self.leave()

    def _follow_key(self) -> None:
        """Leave the queue of an owner that no longer has the key."""
        key = self._lines.key_of(self._placement)
        if key == self._key:
            return
        self.leave()
        self._key = key
        self._queue = None

    def _find_queue(self) -> WaitingQueue | None:
        if self._queue is None and self._key is not None:
            self._queue = self._lines.find(self._key)
        return self._queue

    def _as_contender(self, now: Seconds) -> Contender:
        if self._contender is None:
            key = self._key or self._lines.key_of(self._placement)
            precedence = self._routed.precedence
            self._contender = contend(
                precedence,
                self._routed.received_at,
                self._lines.service_time(key, now),
            )
            self._contender.wake = self._wake
        return self._contender

    def _put_out(
        self, queue: WaitingQueue, out: list[Contender], now: Seconds
    ) -> None:
        """Have those who are out refused, and the first one look."""
        if not out:
            return
        for contender in out:
            if contender is self._contender:
                self._is_queued = False
            self._lines.counters.record_out(was_queued=contender.was_queued)
            contender.wake()
        if queue.first is not None:
            queue.first.wake()
        self._lines.report(self._placement.service, now)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def ranks_by_service(
    configuration: Configuration,
) -> dict[ServiceName, list[int]]:
    """Return the ranks of the requests for each service, ascending."""
    of_customers = {
        customer.rank
        for customer in configuration.customer_by_credential.values()
        if customer.rank is not None
    }
    ranks: dict[ServiceName, set[int]] = {}
    for route in configuration.routes:
        for part in route.parts:
            known = ranks.setdefault(part.service, set(of_customers))
            known.add(route.rank)
    return {service: sorted(known) for service, known in ranks.items()}
