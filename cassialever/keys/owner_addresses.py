"""What calls show of the processes at the addresses of owners."""

from cassialever.clock import SystemClock
from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.keys.lives import EndedLives
from cassialever.keys.refused_calls import RefusedCalls
from cassialever.platform.targets import CallOutcome
from cassialever.types import TargetId


class OwnerAddresses:
    """The reports by which targets are called, and what refuses at these."""

    def __init__(self, view: FleetView, clock: SystemClock) -> None:
        """Start without refusals and without ended targets."""
        self.lives = EndedLives()
        self.refused_calls = RefusedCalls()
        self._view = view
        self._clock = clock
        #: The newest report of each target that was called.
        self._reported_by_id: dict[TargetId, Target] = {}

    def reported(self, target_id: TargetId) -> Target | None:
        """Return a target's current or last known report."""
        target = self._view.targets.by_id.get(target_id)
        if target is not None:
            self._reported_by_id[target_id] = target
        return self._reported_by_id.get(target_id)

    def is_refusing(self, target_id: TargetId) -> bool:
        """Return whether a target refuses calls, as far as is known."""
        target = self.reported(target_id)
        return target is not None and self.refused_calls.is_in_force(target)

    def end_if_replaced(self, target_id: TargetId) -> None:
        """End a target's life if another one is known at its address."""
        target = self.reported(target_id)
        if target is None or not self._view.targets.limits.is_replaced(target):
            return
        self.lives.end(target, self._view.targets.relocated)

    def record_outcome(self, called: Target, outcome: CallOutcome) -> None:
        """Note what the outcome of a call shows of the process there.

        That a target has seen a higher fence is an answer of its own.
        """
        if outcome in {CallOutcome.done, CallOutcome.outdated}:
            self.refused_calls.end(called.target_id)
        if outcome is CallOutcome.ended:
            self.lives.end(called, self._view.targets.relocated)
        if outcome in {CallOutcome.refused, CallOutcome.ended}:
            self.refused_calls.record(called, self._clock.boot())
