"""Tell whether a fault lies in a target or in this daemon's path to it.

A connection that fails looks the same in both cases, so the reports of the
other daemons decide: one that reaches the target shows that the target lives,
and can pass requests on to it.
"""

from collections.abc import Container
from typing import Final

from cassialever.interfaces import RandomSource
from cassialever.policy.connect_times import ConnectTimes
from cassialever.policy.direct_paths import MIN_FAILED_TARGETS, DirectPaths
from cassialever.policy.exchange_evidence import ExchangeEvidence
from cassialever.policy.lateness import OwnDelays
from cassialever.policy.peer_reports import Helper, PeerReports
from cassialever.policy.silence import UnansweredRequests
from cassialever.policy.witnesses import Witness
from cassialever.types import DataCentreId, Seconds, TargetId

#: Share of the daemons that must reach more targets before one gives way.
BETTER_SHARE: Final = 0.25


class TargetPaths:
    """The direct paths to all targets, and who reaches which target."""

    def __init__(
        self, data_centre: DataCentreId, random_source: RandomSource
    ) -> None:
        """Start with every path taken as usable, and without reports."""
        self.direct = DirectPaths()
        self.reports = PeerReports(data_centre, random_source)
        self.unanswered = UnansweredRequests()
        self.witness = Witness(self.direct, self.unanswered, random_source)
        self.exchanges = ExchangeEvidence(self.unanswered)
        self.own_delays = OwnDelays()
        #: Of connections to targets and helpers, all over the own link.
        self.connect_times = ConnectTimes()

    def record_sent(
        self, target_id: TargetId, request_id: str, now: Seconds
    ) -> None:
        """Note that a request is being sent directly."""
        self.unanswered.record_sent(target_id, request_id, now)
        self.exchanges.record_sent(now)

    def record_answer(self, target_id: TargetId, now: Seconds) -> None:
        """Note that bytes came from a target over a direct connection."""
        self.direct.record_answer(target_id, now)
        self.exchanges.record_answer()
        self.unanswered.record_heard(target_id, now)
        self.own_delays.link.record_answer(now)

    def record_failure(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a new connection to a target failed."""
        self.direct.record_failure(target_id, now)

    def record_timeout(
        self, target_id: TargetId, begun_at: Seconds, now: Seconds
    ) -> bool:
        """Note that a new connection to a target timed out.

        Return whether that is evidence. If this daemon was late itself, the
        path stays in use and is probed.
        """
        self.connect_times.record_timeout(begun_at, now)
        if self.own_delays.excuses(target_id, begun_at, now):
            self.direct.record_excused(target_id, now)
            return False
        self.direct.record_failure(target_id, now)
        return True

    def record_probe_success(self, target_id: TargetId, now: Seconds) -> None:
        """Note that a new connection to a target was opened by a probe."""
        self.direct.record_probe_success(target_id, now)
        self.unanswered.record_accepted(target_id, now)

    def is_reachable(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether the direct path to a target may be used.

        While this daemon is cut off, targets not tried yet are not tried.
        """
        if self.direct.is_down(target_id, now):
            return False
        return not self.is_cut_off(now)

    def is_cut_off(self, now: Seconds) -> bool:
        """Return whether this daemon reaches no target, of several tried.

        What others report doesn't count where connecting failed: daemons that
        are cut off together would confirm to each other that the targets are
        lost. Where exchanges broke, another has to reach the targets.
        """
        if self.direct.failed_without_answer(now):
            return True
        broken = self.exchanges.broken_without_answer(now)
        return bool(broken) and any(
            report.unreachable.isdisjoint(broken)
            for report in self.reports.reaching(now)
            if not report.is_stopping
        )

    def failed_without_answer(self, now: Seconds) -> list[TargetId]:
        """Return the targets whose failures may show that this is cut off.

        Others are not asked, so that daemons which are cut off together take
        none of them for one that reaches the targets.
        """
        failed = self.direct.failed_without_answer(now)
        return failed or self.exchanges.broken_without_answer(now)

    def is_trial_due(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a request may try if targets answer again.

        Only an exchange shows that; connections are made all the time.
        """
        if self.direct.is_down(target_id, now):
            return False
        if self.direct.failed_without_answer(now):
            return False
        return self.exchanges.is_trial_due(now)

    def helpers_for(self, target_id: TargetId, now: Seconds) -> list[Helper]:
        """Return the daemons that can pass a request on, best first.

        There are none unless this daemon's own path is at fault: it is down,
        and a daemon that is not cut off doesn't say the same of its own.
        """
        is_at_fault = self.direct.is_confirmed_down(target_id, now)
        if is_at_fault or self.is_cut_off(now):
            return self.reports.helpers_for(target_id, now)
        return []

    def record_helper_refusal(
        self, instance_id: str, target_id: TargetId, now: Seconds
    ) -> None:
        """Note that a daemon can't pass requests on to a target now."""
        self.reports.record_refusal(instance_id, target_id, now)

    def is_confirmed_unreachable(
        self, target_id: TargetId, now: Seconds
    ) -> bool:
        """Return whether most daemons that reach targets miss this one too."""
        return self.reports.is_listed_by_most(target_id, now)

    def should_yield(self, now: Seconds) -> bool:
        """Return whether another daemon should lead in place of this one.

        That is so if this daemon is cut off and another is not, or if it
        misses too many targets that others reach.
        """
        if self.is_cut_off(now):
            return any(
                not report.is_stopping for report in self.reports.reaching(now)
            )
        return self.misses_many_alone(now)

    def misses_many_alone(self, now: Seconds) -> bool:
        """Return whether this daemon misses several targets that others reach.

        What no other has reached may have ended for all. A part of the others
        must miss less than half as many, so that of daemons with like faults
        none gives way to another. A single one does not do: when many targets
        crash, each daemon misses those that it has tried, and one with few
        requests misses the fewest.
        """
        counts = sorted(
            len(report.unreachable)
            for report in self.reports.reaching(now)
            if not report.is_stopping
        )
        if not counts:
            return False
        missed = [
            target_id
            for target_id in self.direct.down(now)
            if self.reports.is_reached(target_id, now)
            and not self.is_confirmed_unreachable(target_id, now)
        ]
        usual = counts[int(len(counts) * BETTER_SHARE)]
        return len(missed) >= max(MIN_FAILED_TARGETS, 2 * usual + 1)

    def prune(self, known: Container[TargetId], now: Seconds) -> None:
        """Forget targets that are gone and what has expired."""
        self.direct.prune(known)
        self.exchanges.prune(known)
        self.unanswered.prune(known)
        self.reports.prune(now)
        self.witness.prune(now)
