"""Measure for how long requests reach targets that have said that they leave.

`python -m tests.drain --daemons 9 --seed 1 --rounds 3` has targets leave beside
each fault in turn. Callers keep connections with several requests in the pipe.
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Collection

from soak.changes import PATH_PREFIX, Operator, RouteCallers
from soak.daemon_logs import lines_of
from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import DRAIN_BOUND, ConfigurationJudge
from soak.leaving import LeavingTargets
from soak.peer_links import silence_links
from soak.store_troubles import SLOW_TIMES
from standins.call_faults import COMMIT_PATH, CallFault, CallOutcome

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
#: Time before a fault in which notices are told apart, in seconds.
NOTICE_TIME = 1.0
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
#: The lines by which a daemon learns that a target leaves, with its state.
NEWS = {'target_gone': '', 'target_leaving': '', 'target_seen': 'draining'}


class DrainRun:
    """A fleet whose targets leave one after another, beside faults."""

    def __init__(self, folder: pathlib.Path, daemons: int, seed: int) -> None:
        self.fleet = SoakFleet(folder, daemons)
        judge = ConfigurationJudge()
        self._operator = Operator(self.fleet, judge, seed)
        callers = RouteCallers(self.fleet, self._operator, judge, seed)
        self._daemon_by_request = callers.daemon_by_request
        self.leaving = LeavingTargets(self.fleet, callers, seed)
        self.leaving.intervals = LEAVE_INTERVALS
        self._random = random.Random(seed)
        #: Each fault with its beginning, end and the daemons stopped, by the
        #: loop's clock.
        self._spans: list[tuple[str, float, float, set[str]]] = []
        #: How late this process was, which runs the store and targets.
        self.lateness = 0.0

    async def run(self, rounds: int) -> None:
        """Have each fault some times."""
        await self.fleet.start()
        await self.leaving.start()
        self._operator.start()
        tasks = [
            asyncio.create_task(self._call(one)) for one in self.fleet.daemons
        ]
        await asyncio.sleep(START_TIME)
        tasks.append(asyncio.create_task(self.leaving.run()))
        for _, fault in itertools.product(range(rounds), FAULTS):
            begun_at, stopped = time.monotonic(), set[str]()
            await self._hinder(fault, stopped)
            self._spans.append((fault, begun_at, time.monotonic(), stopped))
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
        host = self._random.choice(self._operator.hosts)
        return (
            f'GET {PATH_PREFIX}{name} HTTP/1.1\r\nHost: {host}\r\n'
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
                    if fault == 'links':
                        for one in fleet.daemons:
                            stack.enter_context(one.resets.lasting())
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
        ports = {one.ports[2] for one in self.fleet.daemons}
        ends_at = time.monotonic() + duration
        while (due_at := time.monotonic() + STEP) < ends_at:
            if fault == 'history':
                self.fleet.store.rows.truncate_history()
            if fault == 'links':
                pids = [one.pid for one in half if one.pid is not None]
                await asyncio.to_thread(silence_links, pids, ports)
            await asyncio.sleep(STEP)
            self.lateness = max(self.lateness, time.monotonic() - due_at)

    def report(self) -> list[str]:
        """Return lines for each fault.

        They tell when the last request of each daemon came to each target
        after its notice, when the daemon knew, and what told it.
        """
        last_by_row: dict[str, dict[str, list[float]]] = {}
        known_by_row: dict[str, list[float]] = {}
        told_by_row: dict[str, Counter[str]] = {}
        news = {one.name: _news(one) for one in self.fleet.daemons}
        for leaving in self.fleet.leavings:
            since = leaving.notified_at
            last = self.leaving.last_arrivals(leaving)
            fault, stopped = self._fault_at(since)
            for name, news_by_target in news.items():
                row = f'{fault}, itself' if name in stopped else fault
                last_by_row.setdefault(row, {}).setdefault(name, []).append(
                    last.get(name, since) - since
                )
                source, known_at = news_by_target.get(
                    leaving.target_id, ('nothing', since)
                )
                known_by_row.setdefault(row, []).append(known_at - since)
                told_by_row.setdefault(row, Counter())[source] += 1
        lines = []
        for row, last_by_daemon in sorted(last_by_row.items()):
            last_times = list(itertools.chain(*last_by_daemon.values()))
            late = sum(one > DRAIN_BOUND for one in last_times)
            longest = sorted(map(max, last_by_daemon.values()))
            lines += [
                f'{row}: last arrival {_spread(last_times)}, {late} late,'
                f' {sum(map(bool, last_times))} with one; longest by daemon'
                f' {longest[0]:.2f} to {longest[-1]:.2f}',
                f'    known {_spread(known_by_row[row])}, by'
                f' {dict(told_by_row[row].most_common())}',
            ]
        return lines

    def _fault_at(self, moment: float) -> tuple[str, set[str]]:
        """Return the fault beside a notice, and the daemons it stopped."""
        for fault, begun_at, ended_at, stopped in self._spans:
            if begun_at <= moment <= ended_at:
                return fault, stopped
            if begun_at - NOTICE_TIME <= moment < begun_at:
                return f'{fault}, before', stopped
        return 'calm', set()


def _spread(times: list[float]) -> str:
    """Return the number of times, and how they are spread, in seconds."""
    high = sorted(times)[int(len(times) * 0.99)]
    return (
        f'{len(times)} pairs, median {statistics.median(times):.3f}, p99'
        f' {high:.2f}, max {max(times):.2f}'
    )


def _news(daemon: DaemonProcess) -> dict[str, tuple[str, float]]:
    """Return what told a daemon first that a target leaves, and when."""
    news: dict[str, tuple[str, float]] = {}
    ahead = time.time() - time.monotonic()
    for fields in lines_of(daemon.log):
        if NEWS.get(fields.get('name', '')) == fields.get('state', ''):
            source = fields['learned_from'].partition(' at ')[0]
            if fields['name'] == 'target_leaving' and source != 'an answer':
                source = f'an answer, by {source}'
            news.setdefault(fields['target'], (source, fields['time'] - ahead))
    return news


async def _measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    run = DrainRun(folder, options.daemons, options.seed)
    try:
        await run.run(options.rounds)
        lines = [*run.report(), *run.leaving.violations()]
    finally:
        await run.fleet.stop()
        await run.leaving.stop()
    lines.append(
        f'late by {run.lateness:.2f} s itself, load {os.getloadavg()[0]:.0f},'
        f' logs in {folder}'
    )
    sys.stdout.write('\n'.join((*lines, '')))


def main() -> None:
    """Run one fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--daemons', type=int, default=9)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=3)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix='drain-'))
    asyncio.run(_measure(options, folder))


if __name__ == '__main__':
    main()
