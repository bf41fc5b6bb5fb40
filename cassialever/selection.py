"""Choose a target for services whose requests any target can take.

The choice goes by this daemon's open requests, by the loads that
leaseholders send along with answers and by the latency of those answers,
never by the targets' own reports, which lag.
"""

import statistics
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from typing import Final

import msgspec

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
#: Answers over which the hedge delay is taken.
LATENCIES_KEPT: Final = 256
LATENCIES_NEEDED: Final = 32
#: The hedge delay is this quantile of the service's latency.
HEDGE_QUANTILE: Final = 0.95
#: Answers between two calculations of the hedge delay.
HEDGE_REFRESH: Final = 16


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

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return the target for one attempt; `None` if all were tried."""
        views = self._near(tried)
        if not views:
            return None
        bound = _median_latency(views, now) * STRAGGLER_FACTOR
        quick = [view for view in views if view.latency(now) <= bound]
        if len(quick) < len(views) and not tried:
            probe = _due_for_probe(views, bound, now)
            if probe is not None:
                return probe.target_id
        return self._best(quick, now).target_id

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
        median = _median_latency(self._view_by_target.values(), now)
        was_straggler = view.latency(now) > median * STRAGGLER_FACTOR
        latency = view.answered(request_id, load, now)
        if latency is None:
            return
        self.hedge.saw(latency)
        if was_straggler and latency <= median * FORGIVEN_FACTOR:
            view.forgive(latency)

    def gave_up(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Note an attempt that ended without an answer."""
        view = self._view_by_target.get(target_id)
        if view is not None:
            view.gave_up(request_id, now)

    def _near(self, tried: Collection[TargetId]) -> list[TargetView]:
        """Return the local targets, or all if none of those has room."""
        views = [
            view
            for view in self._view_by_target.values()
            if view.target_id not in tried
        ]
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


def _median_latency(views: Iterable[TargetView], now: Seconds) -> Seconds:
    return statistics.median_high([view.latency(now) for view in views])


def _due_for_probe(
    views: Iterable[TargetView],
    bound: Seconds,
    now: Seconds,
) -> TargetView | None:
    for view in views:
        if view.latency(now) <= bound or now < view.next_probe:
            continue
        view.probed(now)
        return view
    return None
