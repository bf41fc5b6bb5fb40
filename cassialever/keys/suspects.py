"""Probe suspect owners before they are granted keys again.

An owner is suspect after a failed grant and after a takeover: it may
have restarted and lost the fences that it had seen. It is probed first, so
that new fences are written only for owners that are reachable.
"""

from cassialever.clock import SystemClock
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
)
from cassialever.keys.granting import GRANT_RETRY_DELAY, Granter
from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds, TargetId


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
        granter.on_failure.append(self.suspect)

    def suspect(self, owner: TargetId) -> None:
        """Grant nothing to a target until it has been reached again."""
        for assignment in self._assignments.held_by(owner):
            assignment.is_suspect = True

    def probe_due(self, now: Seconds) -> list[Assignment]:
        """Probe suspect owners; return the assignments of those reached.

        A probe runs in the background, so that its owner's assignments are
        returned by a later call.
        """
        due = [
            assignment
            for assignment in self._assignments.in_state(AssignmentState.held)
            if assignment.is_suspect
            and assignment.renew_at <= now
            and not self._granter.lives.has_owner_ended(assignment)
        ]
        for owner in {assignment.owner for assignment in due} - self._probing:
            self._probing.add(owner)
            self._tasks.start(self._probe(owner))
        return [one for one in due if one.owner in self._reached]

    def clear_reached(self) -> None:
        """Require a new probe the next time an owner becomes suspect."""
        self._reached.clear()

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
