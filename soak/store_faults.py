"""Faults of the store that concern some machines or some calls."""

import asyncio
import contextlib
import enum
import random
from collections.abc import Awaitable, Callable, Collection

from cassialever.fleet.view import OWN_TABLE
from soak.disruptions import Disruptions
from soak.fleet import DaemonProcess, SoakFleet
from standins.call_faults import (
    COMMIT_PATH,
    FEED_PATH,
    HOLD_TIME,
    READ_PATH,
    CallFault,
    CallOutcome,
)

#: Range of the duration of these faults, in seconds: longer than a lease and
#: the attempts to take it over.
DURATIONS = (2.0, 12.0)
#: Range of the time until a daemon that took over meets the fault as well, in
#: seconds, and the most that do.
SERIES_INTERVALS = (0.2, 2.0)
MAX_SERIES = 4
SERIES_PART = 0.4
#: Interval at which it is looked whose paths a fault disrupts, in seconds.
MARK_INTERVAL = 0.02
#: Part of the faults of transactions at whose start the leader is killed, or
#: all daemons are, as they always are where the next writer is concerned.
LEADER_KILLED_PART = 0.4
ALL_KILLED_PART = 0.2
TURNED_AWAY = (
    CallOutcome.refused,
    CallOutcome.throttled,
    CallOutcome.reset,
    CallOutcome.unanswered,
)
#: The calls that a fault of single kinds concerns, as paths and a table.
CALL_KINDS = (
    ((COMMIT_PATH, READ_PATH, FEED_PATH), ''),
    ((FEED_PATH,), ''),
    ((READ_PATH, FEED_PATH), 'op'),
    ((READ_PATH, FEED_PATH), 'servers'),
    ((READ_PATH, FEED_PATH), OWN_TABLE),
)


#: Range of the time for which one machine can't lead, in seconds, and the ways:
#: its transactions conflict, or it can't read the leader's table.
HINDERED_TIMES = (5.0, 12.0)
HINDRANCES = (
    ((COMMIT_PATH,), '', (CallOutcome.conflicting,)),
    ((READ_PATH, FEED_PATH), OWN_TABLE, TURNED_AWAY),
)
#: Part of these faults at whose start the leader, if it is another, is killed.
REPLACED_PART = 0.5


class Victims(enum.Enum):
    """The machines whose transactions meet a fault."""

    last_writer = 'the last writer'
    next_writer = 'the next writer'
    series = 'several writers in series'
    everyone = 'all machines'


class StoreFaults:
    """Faults of some calls, drawn at random."""

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        log_event: Callable[[str], None],
        kill: Callable[[Collection[DaemonProcess]], Awaitable[None]],
    ) -> None:
        """Prepare the faults; `kill` ends daemons and starts them again."""
        self._fleet = fleet
        self._random = source
        self._log_event = log_event
        self._kill = kill
        #: One fault of transactions at a time: each excuses much.
        self._spoiling = asyncio.Lock()
        #: One fault of other calls: some machine is always served.
        self._refusing = asyncio.Lock()
        #: No fault lasts longer than this, by the loop's clock.
        self.ends_at = float('inf')

    async def spoil_commits(self) -> None:
        """Refuse transactions, or lose their answers, while reads work."""
        if self._spoiling.locked():
            return
        async with self._spoiling:
            loses_answers = self._random.random() < 0.5
            outcome = self._random.choice(
                [
                    one
                    for one in CallOutcome
                    if one.loses_answers is loses_answers
                ]
            )
            victims = self._random.choice(list(Victims))
            await self._spoil(outcome, victims, self._fleet.store_disruptions)

    async def cut_answers(self) -> None:
        """Lose answers to machines that write, on their paths to the store.

        Bounds hold for all other machines.
        """
        if self._spoiling.locked():
            return
        async with self._spoiling:
            outcome = self._random.choice(
                [one for one in CallOutcome if one.loses_answers]
            )
            victims = self._random.choice(
                [one for one in Victims if one is not Victims.everyone]
            )
            self._log_event('answers are lost on single paths')
            await self._spoil(outcome, victims, None)

    async def _spoil(
        self,
        outcome: CallOutcome,
        victims: Victims,
        disruptions: Disruptions | None,
    ) -> None:
        """Have a fault of transactions, perhaps with the end of daemons.

        Where no disruptions of the store are given, it disrupts the paths of
        the machines that it concerns.
        """
        store = self._fleet.store
        machines: Collection[str] | None = (store.last_writer,)
        if victims is Victims.everyone:
            machines = None
        elif victims is Victims.next_writer:
            machines = ()
        fault = CallFault(outcome, (COMMIT_PATH,), machines)
        self._log_event(f'transactions of {victims.value} are {outcome.value}')
        draw = self._random.random()
        if victims is Victims.next_writer:
            draw *= ALL_KILLED_PART + LEADER_KILLED_PART
        killed = list(self._fleet.daemons)
        if draw > ALL_KILLED_PART:
            leader = self._fleet.leader()
            is_killed = leader and draw < ALL_KILLED_PART + LEADER_KILLED_PART
            killed = [leader] if leader and is_killed else []
        ended = asyncio.ensure_future(self._kill(killed))
        tasks = [ended]
        if victims is Victims.series:
            tasks.append(asyncio.ensure_future(self._add_writers(fault)))
        if victims is Victims.next_writer:
            tasks.append(asyncio.ensure_future(_await_writer(ended, fault)))
        if not outcome.loses_answers:
            disruptions = self._fleet.store_refusals
        if disruptions is None:
            disruptions = Disruptions()
            tasks.append(asyncio.ensure_future(self._mark_paths(fault)))
        await self._apply(fault, disruptions)
        await asyncio.gather(*tasks)

    async def refuse_calls(self) -> None:
        """Turn some machines away, wholly or for single kinds of calls."""
        if self._refusing.locked():
            return
        async with self._refusing:
            await self._refuse_calls()

    async def hinder_one(self) -> None:
        """Keep one machine from leading while bounds hold for all others."""
        if self._refusing.locked():
            return
        async with self._refusing:
            leader = self._fleet.leader()
            one = self._random.choice(
                (leader, self._random.choice(self._fleet.daemons))
            )
            if one is None or one.store_proxy is None:
                return
            paths, table, outcomes = self._random.choice(HINDRANCES)
            outcome = self._random.choice(outcomes)
            self._log_event(
                f'{one.name} alone cannot lead, {table} calls {outcome.value}'
            )
            killed = []
            if leader not in (None, one):
                killed = [leader] * (self._random.random() < REPLACED_PART)
            fault = CallFault(outcome, paths, (one.name,), table)
            with one.store_proxy.disruptions.lasting():
                await asyncio.gather(
                    self._apply(fault, Disruptions(), HINDERED_TIMES),
                    self._kill(killed),
                )

    async def _refuse_calls(self) -> None:
        names = [one.name for one in self._fleet.daemons]
        count = self._random.randint(1, max(1, len(names) - 1))
        machines = self._random.choice(
            (self._random.sample(names, count), [self._fleet.store.last_writer])
        )
        is_series = self._random.random() < SERIES_PART
        paths, table = self._random.choice(CALL_KINDS)
        outcome = self._random.choice(TURNED_AWAY)
        kinds = ' '.join(path.rpartition('/')[2] for path in paths)
        self._log_event(
            f'{kinds} {table} of {" ".join(machines)}'
            f'{" and others" if is_series else ""} are {outcome.value}'
        )
        fault = CallFault(outcome, paths, machines, table)
        tasks = []
        if is_series:
            tasks.append(asyncio.ensure_future(self._add_writers(fault)))
        await self._apply(fault, self._fleet.store_refusals)
        await asyncio.gather(*tasks)

    async def _apply(
        self,
        fault: CallFault,
        disruptions: Disruptions,
        durations: tuple[float, float] = DURATIONS,
    ) -> None:
        """Have a fault for some time, until its last call has ended."""
        fleet = self._fleet
        now = asyncio.get_running_loop().time()
        duration = self._random.uniform(*durations)
        with disruptions.lasting():
            fleet.store.call_faults.append(fault)
            await asyncio.sleep(min(duration, max(self.ends_at - now, 0)))
            fleet.store.call_faults.remove(fault)
            machines = 'all' if fault.machines is None else fault.machines
            self._log_event(
                f'calls of {machines} are no more {fault.outcome.value}'
            )
            await asyncio.sleep(HOLD_TIME * fault.outcome.holds_calls)

    async def _mark_paths(self, fault: CallFault) -> None:
        """Mark the paths of the machines that a fault concerns."""
        marked: set[str] = set()
        call_faults = self._fleet.store.call_faults
        with contextlib.ExitStack() as stack:
            while True:
                for daemon in self._fleet.daemons:
                    is_new = daemon.name in (fault.machines or set()) - marked
                    if is_new and daemon.store_proxy is not None:
                        marked.add(daemon.name)
                        disruptions = daemon.store_proxy.disruptions
                        stack.enter_context(disruptions.lasting())
                if fault not in call_faults:
                    break
                await asyncio.sleep(MARK_INTERVAL)
            await asyncio.sleep(HOLD_TIME)

    async def _add_writers(self, fault: CallFault) -> None:
        """Add daemons that have taken over, one after another."""
        call_faults = self._fleet.store.call_faults
        most = min(MAX_SERIES, len(self._fleet.daemons) - 1)
        while fault in call_faults and len(fault.machines or ()) < most:
            await asyncio.sleep(self._random.uniform(*SERIES_INTERVALS))
            fault.machines.add(self._fleet.store.last_writer)


async def _await_writer(ended: Awaitable[None], fault: CallFault) -> None:
    """Have the first machine meet a fault that writes once others ended."""
    await ended
    fault.joining_count = 1
