"""Try a repeatable request a second time beside the first.

The first try is never ended for what is believed of its path or its target:
only by an answer to the second one. Hedged requests, after Dean and Barroso,
"The Tail at Scale"; here only once the path of the first is down.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from cassialever.events import Event, record
from cassialever.gateway.outcomes import Attempt, AttemptOutcome
from cassialever.types import Seconds

#: How long a try is open until its path is checked, and then the interval
#: between checks.
PATH_CHECK_INTERVAL: Final[Seconds] = 0.3

#: Returns whether a request may reach its target once more, and counts that.
MayDuplicate: TypeAlias = Callable[[], bool]


def never() -> bool:
    """Allow no second try."""
    return False


class DuplicateTry:
    """The second try of one request, which begins if `is_due` says so."""

    def __init__(
        self,
        is_due: Callable[[], bool],
        begin: Callable[[], Awaitable[Attempt]],
    ) -> None:
        self._is_due = is_due
        self._begin = begin
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Future[Attempt] | None = None
        #: Ends the first try once the second one is answered.
        self._limit = asyncio.timeout(None)
        self._is_first_open = True

    async def race(self, first: Awaitable[Attempt]) -> Attempt:
        """Return the first answer, or how both tries failed."""
        try:
            return await self._race(first)
        finally:
            self._cancel()

    async def _race(self, first: Awaitable[Attempt]) -> Attempt:
        try:
            async with self._limit:
                self._schedule()
                attempt = await first
                self._is_first_open = False
        except TimeoutError:
            if self._task is None:
                raise
            return self._task.result()
        if self._task is None or attempt.outcome is AttemptOutcome.answered:
            return attempt
        return _more_certain(attempt, await self._task)

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(PATH_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        if not self._is_due():
            self._schedule()
            return
        self._task = asyncio.ensure_future(self._begin())
        self._task.add_done_callback(self._end_first)

    def _end_first(self, second: asyncio.Future[Attempt]) -> None:
        if second.cancelled():
            return
        error = second.exception()
        if error is not None:
            record(Event.task_failed, reason=repr(error))
            return
        is_answered = second.result().outcome is AttemptOutcome.answered
        if is_answered and self._is_first_open:
            self._limit.reschedule(self._loop.time())

    def _cancel(self) -> None:
        # The second try may have ended in the same turn of the loop.
        self._is_first_open = False
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()


def _more_certain(first: Attempt, second: Attempt) -> Attempt:
    """Return the outcome of two tries of which the first was not answered.

    The request may have run if either try may have run it.
    """
    if second.outcome is AttemptOutcome.answered:
        return second
    if first.outcome is AttemptOutcome.not_run:
        return second
    return first
