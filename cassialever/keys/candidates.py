"""The targets that may own a service's keys."""

from typing import Final

from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.keys.assignments import Assignment
from cassialever.keys.granting import Granter
from cassialever.types import Seconds, ServiceName, TargetId

#: How long the set of targets must be unchanged before the first assignment.
SETTLE_TIME: Final[Seconds] = 0.6
#: How long after an owner has said that it leaves the move of its last keys
#: begins. The rest of MAX_OWNER_LEAVING_TIME is for that move.
MAX_MOVE_DELAY: Final[Seconds] = 0.5


class Candidates:
    """Selects the targets of a service that may own its keys."""

    def __init__(
        self,
        service: ServiceName,
        view: FleetView,
        granter: Granter,
    ) -> None:
        self._service = service
        self._view = view
        self._granter = granter
        self._last_ids: frozenset[TargetId] = frozenset()
        self._settled_at: Seconds = 0

    def eligible(self) -> list[Target]:
        """Return the targets that may get keys.

        Cold targets are included only if no warm one is reachable.
        """
        targets = self._view.targets
        usable = [
            target
            for target in targets.usable(self._service)
            if not self._granter.is_unreachable(target.target_id)
            and not self._granter.addresses.is_refusing(target.target_id)
            and not self._granter.lives.is_over(
                target.target_id, target.started_at
            )
        ]
        warm = [one for one in usable if not targets.is_cold(one.target_id)]
        return warm or usable

    def settled(self, now: Seconds) -> list[Target]:
        """Return the eligible targets in order, or none until they settle."""
        eligible = sorted(self.eligible(), key=_target_id)
        target_ids = frozenset(target.target_id for target in eligible)
        if target_ids != self._last_ids:
            self._last_ids = target_ids
            self._settled_at = now + SETTLE_TIME
        return eligible if now >= self._settled_at else []

    def is_disqualified(self, owner: TargetId, started_at: int) -> bool:
        """Return whether an owner is gone, unusable or has restarted.

        One that says that it leaves, and still serves its keys, is unusable
        only if another target may get them.
        """
        targets = self._view.targets
        target = targets.by_id.get(owner)
        if target is None or target.started_at != started_at:
            return True
        if not targets.is_usable_owner(target):
            return True
        return not targets.is_usable(target) and bool(self.eligible())

    def without_later_moves(
        self, held: list[Assignment], max_moves: int, now: Seconds
    ) -> list[Assignment]:
        """Leave out keys that may move when others have moved.

        `max_moves` is how many of those that may wait begin to move now.
        """
        chosen = []
        for keys in held:
            if self._may_leave_later(keys, now):
                if max_moves <= 0:
                    continue
                max_moves -= 1
            chosen.append(keys)
        return chosen

    def _may_leave_later(self, keys: Assignment, now: Seconds) -> bool:
        """Return whether an owner leaves and still serves its keys a while.

        `now` is in boot time.
        """
        targets = self._view.targets
        target = targets.by_id.get(keys.owner)
        if target is None or target.started_at != keys.owner_started_at:
            return False
        if targets.is_usable(target) or not targets.is_usable_owner(target):
            return False
        return now - targets.limits.leaving_since(target) < MAX_MOVE_DELAY


def _target_id(target: Target) -> TargetId:
    return target.target_id
