"""Send a request to its target, directly or through another daemon.

A daemon that can't reach a target while others do passes the request on to one
of them, the helper. This is one attempt at that target, whichever way it takes.
"""

import asyncio
from collections.abc import Callable, Container
from types import TracebackType
from typing import Final

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.gateway.counters import HopCounters
from cassialever.gateway.hop_client import HopClient
from cassialever.gateway.outcomes import (
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)
from cassialever.gateway.sender import TargetRequest, TargetSender
from cassialever.interfaces import HelperDaemon
from cassialever.policy.reach import TargetReach
from cassialever.types import Seconds

#: Helpers that are asked, one after another, in one attempt.
MAX_HELPERS: Final = 2
#: How long an exchange is open until its path is checked, and then the
#: interval between checks.
PATH_CHECK_INTERVAL: Final[Seconds] = 0.3
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
    ) -> None:
        self._sender = sender
        self._hops = hops
        self._reach = reach
        self._clock = clock
        self.counters = HopCounters()

    async def send(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        """Have a target serve a request once.

        A request that may run more than once is given up when its path turns
        out to be down, so that it can be retried.
        """
        now = self._clock.monotonic()
        attempt = not_run(
            'the target is not reached from here', ErrorKind.target_unreachable
        )
        if self._reach.is_direct(target.target_id, now):
            attempt = await self._send_directly(request, target, time_left)
        if not _is_unreached(attempt):
            return attempt
        return await self._pass_on(request, target, now + time_left, attempt)

    async def _send_directly(
        self,
        request: TargetRequest,
        target: Target,
        time_left: Seconds,
    ) -> Attempt:
        if not request.is_idempotent:
            return await self._sender.send(request, target, time_left)
        try:
            async with asyncio.timeout(None) as limit:
                with _PathWatch(limit, lambda: self._should_give_up(target)):
                    return await self._sender.send(request, target, time_left)
        except TimeoutError:
            return unknown('given up, since the path to the target is down')

    async def _pass_on(
        self,
        request: TargetRequest,
        target: Target,
        deadline: Seconds,
        last: Attempt,
    ) -> Attempt:
        """Send a request through helpers until one has sent it on."""
        asked: set[str] = set()
        while len(asked) < MAX_HELPERS:
            now = self._clock.monotonic()
            helper = self._next_helper(target, now, asked)
            if helper is None or deadline - now < MIN_HOP_TIME:
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
        )

    def _should_give_up(self, target: Target) -> bool:
        """Return whether a path is down while another daemon's is not."""
        now = self._clock.monotonic()
        if self._reach.paths.is_reachable(target.target_id, now):
            return False
        return bool(self._reach.paths.helpers_for(target.target_id, now))

    def _next_helper(
        self, target: Target, now: Seconds, asked: Container[str]
    ) -> HelperDaemon | None:
        """Return the best helper for a target that was not asked yet."""
        for helper in self._reach.paths.helpers_for(target.target_id, now):
            if helper.instance_id not in asked:
                return helper
        return None


class _PathWatch:
    """Lets a time limit expire once a path is down."""

    def __init__(
        self, limit: asyncio.Timeout, is_down: Callable[[], bool]
    ) -> None:
        self._limit = limit
        self._is_down = is_down
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> None:
        self._schedule()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(PATH_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        if self._is_down():
            self._limit.reschedule(self._loop.time())
            return
        self._schedule()


def _is_unreached(attempt: Attempt) -> bool:
    """Return whether no connection to the target could be made."""
    if attempt.outcome is not AttemptOutcome.not_run:
        return False
    kind = attempt.failure.kind if attempt.failure else None
    return kind is ErrorKind.target_unreachable


def _was_refused(attempt: Attempt) -> bool:
    """Return whether a helper did not send a request to its target."""
    return (
        attempt.is_helper_failure and attempt.outcome is AttemptOutcome.not_run
    )
