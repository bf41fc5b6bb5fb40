"""Grant keys to targets, renew the grants and have keys released."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cassialever.clock import SystemClock
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.lease import STALE_AFTER
from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.invariants import Invariant, check
from cassialever.keys.assignments import (
    GRANT_RENEWAL_INTERVAL,
    MAX_SIGN_AGE,
    MAX_TRANSIT_TIME,
    Assignment,
    AssignmentState,
    grant_duration,
    max_hold_time,
)
from cassialever.keys.key_events import KeyLog
from cassialever.keys.lives import EndedLives
from cassialever.keys.signs import SignsOfLife
from cassialever.platform.targets import (
    GRANT_TIMEOUT,
    CallOutcome,
    CallResult,
    TargetClient,
)
from cassialever.policy.paths import TargetPaths
from cassialever.types import Fence, Seconds, TargetId

#: Delay before a failed renewal is retried.
GRANT_RETRY_DELAY: Final[Seconds] = 0.25
#: Time between two probes of an unreachable target, which gets no keys
#: meanwhile.
PROBE_INTERVAL: Final[Seconds] = 1.0
#: Poll interval while grants to the same target are in progress.
PENDING_POLL_INTERVAL: Final[Seconds] = 0.01

#: Outcomes that are known from an answer of the owner itself.
_OWN_ANSWERS: Final = frozenset(
    (CallOutcome.done, CallOutcome.outdated, CallOutcome.refused)
)
#: Names grants among the requests to a target that have no answer yet.
GRANT_ID: Final = 'grant'


class Granter:
    """The grant and release calls of one term of this daemon as the leader."""

    def __init__(
        self,
        view: FleetView,
        target_client: TargetClient,
        leader_term: LeaderTerm,
        clock: SystemClock,
        paths: TargetPaths,
        key_log: KeyLog,
    ) -> None:
        """Start with all targets taken as reachable."""
        self.key_log = key_log
        #: This daemon's paths to the targets, by the calls made to them.
        self.paths = paths
        self._view = view
        self._target_client = target_client
        self._leader_term = leader_term
        self._clock = clock
        #: Targets to which grants are in progress.
        self.pending_owners: set[TargetId] = set()
        #: When to probe the targets whose last grant or probe failed.
        self._probe_at_by_id: dict[TargetId, Seconds] = {}
        #: Called with a target whose grant failed: it may have restarted.
        self.on_failure: list[Callable[[TargetId], None]] = []
        #: The newest report of each target that was called.
        self._reported_by_id: dict[TargetId, Target] = {}
        self.lives = EndedLives()
        self._signs = SignsOfLife(clock)

    def has_authority(self) -> bool:
        """Return whether this daemon may grant and release keys."""
        return self._leader_term.has_authority()

    def is_unreachable(self, target_id: TargetId) -> bool:
        """Return whether a grant or probe failed and none succeeded since."""
        return target_id in self._probe_at_by_id

    def forget(self, target_id: TargetId) -> None:
        """Stop probing a target that has been removed."""
        self._probe_at_by_id.pop(target_id, None)
        self._signs.forget(target_id)

    def due_probes(self) -> list[TargetId]:
        """Return the unreachable targets to probe now; schedule the next."""
        now = self._clock.boot()
        due = [one for one, at in self._probe_at_by_id.items() if at <= now]
        for target_id in due:
            self._probe_at_by_id[target_id] = now + PROBE_INTERVAL
        return due

    def reported(self, target_id: TargetId) -> Target | None:
        """Return a target's current or last known report."""
        target = self._view.targets.by_id.get(target_id)
        if target is not None:
            self._reported_by_id[target_id] = target
        return self._reported_by_id.get(target_id)

    def grants_by_owner(
        self, assignments: list[Assignment]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return a coroutine for each owner, which grants that owner's keys."""
        by_owner: dict[TargetId, list[Assignment]] = {}
        for assignment in assignments:
            by_owner.setdefault(assignment.owner, []).append(assignment)
        return [self.grant(owner, owned) for owner, owned in by_owner.items()]

    async def grant(
        self, owner: TargetId, assignments: list[Assignment]
    ) -> None:
        """Grant or renew one target's assignments, one call at a time."""
        called = self.reported(owner)
        if called is None:
            return
        await self._wait_until_idle(owner)
        if self._signs.silence_of(owner) > MAX_SIGN_AGE:
            # The first grant is short. Its answer is a sign of life, so that
            # the others are not, and the same keys are granted once more.
            assignments = [assignments[-1], *assignments]
        self.pending_owners.add(owner)
        try:
            await self._grant_each(called, assignments)
        finally:
            self.pending_owners.discard(owner)

    async def probe(self, owner: TargetId) -> bool:
        """Return whether a connection to a target can be made.

        It shows the path to the address, not which process has that.
        """
        called = self.reported(owner)
        if called is not None and await self._target_client.can_connect(
            called.address
        ):
            self._probe_at_by_id.pop(owner, None)
            self.paths.direct.record_probe_success(
                owner, self._clock.monotonic()
            )
            return True
        self._mark_unreachable(owner)
        self.paths.record_failure(owner, self._clock.monotonic())
        return False

    async def release(self, assignment: Assignment, called: Target) -> None:
        """Have the owner release keys; the assignment then lapses."""
        # A renewal that is in progress must not arrive after the release.
        await self._wait_until_idle(assignment.owner)
        if self.lives.has_owner_ended(assignment):
            assignment.state = AssignmentState.lapsing
            return
        result = await self._target_client.release(
            called.address, assignment.key_range()
        )
        now = self._clock.boot()
        if result.outcome is CallOutcome.ended:
            self.lives.end(called, self._view.targets.relocated)
        assignment.is_released = result.outcome is CallOutcome.done
        if assignment.is_released:
            assignment.handover = result.handover
            # Unanswered grants may still take effect after the release.
            assignment.may_be_held_until = assignment.unanswered_until
        else:
            assignment.handover = ''
        self.key_log.released(called, assignment, result, now)
        assignment.state = AssignmentState.lapsing

    async def _wait_until_idle(self, owner: TargetId) -> None:
        while owner in self.pending_owners:
            await asyncio.sleep(PENDING_POLL_INTERVAL)

    async def _grant_each(
        self,
        called: Target,
        assignments: list[Assignment],
    ) -> None:
        for assignment in assignments:
            # It may have been reassigned while an earlier call was running.
            if not self._may_be_granted(assignment, called):
                continue
            may_go_on = self.has_authority() and await self._grant_one(
                assignment, called
            )
            if not may_go_on:
                break

    def _may_be_granted(self, assignment: Assignment, called: Target) -> bool:
        """Return whether a target's keys may be granted to it."""
        is_held = assignment.state is AssignmentState.held
        if not is_held or assignment.owner != called.target_id:
            return False
        if self.lives.has_owner_ended(assignment) or assignment.is_suspect:
            return False
        if assignment.process_with_fence() is not None:
            return True
        # The end of the owner's process must not free what a later one holds.
        is_same_life = assignment.owner_started_at == called.started_at
        # A process of the owner that has not accepted the fence may have
        # started after the grants of a later leader.
        return is_same_life and self._leader_term.store_age() < STALE_AFTER

    async def _grant_one(self, assignment: Assignment, called: Target) -> bool:
        """Grant one assignment; return whether to go on with the next."""
        check(
            Invariant.grant_within_term,
            self.has_authority(),
            first=assignment.first,
        )
        sent_at = self._clock.boot()
        duration = grant_duration(self._signs.silence_of(assignment.owner))
        unanswered_hold_time = MAX_TRANSIT_TIME + max_hold_time(duration)
        previous_bound = assignment.may_be_held_until
        # Until the answer arrives the grant may have taken effect.
        assignment.may_be_held_until = max(
            previous_bound, sent_at + GRANT_TIMEOUT + unanswered_hold_time
        )
        assignment.renew_at = sent_at + GRANT_RENEWAL_INTERVAL
        result = await self._call_grant(assignment, called, duration)
        now = self._clock.boot()
        if result.outcome is CallOutcome.done:
            self._probe_at_by_id.pop(assignment.owner, None)
            assignment.may_be_held_until = max(
                previous_bound, _hold_end(result, now, duration)
            )
            _mark_answered(assignment, result, sent_at)
            return True
        is_unproven = result.outcome is CallOutcome.unproven
        assignment.renew_at = now if is_unproven else now + GRANT_RETRY_DELAY
        for notify in self.on_failure:
            notify(assignment.owner)
        assignment.may_be_held_until = previous_bound
        if result.outcome is CallOutcome.unknown:
            _mark_unanswered(assignment, now + unanswered_hold_time)
        self.key_log.grant_failed(called, assignment, result, now)
        if result.outcome is CallOutcome.outdated:
            # The target has seen a higher fence: reassign above it.
            assignment.fence = Fence(assignment.fence + 1)
            assignment.state = AssignmentState.lapsing
            return True
        if is_unproven:
            return False
        if self.lives.has_owner_ended(assignment):
            self._probe_at_by_id.pop(assignment.owner, None)
            return False
        self._mark_unreachable(assignment.owner)
        return False

    async def _call_grant(
        self, assignment: Assignment, called: Target, duration: Seconds
    ) -> CallResult:
        """Grant an assignment; record whether the target was reached."""
        owner = assignment.owner
        sent_at = self._clock.boot()
        unanswered = self.paths.unanswered
        unanswered.record_sent(owner, GRANT_ID, self._clock.monotonic())
        self._leader_term.grants_in_progress += 1
        try:
            result = await self._target_client.grant(
                called.address,
                assignment.key_range(),
                duration,
                assignment.process_with_fence(),
            )
        finally:
            self._leader_term.grants_in_progress -= 1
            unanswered.record_end(owner, GRANT_ID)
        now = self._clock.monotonic()
        _record_path(self.paths, owner, result.outcome, now)
        if result.outcome in _OWN_ANSWERS:
            self._signs.record(owner, sent_at)
        if result.outcome is CallOutcome.done:
            self.lives.confirm(called)
            if not _is_renewal(assignment, result):
                self.key_log.granted(called, assignment, result, duration)
        elif result.outcome is CallOutcome.ended:
            self.lives.end(called, self._view.targets.relocated)
        return result

    def _mark_unreachable(self, target_id: TargetId) -> None:
        self._probe_at_by_id[target_id] = self._clock.boot() + PROBE_INTERVAL


def _record_path(
    paths: TargetPaths, owner: TargetId, outcome: CallOutcome, now: Seconds
) -> None:
    """Record what a call shows of the path to a target."""
    if outcome is CallOutcome.not_sent:
        paths.record_failure(owner, now)
    elif outcome is CallOutcome.unknown:
        paths.direct.record_doubt(owner, now)
    elif outcome is not CallOutcome.unproven:
        paths.record_answer(owner, now)


def _is_renewal(assignment: Assignment, result: CallResult) -> bool:
    """Return whether the process that answered had accepted the fence."""
    known = assignment.process_with_fence()
    if known is None:
        return False
    return result.process is None or known.is_same(result.process)


def _hold_end(result: CallResult, now: Seconds, duration: Seconds) -> Seconds:
    """Return when the hold of a grant ends whose answer has come by now.

    A copy of an earlier answer may come before the grant has arrived.
    """
    transit_time = 0 if result.is_first else MAX_TRANSIT_TIME
    return now + transit_time + max_hold_time(duration)


def _mark_answered(
    assignment: Assignment, result: CallResult, sent_at: Seconds
) -> None:
    """Note the process that has answered a grant, and what that tells.

    It rejects lower fences if its answer is the first on its connection. Any
    other one may be the copy of an answer to an earlier call. Then the answer
    to a renewal shows it that was sent when the earlier calls had ended.
    """
    is_known = assignment.process_with_fence() is not None
    if not is_known:
        assignment.accepted_at = sent_at
    assignment.process = result.process
    assignment.process_fence = assignment.fence
    is_later = is_known and assignment.accepted_at + GRANT_TIMEOUT <= sent_at
    if not result.is_first and not is_later:
        return
    assignment.is_inherited = False
    if assignment.fence > assignment.unanswered_fence:
        assignment.unanswered_until = 0


def _mark_unanswered(assignment: Assignment, until: Seconds) -> None:
    """Note that a grant without an answer may give the owner keys."""
    assignment.unanswered_until = max(assignment.unanswered_until, until)
    assignment.unanswered_fence = assignment.fence
    assignment.may_be_held_until = max(
        assignment.may_be_held_until, assignment.unanswered_until
    )
