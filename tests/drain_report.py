"""Tell when targets got their last requests, and what daemons knew of them."""

import itertools
import statistics
import time
from collections import Counter

import msgspec

from soak.daemon_logs import lines_of
from soak.fleet import OWN_CHECKOUT, DaemonProcess, SoakFleet
from soak.judging import DRAIN_BOUND
from soak.leaving import KEYED_SERVICE, LeavingTargets

#: Time before a fault in which notices are told apart, in seconds.
NOTICE_TIME = 1.0
#: The lines by which a daemon learns that a target leaves, with its state.
NEWS = {'target_gone': '', 'target_leaving': '', 'target_seen': 'draining'}


class FaultSpan(msgspec.Struct, frozen=True):
    """A fault with the daemons that it stopped, by the loop's clock."""

    fault: str
    begun_at: float
    ended_at: float
    stopped: frozenset[str]


class _Row(msgspec.Struct):
    """What was seen beside a fault, in seconds after the notices."""

    last_by_daemon: dict[str, list[float]] = msgspec.field(default_factory=dict)
    known: list[float] = msgspec.field(default_factory=list)
    told: Counter[str] = msgspec.field(default_factory=Counter)

    def lines(self, title: str) -> list[str]:
        last_times = list(itertools.chain(*self.last_by_daemon.values()))
        late = sum(one > DRAIN_BOUND for one in last_times)
        longest = sorted(map(max, self.last_by_daemon.values()))
        return [
            f'{title}: last arrival {_spread(last_times)}, {late} late,'
            f' {sum(map(bool, last_times))} with one; longest by daemon'
            f' {longest[0]:.2f} to {longest[-1]:.2f}',
            f'    known {_spread(self.known)}, by'
            f' {dict(self.told.most_common())}',
        ]


def report_lines(
    fleet: SoakFleet, leaving_targets: LeavingTargets, spans: list[FaultSpan]
) -> list[str]:
    """Return lines for each fault.

    They tell when the last request of each daemon came to each target after
    its notice, when the daemon knew, and what told it.
    """
    rows: dict[str, _Row] = {}
    news = {one.name: _news(one) for one in fleet.daemons}
    others = {one.name for one in fleet.daemons if one.checkout != OWN_CHECKOUT}
    for leaving in fleet.leavings:
        since = leaving.notified_at
        last = leaving_targets.last_arrivals(leaving)
        span = _span_at(spans, since)
        for name, news_by_target in news.items():
            title = span.fault
            if leaving.target_id.startswith(KEYED_SERVICE):
                title += ', owners'
            if name in span.stopped:
                title += ', itself'
            if name in others:
                title += ', other build'
            row = rows.setdefault(title, _Row())
            row.last_by_daemon.setdefault(name, []).append(
                last.get(name, since) - since
            )
            source, known_at = news_by_target.get(
                leaving.target_id, ('nothing', since)
            )
            row.known.append(known_at - since)
            row.told[source] += 1
    return [
        line for title, row in sorted(rows.items()) for line in row.lines(title)
    ]


def _span_at(spans: list[FaultSpan], moment: float) -> FaultSpan:
    """Return the fault beside a notice."""
    for span in spans:
        if span.begun_at <= moment <= span.ended_at:
            return span
        if span.begun_at - NOTICE_TIME <= moment < span.begun_at:
            return msgspec.structs.replace(span, fault=f'{span.fault}, before')
    return FaultSpan('calm', moment, moment, frozenset())


def _spread(times: list[float]) -> str:
    """Return the number of times, and how they are spread, in seconds."""
    high = sorted(times)[int(len(times) * 0.99)]
    return (
        f'{len(times)} pairs, median {statistics.median(times):.3f}, p99'
        f' {high:.2f}, max {max(times):.2f}'
    )


def _news(daemon: DaemonProcess) -> dict[str, tuple[str, float]]:
    """Return what told a daemon first that a target leaves, and when."""
    news: dict[str, tuple[str, float]] = {}
    ahead = time.time() - time.monotonic()
    for fields in lines_of(daemon.log):
        if NEWS.get(fields.get('name', '')) == fields.get('state', ''):
            source = fields['learned_from'].partition(' at ')[0]
            if fields['name'] == 'target_leaving' and source != 'an answer':
                source = f'an answer, by {source}'
            news.setdefault(fields['target'], (source, fields['time'] - ahead))
    return news
