"""The load and the capacity of each target that may own keys."""

import math
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
MIN_LATENCY_RATIO: Final = 0.25
MAX_LATENCY_RATIO: Final = 3.0
#: Power of a target's latency by which its part shrinks. Slow targets get less
#: than they could work off: each answer of theirs takes more of the caller's
#: objective, and so does each place in their queue.
SPEED_EXPONENT: Final = 1.5
#: Latency, as a multiple of the lasting service time, up to which a target is
#: not slower than usual: queues and moments are gone before keys have moved.
MOMENT_RATIO: Final = 2.0


class OwnerLoad(msgspec.Struct, eq=False):
    """A target that may own keys, and the load of those it has or gets.

    `capacity` is the requests per second that keep all its slots busy, or
    fewer if the target has named a limit.
    """

    target: Target
    capacity: float
    #: The span of requests that the load reflects.
    span: Seconds
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

    def current(self, heat: KeyHeat | None = None) -> dict[TargetId, OwnerLoad]:
        """Return the load of each candidate, by another heat if given."""
        heat = heat or self._heat
        targets = self._candidates()
        latency_by_id = _bounded_latencies(targets, self._latencies)
        load_by_id = {
            target.target_id: self._without_load(
                target,
                target.slots / latency_by_id[target.target_id],
                heat.span,
            )
            for target in targets
        }
        for assignment in self._assignments.in_state(AssignmentState.held):
            owner = load_by_id.get(assignment.owner)
            if owner is not None:
                owner.load += heat.of(assignment.first, assignment.last)
                owner.active_at = max(owner.active_at, assignment.owned_since)
        return load_by_id

    def _without_load(
        self, target: Target, capacity: float, span: Seconds
    ) -> OwnerLoad:
        limit = self._limits.rate_of(target)
        if limit is None:
            return OwnerLoad(target, capacity, span)
        return OwnerLoad(
            target,
            min(capacity, limit),
            span,
            is_limited=True,
            active_at=self._latencies.answered_at(target.target_id),
        )


def _bounded_latencies(
    targets: Sequence[Target],
    latencies: TargetLatencies,
) -> dict[TargetId, Seconds]:
    """Return each target's latency, clamped to a range about the median."""
    latency_by_id = {
        target.target_id: _latency_for_work(target.target_id, latencies)
        for target in targets
    }
    known = sorted(filter(None, latency_by_id.values()))
    median = known[len(known) // 2] if known else DEFAULT_LATENCY
    return {
        target_id: median * _bounded_ratio((latency or median) / median)
        for target_id, latency in latency_by_id.items()
    }


def _bounded_ratio(latency_ratio: float) -> float:
    """Return the latency to plan with, as a multiple of the median."""
    ratio = math.pow(latency_ratio, SPEED_EXPONENT)
    return min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)


def _latency_for_work(
    target_id: TargetId, latencies: TargetLatencies
) -> Seconds:
    """Return how long a target's slot is taken by one request; 0 if unknown.

    Daemons of an earlier build report latencies only.
    """
    latency = latencies.of(target_id)
    service_time = latencies.service_time_of(target_id)
    if not service_time:
        return latency
    return max(service_time, latency / MOMENT_RATIO)
