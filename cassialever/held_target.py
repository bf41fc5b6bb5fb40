"""One target as its leaseholder sees it: lease, grant and what it drains."""

from cassialever.catalogue import TargetChecks
from cassialever.control_messages import LeaseGrant, LeaseReport
from cassialever.ownership_effects import GrantTarget
from cassialever.ownership_events import GrantAnswer
from cassialever.settings import LeaseSettings
from cassialever.types import Fence, Incarnation, Seconds, SliceIndex

#: How often a target's grant is renewed, as a share of its term.
RENEWAL_SHARE = 0.25
#: How long a target that was never granted may be silent, in seconds.
SILENT_AFTER = 0.5


def grant_length(
    lease_left: Seconds,
    leases: LeaseSettings,
) -> Seconds:
    """Return for how long a target may be granted, by its own clock.

    However far both clocks are off, the grant ends before the lease does.
    """
    drift = leases.drift_share
    within_lease = lease_left * (1 - drift) / (1 + drift)
    return min(leases.grant_term, within_lease)


class HeldTarget:
    """The state of one lease.

    `fence` is the lease's, `target_fence` the one the target was told: they
    part when slices leave while others go on.
    """

    def __init__(
        self,
        grant: LeaseGrant,
        slices: frozenset[SliceIndex],
        ends: Seconds,
        checks: TargetChecks,
    ) -> None:
        """Start a lease that the target has not accepted yet."""
        self.target_id = grant.target_id
        self.fence = grant.fence
        self.target_fence = grant.fence
        self.slices = slices
        self.ends = ends
        self.checks = checks
        self.lapsed = False
        self.stopped = False
        self.next_grant: Seconds = 0
        self._granted_until: Seconds = 0
        self._wants_settling = False
        self._usable = not checks.fence
        self._incarnation = Incarnation(0)
        self._clock: Seconds = 0
        self._clock_read_at: Seconds | None = None
        self._draining = False
        self._loads = b''
        self._unknown_until: Seconds = 0
        self._pending: GrantTarget | None = None
        self._pending_until: Seconds = 0
        self._started: Seconds | None = None

    @property
    def usable(self) -> bool:
        """Return whether the target is known to take this daemon's work."""
        return self._usable

    def extend(self, ends: Seconds, now: Seconds) -> None:
        """Hold the lease until a later instant."""
        self.ends = max(self.ends, ends)
        if self.lapsed and now < self.ends:
            self.lapsed = False

    def change(
        self,
        fence: Fence,
        slices: frozenset[SliceIndex],
        ends: Seconds,
        now: Seconds,
    ) -> None:
        """Own other slices from now on; those that leave are to be drained."""
        if self.slices - slices:
            self._draining = True
        self.fence = fence
        self.slices = slices
        self.extend(ends, now)

    def count(self, loads: bytes) -> None:
        """Keep packed loads for the next report; empty after it was sent."""
        self._loads = loads

    def drained(self, unknown_until: Seconds, now: Seconds) -> None:
        """Note that no request of a slice that left is known to run."""
        self._draining = False
        if unknown_until <= now:
            return
        self._unknown_until = max(self._unknown_until, unknown_until)
        if self.checks.fence:
            # The target must refuse what may still lie in its socket.
            self._wants_settling = True

    def grant(
        self,
        token: int,
        leases: LeaseSettings,
        now: Seconds,
    ) -> GrantTarget:
        """Return the next grant to ask for, or a bare question."""
        self.next_grant = now + leases.grant_term * RENEWAL_SHARE
        if self._started is None:
            self._started = now
        ends: Seconds = 0
        if self._clock_read_at is not None:
            read_at = self._clock_read_at
            length = grant_length(self.ends - read_at, leases)
            ends = self._clock + length
            drift = leases.drift_share
            self._pending_until = read_at + length * (1 + drift) / (1 - drift)
            # The target may accept it even if its answer is lost.
            self._granted_until = max(self._granted_until, self._pending_until)
        raises = self._wants_settling or not self._usable
        fence = self.fence if raises else self.target_fence
        self._pending = GrantTarget(
            token,
            self.target_id,
            fence,
            self._incarnation,
            ends,
            self.slices,
        )
        return self._pending

    def answered(
        self,
        token: int,
        answer: GrantAnswer,
        now: Seconds,
    ) -> bool:
        """Take in the target's answer; return whether to ask again at once.

        That is so where the target's clock was not known before.
        """
        pending = self._pending
        if pending is None or pending.token != token:
            return False
        self._pending = None
        known = bool(pending.ends) and self._incarnation == answer.incarnation
        self._incarnation = answer.incarnation
        self._clock = answer.clock
        self._clock_read_at = now
        if answer.highest_fence > pending.fence:
            # Another daemon holds this target under a later fence.
            self._usable = False
            return False
        if not answer.accepted or not pending.ends:
            return not known
        self._usable = True
        self.target_fence = pending.fence
        if self._wants_settling and pending.fence == self.fence:
            self._wants_settling = False
            self._unknown_until = 0
        return False

    def stop(self, fence: Fence) -> None:
        """Send nothing more; requests that run may go on."""
        self.fence = fence
        self.stopped = True
        self._draining = True

    def reachable(self, now: Seconds) -> bool:
        """Return false once the target's grant has certainly lapsed."""
        if not self.checks.fence or self._started is None:
            return True
        silent_after = max(self._granted_until, self._silent_since())
        return now < silent_after

    def settled(self, now: Seconds) -> bool:
        """Return whether nothing of an earlier fence can run any more."""
        if self._draining:
            return False
        if self._wants_settling and not self.stopped:
            return now >= self._granted_until
        return now >= self._unknown_until

    def report(self, now: Seconds) -> LeaseReport:
        """Say how the lease stands."""
        return LeaseReport(
            target_id=self.target_id,
            fence=self.fence,
            live=now < self.ends and not self.stopped,
            stopped=self.stopped,
            settled=self.settled(now),
            accepted=self.usable and self.checks.fence,
            loads=self._loads,
            reachable=self.reachable(now),
            target_incarnation=self._incarnation,
        )

    def _silent_since(self) -> Seconds:
        """Return when silence counts as loss for a target never granted."""
        heard_at = self._clock_read_at
        if heard_at is None:
            heard_at = self._started or 0
        return heard_at + SILENT_AFTER
