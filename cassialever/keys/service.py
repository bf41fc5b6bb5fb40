"""Assign the keys of one service, as the leader."""

import asyncio
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap, StoreRow
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import OWN_TABLE, FleetView
from cassialever.invariants import FirstViolation, Invariant, check
from cassialever.keys import planning
from cassialever.keys.assignments import (
    Assignment,
    Assignments,
    AssignmentState,
    covers_all,
    inherited_assignments,
)
from cassialever.keys.candidates import Candidates
from cassialever.keys.granting import GRANT_RETRY_DELAY, Granter
from cassialever.keys.heat import (
    HEAT_UPDATE_INTERVAL,
    KeyHeats,
    TargetLatencies,
)
from cassialever.keys.joining import NeighbourJoiner
from cassialever.keys.key_events import FreeingFact
from cassialever.keys.map_size import ranges_per_target, room_of
from cassialever.keys.mapwriter import MapWriter, row_name
from cassialever.keys.steps import Steps
from cassialever.keys.suspects import RaisedFences, SuspectOwners
from cassialever.keys.suspicion import SuspicionLimit
from cassialever.keys.targetloads import OwnerLoads
from cassialever.platform.entry_limits import DEFAULT_ROW_BYTES
from cassialever.tasks import BackgroundTasks
from cassialever.types import Fence, RowVersion, Seconds, ServiceName, TargetId

#: Keys move only if the store answered within this time: two renewals of the
#: lease and a slow answer.
MAX_STORE_AGE_FOR_MOVES: Final[Seconds] = 1.2
#: Number of moving assignments at which no more are moved for load.
MAX_MOVING: Final = 8
#: The same for owners that leave and still serve the rest of their keys.
MAX_MOVING_FROM_LEAVING: Final = 2


class TermContext:
    """What the assigners of all services share during one term."""

    def __init__(
        self,
        view: FleetView,
        relay: Relay,
        granter: Granter,
        leader_term: LeaderTerm,
        clock: SystemClock,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        self.view = view
        self.relay = relay
        self.granter = granter
        self.leader_term = leader_term
        self.clock = clock
        #: Size of the store's rows.
        self.row_bytes = row_bytes
        #: Latencies that all daemons have reported during the term.
        self.latencies = TargetLatencies()
        #: What background tasks found violated, so that the term has to end.
        self.violation = FirstViolation()


class ServiceAssigner:
    """Assigns the keys of one service during one term of this daemon."""

    def __init__(self, service: ServiceName, context: TermContext) -> None:
        """Start with the assignments in the store, if it has any."""
        self.service = service
        self.heats = KeyHeats()
        self.heat = self.heats.recent
        self.assignments = Assignments(service, [])
        self._context = context
        self._granter = context.granter
        self._tasks = BackgroundTasks(context.violation.note)
        self._candidates = Candidates(service, context.view, context.granter)
        self._loads = OwnerLoads(
            self.assignments,
            self._candidates.eligible,
            self.heat,
            context.latencies,
            context.view.targets.limits,
        )
        self._joiner = NeighbourJoiner(
            self.assignments, self._loads, self.heat, context.granter
        )
        self._update_heat_at: Seconds = 0
        self._retry_write_at: Seconds = 0
        #: Keys that are being granted to the owner which their map names.
        self._arriving: list[tuple[int, int]] = []
        self._is_writing = False
        self._is_in_doubt = False
        #: Ticks that come before the next regular one.
        self.steps = Steps(self._tasks, lambda: self.tick(context.clock.boot()))
        self._writer = MapWriter(service, context.leader_term)
        #: Owners that are not known may hold the keys otherwise.
        self._knows_owners = self._inherit()
        self._suspicion = SuspicionLimit(
            service,
            context.leader_term.suspected_moves,
            context.granter.paths,
        )
        self._suspects = SuspectOwners(
            self.assignments, context.granter, self._tasks, context.clock
        )

    def tick(self, now: Seconds) -> None:
        """Advance every assignment for which something is due."""
        if not self._knows_owners or self._context.violation.error is not None:
            return
        # Any target may hold any keys until then.
        leader_term = self._context.leader_term
        if leader_term.doubt.is_open():
            self._is_in_doubt = True
            return
        if self._is_in_doubt:
            self._is_in_doubt = False
            # Losses that were found since may have had higher fences.
            _raise_fences(self.assignments.ordered, leader_term.fences.least())
        for called in self._granter.addresses.claim_checks(
            {one.owner for one in self.assignments.ordered}
        ):
            self.steps.start_after(self._granter.check_replaced(called))
        if not self.assignments.ordered:
            self._assign_first(now)
            return
        self._reclaim_due(now)
        self._free_lapsed(now)
        self._announce_moving()
        self._assign_free(now)
        self._renew(now)

    def stop(self) -> None:
        """Cancel the calls and writes in progress."""
        self._tasks.stop()

    def _inherit(self) -> bool:
        """Take over the stored assignments; return whether they are known.

        A row that can't be read may name owners, and fences above all others
        that are known.
        """
        view = self._context.view
        name = row_name(self.service)
        row = view.rows.by_table_and_name.get((OWN_TABLE, name))
        index = view.keys_by_service.get(self.service)
        self._granter.key_log.inherited(
            self.service, row, index, self._context.leader_term.fences.least()
        )
        if row is None:
            return True
        inherited: list[Assignment] = []
        if index is not None and index.version == row.version:
            now = self._context.clock.boot()
            inherited = inherited_assignments(index.key_map, now).ordered
        if not covers_all(inherited):
            record(Event.owners_unknown, service=self.service, row=name)
            return False
        # The store may have lost the newest map.
        _raise_fences(inherited, self._context.leader_term.fences.least())
        self.assignments.ordered = inherited
        self._writer.start_from(row)
        return True

    def _assign_first(self, now: Seconds) -> None:
        """Assign all keys once the set of targets has settled.

        Where a map was removed, earlier leaders' grants may last.
        """
        targets = self._candidates.settled(now)
        leader_term = self._context.leader_term
        may_last = leader_term.mapped_services.may_be_granted(self.service)
        if may_last or not targets:
            return
        assignments = planning.assign_evenly(
            targets,
            leader_term.fences.least(),
            ranges_per_target(targets, self._context.row_bytes),
        )
        for assignment in assignments:
            assignment.state = AssignmentState.free
        self.assignments.ordered = assignments
        self._is_writing = True
        self._tasks.start(self._write_and_grant(assignments))

    def _reclaim_due(self, now: Seconds) -> None:
        """Reclaim keys from owners that are disqualified or overloaded."""
        # Reclaimed keys have no holder until the store has the row of their
        # next owner, so none are reclaimed while it does not answer.
        is_store_fresh = (
            self._context.leader_term.store_age() < MAX_STORE_AGE_FOR_MOVES
        )
        if not is_store_fresh or not self._granter.has_authority():
            return
        # They would have no holder until then; their owners may serve them.
        if not self._context.leader_term.earlier_grants.unnamed_have_expired():
            return
        moving = len(self.assignments.moving()) + len(self._arriving)
        for assignment in self._candidates.without_later_moves(
            self.assignments.in_state(AssignmentState.held),
            MAX_MOVING_FROM_LEAVING - moving,
            now,
        ):
            if self._must_leave_owner(assignment, now):
                self._reclaim(
                    assignment,
                    'its owner is gone, unusable, unreachable or restarted',
                )
        if now < self._update_heat_at:
            return
        self._update_heat_at = now + HEAT_UPDATE_INTERVAL
        self.heats.update()
        # Busy owners serve the keys that could not be given to others.
        if not self._context.leader_term.has_failed_write:
            self._balance(now)

    def _free_lapsed(self, now: Seconds) -> None:
        # Any process may hold what was granted without naming a target.
        if not self._context.leader_term.earlier_grants.unnamed_have_expired():
            return
        earlier_leaders_expired = (
            self._context.leader_term.earlier_leaders_expired()
        )
        for assignment in self.assignments.in_state(AssignmentState.lapsing):
            # Earlier leaders may renew what they had granted.
            may_be_renewed = (
                assignment.is_inherited and not earlier_leaders_expired
            )
            # The end of a grant in progress is known with its answer.
            is_pending = assignment.owner in self._granter.pending_owners
            is_expired = (
                now >= assignment.may_be_held_until and not may_be_renewed
            )
            is_over = is_expired or self._granter.lives.has_owner_ended(
                assignment
            )
            if is_over and not is_pending:
                assignment.state = AssignmentState.free
                self._granter.key_log.freed(
                    self.service,
                    assignment,
                    _freeing_fact(assignment, is_expired=is_expired),
                    now,
                )

    def _balance(self, now: Seconds) -> None:
        if len(self.assignments.moving()) >= MAX_MOVING:
            return
        # Assignments of pending owners are neither merged nor split, since
        # grants for them are in progress.
        pending_owners = frozenset(self._granter.pending_owners)
        self.assignments.merge_neighbours(pending_owners)
        room = room_of(self.assignments, self._context.row_bytes)
        planning_round = planning.PlanningRound(
            now, pending_owners, may_split=room.may_split
        )
        for heat, reason in self.heats.to_plan_with():
            moving = planning.choose_moves(
                self.assignments,
                self._loads.current(heat),
                heat,
                planning_round,
            )
            for assignment in moving:
                self._reclaim(assignment, reason)
            if moving:
                break
        if not room.should_join:
            return
        for assignment in self._joiner.choose(planning_round):
            self._reclaim(assignment, 'the key map has little room left')

    def _must_leave_owner(self, assignment: Assignment, now: Seconds) -> bool:
        if self._granter.lives.has_owner_ended(assignment):
            return True
        if self._granter.addresses.is_checking(assignment.owner):
            return False
        if self._candidates.is_disqualified(
            assignment.owner, assignment.owner_started_at
        ):
            return True
        # The grant has lapsed, and an unreachable owner gets no renewal.
        if now < assignment.may_be_held_until:
            return False
        if self._granter.addresses.is_refusing(assignment.owner):
            return bool(self._candidates.eligible())
        if not self._granter.is_unreachable(assignment.owner):
            return False
        return self._suspicion.claim(
            assignment.owner,
            assignment.key_count,
            self._context.clock.monotonic(),
        )

    def _reclaim(self, assignment: Assignment, reason: str) -> None:
        check(
            Invariant.leaves_once,
            assignment.state is AssignmentState.held,
            first=assignment.first,
            state=assignment.state.value,
        )
        record(
            Event.keys_leaving,
            service=self.service,
            target=assignment.owner,
            first=assignment.first,
            last=assignment.last,
            fence=assignment.fence,
            term=self._context.leader_term.term,
            reason=reason,
            heat=round(self.heat.of(assignment.first, assignment.last), 1),
        )
        assignment.handover = ''
        # A restarted target is called too: its keys may have been renewed
        # before its restart was known.
        called = self._granter.addresses.reported(assignment.owner)
        is_lost = self._granter.lives.has_owner_ended(
            assignment
        ) or self._granter.addresses.is_refusing(assignment.owner)
        if called is not None and not self._granter.addresses.is_replaced(
            called
        ):
            # A process that has another's address answers at once.
            is_lost = is_lost or self._granter.is_unreachable(assignment.owner)
        if called is None or is_lost:
            assignment.state = AssignmentState.lapsing
            return
        assignment.state = AssignmentState.releasing
        self.steps.start_after(self._granter.release(assignment, called))

    def _announce_moving(self) -> None:
        moving = [(one.first, one.last) for one in self.assignments.moving()]
        moving.extend(self._arriving)
        self._context.relay.announce_moving(
            messages.Moving(self.service, moving),
        )

    def _assign_free(self, now: Seconds) -> None:
        """Assign free keys to the least busy targets.

        The map is also written if the store may have lost it.
        """
        free = self.assignments.in_state(AssignmentState.free)
        if self._is_writing or now < self._retry_write_at:
            return
        if not free and not self._writer.may_be_lost():
            return
        load_by_id = self._loads.current()
        if not load_by_id or not self._granter.has_authority():
            return
        fence = self._context.leader_term.fences.next_after(
            self.assignments.highest_fence
        )
        joined = self._joiner.join(free, load_by_id, fence)
        others = [one for one in free if one not in joined]
        for assignment, target in planning.choose_owners(
            others, load_by_id, self.heat, now
        ):
            check(
                Invariant.fence_rises,
                fence > assignment.fence,
                first=assignment.first,
                fence=fence,
            )
            assignment.owner = target.target_id
            assignment.owner_started_at = target.started_at
            assignment.fence = fence
        self._is_writing = True
        self._tasks.start(self._write_and_grant([*others, *joined]))

    def _regrant_suspects(self, now: Seconds) -> None:
        """Grant keys again, with a new fence, to suspect owners now reached."""
        reached = self._suspects.probe_due(now)
        if not reached or self._is_writing or now < self._retry_write_at:
            return
        self._suspects.clear_reached()
        fences = self._context.leader_term.fences
        raised = RaisedFences(
            reached, fences.next_after(self.assignments.highest_fence)
        )
        self._is_writing = True
        self._tasks.start(self._write_and_grant(reached, raised))

    async def _write_and_grant(
        self, changed: list[Assignment], raised: RaisedFences | None = None
    ) -> None:
        """Write and publish the key map, then grant what changed.

        Other daemons have the map before any target has keys by it: the next
        leader learns from it that the store has lost the map. Requests wait
        until the keys are granted.
        """
        written = _covering_map(self.assignments)
        free = _only_free(changed)
        try:
            row = await self._writer.write(written)
        finally:
            self._is_writing = False
        self.steps.start()
        if row is None:
            self._retry_write_at = (
                self._context.clock.boot() + GRANT_RETRY_DELAY
            )
            if raised is not None:
                raised.withdraw()
            return
        _check_written(free, written)
        arriving = [(one.first, one.last) for one in free]
        self._arriving.extend(arriving)
        # Those that became free meanwhile have lost the owner that is written.
        freed = [one for one in _only_free(changed) if one not in free]
        try:
            # Others have got a later fence meanwhile, not written yet.
            await self._grant_written(
                row,
                [
                    one
                    for one in changed
                    if one not in freed and one.key_range() in written.ranges
                ],
            )
        finally:
            self._arriving = [
                keys for keys in self._arriving if keys not in arriving
            ]
        self._announce_moving()
        self.steps.start()

    async def _grant_written(
        self, row: StoreRow, changed: list[Assignment]
    ) -> None:
        """Publish a map and grant what has changed in it."""
        self._announce_moving()
        _publish(self._context.view, row, self._writer.version)
        now = self._context.clock.boot()
        for assignment in changed:
            # The new fence is in the store, so it may be granted.
            assignment.is_suspect = False
            if assignment.state is AssignmentState.free:
                _mark_assigned(assignment, now)
        await asyncio.gather(*self._granter.grants_by_owner(changed))
        record(
            Event.keys_assigned,
            service=self.service,
            term=self._context.leader_term.term,
            version=self._writer.version,
            keys=list(map(_log_entry, changed)),
        )

    def _renew(self, now: Seconds) -> None:
        if not self._granter.has_authority():
            return
        self._regrant_suspects(now)
        due = [
            assignment
            for assignment in self.assignments.in_state(AssignmentState.held)
            if assignment.renew_at <= now
            and not assignment.is_suspect
            and not self._granter.lives.has_owner_ended(assignment)
            and assignment.owner not in self._granter.pending_owners
        ]
        for work in self._granter.grants_by_owner(due):
            self._tasks.start(work)


def _raise_fences(assignments: list[Assignment], least: Fence) -> None:
    """Have the next fences exceed those of earlier terms."""
    for assignment in assignments:
        assignment.fence = max(assignment.fence, least)


def _covering_map(assignments: Assignments) -> KeyMap:
    """Return the map as it is stored, which names an owner for each key."""
    check(
        Invariant.keys_covered,
        covers_all(assignments.ordered),
        service=assignments.service,
    )
    return assignments.key_map()


def _only_free(assignments: list[Assignment]) -> list[Assignment]:
    return [one for one in assignments if one.state is AssignmentState.free]


def _check_written(free: list[Assignment], written: KeyMap) -> None:
    """Check that free keys are granted as they were written."""
    for assignment in free:
        check(
            Invariant.grant_has_row,
            assignment.key_range() in written.ranges,
            first=assignment.first,
            target=assignment.owner,
        )


def _publish(view: FleetView, row: StoreRow, at_most: RowVersion) -> None:
    """Publish a row with the lowest version that it can have."""
    view.rows.bounds.note(row, at_most)
    view.apply(OWN_TABLE, [row], row.version)


def _freeing_fact(assignment: Assignment, *, is_expired: bool) -> FreeingFact:
    if not is_expired:
        return FreeingFact.owner_ended
    if assignment.is_released:
        return FreeingFact.released
    return FreeingFact.expired


def _mark_assigned(assignment: Assignment, now: Seconds) -> None:
    """Note that free keys have an owner, which has no grant for them yet."""
    assignment.state = AssignmentState.held
    assignment.owned_since = now
    assignment.may_be_held_until = 0
    assignment.unsettled_until = 0
    assignment.is_inherited = False
    assignment.is_released = False


def _log_entry(assignment: Assignment) -> tuple[int, int, TargetId, Fence]:
    return assignment.first, assignment.last, assignment.owner, assignment.fence
