"""What a coordinator knows of one target: its holder, lease and slices."""

import msgspec

from cassialever.catalogue import TargetEntry
from cassialever.control_messages import LeaseGrant, LeaseReport
from cassialever.invariants import Invariant, check
from cassialever.membership import Process
from cassialever.rows import pack_slices
from cassialever.types import (
    Fence,
    Seconds,
    SliceIndex,
    TargetId,
)


class Former(msgspec.Struct, frozen=True):
    """A process that was told to stop, and may have requests running."""

    fence: Fence
    give_up_at: Seconds


class TargetRecord:
    """The lease of one target as its giver sees it.

    `until` is when every lease given to the present holder has ended, and
    `free_at` when another may be given one.
    """

    def __init__(self, entry: TargetEntry, free_at: Seconds) -> None:
        """Know of no holder; another may hold the target until `free_at`."""
        self.entry = entry
        self.holder: Process | None = None
        self.fence = Fence(0)
        self.slices: frozenset[SliceIndex] = frozenset()
        self.report: LeaseReport | None = None
        self.until: Seconds = 0
        self.free_at = free_at
        # When what was given to former holders has no effect at the target.
        self._former_until = free_at
        self.stopping = False
        self._lost = False
        self.former_by_process: dict[Process, Former] = {}

    @property
    def target_id(self) -> TargetId:
        """Return the target's id."""
        return self.entry.target_id

    def give(
        self,
        process: Process,
        fence: Fence,
        slices: frozenset[SliceIndex],
        now: Seconds,
    ) -> None:
        """Give the target to a process."""
        check(
            Invariant.single_holder,
            self.holder is None and now >= self.free_at,
            target=self.target_id,
            holder=self.holder,
        )
        self.holder = process
        self.report = None
        self.until = 0
        self.stopping = False
        self.former_by_process.pop(process, None)
        self.change(fence, slices)

    def change(self, fence: Fence, slices: frozenset[SliceIndex]) -> None:
        """Let the holder have other slices from now on."""
        check(
            Invariant.fence_rises,
            fence > self.fence,
            target=self.target_id,
            fence=fence,
        )
        self.fence = fence
        self.slices = slices

    def lapse(self, wait: Seconds, now: Seconds) -> None:
        """Take the target from a holder whose leases have all ended."""
        check(
            Invariant.single_holder,
            now >= self.until,
            target=self.target_id,
        )
        self.free_at = self.until
        self._former_until = max(self._former_until, self.until + wait)
        self.holder = None
        self.report = None

    def release(self, give_up_at: Seconds, now: Seconds) -> None:
        """Take the target from a holder that reports that it has stopped."""
        if self.holder is None:
            return
        self.former_by_process[self.holder] = Former(self.fence, give_up_at)
        self._former_until = max(self._former_until, self.until)
        self.free_at = now
        self.holder = None
        self.report = None

    def take_report(self, report: LeaseReport) -> bool:
        """Note what the holder says; return whether it says anything new.

        A loss is over once the target has taken a grant.
        """
        news = self.report is None or _essence(report) != _essence(self.report)
        self.report = report
        if not report.reachable:
            self._lost = True
        elif report.accepted or not self.entry.checks.fence:
            self._lost = False
        return news

    def lost(self) -> bool:
        """Return whether no holder has reached the target since its loss."""
        return self._lost

    def acknowledged(self) -> bool:
        """Return whether the holder has the present fence in force."""
        return self.report is not None and self.report.fence == self.fence

    def may_part(self, now: Seconds) -> bool:
        """Return whether slices that left `slices` can go elsewhere."""
        if self.former_by_process:
            return False
        if self.holder is None:
            return now >= max(self.free_at, self._former_until)
        report = self.report
        if report is None or not self.acknowledged() or not report.settled:
            return False
        return report.accepted or now >= self._former_until

    def grant(self, reported: Fence) -> LeaseGrant:
        """Return the lease as the holder is to be told of it."""
        if self.stopping:
            return LeaseGrant(
                target_id=self.target_id,
                fence=self.fence,
                stop=True,
            )
        known = reported == self.fence
        return LeaseGrant(
            target_id=self.target_id,
            fence=self.fence,
            has_slices=not known,
            slices=b'' if known else pack_slices(self.slices),
        )


def _essence(report: LeaseReport) -> tuple[object, ...]:
    """Return what a plan depends on."""
    return (
        report.fence,
        report.stopped,
        report.settled,
        report.accepted,
        report.reachable,
    )
