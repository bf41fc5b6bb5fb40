"""Grant keys to targets, renew the grants and have keys released."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.leading import LeaderTerm
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
    ) -> None:
        """Start with all targets taken as reachable."""
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
        self._address_by_id: dict[TargetId, str] = {}
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

    def address_of(self, target_id: TargetId) -> str | None:
        """Return a target's current or last known address."""
        target = self._view.targets.by_id.get(target_id)
        if target is not None:
            self._address_by_id[target_id] = target.address
        return self._address_by_id.get(target_id)

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
        address = self.address_of(owner)
        if address is None:
            return
        await self._wait_until_idle(owner)
        if self._signs.silence_of(owner) > MAX_SIGN_AGE:
            # The first grant is short. Its answer is a sign of life, so that
            # the others are not, and the same keys are granted once more.
            assignments = [assignments[-1], *assignments]
        self.pending_owners.add(owner)
        try:
            await self._grant_each(owner, assignments, address)
        finally:
            self.pending_owners.discard(owner)

    async def probe(self, owner: TargetId) -> bool:
        """Return whether a connection to a target can be made."""
        address = self.address_of(owner)
        sent_at = self._clock.boot()
        if address is not None and await self._target_client.can_connect(
            address
        ):
            self._signs.record(owner, sent_at)
            self._probe_at_by_id.pop(owner, None)
            self.paths.direct.record_probe_success(
                owner, self._clock.monotonic()
            )
            return True
        self._mark_unreachable(owner)
        self.paths.record_failure(owner, self._clock.monotonic())
        return False

    async def release(self, assignment: Assignment, address: str) -> None:
        """Have the owner release keys; the assignment then lapses."""
        # A renewal that is in progress must not arrive after the release.
        await self._wait_until_idle(assignment.owner)
        result = await self._target_client.release(
            address, assignment.key_range()
        )
        if result.outcome is CallOutcome.done:
            assignment.handover = result.handover
            # Unanswered grants may still take effect after the release.
            assignment.may_be_held_until = assignment.unanswered_until
            self._record(Event.keys_released, assignment, result)
        else:
            assignment.handover = ''
            self._record(Event.release_failed, assignment, result)
        assignment.state = AssignmentState.lapsing

    async def _wait_until_idle(self, owner: TargetId) -> None:
        while owner in self.pending_owners:
            await asyncio.sleep(PENDING_POLL_INTERVAL)

    async def _grant_each(
        self,
        owner: TargetId,
        assignments: list[Assignment],
        address: str,
    ) -> None:
        for assignment in assignments:
            # It may have been reassigned while an earlier call was running,
            # or its owner may have become suspect.
            if assignment.owner != owner or not _may_be_granted(assignment):
                continue
            may_go_on = self.has_authority() and await self._grant_one(
                assignment, address
            )
            if not may_go_on:
                break

    async def _grant_one(self, assignment: Assignment, address: str) -> bool:
        """Grant one assignment; return whether to go on with the next."""
        check(
            Invariant.grant_within_term,
            self.has_authority(),
            first=assignment.first,
        )
        sent_at = self._clock.boot()
        duration = grant_duration(self._signs.silence_of(assignment.owner))
        hold_time = max_hold_time(duration)
        unanswered_hold_time = MAX_TRANSIT_TIME + hold_time
        previous_bound = assignment.may_be_held_until
        # Until the answer arrives the grant may have taken effect.
        assignment.may_be_held_until = max(
            previous_bound, sent_at + GRANT_TIMEOUT + unanswered_hold_time
        )
        assignment.renew_at = sent_at + GRANT_RENEWAL_INTERVAL
        result = await self._call_grant(assignment, address, duration)
        now = self._clock.boot()
        if result.outcome is CallOutcome.done:
            self._probe_at_by_id.pop(assignment.owner, None)
            _mark_confirmed(assignment, max(previous_bound, now + hold_time))
            return True
        self._record(Event.grant_failed, assignment, result)
        assignment.renew_at = now + GRANT_RETRY_DELAY
        for notify in self.on_failure:
            notify(assignment.owner)
        if result.outcome is CallOutcome.unknown:
            assignment.unanswered_until = max(
                assignment.unanswered_until, now + unanswered_hold_time
            )
            assignment.unanswered_fence = assignment.fence
            assignment.may_be_held_until = max(
                previous_bound, assignment.unanswered_until
            )
        else:
            assignment.may_be_held_until = previous_bound
        if result.outcome is CallOutcome.outdated:
            # The target has seen a higher fence: reassign above it.
            assignment.fence = Fence(assignment.fence + 1)
            assignment.state = AssignmentState.lapsing
            return True
        self._mark_unreachable(assignment.owner)
        return False

    async def _call_grant(
        self, assignment: Assignment, address: str, duration: Seconds
    ) -> CallResult:
        """Grant an assignment; record whether the target was reached."""
        owner = assignment.owner
        sent_at = self._clock.boot()
        unanswered = self.paths.unanswered
        unanswered.record_sent(owner, GRANT_ID, self._clock.monotonic())
        try:
            result = await self._target_client.grant(
                address, assignment.key_range(), duration
            )
        finally:
            unanswered.record_end(owner, GRANT_ID)
        now = self._clock.monotonic()
        if result.outcome is CallOutcome.not_sent:
            self.paths.record_failure(owner, now)
        elif result.outcome is CallOutcome.unknown:
            self.paths.direct.record_doubt(owner, now)
        else:
            self.paths.record_answer(owner, now)
            self._signs.record(owner, sent_at)
        return result

    def _mark_unreachable(self, target_id: TargetId) -> None:
        self._probe_at_by_id[target_id] = self._clock.boot() + PROBE_INTERVAL

    def _record(
        self, event: Event, assignment: Assignment, result: CallResult
    ) -> None:
        free_in = assignment.may_be_held_until - self._clock.boot()
        record(
            event,
            target=assignment.owner,
            first=assignment.first,
            last=assignment.last,
            fence=assignment.fence,
            end=result.outcome.value,
            reason=result.reason,
            free_in=round(max(free_in, 0), 3),
        )


def _mark_confirmed(assignment: Assignment, held_until: Seconds) -> None:
    """Note that the owner now rejects grants with lower fences."""
    assignment.is_inherited = False
    assignment.may_be_held_until = held_until
    if assignment.fence > assignment.unanswered_fence:
        assignment.unanswered_until = 0


def _may_be_granted(assignment: Assignment) -> bool:
    is_held = assignment.state is AssignmentState.held
    return is_held and not assignment.is_suspect
