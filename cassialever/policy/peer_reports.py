"""Keep what the other daemons report of their paths to the targets."""

from typing import Final

import msgspec

from cassialever.interfaces import RandomSource
from cassialever.types import DataCentreId, Seconds, TargetId

#: How long a daemon that refused to pass on to a target isn't asked again.
REFUSAL_PERIOD: Final[Seconds] = 1.0
#: Daemons returned for one request; more are never tried.
MAX_HELPERS: Final = 4
#: Reports compared for one request; the cost of all grows with the fleet.
HELPER_SAMPLE_SIZE: Final = 64
#: Targets listed in a report, so that it fits into one packet.
MAX_LISTED_TARGETS: Final = 64


class Helper(msgspec.Struct, frozen=True):
    """A daemon that can pass requests on; `address` is its internal one."""

    instance_id: str
    address: str
    data_centre: DataCentreId


class PathReport(msgspec.Struct, frozen=True):
    """What another daemon says of its paths to the targets.

    `room` is the number of requests that it can carry for others now. A
    daemon that is cut off lists no targets. Of the targets that others list it
    has `reached` these lately; `None` is of a build before, which doesn't say.
    """

    helper: Helper
    room: int
    is_cut_off: bool
    is_stopping: bool
    unreachable: frozenset[TargetId]
    expires_at: Seconds
    reached: frozenset[TargetId] | None = None

    def shows_reached(self, target_id: TargetId) -> bool:
        """Return whether its sender reaches a target, as far as it says."""
        if self.reached is None:
            return target_id not in self.unreachable
        return target_id in self.reached

    def reaches_targets(self, now: Seconds) -> bool:
        """Return whether the report is fresh and its sender not cut off."""
        return not self.is_cut_off and now < self.expires_at


class PeerReports:
    """The latest report of each other daemon, and what it refused."""

    def __init__(
        self, data_centre: DataCentreId, random_source: RandomSource
    ) -> None:
        """Start without reports; the data centre is this daemon's own."""
        self._data_centre = data_centre
        self._random = random_source
        self._report_by_peer: dict[str, PathReport] = {}
        self._refused_until: dict[tuple[str, TargetId], Seconds] = {}

    def record(self, report: PathReport) -> None:
        """Replace what a daemon reported before."""
        self._report_by_peer[report.helper.instance_id] = report

    def data_centre_of(self, instance_id: str) -> DataCentreId:
        """Return the data centre of a daemon; empty if it is not known."""
        report = self._report_by_peer.get(instance_id)
        return report.helper.data_centre if report else DataCentreId('')

    def record_refusal(
        self, instance_id: str, target_id: TargetId, now: Seconds
    ) -> None:
        """Don't ask a daemon again for a target for REFUSAL_PERIOD."""
        self._refused_until[instance_id, target_id] = now + REFUSAL_PERIOD

    def reaching(self, now: Seconds) -> list[PathReport]:
        """Return the fresh reports of daemons that are not cut off."""
        return [
            report
            for report in self._report_by_peer.values()
            if report.reaches_targets(now)
        ]

    def count(self, now: Seconds) -> int:
        """Return the number of daemons with a fresh report."""
        return sum(
            now < report.expires_at for report in self._report_by_peer.values()
        )

    def helpers_for(self, target_id: TargetId, now: Seconds) -> list[Helper]:
        """Return the daemons that can pass a request on, best first.

        Of a large fleet a sample is asked first.
        """
        reports = list(self._report_by_peer.values())
        if len(reports) > HELPER_SAMPLE_SIZE:
            step = len(reports) // HELPER_SAMPLE_SIZE + 1
            sample = reports[self._random.randrange(step) :: step]
            helpers = self._best(sample, target_id, now)
            if helpers:
                return helpers
        return self._best(reports, target_id, now)

    def is_reached(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether another daemon reaches a target that this one misses.

        One that has not tried it shows nothing.
        """
        return any(
            report.shows_reached(target_id) for report in self.reaching(now)
        )

    def is_listed_by_most(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether most daemons that reach targets miss this one."""
        reports = self.reaching(now)
        listing = sum(target_id in report.unreachable for report in reports)
        return 2 * listing > len(reports)

    def prune(self, now: Seconds) -> None:
        """Forget what has expired."""
        self._report_by_peer = {
            peer: report
            for peer, report in self._report_by_peer.items()
            if now < report.expires_at
        }
        self._refused_until = {
            pair: until
            for pair, until in self._refused_until.items()
            if now < until
        }

    def _best(
        self, reports: list[PathReport], target_id: TargetId, now: Seconds
    ) -> list[Helper]:
        ranked = [
            (self._rank(report), report.helper)
            for report in reports
            if self._can_help(report, target_id, now)
        ]
        ranked.sort(key=_rank_of)
        return [helper for _, helper in ranked[:MAX_HELPERS]]

    def _can_help(
        self, report: PathReport, target_id: TargetId, now: Seconds
    ) -> bool:
        if not report.reaches_targets(now):
            return False
        if report.is_stopping or report.room <= 0:
            return False
        if target_id in report.unreachable:
            return False
        pair = (report.helper.instance_id, target_id)
        return now >= self._refused_until.get(pair, 0)

    def _rank(self, report: PathReport) -> tuple[bool, float]:
        """Return a sort key: own data centre first, then at random by room.

        The k-th power root of a random number draws in proportion to k
        (Efraimidis and Spirakis).
        """
        is_remote = report.helper.data_centre != self._data_centre
        return is_remote, -(self._random.random() ** (1 / report.room))


def _rank_of(ranked: tuple[tuple[bool, float], Helper]) -> tuple[bool, float]:
    return ranked[0]
