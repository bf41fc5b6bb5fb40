"""Grant keys to targets, renew the grants and have keys released."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cassialever.clock import SystemClock
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.lease import STALE_AFTER
from cassialever.fleet.model import KeyRange, Target
from cassialever.fleet.view import FleetView
from cassialever.invariants import Invariant, check
from cassialever.keys.assignments import (
    GRANT_RENEWAL_INTERVAL,
    MAX_SIGN_AGE,
    MAX_TRANSIT_TIME,
    MIN_GRANT_DURATION,
    Assignment,
    AssignmentState,
    grant_duration,
    max_hold_time,
)
from cassialever.keys.key_events import KeyLog
from cassialever.keys.lives import EndedLives
from cassialever.keys.owner_addresses import OwnerAddresses
from cassialever.keys.signs import SignsOfLife
from cassialever.platform.processes import TargetProcess
from cassialever.platform.targets import (
    GRANT_TIMEOUT,
    CallOutcome,
    CallResult,
    Presence,
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

#: Outcomes that are known from an answer of the owner itself. A refusal may be
#: that of another process at its address.
_OWN_ANSWERS: Final = frozenset((CallOutcome.done, CallOutcome.outdated))
#: Outcomes of calls that the process at the address has not carried out.
_REFUSALS: Final = frozenset((CallOutcome.refused, CallOutcome.ended))
#: Outcomes that show nothing of the path to the owner.
_NO_EVIDENCE: Final = frozenset((CallOutcome.refused, CallOutcome.unproven))
#: Of a call that was broken off at the end of the term.
_BROKEN_OFF: Final = CallResult(CallOutcome.unknown, reason='the term ends')
#: What is found where no target can take a call now.
_NOT_THERE: Final = frozenset((Presence.unreached, Presence.silent))
#: Sends a grant of keys to an address for a duration.
_Send = Callable[[str, KeyRange, Seconds], Coroutine[Any, Any, CallResult]]
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
        self.addresses = OwnerAddresses(view, clock)
        self.lives = self.addresses.lives
        self._refused_calls = self.addresses.refused_calls
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
        self._refused_calls.end(target_id)
        self._signs.forget(target_id)

    def due_probes(self) -> list[TargetId]:
        """Return the targets that failed to probe now; schedule the next."""
        now = self._clock.boot()
        due = [one for one, at in self._probe_at_by_id.items() if at <= now]
        for target_id in due:
            self._probe_at_by_id[target_id] = now + PROBE_INTERVAL
        refusing = self._refused_calls.due_probes(now)
        return due + [one for one in refusing if one not in due]

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
        called = self.addresses.reported(owner)
        if called is None:
            return
        await _wait_until_idle(self.pending_owners, owner)
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
        """Return whether a target may be called again after a failure.

        A connection shows the path to the address, not which target has that.
        One that refused before has to be found there, as far as a target with
        keys shows that. A target at its limit resets new connections. One that
        stands still accepts them, and would read a grant when it goes on.
        """
        called = self.addresses.reported(owner)
        if called is None:
            return False
        found = await self._target_client.probe(called.address)
        now = self._clock.boot()
        if found in _NOT_THERE:
            self._probe_at_by_id[owner] = now + PROBE_INTERVAL
            if found is Presence.unreached:
                self.paths.record_failure(owner, self._clock.monotonic())
            return False
        self._probe_at_by_id.pop(owner, None)
        self.paths.direct.record_probe_success(owner, self._clock.monotonic())
        if found is Presence.other:
            self._refused_calls.record(called, now)
        elif found is Presence.keyed:
            self._refused_calls.record_probe(owner)
        return not self.addresses.is_refusing(owner)

    async def check_replaced(self, called: Target) -> None:
        """Check whether a process without keys has the address of a target.

        The report of a daemon may be older than the process that is there now,
        which may be a later one of the same target, with keys.
        """
        found = Presence.unknown
        try:
            found = await self._target_client.probe(called.address)
        finally:
            self.addresses.end_check(
                called, is_replaced=found is Presence.other
            )

    async def prove(self, owner: TargetId, process: TargetProcess) -> bool:
        """Return whether a process of a target has answered: it runs on."""
        called = self.addresses.reported(owner)
        sent_at = self._clock.boot()
        if called is None or not await self._target_client.prove(
            called.address, process
        ):
            return False
        self._signs.record(owner, sent_at)
        self._probe_at_by_id.pop(owner, None)
        self.paths.record_answer(owner, self._clock.monotonic())
        return True

    async def release(self, assignment: Assignment, called: Target) -> None:
        """Have the owner release keys; the assignment then lapses."""
        # A renewal that is in progress must not arrive after the release.
        await _wait_until_idle(self.pending_owners, assignment.owner)
        if assignment.state is not AssignmentState.releasing:
            return
        if self.lives.has_owner_ended(assignment):
            assignment.state = AssignmentState.lapsing
            return
        is_leader = (
            self.has_authority() and self._leader_term.store_age() < STALE_AFTER
        )
        now = self._clock.boot()
        if is_leader and _is_unsettled(assignment, called, self.lives, now):
            await self._settle(assignment, called)
        result = await self._target_client.release(
            called.address, assignment.called_range()
        )
        now = self._clock.boot()
        self.addresses.record_outcome(called, result.outcome)
        assignment.is_released = result.outcome is CallOutcome.done
        if assignment.is_released:
            assignment.handover = result.handover
            # Unsettled grants may still take effect after the release.
            assignment.may_be_held_until = assignment.unsettled_until
        else:
            assignment.handover = ''
        self.key_log.released(called, assignment, result, now)
        assignment.state = AssignmentState.lapsing

    async def _grant_each(
        self,
        called: Target,
        assignments: list[Assignment],
    ) -> None:
        for assignment in assignments:
            # It may have been reassigned while an earlier call was running.
            if not _may_be_granted(
                assignment, called, self.lives, self._leader_term
            ):
                continue
            if not await self._grant_one(assignment, called):
                break

    async def _settle(self, assignment: Assignment, called: Target) -> None:
        """Have the owner reject the grants whose outcome isn't proved."""
        duration = grant_duration(self._signs.silence_of(assignment.owner))
        if assignment.owner_started_at != called.started_at:
            # Its hold is over before the next leader could take the process
            # that the store names for this one.
            duration = MIN_GRANT_DURATION
            assignment.owner_started_at = called.started_at
        assignment.fence = assignment.highest_fence
        result = await self._bounded_grant(
            assignment, called, duration, self._target_client.raise_fence
        )
        if result is not None and result.outcome is not CallOutcome.done:
            self.key_log.grant_failed(
                called, assignment, result, self._clock.boot()
            )

    async def _grant_one(self, assignment: Assignment, called: Target) -> bool:
        """Grant one assignment; return whether to go on with the next."""
        assignment.renew_at = self._clock.boot() + GRANT_RENEWAL_INTERVAL
        process = assignment.process_with_fence()
        duration = grant_duration(self._signs.silence_of(assignment.owner))
        result = await self._bounded_grant(
            assignment,
            called,
            duration,
            functools.partial(self._target_client.grant, process=process),
        )
        if result is None:
            return False
        now = self._clock.boot()
        if result.outcome is CallOutcome.done:
            self._probe_at_by_id.pop(assignment.owner, None)
            return True
        is_unproven = result.outcome is CallOutcome.unproven
        assignment.renew_at = now if is_unproven else now + GRANT_RETRY_DELAY
        for notify in self.on_failure:
            notify(assignment.owner)
        self.key_log.grant_failed(called, assignment, result, now)
        if result.outcome is CallOutcome.outdated:
            # The target has seen a higher fence: reassign above it.
            assignment.fence = Fence(assignment.fence + 1)
            if assignment.state is AssignmentState.held:
                assignment.state = AssignmentState.lapsing
            return True
        if is_unproven:
            return False
        if self.lives.has_owner_ended(assignment):
            self._probe_at_by_id.pop(assignment.owner, None)
            return False
        if result.outcome not in _REFUSALS:
            self._probe_at_by_id[assignment.owner] = now + PROBE_INTERVAL
        return False

    async def _bounded_grant(
        self,
        assignment: Assignment,
        called: Target,
        duration: Seconds,
        send: _Send,
    ) -> CallResult | None:
        """Grant an assignment; note until when its owner may hold the keys.

        Return None, and send nothing, if authority has ended.
        """
        # Authority may end between two readings of the clock.
        sent_at = self._clock.boot()
        if not self._leader_term.has_authority(sent_at):
            return None
        unanswered_hold_time = MAX_TRANSIT_TIME + max_hold_time(duration)
        previous_bound = assignment.may_be_held_until
        # Until the answer arrives the grant may have taken effect.
        assignment.may_be_held_until = max(
            previous_bound,
            sent_at + GRANT_TIMEOUT + unanswered_hold_time,
        )
        result = await self._call_grant(
            assignment, called, duration, send, sent_at
        )
        now = self._clock.boot()
        assignment.may_be_held_until = previous_bound
        if result.outcome is CallOutcome.done:
            _mark_answered(assignment, result, now, duration)
        elif result.outcome is CallOutcome.unknown:
            _mark_unsettled(assignment, now + unanswered_hold_time)
        return result

    async def _call_grant(
        self,
        assignment: Assignment,
        called: Target,
        duration: Seconds,
        send: _Send,
        sent_at: Seconds,
    ) -> CallResult:
        """Grant an assignment; record whether the target was reached."""
        check(
            Invariant.grant_within_term,
            self._leader_term.has_authority(sent_at),
            first=assignment.first,
        )
        owner = assignment.owner
        # A fence that is raised before a release makes no new owner.
        is_leaving = assignment.state is AssignmentState.releasing
        unanswered = self.paths.unanswered
        unanswered.record_sent(owner, GRANT_ID, self._clock.monotonic())
        self._leader_term.grants_in_progress += 1
        try:
            answer = await self._leader_term.grant_calls.run(
                send(called.address, assignment.called_range(), duration)
            )
        finally:
            self._leader_term.grants_in_progress -= 1
            unanswered.record_end(owner, GRANT_ID)
        result = answer or _BROKEN_OFF
        now = self._clock.monotonic()
        _record_path(self.paths, owner, result.outcome, now)
        if result.outcome in _OWN_ANSWERS:
            self._signs.record(owner, sent_at)
        self.addresses.record_outcome(called, result.outcome)
        if result.outcome is CallOutcome.done:
            self.lives.confirm(called)
            if not is_leaving and not _is_renewal(assignment, result):
                self.key_log.granted(called, assignment, result, duration)
        return result


async def _wait_until_idle(pending: set[TargetId], owner: TargetId) -> None:
    while owner in pending:
        await asyncio.sleep(PENDING_POLL_INTERVAL)


def _may_be_granted(
    assignment: Assignment,
    called: Target,
    lives: EndedLives,
    leader_term: LeaderTerm,
) -> bool:
    """Return whether a target's keys may be granted to it."""
    is_held = assignment.state is AssignmentState.held
    if not is_held or assignment.owner != called.target_id:
        return False
    if lives.has_owner_ended(assignment) or assignment.is_suspect:
        return False
    if assignment.process_with_fence() is not None:
        return True
    # The end of the owner's process must not free what a later one holds.
    is_same_life = assignment.owner_started_at == called.started_at
    # A process of the owner that has not accepted the fence may have started
    # after the grants of a later leader.
    return is_same_life and leader_term.store_age() < STALE_AFTER


def _is_unsettled(
    assignment: Assignment, called: Target, lives: EndedLives, now: Seconds
) -> bool:
    """Return whether a fence that the owner may get can settle grants.

    An earlier leader may have used that of an inherited assignment.
    """
    if assignment.process_with_fence() is None:
        return False
    if lives.is_over(called.target_id, called.started_at):
        return False
    return now < assignment.unsettled_until


def _record_path(
    paths: TargetPaths, owner: TargetId, outcome: CallOutcome, now: Seconds
) -> None:
    """Record what a call shows of the path to a target."""
    if outcome is CallOutcome.not_sent:
        paths.record_failure(owner, now)
    elif outcome is CallOutcome.unknown:
        paths.direct.record_doubt(owner, now)
    elif outcome not in _NO_EVIDENCE:
        paths.record_answer(owner, now)


def _is_renewal(assignment: Assignment, result: CallResult) -> bool:
    """Return whether the process that answered had accepted the fence."""
    known = assignment.process_with_fence()
    if known is None:
        return False
    return result.process is None or known.is_same(result.process)


def _mark_answered(
    assignment: Assignment, result: CallResult, now: Seconds, duration: Seconds
) -> None:
    """Note the process that has accepted a grant, and what that proves.

    It rejects lower fences if its answer is the first on its connection. Any
    other one may be the copy of an answer to an earlier call, also several in a
    row, and may come before the grant has arrived.
    """
    assignment.process = result.process
    assignment.process_fence = assignment.fence
    hold_time = max_hold_time(duration)
    if not result.is_first:
        _mark_unsettled(assignment, now + MAX_TRANSIT_TIME + hold_time)
        return
    assignment.may_be_held_until = max(
        assignment.may_be_held_until, now + hold_time
    )
    assignment.is_inherited = False
    if assignment.fence > assignment.unsettled_fence:
        assignment.unsettled_until = 0


def _mark_unsettled(assignment: Assignment, until: Seconds) -> None:
    """Note that a grant whose outcome isn't proved may give the owner keys."""
    assignment.unsettled_until = max(assignment.unsettled_until, until)
    assignment.unsettled_fence = assignment.fence
    assignment.may_be_held_until = max(
        assignment.may_be_held_until, assignment.unsettled_until
    )
