"""Measure for how long requests reach targets that have said that they leave.

`python -m tests.drain --daemons 9 --seed 1 --rounds 3` has targets leave beside
each fault in turn. Callers keep connections with several requests in the pipe.
`--faults` chooses others, `--owners` has owners of keys leave, too, and
`--other DIR` has every second daemon run the build of another checkout.
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Collection

from soak.callers import FIRST_HOST
from soak.changes import (
    JUDGED_SERVICES,
    PATH_PREFIX,
    Operator,
    RouteCallers,
)
from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import ConfigurationJudge
from soak.leaving import KEYED_SERVICE, LeavingTargets
from soak.peer_links import datagrams_dropped, silence_links
from soak.store_troubles import SLOW_TIMES
from standins.call_faults import COMMIT_PATH, CallFault, CallOutcome
from tests.drain_report import FaultSpan, report_lines

#: Time for the fleet to find a leader, the length of each fault, and that of
#: the calm after it, in seconds.
START_TIME = 8.0
FAULT_TIME = 3.0
CALM_TIME = 3.0
#: Range of the time between the notices of two targets, in seconds.
LEAVE_INTERVALS = (0.3, 0.9)
#: For how long processes are stopped, in seconds.
PAUSES = (1.0, 1.8, FAULT_TIME)
#: For how long processes run and stand still in turn that have a share of a
#: processor, in seconds.
SHARES = (0.043, 0.057)
#: Time between two steps of a fault, in seconds.
STEP = 0.25
#: Requests of all callers in a second, and those that each sends at once.
REQUEST_RATE = 360
PIPELINED = 5
FAULTS = (
    'none',
    'leader',
    'slow',
    'silent',
    'history',
    'links',
    'stop',
    'share',
)
#: Datagrams to half of the daemons are dropped; and connections besides.
FURTHER_FAULTS = ('datagrams', 'cut')
#: Part of the requests that are for keys if their owners leave.
KEYED_PART = 1 / 3
KEY_COUNT = 65536


class DrainRun:
    """A fleet whose targets leave one after another, beside faults."""

    def __init__(
        self,
        folder: pathlib.Path,
        daemons: int,
        seed: int,
        other: pathlib.Path | None = None,
        *,
        has_owners: bool = False,
    ) -> None:
        self.fleet = SoakFleet(folder, daemons, other=other)
        judge = ConfigurationJudge()
        self._operator = Operator(self.fleet, judge, seed)
        callers = RouteCallers(self.fleet, self._operator, judge, seed)
        self._daemon_by_request = callers.daemon_by_request
        self.leaving = LeavingTargets(self.fleet, callers, seed)
        self.leaving.intervals = LEAVE_INTERVALS
        self._has_owners = has_owners
        if has_owners:
            self.leaving.services = (*JUDGED_SERVICES, KEYED_SERVICE)
        self._random = random.Random(seed)
        self._spans: list[FaultSpan] = []
        #: How late this process was, which runs the store and targets.
        self.lateness = 0.0
        #: Number of times that a daemon's datagrams were dropped.
        self.cut_sockets = 0

    async def run(self, faults: Collection[str], rounds: int) -> None:
        """Have each fault some times."""
        await self.fleet.start()
        await self.leaving.start()
        self._operator.start()
        tasks = [
            asyncio.create_task(self._call(one)) for one in self.fleet.daemons
        ]
        await asyncio.sleep(START_TIME)
        tasks.append(asyncio.create_task(self.leaving.run()))
        for _, fault in itertools.product(range(rounds), faults):
            begun_at, stopped = time.monotonic(), set[str]()
            await self._hinder(fault, stopped)
            ended_at = time.monotonic()
            self._spans.append(
                FaultSpan(fault, begun_at, ended_at, frozenset(stopped))
            )
            await self._wait(CALM_TIME)
        for task in tasks:
            task.cancel()

    async def _call(self, daemon: DaemonProcess) -> None:
        """Keep a connection on which several requests are sent at once."""
        pause = PIPELINED * len(self.fleet.daemons) / REQUEST_RATE
        numbers = itertools.count()
        while True:
            await asyncio.sleep(pause)
            # A daemon may be killed.
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', daemon.ports[0]
                )
                reading = asyncio.create_task(reader.read())
                while not reading.done():
                    for number in itertools.islice(numbers, PIPELINED):
                        writer.write(self._request(daemon, number))
                    await asyncio.sleep(pause)
                writer.transport.abort()
                await reading

    def _request(self, daemon: DaemonProcess, number: int) -> bytes:
        name = f'{daemon.name}-{number}'
        self._daemon_by_request[name] = daemon
        path, host = PATH_PREFIX, self._random.choice(self._operator.hosts)
        key = ''
        if self._has_owners and self._random.random() < KEYED_PART:
            path, host = '/lookup/', FIRST_HOST
            key = f'Shard-Key: {self._random.randrange(KEY_COUNT)}\r\n'
        return (
            f'GET {path}{name} HTTP/1.1\r\nHost: {host}\r\n{key}'
            f'Attempt-Id: {name}\r\nDeadline-Ms: 5000\r\n\r\n'
        ).encode()

    async def _hinder(self, fault: str, stopped: set[str]) -> None:
        """Have a fault for a time; the daemons that it stops are `stopped`."""
        fleet, pace = self.fleet, self.fleet.store.pace
        half = self._random.sample(fleet.daemons, len(fleet.daemons) // 2)
        harmed = fleet.store_disruptions
        match fault:
            case 'leader':
                with fleet.store_refusals.lasting():
                    await self._lose_leader()
            case 'slow':
                pace.slowness.delays = SLOW_TIMES
                with harmed.lasting():
                    await self._wait(FAULT_TIME)
                pace.slowness.delays = (0, 0)
            case 'silent':
                pace.standstill.begin()
                with harmed.lasting():
                    await self._wait(FAULT_TIME)
                await pace.standstill.end()
            case 'stop':
                stopped.update(one.name for one in half[::2])
                self._send(half[::2], signal.SIGSTOP)
                await self._wait(self._random.choice(PAUSES))
                self._send(half[::2], signal.SIGCONT)
            case 'share':
                stopped.update(one.name for one in half)
                ends_at = time.monotonic() + FAULT_TIME
                while time.monotonic() < ends_at:
                    await asyncio.sleep(SHARES[0])
                    self._send(half, signal.SIGSTOP)
                    await asyncio.sleep(SHARES[1])
                    self._send(half, signal.SIGCONT)
            case _:
                with contextlib.ExitStack() as stack:
                    if fault in {'links', *FURTHER_FAULTS}:
                        for one in fleet.daemons:
                            stack.enter_context(one.resets.lasting())
                    if fault in FURTHER_FAULTS:
                        dropped = datagrams_dropped(_pids(half), self._ports())
                        self.cut_sockets += sum(stack.enter_context(dropped))
                    await self._wait(FAULT_TIME, fault, half)

    def _send(
        self, daemons: list[DaemonProcess], signal_number: signal.Signals
    ) -> None:
        for one in daemons:
            one.send(signal_number)

    async def _lose_leader(self) -> None:
        """Kill the leader, and let none take over for a time."""
        refusal = CallFault(CallOutcome.refused, (COMMIT_PATH,), None)
        self.fleet.store.call_faults.append(refusal)
        leader = self.fleet.leader()
        if leader is not None and leader.store_proxy is not None:
            leader.send(signal.SIGKILL)
            await leader.wait_for_exit()
            await leader.start(leader.store_proxy)
        await self._wait(FAULT_TIME)
        self.fleet.store.call_faults.clear()

    async def _wait(
        self,
        duration: float,
        fault: str = '',
        half: Collection[DaemonProcess] = (),
    ) -> None:
        """Wait, and take the steps of a fault."""
        ends_at = time.monotonic() + duration
        while (due_at := time.monotonic() + STEP) < ends_at:
            if fault == 'history':
                self.fleet.store.rows.truncate_history()
            if fault in {'links', 'cut'}:
                await asyncio.to_thread(
                    silence_links, _pids(half), self._ports()
                )
            await asyncio.sleep(STEP)
            self.lateness = max(self.lateness, time.monotonic() - due_at)

    def report(self) -> list[str]:
        """Return lines for each fault."""
        return report_lines(self.fleet, self.leaving, self._spans)

    def _ports(self) -> set[int]:
        """Return the ports at which daemons hear each other."""
        return {one.ports[2] for one in self.fleet.daemons}


def _pids(daemons: Collection[DaemonProcess]) -> list[int]:
    return [one.pid for one in daemons if one.pid is not None]


async def _measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    run = DrainRun(
        folder,
        options.daemons,
        options.seed,
        options.other.resolve() if options.other else None,
        has_owners=options.owners,
    )
    try:
        await run.run(options.faults, options.rounds)
        lines = [*run.report(), *run.leaving.violations()]
    finally:
        await run.fleet.stop()
        await run.leaving.stop()
    counts = dict(run.leaving.arrivals_by_service())
    lines.append(
        f'late by {run.lateness:.2f} s itself, load {os.getloadavg()[0]:.0f},'
        f' datagrams dropped at {run.cut_sockets}, requests {counts},'
        f' logs in {folder}'
    )
    sys.stdout.write('\n'.join((*lines, '')))


def main() -> None:
    """Run one fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--daemons', type=int, default=9)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument(
        '--faults',
        nargs='+',
        choices=(*FAULTS, *FURTHER_FAULTS),
        default=FAULTS,
    )
    parser.add_argument('--owners', action='store_true')
    parser.add_argument('--other', type=pathlib.Path)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix='drain-'))
    asyncio.run(_measure(options, folder))


if __name__ == '__main__':
    main()
