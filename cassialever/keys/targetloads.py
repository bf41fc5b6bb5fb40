"""The load and the capacity of each target that may own keys."""

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from cassialever.fleet.model import Target
from cassialever.keys.assignments import Assignments, AssignmentState
from cassialever.keys.heat import KeyHeat, TargetLatencies
from cassialever.policy.limits import TargetLimits
from cassialever.types import Seconds, TargetId

#: Latency assumed while none is known.
DEFAULT_LATENCY: Final[Seconds] = 0.15
#: Bounds of a target's latency as a multiple of the median, so that a few
#: outliers neither take all keys from a target nor flood it.
MIN_LATENCY_RATIO: Final = 0.5
MAX_LATENCY_RATIO: Final = 3.0


class OwnerLoad(msgspec.Struct, eq=False):
    """A target that may own keys, and the load of those it has or gets.

    `capacity` is the requests per second that keep all its slots busy, or
    fewer if the target has named a limit.
    """

    target: Target
    capacity: float
    load: float = 0
    is_limited: bool = False
    #: When it last answered a request or got keys.
    active_at: Seconds = 0

    @property
    def usage(self) -> float:
        """Return the share of its slots that the load keeps busy."""
        return self.load / self.capacity


class OwnerLoads:
    """Computes the load of each target that may own keys."""

    def __init__(
        self,
        assignments: Assignments,
        candidates: Callable[[], Sequence[Target]],
        heat: KeyHeat,
        latencies: TargetLatencies,
        limits: TargetLimits,
    ) -> None:
        self._assignments = assignments
        self._candidates = candidates
        self._heat = heat
        self._latencies = latencies
        self._limits = limits

    def current(self) -> dict[TargetId, OwnerLoad]:
        """Return the load of each candidate."""
        targets = self._candidates()
        latency_by_id = _bounded_latencies(targets, self._latencies)
        load_by_id = {
            target.target_id: self._without_load(
                target, target.slots / latency_by_id[target.target_id]
            )
            for target in targets
        }
        for assignment in self._assignments.in_state(AssignmentState.held):
            owner = load_by_id.get(assignment.owner)
            if owner is not None:
                owner.load += self._heat.of(assignment.first, assignment.last)
                owner.active_at = max(owner.active_at, assignment.owned_since)
        return load_by_id

    def _without_load(self, target: Target, capacity: float) -> OwnerLoad:
        limit = self._limits.rate_of(target)
        if limit is None:
            return OwnerLoad(target, capacity)
        return OwnerLoad(
            target,
            min(capacity, limit),
            is_limited=True,
            active_at=self._latencies.answered_at(target.target_id),
        )


def _bounded_latencies(
    targets: Sequence[Target],
    latencies: TargetLatencies,
) -> dict[TargetId, Seconds]:
    """Return each target's latency, clamped to a range about the median."""
    known = sorted(
        latencies.of(target.target_id)
        for target in targets
        if latencies.of(target.target_id)
    )
    median = known[len(known) // 2] if known else DEFAULT_LATENCY
    return {
        target.target_id: min(
            max(
                latencies.of(target.target_id) or median,
                MIN_LATENCY_RATIO * median,
            ),
            MAX_LATENCY_RATIO * median,
        )
        for target in targets
    }
