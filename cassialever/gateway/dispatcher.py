"""Send a request to its target, directly or through another daemon.

A daemon that can't reach a target while others do passes the request on to one
of them, the helper. This is one attempt at that target, whichever way it takes.
"""

import asyncio
from collections.abc import Container
from typing import Any, Final

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.gateway.counters import HopCounters
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.gateway.duplicates import DuplicateTry, MayDuplicate, never
from cassialever.gateway.hop_client import HopClient
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    not_run,
    withdrawn,
)
from cassialever.gateway.place_ends import PlaceEnds
from cassialever.gateway.sender import TargetRequest, TargetSender
from cassialever.interfaces import HelperDaemon
from cassialever.policy.reach import TargetReach
from cassialever.types import Seconds

#: Helpers that are asked, one after another, in one attempt.
MAX_HELPERS: Final = 2
#: How much later than its reply a helper's report of a crash may be read, by
#: which a request is not sent again.
REPORT_DELAY: Final[Seconds] = 0.06
#: A request with less time left than this is not passed on.
MIN_HOP_TIME: Final[Seconds] = 0.01


class TargetDispatcher:
    """Sends requests over the path that is in order."""

    def __init__(
        self,
        sender: TargetSender,
        hops: HopClient,
        reach: TargetReach,
        clock: SystemClock,
        crashes: CrashGuard,
    ) -> None:
        self._sender = sender
        self._hops = hops
        self._reach = reach
        self._clock = clock
        #: What is known of requests that crash targets.
        self.crashes = crashes
        self.counters = HopCounters()
        #: Tells the shares of this daemon how requests have ended.
        self.place_ends = PlaceEnds(clock)

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate = never,
    ) -> Attempt:
        """Have a target serve a request once.

        A repeatable request whose path turns out to be down meanwhile is also
        passed on, if `may_duplicate` allows it, and the first answer counts.
        """
        long_bodies = self._sender.long_bodies
        with (
            self.place_ends.ending(target, request.place) as end,
            long_bodies.counted(target.target_id, len(request.body)),
        ):
            attempt = await self._send_on_a_path(
                request, target, time_left, may_duplicate
            )
            end.attempt = attempt
        return attempt

    async def _send_on_a_path(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        now = self._clock.monotonic()
        attempt = not_run(
            'the target is not reached from here', ErrorKind.target_unreachable
        )
        if self._goes_directly(request, target, now):
            attempt = await self._send_directly(
                request, target, time_left, may_duplicate
            )
        if _is_unreached(attempt):
            attempt = await self._pass_on(
                request, target, now + time_left, attempt
            )
        if attempt.answer is not None:
            self.crashes.record_answered(request, target, attempt.outcome, now)
        return attempt

    def _goes_directly(
        self, request: TargetRequest, target: Target, now: Seconds
    ) -> bool:
        """Return whether a request takes the direct path.

        One that may be repeated also tries paths that may be back.
        """
        target_id = target.target_id
        if self._reach.is_direct(target_id, now):
            return True
        return request.is_idempotent and self._reach.is_trial_due(
            target_id, now
        )

    async def _send_directly(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
        may_duplicate: MayDuplicate,
    ) -> Attempt:
        if not request.is_idempotent:
            return await self._sender.send(request, target, time_left)
        deadline = self._clock.monotonic() + time_left
        duplicate = DuplicateTry(
            lambda: self._needs_helper(target) and may_duplicate(),
            lambda: self._duplicate(request, target, deadline),
        )
        return await duplicate.race(
            self._sender.send(request, target, time_left)
        )

    async def _duplicate(
        self, request: TargetRequest, target: Target, deadline: Seconds
    ) -> Attempt:
        record(
            Event.request_duplicated,
            request=request.request_id,
            target=target.target_id,
        )
        unreached = not_run('no helper sent it', ErrorKind.target_unreachable)
        return await self._pass_on(request, target, deadline, unreached)

    async def _pass_on(
        self,
        request: TargetRequest,
        target: Target,
        deadline: Seconds,
        last: Attempt,
    ) -> Attempt:
        """Send a request through helpers until one has sent it on.

        A target may leave meanwhile, and then gets no request of this daemon.
        """
        asked: set[str] = set()
        while len(asked) < MAX_HELPERS:
            reason = (
                self._sender.withdrawal_reason(target)
                or request.withdrawal_reason()
            )
            if reason:
                return withdrawn(reason)
            now = self._clock.monotonic()
            time_left = min(deadline, request.send_before) - now
            helper = self._next_helper(target, time_left, asked)
            if helper is None:
                break
            asked.add(helper.instance_id)
            last = await self._ask(request, target, helper, deadline - now)
            if not _was_refused(last):
                break
        return last

    async def _ask(
        self,
        request: TargetRequest,
        target: Target,
        helper: HelperDaemon,
        time_left: Seconds,
    ) -> Attempt:
        attempt = await self._sender.record_exchange(
            target, self._hops.exchange(request, target, helper, time_left)
        )
        if request.is_idempotent and _was_broken(attempt):
            await asyncio.sleep(REPORT_DELAY)
        if attempt.is_helper_failure:
            self._record_helper_failure(request, target, helper, attempt)
        else:
            self.counters.passed_on += 1
        return attempt

    def _record_helper_failure(
        self,
        request: TargetRequest,
        target: Target,
        helper: HelperDaemon,
        attempt: Attempt,
    ) -> None:
        self._reach.paths.record_helper_refusal(
            helper.instance_id, target.target_id, self._clock.monotonic()
        )
        kind = attempt.failure.kind if attempt.failure else ErrorKind.internal
        self.counters.helper_failures_by_kind[kind.value] += 1
        record(
            Event.helper_failed,
            request=request.request_id,
            target=target.target_id,
            helper=helper.instance_id,
            end=attempt.outcome.value,
            reason=attempt.reason,
            **_tables_fields(request),
        )

    def _needs_helper(self, target: Target) -> bool:
        """Return whether a path is down while another daemon's is not.

        No one's path leads to a target that takes no more requests.
        """
        if self._sender.withdrawal_reason(target):
            return False
        now = self._clock.monotonic()
        if self._reach.paths.is_reachable(target.target_id, now):
            return False
        return bool(self._reach.paths.helpers_for(target.target_id, now))

    def _next_helper(
        self, target: Target, time_left: Seconds, asked: Container[str]
    ) -> HelperDaemon | None:
        """Return the best helper for a target that was not asked yet."""
        if time_left < MIN_HOP_TIME:
            return None
        now = self._clock.monotonic()
        for helper in self._reach.paths.helpers_for(target.target_id, now):
            if helper.instance_id not in asked:
                return helper
        return None


def _tables_fields(request: TargetRequest) -> dict[str, Any]:
    """Return the state of the tables by which a target was chosen."""
    return request.decision.tables.fields() if request.decision else {}


def _is_unreached(attempt: Attempt) -> bool:
    """Return whether no connection to the target could be made."""
    if attempt.outcome is not AttemptOutcome.not_run:
        return False
    kind = attempt.failure.kind if attempt.failure else None
    return kind is ErrorKind.target_unreachable


def _was_broken(attempt: Attempt) -> bool:
    """Return whether a target ended an exchange that a helper had begun."""
    if attempt.is_helper_failure or attempt.failure is None:
        return False
    return attempt.failure.kind is ErrorKind.outcome_unknown


def _was_refused(attempt: Attempt) -> bool:
    """Return whether a helper did not send a request to its target."""
    return (
        attempt.is_helper_failure and attempt.outcome is AttemptOutcome.not_run
    )
