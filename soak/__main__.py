"""Run a soak test: `make soak SEED=1 SECONDS=30`."""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable, Collection

from soak.callers import Callers
from soak.changes import Operator, RouteCallers
from soak.connections import ConnectionCallers
from soak.faults import FaultInjector
from soak.fleet import KEYED_TARGET_COUNT, SoakFleet
from soak.judging import ConfigurationJudge
from soak.leaders import LeaderJudge, LeaderWatch
from soak.leaving import LeavingTargets
from soak.ownership_watch import OwnershipWatch
from soak.service_watch import ServiceWatch

#: All keys must be served again within this time after the last fault, in
#: seconds: 3 s to recover from a fault, after up to 15 s in which an earlier
#: leader may still renew its grants.
RECOVERY_TIMEOUT = 3.0 + 15.0
#: All keys must be served within this time after the start, in seconds.
START_TIMEOUT = 15.0
#: Interval between checks that no key has two owners, in seconds.
OWNER_CHECK_INTERVAL = 0.05
#: Starts of the lines about daemons that are violations.
VIOLATIONS = (
    'link_rubbish',
    'invariant_broken',
    'exception_unhandled',
    'task_failed',
    'traceback',
    'loop_blocked',
)
#: Lateness of this process that is logged, in seconds.
MAX_OWN_LATENESS = 0.25


async def soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    daemons: int,
    other: pathlib.Path | None = None,
    faults: Collection[str] = (),
    owners: int = KEYED_TARGET_COUNT,
) -> tuple[Callers, FaultInjector]:
    """Run one soak test; some daemons run the build of the checkout `other`.

    Returns the callers, which hold all violations, and the injector, which
    holds the log of its faults.
    """
    fleet = SoakFleet(folder, daemons, other=other, owners=owners)
    callers = Callers(fleet, seed)
    connections = ConnectionCallers(callers, seed)
    judge = ConfigurationJudge()
    operator = Operator(fleet, judge, seed)
    route_callers = RouteCallers(fleet, operator, judge, seed)
    leaving = LeavingTargets(fleet, route_callers, seed)
    leader_judge = LeaderJudge()
    watch = LeaderWatch(fleet, leader_judge)
    service_watch = ServiceWatch(fleet, watch)
    callers.note_key_request = service_watch.note
    ownership = OwnershipWatch(fleet)
    fleet.key_watch = ownership
    injector = FaultInjector(
        fleet, seed, operator.change, faults, service_watch.keys
    )
    by_name = {one.name: one for one in fleet.daemons}
    judge.describe = lambda name, at: watch.describe(by_name[name], at)
    leaving.describe = watch.describe
    own_lateness = [0.0]
    await fleet.start()
    try:
        await leaving.start()
        operator.start()
        if not await callers.wait_until_served(START_TIMEOUT):
            callers.violations.append('keys were not served after the start')
        tasks = [
            asyncio.create_task(callers.run()),
            asyncio.create_task(connections.run(fleet.daemons)),
            asyncio.create_task(_check_owners_periodically(callers)),
            asyncio.create_task(operator.run()),
            asyncio.create_task(route_callers.run()),
            asyncio.create_task(leaving.run()),
            asyncio.create_task(watch.run()),
            asyncio.create_task(service_watch.run()),
            asyncio.create_task(ownership.run()),
            asyncio.create_task(
                _watch_own_loop(own_lateness, injector.log_event)
            ),
        ]
        await injector.run(seconds)
        if not await callers.wait_until_served(RECOVERY_TIMEOUT):
            callers.violations.append(
                'keys were not served after the last fault'
            )
        await injector.check_changes()
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                # Raises the exception of a task that has failed.
                await task
        callers.check_runs()
        callers.check_shares()
        callers.violations.extend(injector.violations)
        judge.check_shares()
        judge.check_times()
        # These come first, since only some lines of each run are printed.
        callers.violations[:0] = (
            *ownership.violations(),
            *judge.violations,
            *leaving.violations(),
            *watch.violations(),
            *service_watch.violations(),
        )
        injector.events.extend((*watch.events, *judge.stretched))
        injector.events.extend((*operator.events, *leaving.events))
        injector.events.extend(judge.late_answers)
        injector.events.append(_clock_line())
        injector.events.sort(key=_time_of_event)
        lines = (*injector.events, *callers.violations)
        (folder / 'events.txt').write_text('\n'.join(lines))
        callers.outcome_counts['judged routes'] = judge.judged_count
        callers.outcome_counts['beyond time limits'] = judge.overdue_count
        callers.outcome_counts['without an answer in time'] = len(
            judge.late_answers
        )
        callers.outcome_counts['own lateness, ms'] = int(
            max(own_lateness) * 1000
        )
        callers.outcome_counts['on split routes'] = judge.split_count
        callers.outcome_counts['versions'] = len(judge.versions)
        callers.outcome_counts['at leaving targets'] = (
            leaving.arrivals_while_leaving()
        )
        callers.outcome_counts['oldest version, ms'] = int(
            judge.greatest_age * 1000
        )
        callers.outcome_counts['late while the store refuses'] = len(
            judge.stretched
        )
        callers.outcome_counts['oldest while the store refuses, ms'] = int(
            judge.greatest_stretched_age * 1000
        )
        callers.outcome_counts['without a leader, ms'] = int(
            leader_judge.longest * 1000
        )
        callers.outcome_counts['without a leader or a fault, ms'] = int(
            watch.recovery.longest * 1000
        )
        callers.outcome_counts['oldest tables without a leader, ms'] = int(
            watch.tables.oldest * 1000
        )
        callers.outcome_counts['two leaders, ms'] = int(
            leader_judge.longest_shared * 1000
        )
        _count_service(service_watch, callers)
        for kind, count in ownership.judge.counts.items():
            callers.outcome_counts[f'OWNER, {kind}'] = count
        _check_messages(fleet, callers)
    finally:
        await fleet.stop()
        await leaving.stop()
    return callers, injector


def _clock_line() -> str:
    """Return a line that tells the time of the logs from that of events."""
    now = asyncio.get_running_loop().time()
    return f'{now:.2f} is {time.time():.2f} in the logs'


def _time_of_event(event: str) -> float:
    return float(event.partition(' ')[0])


async def _check_owners_periodically(callers: Callers) -> None:
    while True:
        callers.check_owners()
        await asyncio.sleep(OWNER_CHECK_INTERVAL)


async def _watch_own_loop(
    lateness: list[float], log_event: Callable[[str], None]
) -> None:
    """Keep how late this process, which runs the store and targets, was."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + OWNER_CHECK_INTERVAL
        await asyncio.sleep(OWNER_CHECK_INTERVAL)
        late_by = loop.time() - due_at
        if late_by > MAX_OWN_LATENESS:
            log_event(f'the store and the targets were late by {late_by:.2f} s')
        lateness[0] = max(lateness[0], late_by)


def _count_service(watch: ServiceWatch, callers: Callers) -> None:
    """Count what the judges of keys and added routes have seen."""
    counts = callers.outcome_counts
    counts['losses of keys'] = watch.keys.loss_count
    counts['losses with an excuse'] = watch.keys.excused_count
    counts['keys without service, ms'] = int(watch.keys.longest * 1000)
    counts['on added keyed routes'] = watch.routes.added_count
    counts['for replaced targets'] = watch.misdirection_count()


def _check_messages(fleet: SoakFleet, callers: Callers) -> None:
    """Count log lines; a fault of the program is a violation."""
    for daemon in fleet.daemons:
        for line, count in daemon.message_faults().items():
            callers.outcome_counts[line] += count
            if line.startswith(VIOLATIONS):
                callers.violations.append(f'{daemon.name}: {count} x {line}')


def main() -> int:
    """Run one soak test per seed and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--daemons', type=int, default=3)
    parser.add_argument('--owners', type=int, default=KEYED_TARGET_COUNT)
    parser.add_argument(
        '--other', type=pathlib.Path, help='the checkout of another build'
    )
    parser.add_argument(
        '--faults', nargs='+', default=(), help='names of faults, or none'
    )
    options = parser.parse_args()
    other = options.other.resolve() if options.other else None
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        callers, injector = asyncio.run(
            soak(
                folder,
                seed,
                options.seconds,
                options.daemons,
                other,
                options.faults,
                options.owners,
            ),
        )
        outcome_counts = dict(callers.outcome_counts.most_common())
        sys.stdout.write(f'seed {seed}: {outcome_counts}, logs in {folder}\n')
        if callers.violations:
            failed += 1
            for line in (*injector.events, *callers.violations[:20]):
                sys.stdout.write(f'  {line}\n')
    sys.stdout.write(f'{options.runs - failed} runs passed, {failed} failed\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
