"""Judge for how long no daemon leads, and how long two do."""

import asyncio
import re
import time
from math import isfinite

import aiohttp

from cassialever.fleet.lease import AUTHORITY_TERM, STALE_AFTER
from soak.daemon_logs import describe, lines_of
from soak.fleet import DaemonProcess, SoakFleet
from soak.recovery import Reading, RecoveryJudge, TablesJudge
from soak.terms import TERM_EVENTS, judge_term

#: Longest time without a leader while a machine could lead, in seconds: the
#: lease becomes stale, each daemon leaves the lead to others that reach more
#: targets for 2.0 s at most, and the attempts of a second.
LEADERLESS_BOUND = 6.0
#: Longest time for which two daemons lead with authority, in seconds: the
#: earlier one keeps its own for what is left when its lease is stale.
SHARED_BOUND = AUTHORITY_TERM - STALE_AFTER + 1.0
POLL_INTERVAL = 0.3
POLL_TIMEOUT = 1.0
READING = re.compile(r'^(leads|tables_age_seconds)(?:\{[^}]*\})? (\S+)$', re.M)


class LeaderJudge:
    """Finds times without a leader, and with two, that are too long."""

    def __init__(self) -> None:
        """Start without readings."""
        self.violations: list[str] = []
        self.longest = 0.0
        self.longest_shared = 0.0
        self._leaderless_since: float | None = None
        self._shared_since: float | None = None
        self._holder_id = ''
        self._holder_may_lead = False
        #: Since when each daemon could lead.
        self._ready_since: dict[str, float] = {}
        self._is_reported = False

    def judge(
        self,
        now: float,
        reading_by_name: dict[str, Reading],
        holder_id: str = '',
    ) -> None:
        """Judge what all daemons tell at one moment.

        Others have the whole bound again when the daemon whose lease the store
        has meets a fault: it may have led since the last readings.
        """
        holder = reading_by_name.get(holder_id)
        could_lead = self._holder_id == holder_id and self._holder_may_lead
        if holder is not None and could_lead and not holder.may_lead:
            self._leaderless_since = None
        self._holder_id = holder_id
        self._holder_may_lead = holder is not None and holder.may_lead
        for name, reading in reading_by_name.items():
            if reading.may_lead:
                self._ready_since.setdefault(name, now)
            else:
                self._ready_since.pop(name, None)
        readings = reading_by_name.values()
        self._judge_absence(now, any(one.leads for one in readings))
        with_authority = [
            name
            for name, one in reading_by_name.items()
            if one.leads and one.confirmed_age < AUTHORITY_TERM
        ]
        self._judge_shared(now, with_authority)

    def _judge_absence(self, now: float, has_leader: bool) -> None:
        if has_leader:
            self._leaderless_since = None
            self._is_reported = False
            return
        if self._leaderless_since is None:
            self._leaderless_since = now
        ready_since = min(self._ready_since.values(), default=now)
        duration = now - max(self._leaderless_since, ready_since)
        self.longest = max(self.longest, duration)
        if duration > LEADERLESS_BOUND and not self._is_reported:
            self._is_reported = True
            self.violations.append(
                f'{now:.2f} LEADER no daemon leads for {duration:.2f} s, though'
                f' the store accepts what these write:'
                f' {sorted(self._ready_since)}'
            )

    def _judge_shared(self, now: float, names: list[str]) -> None:
        if len(names) < 2:
            self._shared_since = None
            return
        if self._shared_since is None:
            self._shared_since = now
        duration = now - self._shared_since
        self.longest_shared = max(self.longest_shared, duration)
        if duration > SHARED_BOUND:
            self._shared_since = now
            self.violations.append(
                f'{now:.2f} LEADER {sorted(names)} lead for {duration:.2f} s'
            )


class LeaderWatch:
    """Reads the metrics of all daemons again and again."""

    def __init__(self, fleet: SoakFleet, judge: LeaderJudge) -> None:
        """Report readings to the judge; `run` takes them."""
        self._fleet = fleet
        self._judge = judge
        self.recovery = RecoveryJudge()
        self.tables = TablesJudge()
        self._read_at = 0.0
        self._last_by_name: dict[str, Reading] = {}
        self._history: list[tuple[float, dict[str, Reading]]] = []
        self._described_count = 0
        self.events: list[str] = []

    async def run(self) -> None:
        """Take readings until cancelled."""
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                daemons = self._fleet.daemons
                begun_at = loop.time()
                self._fleet.mark_call_faults()
                readings = await asyncio.gather(
                    *(self._read(session, one) for one in daemons)
                )
                names = (one.name for one in daemons)
                self._last_by_name = dict(zip(names, readings, strict=True))
                self._history.append((loop.time(), self._last_by_name))
                holder = self._fleet.leader()
                self._judge.judge(
                    loop.time(),
                    self._last_by_name,
                    holder.name if holder else '',
                )
                self._judge_recovery(begun_at)
                self._describe_violations()
                await asyncio.sleep(POLL_INTERVAL)

    def violations(self) -> list[str]:
        """Return what the judges found, and terms that ended for no reason."""
        offset = time.time() - asyncio.get_running_loop().time()
        lines = [
            *self._judge.violations,
            *self.recovery.violations,
            *self.tables.violations,
        ]
        for daemon in self._fleet.daemons:
            for line in lines_of(daemon.log):
                if line.get('name') not in TERM_EVENTS:
                    continue
                ended_at = line['time'] - offset
                span = (daemon, ended_at - line['lasted'], ended_at)
                violation = judge_term(
                    line,
                    is_disrupted=self._fleet.is_term_disrupted(*span),
                    is_ordered=self._fleet.is_to_resign(*span),
                )
                if violation is not None:
                    lines.append(f'{ended_at:.2f} {daemon.name}: {violation}')
        return lines

    def current_leader(self) -> DaemonProcess | None:
        """Return the daemon that alone leads, by the last readings."""
        return self._only_leader(self._last_by_name)

    def leader_during(self, since: float, until: float) -> DaemonProcess | None:
        """Return the daemon that alone led all the while."""
        names = [
            by_name
            for when, by_name in self._history
            if since - POLL_INTERVAL <= when <= until + POLL_INTERVAL
        ]
        leaders = {
            one and one.name: one for one in map(self._only_leader, names)
        }
        return next(iter(leaders.values())) if len(leaders) == 1 else None

    def describe(
        self, daemon: DaemonProcess, at: float, target_id: str = ''
    ) -> str:
        """Tell which tables a daemon had, from whom, and who led."""
        age = asyncio.get_running_loop().time() - at
        readings: dict[str, Reading] = next(
            (by_name for when, by_name in reversed(self._history) if when < at),
            {},
        )
        leading = [name for name, one in readings.items() if one.leads]
        led_at = max(
            (
                when
                for when, by_name in self._history
                if when < at and any(one.leads for one in by_name.values())
            ),
            default=0.0,
        )
        own = readings.get(daemon.name, Reading(None))
        tables_age = 'unknown'
        if own.tables_age is not None and isfinite(own.tables_age):
            tables_age = f'{own.tables_age:.2f} s'
        return (
            f'; {describe(daemon.log, age, target_id)}; tables of age'
            f' {tables_age}; leading: {leading}, some daemon'
            f' {at - led_at:.2f} s before'
        )

    def _only_leader(
        self, reading_by_name: dict[str, Reading]
    ) -> DaemonProcess | None:
        leading = [
            one
            for one in self._fleet.daemons
            if one.name in reading_by_name
            and reading_by_name[one.name].leads
            and reading_by_name[one.name].life == one.life
        ]
        return leading[0] if len(leading) == 1 else None

    def _judge_recovery(self, now: float) -> None:
        """Judge the last readings, which were begun at a moment."""
        since, self._read_at = self._read_at, now
        is_healthy = self._fleet.store_disruptions.is_calm(
            since, asyncio.get_running_loop().time()
        )
        self.recovery.judge(
            now, self._last_by_name, store_is_healthy=is_healthy
        )
        self.tables.judge(now, self._last_by_name)

    def _describe_violations(self) -> None:
        """Note what each daemon knows while a violation goes on."""
        now = asyncio.get_running_loop().time()
        judges = (self._judge, self.recovery, self.tables)
        count = sum(len(one.violations) for one in judges)
        if count > self._described_count:
            self.events.extend(
                f'{now:.2f} {one.name}{self.describe(one, now)}'
                for one in self._fleet.daemons
            )
        self._described_count = count

    async def _read(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess
    ) -> Reading:
        may_lead = self._fleet.may_lead(daemon)
        url = f'http://{daemon.address}:{daemon.ports[2] + 1}/metrics'
        text = ''
        try:
            async with session.get(url) as response:
                text = await response.text()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            # What a process that is late said last holds on.
            last = self._last_by_name.get(daemon.name)
            if may_lead and last is not None and last.life == daemon.life:
                return last
        found = dict(READING.findall(text))
        return Reading(
            bool(float(found['leads'])) if found else None,
            float(found.get('tables_age_seconds', 'nan')) if found else None,
            # A process that starts could not lead yet.
            may_lead and bool(found),
            self._fleet.confirmed_age(daemon),
            daemon.life,
            not found or self._fleet.is_hindered(daemon, self._read_at),
            bool(found) and self._fleet.reaches_store(daemon, self._read_at),
        )
