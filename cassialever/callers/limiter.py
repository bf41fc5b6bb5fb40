"""Limits of each caller at one daemon, as the catalogue sets them."""

from typing import Final

import msgspec

from cassialever.catalogue.entries import CallerEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.types import CallerId, Seconds

#: Seconds of work that a caller may send in one burst.
BURST_SECONDS: Final[Seconds] = 1.0
#: When to come back to a limit of requests at once.
AT_ONCE_RETRY_AFTER: Final[Seconds] = 0.1
#: Callers that are remembered before the idle ones are forgotten.
MAX_TRACKED_CALLERS: Final = 4096


class CallerUsage(msgspec.Struct):
    """What one caller uses of its limits; `saved` is in requests."""

    saved: float
    saved_at: Seconds
    in_flight: int = 0


class CallerLimiter:
    """Admit the requests of each caller up to its limits."""

    def __init__(self) -> None:
        """Start without any caller."""
        self._usage_by_caller: dict[CallerId, CallerUsage] = {}

    def admit(
        self,
        caller_id: CallerId,
        entry: CallerEntry,
        now: Seconds,
    ) -> Failure | None:
        """Count a request in, or say why it is over a limit.

        Callers that share the default entry each have its limits. A request
        that was counted in must be ended by `finish`.
        """
        use = self._use(caller_id, entry, now)
        if use.in_flight >= entry.limits.requests_at_once:
            reason = f'{caller_id} has too many requests at once'
            return _over(reason, entry.ref(), AT_ONCE_RETRY_AFTER)
        if use.saved < 1:
            reason = f'{caller_id} has sent too many requests a second'
            lacking = 1 - use.saved
            wait = lacking / max(1, entry.limits.requests_per_second)
            return _over(reason, entry.ref(), wait)
        use.saved -= 1
        use.in_flight += 1
        return None

    def finish(self, caller_id: CallerId) -> None:
        """End a request that was counted in."""
        self._usage_by_caller[caller_id].in_flight -= 1

    def _use(
        self,
        caller_id: CallerId,
        entry: CallerEntry,
        now: Seconds,
    ) -> CallerUsage:
        rate = entry.limits.requests_per_second
        most = max(1, rate * BURST_SECONDS)
        use = self._usage_by_caller.get(caller_id)
        if use is None:
            self._forget_idle(now)
            use = CallerUsage(saved=most, saved_at=now)
            self._usage_by_caller[caller_id] = use
        earned = (now - use.saved_at) * rate
        use.saved = min(most, use.saved + earned)
        use.saved_at = now
        return use

    def _forget_idle(self, now: Seconds) -> None:
        """Drop callers whose burst is whole again, once there are many."""
        if len(self._usage_by_caller) < MAX_TRACKED_CALLERS:
            return
        for caller_id, use in list(self._usage_by_caller.items()):
            is_idle = now >= use.saved_at + BURST_SECONDS
            if is_idle and not use.in_flight:
                self._usage_by_caller.pop(caller_id)


def _over(reason: str, entry: EntryRef, wait: Seconds) -> Failure:
    return Failure(ErrorKind.caller_over_limit, reason, entry, wait)
