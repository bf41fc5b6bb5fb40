"""Probe suspect owners before they are granted keys again.

An owner is suspect after a failed grant and after a takeover: it may
have restarted and lost the fences that it had seen. It is probed first, so
that new fences are written only for owners that are reachable. The process that
has accepted a fence is asked at the same time: if it answers, it is granted the
same fence again, which takes no write.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cassialever.clock import SystemClock
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
)
from cassialever.keys.granting import GRANT_RETRY_DELAY, Granter
from cassialever.platform.processes import TargetProcess
from cassialever.tasks import BackgroundTasks
from cassialever.types import Fence, Seconds, TargetId


class _Asked(NamedTuple):
    """A process that is asked whether it is still there."""

    owner: TargetId
    process: TargetProcess


class RaisedFences:
    """A fence that is to be written for assignments, and those granted before.

    Until it is written, it has been granted to no process.
    """

    def __init__(self, assignments: Sequence[Assignment], fence: Fence) -> None:
        """Raise the fences of suspect assignments."""
        self._assignments = assignments
        self._granted = [one.called_range() for one in assignments]
        for assignment in assignments:
            assignment.fence = fence
        self._raised = [one.called_range() for one in assignments]

    def withdraw(self) -> None:
        """Return to the fences that were granted, as others aren't written."""
        for assignment, raised, granted in zip(
            self._assignments, self._raised, self._granted, strict=True
        ):
            # It may have been split, merged or reclaimed meanwhile.
            is_unchanged = assignment.called_range() == raised
            if is_unchanged and assignment.is_suspect:
                assignment.fence = Fence(granted.fence)


class SuspectOwners:
    """The suspect owners of one service's keys."""

    def __init__(
        self,
        assignments: Assignments,
        granter: Granter,
        tasks: BackgroundTasks,
        clock: SystemClock,
    ) -> None:
        """Subscribe to the granter's failures."""
        self._assignments = assignments
        self._granter = granter
        self._tasks = tasks
        self._clock = clock
        self._probing: set[TargetId] = set()
        self._reached: set[TargetId] = set()
        #: The owners whose processes are being asked, and when to ask others
        #: again.
        self._asking: set[TargetId] = set()
        self._ask_at_by_id: dict[TargetId, Seconds] = {}
        #: The processes that have answered since the last failure.
        self._proven_by_id: dict[TargetId, TargetProcess] = {}
        granter.on_failure.append(self.suspect)

    def suspect(self, owner: TargetId) -> None:
        """Grant nothing to a target until it has been reached again."""
        self._proven_by_id.pop(owner, None)
        for assignment in self._assignments.held_by(owner):
            assignment.is_suspect = True

    def probe_due(self, now: Seconds) -> list[Assignment]:
        """Probe suspect owners; return the assignments of those reached.

        A probe runs in the background, so that its owner's assignments are
        returned by a later call. Those whose process has answered are no
        longer suspect.
        """
        self._clear_proven()
        due = [
            assignment
            for assignment in self._assignments.in_state(AssignmentState.held)
            if assignment.is_suspect
            and assignment.renew_at <= now
            and not self._granter.lives.has_owner_ended(assignment)
        ]
        # One that has refused may be another process at the same address, which
        # accepts connections.
        owners = {
            assignment.owner
            for assignment in due
            if not self._granter.addresses.is_refusing(assignment.owner)
        }
        for owner in owners - self._probing:
            self._probing.add(owner)
            self._tasks.start(self._probe(owner))
        for asked in self._processes_due(due, now):
            self._asking.add(asked.owner)
            self._tasks.start(self._ask(asked))
        reached = owners & self._reached
        return [one for one in due if one.owner in reached]

    def clear_reached(self) -> None:
        """Require a new probe the next time an owner becomes suspect."""
        self._reached.clear()

    def _processes_due(
        self, due: list[Assignment], now: Seconds
    ) -> set[_Asked]:
        """Return a process of each suspect owner that has accepted a fence."""
        process_by_owner = {
            one.owner: process
            for one in due
            if (process := one.process_with_fence()) is not None
            and one.owner not in self._asking
            and self._ask_at_by_id.get(one.owner, 0) <= now
        }
        return {_Asked(*item) for item in process_by_owner.items()}

    async def _ask(self, asked: _Asked) -> None:
        """Note a process that answers."""
        try:
            has_answered = await self._granter.prove(asked.owner, asked.process)
        finally:
            self._asking.discard(asked.owner)
        self._ask_at_by_id[asked.owner] = self._clock.boot() + GRANT_RETRY_DELAY
        if has_answered:
            self._proven_by_id[asked.owner] = asked.process

    def _clear_proven(self) -> None:
        for owner, process in self._proven_by_id.items():
            for assignment in self._assignments.held_by(owner):
                known = assignment.process_with_fence()
                if known is not None and known.is_same(process):
                    assignment.is_suspect = False

    async def _probe(self, owner: TargetId) -> None:
        try:
            is_reached = await self._granter.probe(owner)
        finally:
            self._probing.discard(owner)
        if is_reached:
            self._reached.add(owner)
            return
        retry_at = self._clock.boot() + GRANT_RETRY_DELAY
        for assignment in self._assignments.held_by(owner):
            assignment.renew_at = max(assignment.renew_at, retry_at)
