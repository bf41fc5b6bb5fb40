"""Tell from exchanges and entries whether a target has crashed.

A connection that breaks while a request is at work there is evidence of a crash
once the target's life is known to have ended: its address refuses connections,
or its entry is gone or names a later life. A target that resets a connection
and lives on accepts the next one.
"""

from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.connecting import connect
from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.crash_guard import CrashGuard, fingerprint
from cassialever.gateway.sender import TargetRequest
from cassialever.policy.crashes import TargetLife
from cassialever.types import Seconds

#: How long the address of a target whose connection broke may take to refuse
#: another one.
PROBE_TIMEOUT: Final[Seconds] = 0.1

#: Connects to an address and tells whether it refuses connections.
RefusalProbe: TypeAlias = Callable[[str], Awaitable[bool]]


class CrashEvidence:
    """Collects evidence of crashes, and names suspects once it is complete."""

    def __init__(
        self,
        guard: CrashGuard,
        view: FleetView,
        clock: SystemClock,
        is_cut_off: Callable[[], bool],
    ) -> None:
        """Take as no evidence what happens while this daemon is cut off."""
        self._guard = guard
        self._view = view
        self._clock = clock
        self._is_cut_off = is_cut_off
        self.is_refused: RefusalProbe = _is_refused

    async def record_broken(
        self, request: TargetRequest, target: Target
    ) -> None:
        """Note a request whose connection broke before it was answered.

        A target that is about to leave, or that has no entry, may have ended
        as it was to.
        """
        known = self._view.targets.by_id.get(target.target_id)
        life = TargetLife.of(target)
        if known is None or TargetLife.of(known) != life:
            return
        if not self._view.targets.is_usable(known):
            return
        now = self._clock.monotonic()
        one = fingerprint(request)
        self._guard.pending.add(
            one,
            life,
            now,
            was_alone=self._guard.trials.is_claimed(one, now),
        )
        if self._guard.memory.has_just_ended(life, now):
            self._confirm(life, 'others were at work there when it ended')
        elif await self.is_refused(target.address):
            self.record_refused(target)

    def record_refused(self, target: Target) -> None:
        """Note that the address of a target refuses connections."""
        life = TargetLife.of(target)
        if life in self._guard.pending.lives() and not self._is_cut_off():
            self._confirm(life, 'its address refuses connections')

    def check_entries(self) -> None:
        """Compare the entries of targets with what broke at them."""
        for life in self._guard.pending.lives():
            known = self._view.targets.by_id.get(life.target_id)
            if known is None:
                self._confirm(life, 'its entry is gone')
            elif TargetLife.of(known) != life:
                self._confirm(life, 'it has started again')
            elif self._view.targets.limits.is_replaced(known):
                self._confirm(life, 'another target has its address')

    def _confirm(self, life: TargetLife, reason: str) -> None:
        """Take the requests that were at work at a life as suspects."""
        now = self._clock.monotonic()
        for one in self._guard.pending.take(life, now):
            self._guard.record_crash(one, life, reason)


async def _is_refused(address: str) -> bool:
    """Return whether an address refuses a connection."""
    connected = await connect(address, PROBE_TIMEOUT)
    if isinstance(connected, Failure):
        return connected.kind is ErrorKind.target_unreachable
    connected[1].close()
    return False
