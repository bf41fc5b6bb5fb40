"""End the wait for targets when a stop leaves no more time for it."""

import asyncio
import math
from collections.abc import Awaitable
from typing import Final

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind
from cassialever.gateway.outcomes import Attempt, unknown
from cassialever.policy.stopping import StopTiming, ends_in_time
from cassialever.types import Seconds

#: Time allowed for transmitting the answer, beyond the target's time limit.
RESPONSE_MARGIN: Final[Seconds] = 0.15
#: Part of the time for a stop that is reserved for answering requests whose
#: time limit it has cut; the answer of a target may come RESPONSE_MARGIN late.
TIMEOUT_ANSWER_RESERVE: Final[Seconds] = 2 * RESPONSE_MARGIN


class StopLimit:
    """Until when targets are waited for; without end until a stop begins."""

    def __init__(self, clock: SystemClock) -> None:
        self._clock = clock
        self._timeouts: set[asyncio.Timeout] = set()
        #: The end, by the monotonic clock.
        self.until: Seconds = math.inf
        self._begun_at: Seconds = math.inf

    def begin(self, until: Seconds) -> None:
        """Set the end, also for the attempts in progress.

        An answer may take RESPONSE_MARGIN longer to arrive.
        """
        self.until = until
        self._begun_at = self._clock.monotonic()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(self._expires_at())

    def admits(self, time_limit: Seconds, expected_latency: Seconds) -> bool:
        """Return whether a request that is sent now ends before the stop.

        `time_limit` is how long its target may take.
        """
        if math.isinf(self.until):
            return True
        now = self._clock.monotonic()
        return ends_in_time(
            StopTiming(
                since_stop=now - self._begun_at,
                time_left=self.until - now,
                time_limit=time_limit,
                expected_latency=expected_latency,
            )
        )

    async def apply(self, attempt: Awaitable[Attempt]) -> Attempt:
        """Await an attempt; one that outlasts the stop may have run."""
        timeout = asyncio.timeout_at(self._expires_at())
        try:
            async with timeout:
                self._timeouts.add(timeout)
                return await attempt
        except TimeoutError:
            if not timeout.expired():
                raise
            return unknown(
                'the target did not answer before the end of the stop',
                ErrorKind.deadline_passed,
            )
        finally:
            self._timeouts.discard(timeout)

    def _expires_at(self) -> Seconds | None:
        """Return when a wait ends, in the loop's time."""
        if math.isinf(self.until):
            return None
        time_left = self.until - self._clock.monotonic()
        return asyncio.get_running_loop().time() + time_left + RESPONSE_MARGIN
