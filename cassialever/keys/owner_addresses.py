"""What calls show of the processes at the addresses of owners."""

from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.keys.lives import EndedLives
from cassialever.platform.targets import CallOutcome
from cassialever.types import TargetId


class OwnerAddresses:
    """The reports by which targets are called, and those that have ended."""

    def __init__(self, view: FleetView) -> None:
        """Start without ended targets."""
        self.lives = EndedLives()
        self._view = view
        #: The newest report of each target that was called.
        self._reported_by_id: dict[TargetId, Target] = {}

    def reported(self, target_id: TargetId) -> Target | None:
        """Return a target's current or last known report."""
        target = self._view.targets.by_id.get(target_id)
        if target is not None:
            self._reported_by_id[target_id] = target
        return self._reported_by_id.get(target_id)

    def end_if_replaced(self, target_id: TargetId) -> None:
        """End a target's life if another one is known at its address."""
        target = self.reported(target_id)
        if target is None or not self._view.targets.limits.is_replaced(target):
            return
        self.lives.end(target, self._view.targets.relocated)

    def record_outcome(self, called: Target, outcome: CallOutcome) -> None:
        """Note what the outcome of a call shows of the process there."""
        if outcome is CallOutcome.ended:
            self.lives.end(called, self._view.targets.relocated)
