"""Choose a target for services whose requests any target can take.

The choice goes by this daemon's open requests, by the loads that
leaseholders send along with answers and by the latency of those answers,
never by the targets' own reports, which lag.
"""

import math
import statistics
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from typing import Final

import msgspec

from cassialever.errors import ErrorKind
from cassialever.interfaces import RandomSource
from cassialever.messages import TargetLoad
from cassialever.types import RequestId, Seconds, TargetId
from cassialever.views import TargetView

#: A target this many times slower than the median target is a straggler.
STRAGGLER_FACTOR: Final = 3.0
#: A straggler whose answer is within this many medians is none any more.
FORGIVEN_FACTOR: Final = 2.0
#: Targets compared for each request.
CHOICES: Final = 3
#: Local targets are left only where each has this share of its capacity.
SPILL_USAGE: Final = 4.0
#: The longest time until a slow target is told from a quick one.
SORTING_PAUSE: Final[Seconds] = 0.005
#: Answers over which the hedge delay is taken.
LATENCIES_KEPT: Final = 256
LATENCIES_NEEDED: Final = 32
#: The hedge delay is this quantile of the service's latency.
HEDGE_QUANTILE: Final = 0.95
#: Answers between two calculations of the hedge delay.
HEDGE_REFRESH: Final = 16

#: Failures that speak against a target, however fast they came.
FAULTS: Final = frozenset(
    (
        ErrorKind.target_shed,
        ErrorKind.target_unreachable,
        ErrorKind.target_failed,
        ErrorKind.peer_unreachable,
        ErrorKind.outcome_unknown,
    ),
)


class Candidate(msgspec.Struct, frozen=True):
    """A target that may take the service's requests."""

    target_id: TargetId
    is_local: bool


class HedgeTimer:
    """The delay after which a second attempt is worth its cost."""

    def __init__(self) -> None:
        """Start without a delay."""
        self.delay: Seconds | None = None
        self._latencies: deque[Seconds] = deque(maxlen=LATENCIES_KEPT)
        self._until_refresh = LATENCIES_NEEDED

    def saw(self, latency: Seconds) -> None:
        """Count an answer in."""
        self._latencies.append(latency)
        self._until_refresh -= 1
        if self._until_refresh:
            return
        self._until_refresh = HEDGE_REFRESH
        ranked = sorted(self._latencies)
        self.delay = ranked[int(len(ranked) * HEDGE_QUANTILE)]


class TargetChooser:
    """The targets of one service as one daemon sees them."""

    def __init__(self, source: RandomSource) -> None:
        """Start without candidates."""
        self.hedge = HedgeTimer()
        self._source = source
        self._median: Seconds = 0
        self._next_sorting: Seconds = 0
        self._quick: list[TargetView] = []
        self._avoided: list[TargetView] = []
        self._view_by_target: dict[TargetId, TargetView] = {}

    def adopt(self, candidates: Sequence[Candidate]) -> None:
        """Take over the candidates; what was seen of those kept stays."""
        known = self._view_by_target
        self._view_by_target = {}
        for candidate in candidates:
            target_id = candidate.target_id
            view = known.get(target_id)
            if view is None:
                view = TargetView(target_id, is_local=candidate.is_local)
            view.is_local = candidate.is_local
            self._view_by_target[target_id] = view
        self._next_sorting = 0

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return the target for one attempt; `None` if all were tried."""
        if now >= self._next_sorting:
            self._sort(now)
        if not tried:
            for avoided in self._avoided:
                if avoided.probe(now):
                    return avoided.target_id
        for views in (self._quick, self._view_by_target.values()):
            left = [view for view in views if view.target_id not in tried]
            if left:
                return self._best(left, now).target_id
        return None

    def sent(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Note an attempt that goes out to a chosen target."""
        view = self._view_by_target.get(target_id)
        if view is not None:
            view.sent(request_id, now)

    def answered(
        self,
        load: TargetLoad,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Note the head of an answer and the load that came with it."""
        view = self._view_by_target.get(load.target_id)
        if view is None:
            return
        was_avoided = view.is_avoided
        latency = view.answered(request_id, load, now)
        if latency is None:
            return
        self.hedge.saw(latency)
        if was_avoided and latency <= self._median * FORGIVEN_FACTOR:
            view.forgive(latency)
            self._next_sorting = now

    def gave_up(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
        kind: ErrorKind | None = None,
    ) -> None:
        """Note an attempt that ended without an answer, and its failure.

        `None` is for attempts that this daemon gave up by itself.
        """
        view = self._view_by_target.get(target_id)
        if view is not None:
            view.gave_up(request_id, now, is_fault=kind in FAULTS)
            self._next_sorting = now

    def _sort(self, now: Seconds) -> None:
        """Tell the quick targets from those that only get probes."""
        self._next_sorting = now + SORTING_PAUSE
        views = self._near()
        self._median = _median_latency(views, now)
        bound = self._median * STRAGGLER_FACTOR or math.inf
        self._quick = [view for view in views if _is_quick(view, bound, now)]
        self._avoided = [view for view in views if view.is_avoided]

    def _near(self) -> list[TargetView]:
        """Return the local targets, or all if none of those has room."""
        views = list(self._view_by_target.values())
        local = [
            view
            for view in views
            if view.is_local and view.usage() <= SPILL_USAGE
        ]
        return local or views

    def _best(self, views: Sequence[TargetView], now: Seconds) -> TargetView:
        best = views[self._source.randrange(len(views))]
        cost = best.cost(now)
        for _ in range(CHOICES - 1):
            other = views[self._source.randrange(len(views))]
            other_cost = other.cost(now)
            if other_cost < cost:
                best, cost = other, other_cost
        return best


def _is_quick(view: TargetView, bound: Seconds, now: Seconds) -> bool:
    """Say whether a target is neither failing nor slow, and note it."""
    if view.is_failing or view.latency(now) > bound:
        view.avoid(now)
        return False
    view.is_avoided = False
    return True


def _median_latency(views: Iterable[TargetView], now: Seconds) -> Seconds:
    """Return the median of those that have answered; 0 if none has."""
    latencies = [view.latency(now) for view in views if view.has_answered]
    return statistics.median_low(latencies or [0])
