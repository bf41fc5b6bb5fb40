"""Report this daemon's paths to the targets, and keep what others report."""

from collections.abc import Callable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.fleet.connecting import is_address
from cassialever.fleet.datagrams import MAX_REQUESTS, OpenRequests
from cassialever.policy.paths import TargetPaths
from cassialever.policy.peer_reports import (
    MAX_LISTED_TARGETS,
    Helper,
    PathReport,
)
from cassialever.types import DataCentreId, Seconds, TargetId

#: Shortest time for which a report counts; a few may be lost meanwhile.
MIN_REPORT_LIFETIME: Final[Seconds] = 1.0


class PathReporter:
    """What this daemon reports beside its open requests."""

    def __init__(
        self,
        own: Helper,
        capacity: int,
        paths: TargetPaths,
        clock: SystemClock,
    ) -> None:
        """Report for a daemon that can have `capacity` requests open."""
        self.own = own
        self._capacity = capacity
        self._paths = paths
        self._clock = clock
        #: Set once this daemon takes no more requests of others.
        self.is_stopping = False
        #: Returns the number of requests that are carried for others now.
        self.count_carried: Callable[[], int] = int
        #: Returns whether this daemon is short of processor time.
        self.is_strained: Callable[[], bool] = bool
        #: Returns what this daemon has met as contended.
        self.contended: Callable[[], tuple[str, ...]] = tuple

    def describe(self, open_by_target: dict[str, int]) -> OpenRequests:
        """Return the report of this daemon; no targets if it is cut off."""
        now = self._clock.monotonic()
        own_requests = sum(open_by_target.values())
        room = self._capacity - own_requests - self.count_carried()
        if self.is_strained():
            room = 0
        is_cut_off = bool(self._paths.failed_without_answer(now))
        down = [] if is_cut_off else self._paths.direct.down(now)
        listed = tuple(down[:MAX_LISTED_TARGETS])
        reached = self._paths.witness.reached(now)
        return OpenRequests(
            self.own.instance_id,
            open_by_target,
            self.own.data_centre,
            min(max(room, 0), MAX_REQUESTS),
            is_cut_off,
            self.is_stopping,
            listed,
            reached=tuple(reached[: MAX_LISTED_TARGETS - len(listed)]),
            contended=self.contended(),
        )

    def accept(
        self, report: OpenRequests, address: str, lifetime: Seconds
    ) -> None:
        """Keep the report of the daemon at an address.

        It counts for `lifetime`, or MIN_REPORT_LIFETIME if that is longer.
        """
        if not is_address(address):
            # No request could be passed on to it.
            return
        now = self._clock.monotonic()
        self._paths.reports.record(
            PathReport(
                Helper(
                    report.instance_id,
                    address,
                    DataCentreId(report.data_centre),
                ),
                report.room,
                report.is_cut_off,
                report.is_stopping,
                frozenset(map(TargetId, report.unreachable)),
                now + max(lifetime, MIN_REPORT_LIFETIME),
                _reached(report),
            )
        )
        self._paths.witness.note_listed(map(TargetId, report.unreachable), now)


def _reached(report: OpenRequests) -> frozenset[TargetId] | None:
    if report.reached is None:
        return None
    return frozenset(map(TargetId, report.reached))
