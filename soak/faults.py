"""Faults that a soak test injects, chosen at random from its seed."""

import asyncio
import itertools
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable, Collection, Coroutine
from http import HTTPStatus
from typing import Any

import aiohttp

from soak.fleet import CUTTING_MODES, DaemonProcess, SoakFleet
from soak.hard_faults import HardFaults
from soak.owner_faults import OwnerFaults
from soak.proxy import ProxyMode
from soak.restart_faults import RestartFaults
from soak.service_judging import KeyServiceJudge
from soak.store_faults import StoreFaults
from soak.store_troubles import StoreTroubles
from standins.crashes import CrashPlan
from standins.keyed_target import TargetServer
from tests.replay_helpers import (
    LIMIT_STABLE_TIME,
    LIMIT_WINDOW,
    allowed_requests,
    most_in_one_second,
    most_in_span,
)

#: Range of the duration of a fault, in seconds.
MIN_FAULT_DURATION = 0.5
MAX_FAULT_DURATION = 4.0
#: Range of the time between the starts of two faults, in seconds. Faults
#: overlap, since most of them last longer.
FAULT_INTERVALS = (0.3, 1.5)
#: Times between the acknowledgement of a change and the end of a leader that
#: may have read it, in seconds.
NEWS_TIMES = (0.0, 0.002, 0.02)
#: A daemon must exit within this time after a signal, in seconds: the grace
#: period of the settings, the longest suspension of a process, and a margin of
#: 1 s.
MAX_STOP_DURATION = 6.0 + MAX_FAULT_DURATION + 1.0
#: Longest time for which daemons are cut off from targets, in seconds.
MAX_CUT_DURATION = 5.0
#: Number of cuts in a series, and range of their lengths and of the pauses
#: between them, in seconds.
SERIES_LENGTH = 3
SERIES_INTERVALS = (0.1, 0.8)
CUT_MODES = (*CUTTING_MODES, ProxyMode.reset, ProxyMode.lossy)
#: How long a target stays cold, in seconds.
COLD_DURATION = 3.0
#: Time after which a change of a target is known to all daemons, in seconds.
CHANGE_DELAY = 0.5
#: Requests that a cold target may get in one second: 1.5 times the 12 of the
#: configuration, and the platform's allowance.
MAX_COLD_REQUESTS = 1.5 * 12 + 5
#: Limits that targets name, in requests per second.
NAMED_LIMITS = (0.5, 2.4, 8.0)
#: How long a limit is named for the check, in seconds.
LIMIT_DURATION = LIMIT_STABLE_TIME + LIMIT_WINDOW + 1.0
#: Answers that a target breaks off within their head.
CUT_HEADS = 3
#: Routes added to the configuration at once.
ADDED_ROUTES = 1400
#: A change of the configuration must be in force within this time, in seconds.
MAX_CHANGE_TIME = 6.0
#: Bounds on changes hold for daemons that were not disrupted for this long
#: before, in seconds.
CALM_DURATION = 3.0


#: A request that crashes the targets of a service: how long and how often it is
#: sent, how long they are away, and when their entries go, in seconds.
CRASHING_SERVICE = 'issuance'
CRASHING_PATH = '/issue/fatal'
CRASHING_DURATION = 12.0
CRASHING_INTERVAL = 0.2
CRASH_DURATION = 2.0
ENTRY_DURATION = 1.0
#: Crashes until it is sent no more, and sends that may follow.
MAX_CRASHES = 3
#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)


#: The daemons that are replaced at the same time by those of another build, as
#: a part of all.
REPLACED_PART = 1 / 4


class FaultInjector:
    """Starts random faults and ends them."""

    def __init__(
        self,
        fleet: SoakFleet,
        seed: int,
        change: Callable[[], None],
        chosen: Collection[str],
        keys: KeyServiceJudge,
    ) -> None:
        """Prepare the faults; `run` injects them.

        `change` writes a configuration. The names of the faults are `chosen`,
        by default all of them. Keys whose owners end are reported to `keys`.
        """
        self._fleet = fleet
        self._change = change
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        #: Names of the daemons that are being restarted.
        self._restarting: set[str] = set()
        self.events: list[str] = []
        self.violations: list[str] = []
        parts = (fleet, self._random, self.log_event, self._kill_all)
        self.store_faults = StoreFaults(*parts)
        self.store_troubles = StoreTroubles(*parts)
        self.hard_faults = HardFaults(*parts)
        self.hard_faults.change = change
        self.restart_faults = RestartFaults(
            fleet, self._random, self.log_event, self._restart
        )
        owners = OwnerFaults(fleet, self._random, self.log_event, keys)
        self._faults: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._kill,
            self._stop_gracefully,
            self._suspend,
            self._reload,
            self._disrupt_store_of_daemon,
            self._disrupt_store,
            self._disrupt_target,
            self._drain_target,
            self._restart_target,
            self._chill_target,
            self._limit_target,
            self._spoil_answers,
            self._add_routes,
            self._cut_off,
            self._cut_off_in_series,
            self._kill_informed_leader,
            self._discard_history,
            self.store_faults.spoil_commits,
            self.store_faults.cut_answers,
            self.store_faults.refuse_calls,
            self.store_faults.hinder_one,
            self.store_troubles.answer_newest,
            self.store_troubles.change_pace,
            self.store_troubles.follow_in_series,
            self.store_troubles.lose_writes,
            self.hard_faults.stop_leader,
            self.hard_faults.kill_all_informed,
            self.hard_faults.silence_connections,
            self.hard_faults.crowd_cores,
            self.restart_faults.roll,
            self.restart_faults.power_loss,
            self.restart_faults.restart_leader,
            owners.replace_by_owners,
            owners.replace_by_others,
            owners.restart_owners,
        )
        if chosen:
            by_name = {one.__name__.lstrip('_'): one for one in self._faults}
            self._faults = tuple(
                by_name[name] for name in chosen if name != 'none'
            )

    async def run(self, seconds: float) -> None:
        """Start faults for a number of seconds, then wait until all end."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        self.store_faults.ends_at = self.hard_faults.ends_at = deadline
        self.store_troubles.ends_at = self.restart_faults.ends_at = deadline
        if len(set(self._fleet.checkouts)) > 1:
            self._tasks.add(asyncio.ensure_future(self._replace_build()))
        while loop.time() < deadline:
            await asyncio.sleep(self._random.uniform(*FAULT_INTERVALS))
            if not self._faults:
                continue
            fault = self._random.choice(self._faults)
            task = asyncio.ensure_future(fault())
            self._tasks.add(task)
        # An exception in a fault is raised here and fails the soak test.
        await asyncio.gather(*self._tasks)

    async def check_changes(self) -> None:
        """Check the bounds on changes, which hold for undisrupted daemons."""
        for daemon in self._fleet.daemons:
            if daemon.exit_status is not None:
                self.violations.append(
                    f'{daemon.name} ended by itself with status'
                    f' {daemon.exit_status}'
                )
        await asyncio.sleep(CALM_DURATION)
        by_service = {one.service: one for one in self._fleet.targets}
        await asyncio.gather(
            self._check_added_route(),
            *map(self._check_cold_target, by_service.values()),
        )
        await asyncio.gather(
            *map(self._check_limited_target, by_service.values()),
        )
        if len(set(self._fleet.checkouts)) == 1:
            await self._check_crashing_request()

    def log_event(self, event: str) -> None:
        """Keep a line on what happened now."""
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {event}')

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(
            self._random.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION)
        )

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL, self._choose_daemon())

    async def _stop_gracefully(self) -> None:
        await self._restart(signal.SIGTERM, self._choose_daemon())

    async def _kill_informed_leader(self) -> None:
        """Kill the leader between a change and its news to the others."""
        leader = self._fleet.leader()
        if leader is None:
            return
        self._change()
        await asyncio.sleep(self._random.choice(NEWS_TIMES))
        self.log_event(f'the leader {leader.name} is killed with news')
        await self._restart(signal.SIGKILL, leader)

    async def _discard_history(self) -> None:
        """Discard the store's history, at times before a change is read."""
        if self._random.random() < 0.5:
            self._change()
        self.log_event('the store discards its history')
        self._fleet.store.rows.truncate_history()

    async def _restart(
        self,
        signal_number: signal.Signals,
        daemon: DaemonProcess,
        down_time: float = 0,
    ) -> None:
        if daemon.name in self._restarting or daemon.store_proxy is None:
            return
        self._restarting.add(daemon.name)
        self.log_event(f'{signal_number.name} {daemon.name}')
        # A suspended process does not handle SIGTERM until it is resumed.
        daemon.send(signal.SIGCONT)
        started = asyncio.get_running_loop().time()
        daemon.send(signal_number)
        status = await daemon.wait_for_exit()
        duration = asyncio.get_running_loop().time() - started
        self.log_event(
            f'{daemon.name} exited with status {status} after {duration:.1f} s'
        )
        if status not in (0, -signal.SIGKILL):
            self.violations.append(f'{daemon.name} exited with status {status}')
        if duration > MAX_STOP_DURATION:
            self.violations.append(
                f'{daemon.name} took {duration:.1f} s to exit'
            )
        await asyncio.sleep(down_time)
        await daemon.start(daemon.store_proxy)
        self._restarting.discard(daemon.name)

    async def _kill_all(self, daemons: Collection[DaemonProcess]) -> None:
        await asyncio.gather(
            *(self._restart(signal.SIGKILL, one) for one in daemons)
        )

    async def _replace_build(self) -> None:
        """Replace all daemons by those of one build, some at a time."""
        await self._wait_fault_duration()
        checkout = self._random.choice(self._fleet.checkouts)
        count = max(1, int(len(self._fleet.daemons) * REPLACED_PART))
        replaced = [
            one for one in self._fleet.daemons if one.checkout != checkout
        ]
        for start in range(0, len(replaced), count):
            await asyncio.gather(
                *(
                    self._replace(one, checkout)
                    for one in replaced[start : start + count]
                )
            )

    async def _replace(
        self, daemon: DaemonProcess, checkout: pathlib.Path
    ) -> None:
        daemon.checkout = checkout
        self.log_event(f'{daemon.name} is replaced from {checkout.name}')
        await self._restart(signal.SIGTERM, daemon)

    async def _suspend(self) -> None:
        daemon = self._choose_daemon()
        self.log_event(f'STOP {daemon.name}')
        daemon.send(signal.SIGSTOP)
        await self._wait_fault_duration()
        daemon.send(signal.SIGCONT)
        self.log_event(f'CONT {daemon.name}')

    async def _reload(self) -> None:
        self._choose_daemon().send(signal.SIGHUP)

    async def _disrupt_store_of_daemon(self) -> None:
        daemon = self._choose_daemon()
        if daemon.store_proxy is not None:
            daemon.mark_disrupted()
            await self._disrupt(
                daemon.store_proxy.set_mode, f'store of {daemon.name}'
            )

    async def _disrupt_store(self) -> None:
        store = self._fleet.store
        self._fleet.store_disruptions.begin()
        if self._random.random() < 0.5:
            self.log_event('store drops responses')
            store.drops_responses = True
        else:
            self.log_event('store refuses calls')
            store.error_status = self._random.choice((429, 503))
            self._fleet.outages.begin()
        await self._wait_fault_duration()
        store.drops_responses = False
        store.error_status = None
        self._fleet.outages.end()
        self._fleet.store_disruptions.end()
        self.log_event('store is healthy')

    async def _disrupt_target(self) -> None:
        target = self._choose_target()
        await self._disrupt(
            lambda mode: self._fleet.set_target_mode(target.target_id, mode),
            target.target_id,
        )

    async def _drain_target(self) -> None:
        target = self._choose_target()
        self.log_event(f'{target.target_id} drains')
        self._fleet.publish_target(target, 'draining')
        await self._wait_fault_duration()
        self._fleet.publish_target(target)

    async def _cut_off(self) -> None:
        """Cut daemons off from all targets, at times from half of them."""
        daemons = self._choose_group()
        target_ids = [one.target_id for one in self._fleet.targets]
        if self._random.random() < 0.7:
            target_ids = []
        else:
            self._random.shuffle(target_ids)
        mode = self._random.choice(CUT_MODES)
        half = target_ids[: len(target_ids) // 2]
        names = ' '.join(one.name for one in daemons)
        self.log_event(f'{names}: {mode.value} to {half or "all targets"}')
        await self._fleet.cut(daemons, mode, half)
        await asyncio.sleep(
            self._random.uniform(MIN_FAULT_DURATION, MAX_CUT_DURATION)
        )
        await self._fleet.heal(daemons)
        self.log_event(f'{names}: a cut ends')

    async def _cut_off_in_series(self) -> None:
        """Cut a daemon off from all targets again and again, for moments."""
        daemons = [self._choose_daemon()]
        mode = self._random.choice(CUT_MODES)
        self.log_event(f'{daemons[0].name}: {mode.value} in series')
        for _ in range(SERIES_LENGTH):
            await self._fleet.cut(daemons, mode)
            await asyncio.sleep(self._random.uniform(*SERIES_INTERVALS))
            await self._fleet.heal(daemons)
            await asyncio.sleep(self._random.uniform(*SERIES_INTERVALS))

    async def _restart_target(self) -> None:
        target = self._choose_target()
        self.log_event(f'{target.target_id} restarts')
        target.simulate_restart()
        await self._fleet.set_target_mode(target.target_id, ProxyMode.reset)
        await asyncio.sleep(self._random.uniform(0, 1))
        await self._fleet.set_target_mode(
            target.target_id, ProxyMode.forwarding
        )
        self._fleet.publish_target(target)

    async def _chill_target(self) -> None:
        target = self._choose_target()
        self.log_event(f'{target.target_id} is cold')
        self._fleet.publish_target(target, cold_ms=COLD_DURATION * 1000)
        await asyncio.sleep(COLD_DURATION)

    async def _limit_target(self) -> None:
        target = self._choose_target()
        target.faults.named_limit = self._random.choice(NAMED_LIMITS)
        self.log_event(
            f'{target.target_id} names a limit of {target.faults.named_limit}'
        )
        await self._wait_fault_duration()
        target.faults.named_limit = None
        self.log_event(f'{target.target_id} names no limit')

    async def _spoil_answers(self) -> None:
        """Have a target repeat refusals and break answers off."""
        target = self._choose_target()
        self.log_event(f'{target.target_id} spoils answers')
        # Its connections are kept, so that each has a refusal to repeat.
        target.faults.shed_status = 503
        await asyncio.sleep(MIN_FAULT_DURATION)
        target.faults.shed_status = None
        target.faults.repeats_refusals = True
        target.faults.cut_heads_left = CUT_HEADS
        await self._wait_fault_duration()
        target.faults.repeats_refusals = False
        target.faults.cut_heads_left = 0
        self.log_event(f'{target.target_id} spoils no more answers')

    async def _add_routes(self) -> None:
        self.log_event(f'{ADDED_ROUTES} routes are added')
        self._fleet.add_routes(ADDED_ROUTES)

    async def _check_cold_target(self, target: TargetServer) -> None:
        """Check that a target that becomes cold gets no more than it takes."""
        loop = asyncio.get_running_loop()
        known_from = loop.time() + CHANGE_DELAY
        self._fleet.publish_target(target, cold_ms=COLD_DURATION * 1000)
        await asyncio.sleep(COLD_DURATION)
        ends_at = loop.time()
        most = most_in_one_second(
            [at for at in target.work.received_at if known_from <= at < ends_at]
        )
        self.log_event(f'cold {target.target_id} got {most} in one second')
        if most > MAX_COLD_REQUESTS:
            self.violations.append(
                f'cold {target.target_id} got {most} requests in one second'
            )

    async def _check_limited_target(self, target: TargetServer) -> None:
        """Check that a target gets no more than the limit it names allows."""
        limit = self._random.choice(NAMED_LIMITS)
        judged_from = asyncio.get_running_loop().time() + LIMIT_STABLE_TIME
        target.faults.named_limit = limit
        await asyncio.sleep(LIMIT_DURATION)
        target.faults.named_limit = None
        arrivals = [at for at in target.work.received_at if at >= judged_from]
        most = most_in_span(arrivals, LIMIT_WINDOW)
        self.log_event(
            f'{target.target_id}, limited to {limit} a second, got {most} in'
            f' {LIMIT_WINDOW:g} s'
        )
        if most > allowed_requests(limit):
            self.violations.append(
                f'{target.target_id} got {most} requests in {LIMIT_WINDOW:g} s'
                f' beyond its limit of {limit} a second'
            )

    async def _check_crashing_request(self) -> None:
        """Check that a request which crashes targets is soon sent no more."""
        loop = asyncio.get_running_loop()
        by_id = {
            one.target_id: one
            for one in self._fleet.targets
            if one.service == CRASHING_SERVICE
        }
        plan = CrashPlan(CRASHING_PATH, down_time=CRASH_DURATION, keeps_id=True)
        plan.on_end = lambda name: loop.call_later(
            ENTRY_DURATION, self._fleet.store.delete, 'servers', name
        )
        plan.on_return = lambda name: self._fleet.publish_target(by_id[name])
        for target in by_id.values():
            target.work.crash_plan = plan
        ends_at = loop.time() + CRASHING_DURATION
        not_run: set[str] = set()
        for number in itertools.count():
            if loop.time() >= ends_at:
                break
            request_id = f'crash-{number}'
            if await self._send_crashing(request_id) in NOT_RUN_STATUSES:
                not_run.add(request_id)
            await asyncio.sleep(CRASHING_INTERVAL)
        later = plan.sends_after(MAX_CRASHES, CALM_DURATION)
        self.log_event(
            f'{number} requests crashed {len(plan.crashed_at)} targets, {later}'
            f' sends over {CALM_DURATION:g} s after the third'
        )
        if later > MAX_CRASHES:
            self.violations.append(
                f'a request was sent {later} times after three crashes'
            )
        ran = {arrival.request_id for arrival in plan.arrivals}
        for request_id in not_run & ran:
            self.violations.append(f'{request_id} crashed a target, and 503')
        await asyncio.sleep(CRASH_DURATION)
        await plan.stop()

    async def _send_crashing(self, request_id: str) -> int | None:
        """Send the request to some daemon; return the status, if any."""
        daemon = self._choose_daemon()
        headers = {
            'Host': f'{CRASHING_SERVICE}.example',
            'Attempt-Id': request_id,
            'Deadline-Ms': '1000',
        }
        async with aiohttp.ClientSession() as session:
            try:
                async with session.get(
                    f'{daemon.url}{CRASHING_PATH}', headers=headers
                ) as response:
                    return response.status
            except aiohttp.ClientError as error:
                self.violations.append(f'{daemon.name}: {error!r}')
        return None

    async def _check_added_route(self) -> None:
        """Check that a route of a large configuration is in force in time."""
        host = self._fleet.add_routes(ADDED_ROUTES)
        await asyncio.sleep(MAX_CHANGE_TIME)
        async with aiohttp.ClientSession() as session:
            for daemon in self._fleet.daemons:
                try:
                    async with session.get(
                        f'{daemon.url}/lookup/x', headers={'Host': host}
                    ) as response:
                        status = response.status
                except aiohttp.ClientError as error:
                    self.violations.append(f'{daemon.name}: {error!r}')
                    continue
                self.log_event(f'{daemon.name}: {status} on the new route')
                if status == HTTPStatus.NOT_FOUND:
                    self.violations.append(f'{daemon.name} lacks a new route')

    async def _disrupt(
        self, set_mode: Callable[[ProxyMode], Awaitable[None]], name: str
    ) -> None:
        mode = self._random.choice(
            (
                ProxyMode.delayed,
                ProxyMode.reset,
                ProxyMode.silent,
                ProxyMode.one_way,
                ProxyMode.slow,
            ),
        )
        self.log_event(f'{name} {mode.value}')
        await set_mode(mode)
        await self._wait_fault_duration()
        # Reset open connections, since bytes of their streams were discarded.
        if mode not in (ProxyMode.delayed, ProxyMode.slow):
            await set_mode(ProxyMode.reset)
        await set_mode(ProxyMode.forwarding)
        self.log_event(f'{name} is healthy')

    def _choose_group(self) -> list[DaemonProcess]:
        """Return one daemon, several, those of a data centre or the leader."""
        daemons = self._fleet.daemons
        chosen = self._choose_daemon()
        return self._random.choice(
            (
                [chosen],
                self._random.sample(daemons, len(daemons) - 1),
                [
                    one
                    for one in daemons
                    if one.data_centre == chosen.data_centre
                ],
                [self._fleet.leader() or chosen],
            )
        )

    def _choose_daemon(self) -> DaemonProcess:
        return self._random.choice(self._fleet.daemons)

    def _choose_target(self) -> TargetServer:
        return self._random.choice(self._fleet.targets)
