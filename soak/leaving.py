"""Targets that leave and are replaced, and the check that they get nothing."""

import asyncio
import enum
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence

from soak.changes import (
    JUDGED_SERVICES,
    SLOW_PATH,
    SLOW_TIME,
    RouteCallers,
)
from soak.fleet import (
    SERVICE_TIME,
    DaemonProcess,
    SoakFleet,
    data_centre_of,
)
from soak.judging import (
    DRAIN_BOUND,
    MAX_DESCRIBED,
    STABLE_TIME,
    Leaving,
)
from standins.keyed_target import ReceivedRequest, TargetServer
from standins.listening import free_ports

#: The service of the targets that own keys.
KEYED_SERVICE = 'registry'
#: Targets of each judged service that stay or are to leave next.
TARGETS_PER_SERVICE = 3
#: Range of the time between the notices of two targets, in seconds.
LEAVE_INTERVALS = (0.8, 2.5)
#: Range of the time for which a target serves beyond the bound, in seconds.
LONGER_TIMES = (0.5, 4.0)
#: Longest time until a target's entry goes after its notice, in seconds.
MAX_ENTRY_TIME = 3.0
HEALTH_PATH = '/healthz'


class Notice(enum.Enum):
    """How a target's leaving becomes known."""

    draining = 'drains'
    said = 'drains and says so in its answers'
    entry_gone = 'leaves without a notice'


class LeavingTargets:
    """Replaces the targets of the judged services, one after another."""

    def __init__(
        self, fleet: SoakFleet, callers: RouteCallers, seed: int
    ) -> None:
        """Prepare the targets; `start` runs the first ones."""
        self._fleet = fleet
        self._callers = callers
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        #: The services whose targets leave.
        self.services: Sequence[str] = JUDGED_SERVICES
        self.staying_by_service: defaultdict[str, list[TargetServer]] = (
            defaultdict(list)
        )
        #: All targets that there were, by their IDs.
        self._target_by_id: dict[str, TargetServer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.events: list[str] = []
        self._described_count = 0
        self.intervals = LEAVE_INTERVALS
        #: Tell which tables a daemon had at a moment, and of a target.
        self.describe: Callable[[DaemonProcess, float, str], str] = (
            _describe_nothing
        )

    async def start(self) -> None:
        """Start the first targets of each service."""
        for service in self.services:
            for _ in range(TARGETS_PER_SERVICE):
                await self._add(service)

    async def run(self) -> None:
        """Have targets leave until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*self.intervals))
            service = self._random.choice(self.services)
            await self._add(service)
            target = self.staying_by_service[service].pop(0)
            self._tasks.add(asyncio.ensure_future(self._leave(target)))

    async def stop(self) -> None:
        """Stop all targets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self._target_by_id.values():
            await target.stop()

    def violations(self) -> list[str]:
        """Return the requests that reached a target after it had left."""
        targets = {
            **{one.target_id: one for one in self._fleet.all_targets},
            **self._target_by_id,
        }
        return [
            line
            for leaving in self._fleet.leavings
            for arrival in targets[leaving.target_id].work.arrivals.unrefused
            if leaving.is_late(arrival.at)
            for line in self._judge(leaving, arrival)
        ]

    def last_arrivals(self, leaving: Leaving) -> dict[str, float]:
        """Return when the last request of each daemon came after a notice."""
        target = self._target_by_id[leaving.target_id]
        return {
            arrival.sender: arrival.at
            for arrival in target.work.arrivals.unrefused
            if arrival.at > leaving.notified_at and arrival.path != HEALTH_PATH
        }

    def arrivals_by_service(self) -> Counter[str]:
        """Return how many requests reached targets of each service."""
        counts: Counter[str] = Counter()
        for target in self._target_by_id.values():
            counts[target.service] += sum(
                arrival.path != HEALTH_PATH
                for arrival in target.work.arrivals.unrefused
            )
        return counts

    def arrivals_while_leaving(self) -> int:
        """Return how many requests reached targets after their notices."""
        return sum(
            leaving.notified_at < arrival.at < leaving.taken_back_at
            for leaving in self._fleet.leavings
            if leaving.target_id in self._target_by_id
            for arrival in self._target_by_id[
                leaving.target_id
            ].work.arrivals.unrefused
        )

    def _judge(self, leaving: Leaving, arrival: ReceivedRequest) -> list[str]:
        """Judge a late arrival; daemons out of touch may send it."""
        if arrival.path == HEALTH_PATH:
            return []
        sender = next(
            one for one in self._fleet.daemons if one.name == arrival.sender
        )
        path = sender.path_by_target[leaving.target_id]
        taker = self._callers.daemon_by_request.get(arrival.request_id, sender)
        if not path.disruptions.is_calm(arrival.at - STABLE_TIME, arrival.at):
            return []
        for daemon in (sender, taker):
            if not self._fleet.is_in_touch(daemon, arrival.at, arrival.at):
                return []
        tables = ''
        if self._described_count < MAX_DESCRIBED:
            self._described_count += 1
            tables = self.describe(sender, arrival.at, leaving.target_id)
        line = (
            f'{arrival.at:.2f} DRAIN {arrival.request_id}, taken by'
            f' {taker.name}, reached {leaving.target_id} from {sender.name}'
            f' {arrival.at - leaving.notified_at:.2f} s after its notice at'
            f' {leaving.notified_at:.2f}{tables}'
        )
        if self._fleet.is_core_stable(arrival.at, arrival.at):
            return [line]
        # No bound holds while the store turns machines away.
        self.events.append(f'{line}, allowed')
        return []

    async def _add(self, service: str) -> None:
        """Start a target and the paths to it, then write its entry."""
        number = next(self._numbers)
        target = TargetServer(
            f'{service}-{number}',
            service,
            is_keyed=service == KEYED_SERVICE,
            data_centre=data_centre_of(number),
        )
        target.faults.service_time = SERVICE_TIME
        target.work.service_time_by_path[SLOW_PATH] = SLOW_TIME
        target.work.arrivals.sender_at = self._fleet.sender_at
        await target.start(free_ports(1)[0])
        for daemon in self._fleet.daemons:
            await daemon.open_paths([target])
        self.staying_by_service[service].append(target)
        self._target_by_id[target.target_id] = target
        self._callers.service_by_target[target.target_id] = service
        self._fleet.publish_target(target)

    async def _leave(self, target: TargetServer) -> None:
        """Give notice, go on serving for longer than the bound, then end."""
        notice = self._random.choice(list(Notice))
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {target.target_id} {notice.value}')
        serving_time = DRAIN_BOUND + self._random.uniform(*LONGER_TIMES)
        if notice is Notice.entry_gone:
            self._fleet.remove_entry(target)
            await asyncio.sleep(serving_time)
        else:
            target.faults.says_leaving = notice is Notice.said
            self._fleet.publish_target(target, 'draining')
            entry_time = self._random.uniform(0, MAX_ENTRY_TIME)
            entry_time = min(entry_time, serving_time)
            await asyncio.sleep(entry_time)
            self._fleet.remove_entry(target)
            await asyncio.sleep(serving_time - entry_time)
        await target.stop()


def _describe_nothing(daemon: DaemonProcess, at: float, target_id: str) -> str:
    """Tell nothing of a daemon; the default until logs are known."""
    return ''
