"""Probe the paths to targets that failed or fell silent.

A connection that hangs tells nothing by itself: the target may be slow. A new
connection tells whether the path is there. Nothing is sent over it. It costs
the target and the link one more connection, so that few are made beside
requests that are merely slow.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import can_connect
from cassialever.fleet.target_registry import TargetRegistry
from cassialever.gateway.silence_watch import SilenceWatch
from cassialever.platform.sessions import Connecting
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds, TargetId

#: Time between two checks for silent targets and due probes.
CHECK_INTERVAL: Final[Seconds] = 0.1
#: The same while a path is down or in doubt.
URGENT_CHECK_INTERVAL: Final[Seconds] = 0.05
#: Probes in progress at a time, over all targets.
MAX_PROBES: Final = 8
#: Targets probed to tell a cut from a fault of several targets.
WITNESS_COUNT: Final = 4
#: Daemons that a log line names.
MAX_NAMED_DAEMONS: Final = 8


class _NotConnectedError(Exception):
    """An address accepted no connection."""


class PathProber:
    """Probes paths and tells when this daemon is cut off from targets."""

    def __init__(
        self,
        paths: TargetPaths,
        targets: TargetRegistry,
        loads: LoadTracker,
        clock: SystemClock,
    ) -> None:
        """Create without probes; `run` starts them."""
        self._paths = paths
        self._targets = targets
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._in_progress: set[TargetId] = set()
        self._silence = SilenceWatch(paths, targets, loads)
        self._was_cut_off = False
        self._cut_off_at: Seconds = 0
        self._known_changes = 0
        self._down: frozenset[TargetId] = frozenset()
        #: Returns whether an address accepts a connection.
        self.can_connect: Callable[[str], Awaitable[bool]] = can_connect
        #: Returns the context in which an address is connected to.
        self.connecting: Connecting = contextlib.nullcontext
        #: Called when a path went down or came back, or others should know at
        #: once that this daemon reaches a target.
        self.on_change: Callable[[], None] = _ignore
        #: Called with the address of a target whose path went down.
        self.on_down: Callable[[str], None] = _ignore_address

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                self.check()
                has_probes = self._paths.direct.has_probes()
                await asyncio.sleep(
                    URGENT_CHECK_INTERVAL if has_probes else CHECK_INTERVAL
                )
        finally:
            self._tasks.stop()

    def check(self) -> None:
        """Start the probes that are due and report what has changed."""
        now = self._clock.monotonic()
        self._silence.check(now)
        self._doubt_witnesses(now)
        self._doubt_listed(now)
        if self._paths.direct.has_probes():
            room = MAX_PROBES - len(self._in_progress)
            for target_id in self._paths.direct.due_probes(now, room):
                self._start_probe(target_id)
        self._report_changes(now)

    def _doubt_witnesses(self, now: Seconds) -> None:
        """Probe targets that nothing was sent to before a cut is inferred."""
        direct = self._paths.direct
        if not direct.needs_witness(now):
            return
        others = [
            target_id
            for target_id in self._targets.by_id
            if not direct.is_down(target_id, now)
        ]
        step = max(len(others) // WITNESS_COUNT, 1)
        for target_id in others[: step * WITNESS_COUNT : step]:
            direct.record_doubt(target_id, now, is_urgent=True)

    def _doubt_listed(self, now: Seconds) -> None:
        """Probe targets that others miss, to tell whether these live."""
        daemon_count = self._paths.reports.count(now) + 1
        for target_id in self._paths.witness.due_trials(daemon_count, now):
            if target_id in self._targets.by_id:
                self._paths.direct.record_doubt(
                    target_id, now, is_for_others=True
                )

    def _start_probe(self, target_id: TargetId) -> None:
        if target_id in self._in_progress:
            return
        self._in_progress.add(target_id)
        self._tasks.start(self._probe(target_id))

    async def _probe(self, target_id: TargetId) -> None:
        try:
            await self._connect(target_id)
        finally:
            self._in_progress.discard(target_id)

    async def _connect(self, target_id: TargetId) -> None:
        target = self._targets.by_id.get(target_id)
        if target is None:
            return
        begun_at = self._clock.monotonic()
        limit = self._paths.connect_times.timeout
        is_connected = await self._can_connect(target.address)
        now = self._clock.monotonic()
        if is_connected:
            self._paths.record_probe_success(target_id, now)
        elif now - begun_at < limit:
            # It was refused.
            self._paths.record_failure(target_id, now)
        else:
            self._paths.record_timeout(target_id, begun_at, now)
        self._report_changes(now)

    async def _can_connect(self, address: str) -> bool:
        try:
            with self.connecting(address):
                if not await self.can_connect(address):
                    raise _NotConnectedError
        except _NotConnectedError:
            return False
        return True

    def _report_changes(self, now: Seconds) -> None:
        is_cut_off = self._paths.is_cut_off(now)
        changes = self._paths.direct.change_count
        has_news = self._paths.witness.take_news(now)
        if is_cut_off == self._was_cut_off and changes == self._known_changes:
            if has_news:
                self.on_change()
            return
        self._known_changes = changes
        down = frozenset(self._paths.direct.down(now))
        dropped = down - self._down
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            self._record_cut(now)
            if not self._paths.exchanges.broken_without_answer(now):
                # Connections to targets that weren't tried hang as well.
                dropped = frozenset(self._targets.by_id)
        self._down = down
        for target_id in dropped:
            target = self._targets.by_id.get(target_id)
            if target is not None:
                self.on_down(target.address)
        self.on_change()

    def _record_cut(self, now: Seconds) -> None:
        reaching = [
            report.helper.instance_id
            for report in self._paths.reports.reaching(now)
        ]
        if not self._was_cut_off:
            record(
                Event.targets_reached_again,
                cut_off_for=round(now - self._cut_off_at, 2),
                unreachable=len(self._paths.direct.down(now)),
                daemons_reaching=len(reaching),
            )
            return
        self._cut_off_at = now
        record(
            Event.cut_off_from_targets,
            failed=sorted(self._paths.failed_without_answer(now)),
            targets=len(self._targets.by_id),
            daemons_reaching=sorted(reaching)[:MAX_NAMED_DAEMONS],
            daemons_heard=self._paths.reports.count(now),
        )


def _ignore() -> None:
    """Ignore a change; the default until a handler is set."""


def _ignore_address(address: str) -> None:
    """Ignore an address; the default until a handler is set."""
