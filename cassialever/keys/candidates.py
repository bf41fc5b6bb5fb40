"""The targets that may own a service's keys."""

from typing import Final

from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.keys.granting import Granting
from cassialever.types import Seconds, ServiceName, TargetId

#: How long targets must have been the same before keys are dealt at first.
SETTLED: Final[Seconds] = 0.6


class Candidates:
    """Choose among a service's targets those that may own keys."""

    def __init__(
        self,
        service: ServiceName,
        view: FleetView,
        granting: Granting,
    ) -> None:
        """Take the view and what is known of orders that failed."""
        self._service = service
        self._view = view
        self._granting = granting
        self._seen: frozenset[TargetId] = frozenset()
        self._settled_at: Seconds = 0

    def now(self) -> list[Target]:
        """Return the targets that may get keys: warm ones, if there are."""
        targets = self._view.targets
        usable = [
            target
            for target in targets.usable(self._service)
            if not self._granting.is_unreachable(target.target_id)
        ]
        warm = [one for one in usable if not targets.is_cold(one.target_id)]
        return warm or usable

    def settled(self, now: Seconds) -> list[Target]:
        """Return the same by id, or none while targets still come."""
        found = sorted(self.now(), key=_target_id)
        seen = frozenset(target.target_id for target in found)
        if seen != self._seen:
            self._seen = seen
            self._settled_at = now + SETTLED
        return found if now >= self._settled_at else []

    def has_lost(self, owner: TargetId, started_at: int) -> bool:
        """Tell whether an owner of keys may own none any more."""
        target = self._view.targets.by_id.get(owner)
        if target is None or not self._view.targets.is_usable(target):
            return True
        return target.started_at != started_at


def _target_id(target: Target) -> TargetId:
    return target.target_id
