"""The key ranges of a service, their owners and states, kept by the leader.

An assignment is held by one target, or is moving to another: its owner is
releasing it, or its last grant has yet to lapse. The row in the store names
the owner from before the first grant until the next owner's row is written.
"""

import enum
from collections.abc import Collection, Iterable
from typing import Final

import msgspec

from cassialever.fleet.model import KEY_COUNT, KeyMap, KeyRange, StartedAt
from cassialever.platform.entry_limits import MAX_INTEGER
from cassialever.platform.processes import TargetProcess
from cassialever.platform.targets import GRANT_TIMEOUT
from cassialever.types import (
    MS_PER_SECOND,
    Fence,
    RowVersion,
    Seconds,
    ServiceName,
    TargetId,
)

#: How long a grant lasts unless its owner has been silent. Renewals at a third
#: of it leave room for a lost one, and for the election of a new leader.
GRANT_DURATION: Final[Seconds] = 2.3
GRANT_RENEWAL_INTERVAL: Final[Seconds] = 0.7
#: A target's clock may run up to 2% slow, as the platform specifies.
SLOW_CLOCK_RATIO: Final = 1.02
#: Longest time for which a target holds keys after a grant has arrived.
MAX_HOLD_TIME: Final[Seconds] = GRANT_DURATION * SLOW_CLOCK_RATIO
#: How long after its timeout a call may still arrive. The timeout resets the
#: socket, by the kernel if this process stands still, so only bytes that have
#: left this machine can arrive.
MAX_TRANSIT_TIME: Final[Seconds] = 0.1
#: The same from the sending of a call on, if its end is not known.
MAX_GRANT_DURATION: Final[Seconds] = (
    GRANT_TIMEOUT + MAX_TRANSIT_TIME + MAX_HOLD_TIME
)
#: Fences by which those of a map may be above the store's version times this:
#: more than a leader raises while the store takes no writes.
FENCES_PER_VERSION: Final = 1024
#: The same for fences that were assigned a millisecond before, by the store's
#: clock.
FENCES_PER_MS: Final = 1024
#: No store has versions that lead here; owners get higher fences from it on.
MAX_FIRST_FENCE: Final = Fence(MAX_INTEGER >> 1)
#: Shortest grant, to an owner that has been silent for long. It shows whether
#: the owner answers, and a longer one follows.
MIN_GRANT_DURATION: Final[Seconds] = 0.3
#: An owner that was silent for longer before a grant is granted the same keys
#: again once it has answered.
MAX_SIGN_AGE: Final[Seconds] = 0.15


class AssignmentState(enum.Enum):
    """Whether a key range is held by its owner, or how far its move is."""

    held = 'held'
    releasing = 'releasing'
    lapsing = 'lapsing'
    free = 'free'
    #: Split or merged: other assignments cover its keys now.
    replaced = 'replaced'


class Assignment(msgspec.Struct, eq=False):
    """A key range, both ends included, and its owner.

    From `may_be_held_until` on the owner can't hold the keys, whatever the
    outcome of the calls to it. `unsettled_until` is the same for the grants
    whose outcome isn't proved: without an answer, or with one that isn't the
    first on its connection and may be the copy of another. They may take
    effect after a release. A target rejects them once it has seen a fence
    above `unsettled_fence`.

    The next fence is reserved for the owner, too: it settles such grants before
    a release. So the store has that one, and the next owner gets a higher one.

    While `is_suspect` is set, the owner may have restarted, and only a grant
    with a new fence may follow; the flag is cleared once that fence is in the
    store, or the process that has accepted the present one has answered. While
    `is_inherited` is set, earlier leaders may renew the grant; a confirmed
    grant with a fence of this term clears the flag, since the target then
    rejects lower fences.
    """

    first: int
    last: int
    owner: TargetId
    owner_started_at: StartedAt
    fence: Fence
    handover: str = ''
    state: AssignmentState = AssignmentState.held
    may_be_held_until: Seconds = 0
    unsettled_until: Seconds = 0
    unsettled_fence: Fence = Fence(0)
    renew_at: Seconds = 0
    #: When the owner was assigned.
    owned_since: Seconds = 0
    is_suspect: bool = False
    is_inherited: bool = False
    is_released: bool = False
    #: Whether the keys go to the owner of a neighbouring range.
    is_joining: bool = False
    #: The process that has accepted the fence below.
    process: TargetProcess | None = None
    process_fence: Fence = Fence(0)

    @property
    def key_count(self) -> int:
        """Return the number of keys in the range."""
        return self.last - self.first + 1

    @property
    def highest_fence(self) -> Fence:
        """Return the highest fence that the owner may get."""
        return Fence(self.fence + 1)

    def process_with_fence(self) -> TargetProcess | None:
        """Return the process that knows the fence, if one has accepted it.

        A later process of the owner must get a higher one.
        """
        return self.process if self.process_fence == self.fence else None

    def key_range(self) -> KeyRange:
        """Return the range as it is stored."""
        return self._range_with(self.highest_fence)

    def called_range(self) -> KeyRange:
        """Return the range as it is sent to targets."""
        return self._range_with(self.fence)

    def _range_with(self, fence: Fence) -> KeyRange:
        return KeyRange(
            self.first,
            self.last,
            self.owner,
            self.owner_started_at,
            fence,
            self.handover,
        )


class Assignments:
    """All assignments of one service, ascending, without overlap or gap."""

    def __init__(
        self, service: ServiceName, assignments: list[Assignment]
    ) -> None:
        """Start with assignments that cover all keys, or with none."""
        self.service = service
        self.ordered = assignments

    @property
    def highest_fence(self) -> int:
        """Return the highest fence that one of the owners may get."""
        return max(
            (assignment.highest_fence for assignment in self.ordered), default=0
        )

    def key_map(self) -> KeyMap:
        """Return the map as it is stored."""
        return KeyMap(
            self.service,
            tuple(assignment.key_range() for assignment in self.ordered),
        )

    def in_state(self, *states: AssignmentState) -> list[Assignment]:
        """Return the assignments in one of the states."""
        return [
            assignment
            for assignment in self.ordered
            if assignment.state in states
        ]

    def moving(self) -> list[Assignment]:
        """Return the assignments that are moving to another owner."""
        return [
            assignment
            for assignment in self.ordered
            if assignment.state is not AssignmentState.held
        ]

    def held_by(self, owner: TargetId) -> list[Assignment]:
        """Return the assignments that a target holds and that stay there."""
        return [
            assignment
            for assignment in self.in_state(AssignmentState.held)
            if assignment.owner == owner
        ]

    def split_off(
        self, assignment: Assignment, first: int, last: int
    ) -> Assignment:
        """Split an assignment and return the part from first to last."""
        position = self.ordered.index(assignment)
        bounds = [
            (assignment.first, first - 1),
            (first, last),
            (last + 1, assignment.last),
        ]
        parts = [
            msgspec.structs.replace(assignment, first=start, last=end)
            for start, end in bounds
            if start <= end
        ]
        assignment.state = AssignmentState.replaced
        self.ordered = [
            *self.ordered[:position],
            *parts,
            *self.ordered[position + 1 :],
        ]
        return next(part for part in parts if part.first == first)

    def merge_neighbours(self, pending_owners: Collection[TargetId]) -> None:
        """Merge held neighbours with the same owner, fence and flags.

        Grants to pending owners are in progress, so their assignments are
        not merged. Handovers differ only if they have been used already.
        """
        merged: list[Assignment] = []
        for assignment in self.ordered:
            is_idle = assignment.owner not in pending_owners
            if merged and is_idle and _can_merge(merged[-1], assignment):
                _extend(merged[-1], assignment)
                continue
            merged.append(assignment)
        self.ordered = merged


def inherited_assignments(key_map: KeyMap, now: Seconds) -> Assignments:
    """Return the assignments of a map that another leader wrote.

    The other leader may have granted them up to this moment.
    """
    return Assignments(
        key_map.service,
        [
            Assignment(
                first=keys.first,
                last=keys.last,
                owner=keys.owner,
                owner_started_at=keys.owner_started_at,
                fence=Fence(keys.fence - 1),
                handover=keys.handover,
                may_be_held_until=now + MAX_GRANT_DURATION,
                unsettled_until=now + MAX_GRANT_DURATION,
                owned_since=now,
                is_suspect=True,
                is_inherited=True,
            )
            for keys in key_map.ranges
        ],
    )


def first_fence(term: RowVersion) -> Fence:
    """Return a fence above all that were written before a term.

    A term is numbered by a version of the store, and those only rise.
    """
    return min(Fence(term * FENCES_PER_VERSION), MAX_FIRST_FENCE)


def least_fence(term: RowVersion, store_time: Seconds) -> Fence:
    """Return a fence above those of earlier terms.

    These were assigned before `store_time`, by the store's clock. It goes on
    where the store has lost writes, while versions and maps may repeat.
    """
    by_clock = Fence(int(store_time * MS_PER_SECOND) * FENCES_PER_MS)
    return min(max(first_fence(term), by_clock), MAX_FIRST_FENCE)


def grant_duration(silence: Seconds) -> Seconds:
    """Return how long a grant to an owner that was silent so far may last.

    It ends `MAX_GRANT_DURATION` after the owner's last sign of life, also if
    it is not answered: a renewal to an owner that has been lost meanwhile
    does not prolong the time for which its keys have to wait.
    """
    remaining = GRANT_DURATION - silence / SLOW_CLOCK_RATIO
    return max(remaining, MIN_GRANT_DURATION)


def max_hold_time(duration: Seconds) -> Seconds:
    """Return the longest time of a grant from its arrival on."""
    return duration * SLOW_CLOCK_RATIO


def covers_all(assignments: Iterable[Assignment]) -> bool:
    """Return whether assignments cover every key once, in order."""
    expected = 0
    for assignment in assignments:
        if assignment.first != expected or assignment.last < assignment.first:
            return False
        expected = assignment.last + 1
    return expected == KEY_COUNT


def _can_merge(left: Assignment, right: Assignment) -> bool:
    if AssignmentState.held is not left.state or left.state is not right.state:
        return False
    return _grant_terms(left) == _grant_terms(right)


def _grant_terms(assignment: Assignment) -> tuple[object, ...]:
    process = assignment.process_with_fence()
    # A process that has accepted the fence has used the handover.
    return (
        assignment.owner,
        assignment.owner_started_at,
        assignment.fence,
        assignment.handover if process is None else '',
        (assignment.is_suspect, process),
    )


def _extend(left: Assignment, right: Assignment) -> None:
    """Extend an assignment over its right neighbour's keys."""
    left.last = right.last
    if left.handover != right.handover:
        left.handover = ''
    left.renew_at = min(left.renew_at, right.renew_at)
    left.owned_since = max(left.owned_since, right.owned_since)
    left.may_be_held_until = max(
        left.may_be_held_until,
        right.may_be_held_until,
    )
    left.unsettled_until = max(left.unsettled_until, right.unsettled_until)
    left.unsettled_fence = max(left.unsettled_fence, right.unsettled_fence)
    left.is_inherited = left.is_inherited or right.is_inherited
    right.state = AssignmentState.replaced
