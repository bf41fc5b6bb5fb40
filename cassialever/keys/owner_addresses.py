"""What calls show of the processes at the addresses of owners."""

from collections.abc import Iterable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.fleet.model import StartedAt, Target
from cassialever.fleet.view import FleetView
from cassialever.keys.lives import EndedLives
from cassialever.keys.refused_calls import RefusedCalls
from cassialever.platform.targets import CallOutcome
from cassialever.types import TargetId

#: Checks that are remembered; of more, those claimed first are forgotten.
MAX_CHECKED: Final = 2048


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
        #: Lives that were checked, with their addresses, and targets that are.
        self._checked: dict[tuple[TargetId, StartedAt, str], None] = {}
        self._checking: set[TargetId] = set()

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

    def claim_checks(self, target_ids: Iterable[TargetId]) -> list[Target]:
        """Return the targets to check, if others may have their addresses.

        Each life is checked once at an address; what that leaves open is
        settled by its calls. Each check has to be ended by `end_check`.
        """
        claimed = []
        for target_id in target_ids:
            target = self.reported(target_id)
            if target is None or not self.is_replaced(target):
                continue
            checked = (target_id, target.started_at, target.address)
            if checked in self._checked:
                continue
            self._checked[checked] = None
            self._checking.add(target_id)
            claimed.append(target)
        while len(self._checked) > MAX_CHECKED:
            self._checked.pop(next(iter(self._checked)))
        return claimed

    def is_replaced(self, target: Target) -> bool:
        """Return whether another target is said to have an address."""
        return self._view.targets.limits.is_replaced(target)

    def end_check(self, target: Target, *, is_replaced: bool) -> None:
        """Note what a check has found; end a life that another has replaced."""
        self._checking.discard(target.target_id)
        if is_replaced:
            self.lives.end(target, self._view.targets.relocated)

    def is_checking(self, target_id: TargetId) -> bool:
        """Return whether a target's address is being checked."""
        return target_id in self._checking

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
