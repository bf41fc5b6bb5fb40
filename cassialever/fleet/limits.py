"""Exchange what targets say of themselves, through the leader.

A daemon that reads of a change reports it to the leader, which passes it on to
all daemons. A daemon that begins to follow a leader reports all that it knows
and is sent all that the leader knows.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.limit_reports import (
    LimitReport,
    read_report,
    make_report,
)
from cassialever.fleet.relay import Relay
from cassialever.policy.limits import LimitSource, TargetLimit, TargetLimits
from cassialever.types import Seconds, TargetId

#: Time between two messages on limits, in which changes are collected. Through
#: two daemons they take twice that and the way, of the half second that the
#: platform allows.
REPORT_INTERVAL: Final[Seconds] = 0.05
#: Time between two looks for a new link, over which all is reported. Two of
#: them and the messages take less than the half second, too.
LINK_CHECK_INTERVAL: Final[Seconds] = 0.15


class LimitExchange:
    """Reports own changes to the leader, or as the leader to the followers."""

    def __init__(
        self,
        limits: TargetLimits,
        relay: Relay,
        link: LeaderLink,
        clock: SystemClock,
    ) -> None:
        """Register for the changes and for the reports of other daemons."""
        self._limits = limits
        self._relay = relay
        self._link = link
        self._clock = clock
        #: Targets whose limits are not reported yet.
        self._unsent: set[TargetId] = set()
        self._has_unsent = asyncio.Event()
        #: The number of the link over which the leader was last told.
        self._told_link = 0
        limits.on_change = self._note_change
        relay.limit_reports = self._reports_in_force
        relay.on_limits = self._handle_reports
        link.on_limits = self._handle_reports

    async def run(self) -> None:
        """Report changes until cancelled."""
        while True:
            await self._wait_for_changes()
            await asyncio.sleep(REPORT_INTERVAL)
            self._has_unsent.clear()
            self.send_changes()

    def send_changes(self) -> None:
        """Report what has changed, if there is a daemon to report to."""
        if self._relay.is_leader:
            self._broadcast()
        elif self._link.is_open:
            self._report_to_leader()

    def merge(self, report: LimitReport, peer: str) -> None:
        """Merge a report; have it corrected if this daemon knows better."""
        limit = read_report(report, self._clock.boot())
        merged = self._limits.merge(limit, LimitSource(peer))
        if (
            merged.rate_in_force != limit.rate_in_force
            or merged.is_leaving != limit.is_leaving
            or merged.replaced_at != limit.replaced_at
        ):
            self._note_unsent(merged.target_id)

    def report_on(self, target_id: TargetId) -> LimitReport | None:
        """Return the report on a target, or None if nothing is known."""
        limit = self._limits.of(target_id)
        return None if limit is None else make_report(limit, self._clock.boot())

    def _broadcast(self) -> None:
        reports = self._take_unsent()
        if reports:
            self._relay.broadcast(messages.Limits(reports))

    def _report_to_leader(self) -> None:
        if self._told_link != self._link.number:
            self._told_link = self._link.number
            self._unsent.update(
                limit.target_id for limit in self._limits.in_force()
            )
        reports = self._take_unsent()
        if reports:
            self._link.report(messages.Limits(reports))

    async def _wait_for_changes(self) -> None:
        """Wait for a change, or until a new link is looked for."""
        try:
            async with asyncio.timeout(LINK_CHECK_INTERVAL):
                await self._has_unsent.wait()
        except asyncio.TimeoutError:
            return

    def _note_unsent(self, target_id: TargetId) -> None:
        self._unsent.add(target_id)
        self._has_unsent.set()

    def _take_unsent(self) -> list[LimitReport]:
        reports = [self.report_on(target_id) for target_id in self._unsent]
        self._unsent.clear()
        return [report for report in reports if report is not None]

    def _reports_in_force(self) -> list[LimitReport]:
        now = self._clock.boot()
        return [make_report(limit, now) for limit in self._limits.in_force()]

    def _handle_reports(self, reports: Iterable[LimitReport]) -> None:
        peer = 'a follower' if self._relay.is_leader else 'the leader'
        for report in reports:
            self.merge(report, peer)

    def _note_change(
        self,
        known: TargetLimit,
        merged: TargetLimit,
        source: LimitSource,
    ) -> None:
        if known.rate_in_force != merged.rate_in_force:
            record(
                Event.target_limit_changed,
                target=merged.target_id,
                started_at=merged.started_at,
                rate=merged.rate_in_force,
                learned_from=source.peer or 'an answer',
            )
        if merged.is_leaving and not known.is_leaving:
            record(
                Event.target_leaving,
                target=merged.target_id,
                started_at=merged.started_at,
                learned_from=source.peer or 'an answer',
            )
        if merged.replaced_at != known.replaced_at:
            record(
                Event.target_replaced,
                target=merged.target_id,
                started_at=merged.started_at,
                address=merged.replaced_at,
                learned_from=source.peer or 'an answer',
            )
        # What came from the leader goes to the others without this daemon.
        if self._relay.is_leader or source.peer != 'the leader':
            self._note_unsent(merged.target_id)
