"""Loads that compete for room, as replays of the order of waiting play them."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable

import msgspec

from cassialever.fleet.gossip import MAX_DATAGRAMS_PER_SECOND, MIN_SEND_INTERVAL
from cassialever.fleet.model import Route
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest
from cassialever.gateway.sender import TargetRequest
from cassialever.types import Seconds, TargetId
from tests.fleet_helpers import ROUTES
from tests.replay_helpers import PATH, Simulation

#: Callers give up after this time, and an answer has its full worth for this.
DEADLINE: Seconds = 3.0
OBJECTIVE: Seconds = 0.8
SERVICE_TIME: Seconds = 0.27


class Record(msgspec.Struct):
    """What callers of one kind got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    #: How long each attempt that was refused had waited.
    refused_after: list[Seconds] = []
    #: When, and after which time, refused callers were told to come back.
    told: list[tuple[Seconds, Seconds]] = []

    @property
    def in_time_share(self) -> float:
        return self.in_time / max(self.sent, 1)

    @property
    def late_share(self) -> float:
        return self.late / max(self.sent, 1)

    def refused_wait(self, share: float = 0.5) -> Seconds:
        """Return the wait that this share of the refused ones stayed below."""
        waits = sorted(self.refused_after)
        return waits[int(share * (len(waits) - 1))] if waits else 0


class CompetingLoads:
    """An urgent and an ordinary kind of request at one service."""

    def __init__(
        self, simulation: Simulation, report_period: Seconds | None = None
    ) -> None:
        self.simulation = simulation
        #: Time between two reports; by default that of as large a fleet.
        self.report_period = report_period or max(
            MIN_SEND_INTERVAL,
            len(simulation.forwarders) / MAX_DATAGRAMS_PER_SECOND,
        )
        for target in simulation.targets.values():
            target.service_time = SERVICE_TIME
        base = {
            **ROUTES['r-issue'],
            'timeout_ms': DEADLINE * 1000,
            'target_latency_ms': OBJECTIVE * 1000,
        }
        self.routes = simulation.configure(
            {
                'ordinary': {**base, 'priority': 1},
                'urgent': {**base, 'path_prefix': '/urgent/', 'priority': 0},
            }
        )
        self.capacity = simulation.capacity()
        self.by_kind = {name: Record() for name in self.routes}
        self.exchange = asyncio.create_task(self._exchange_loads())

    def start_records(self) -> None:
        self.by_kind = {name: Record() for name in self.routes}

    async def run(
        self,
        kind: str,
        share: float,
        duration: Seconds,
        retries: int = 0,
        *,
        is_patient: bool = False,
    ) -> None:
        """Send a share of the capacity; patient callers heed Retry-After."""
        loop = self.simulation.loop
        ends_at = loop.time() + duration
        rate = share * self.capacity
        record = self.by_kind[kind]
        while loop.time() < ends_at:
            await asyncio.sleep(self.simulation.rng.expovariate(rate))
            call = self._call(record, self.routes[kind], retries, is_patient)
            self.simulation.tasks.append(loop.create_task(call))

    async def settle(self) -> None:
        await self.simulation.settle()
        self.exchange.cancel()

    async def _call(
        self, record: Record, route: Route, retries: int, is_patient: bool
    ) -> None:
        loop = self.simulation.loop
        started = loop.time()
        record.sent += 1
        for number in range(retries + 1):
            asked_at = loop.time()
            answer = await self._ask(route, started)
            if not isinstance(answer, Refusal):
                break
            if answer.retry_after is None:
                record.failed += 1
                return
            record.refused_after.append(loop.time() - asked_at)
            record.told.append((loop.time(), answer.retry_after))
            left = started + DEADLINE - loop.time()
            if number == retries or left <= 0:
                return
            if is_patient:
                await asyncio.sleep(min(answer.retry_after, left / 3))
        if loop.time() - started <= OBJECTIVE:
            record.in_time += 1
        else:
            record.late += 1

    async def _ask(self, route: Route, started: Seconds):
        forwarder = self.simulation.rng.choice(self.simulation.forwarders)
        now = self.simulation.loop.time()
        routed = RoutedRequest(
            TargetRequest('a', 'POST', PATH, {}, b''),
            route,
            -1,
            now,
            started + DEADLINE,
        )
        return await forwarder.serve(routed)

    async def _exchange_loads(self) -> None:
        """Have daemons report as often as a fleet of their number does.

        The open requests of all others are set at once, as of that moment.
        """
        forwarders = self.simulation.forwarders
        period = self.report_period
        steps = min(len(forwarders), 20)
        reports = [Counter() for _ in forwarders]
        total: Counter[str] = Counter()
        while True:
            # They report out of step, and so are received.
            for step in range(steps):
                await asyncio.sleep(period / steps)
                for number in range(step, len(forwarders), steps):
                    total.subtract(reports[number])
                    reports[number] = Counter(
                        forwarders[number]._loads.open_by_target()
                    )
                    total.update(reports[number])
                self._set_elsewhere(total, reports)

    def _set_elsewhere(
        self, total: Counter[str], reports: list[Counter[str]]
    ) -> None:
        for forwarder, own in zip(
            self.simulation.forwarders, reports, strict=True
        ):
            loads = forwarder._loads
            for name, count in total.items():
                load = loads.of(TargetId(name))
                load.open_elsewhere = max(count - own[name], 0)


def spread(times: list[Seconds], width: Seconds = 0.1) -> float:
    """Return the largest share of events that fall into one span."""
    buckets = Counter(math.floor(at / width) for at in times)
    return max(buckets.values(), default=0) / max(len(times), 1)


Play = Callable[[CompetingLoads], None]
