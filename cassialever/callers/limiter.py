"""Limits of each caller at one daemon, as the catalogue sets them."""

from typing import Final

import msgspec

from cassialever.catalogue.entries import CallerEntry
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.types import CallerId, Seconds

#: Capacity of a caller's token bucket, in seconds at the caller's rate.
BURST_SECONDS: Final[Seconds] = 1.0
#: `retry_after` for a caller that has too many requests in flight.
CONCURRENCY_RETRY_AFTER: Final[Seconds] = 0.1
#: Callers that are tracked before the idle ones are dropped.
MAX_TRACKED_CALLERS: Final = 4096


class CallerUsage(msgspec.Struct):
    """A caller's token bucket (one token per request) and open requests."""

    tokens: float
    refilled_at: Seconds
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
        """Admit a request, or return the limit that it exceeds.

        Callers that share the default entry are limited separately. Each
        admitted request must be ended with `finish`.
        """
        usage = self._refill(caller_id, entry, now)
        if usage.in_flight >= entry.limits.requests_at_once:
            reason = f'{caller_id} has too many requests at once'
            return _over_limit(reason, entry.ref(), CONCURRENCY_RETRY_AFTER)
        if usage.tokens < 1:
            reason = f'{caller_id} has sent too many requests a second'
            missing = 1 - usage.tokens
            wait = missing / max(1, entry.limits.requests_per_second)
            return _over_limit(reason, entry.ref(), wait)
        usage.tokens -= 1
        usage.in_flight += 1
        return None

    def finish(self, caller_id: CallerId) -> None:
        """End an admitted request."""
        self._usage_by_caller[caller_id].in_flight -= 1

    def _refill(
        self,
        caller_id: CallerId,
        entry: CallerEntry,
        now: Seconds,
    ) -> CallerUsage:
        rate = entry.limits.requests_per_second
        capacity = max(1, rate * BURST_SECONDS)
        usage = self._usage_by_caller.get(caller_id)
        if usage is None:
            self._forget_idle(now)
            usage = CallerUsage(tokens=capacity, refilled_at=now)
            self._usage_by_caller[caller_id] = usage
        added = (now - usage.refilled_at) * rate
        usage.tokens = min(capacity, usage.tokens + added)
        usage.refilled_at = now
        return usage

    def _forget_idle(self, now: Seconds) -> None:
        """Drop idle callers whose bucket is full, once many are tracked."""
        if len(self._usage_by_caller) < MAX_TRACKED_CALLERS:
            return
        for caller_id, usage in list(self._usage_by_caller.items()):
            is_idle = now >= usage.refilled_at + BURST_SECONDS
            if is_idle and not usage.in_flight:
                self._usage_by_caller.pop(caller_id)


def _over_limit(reason: str, entry: EntryRef, wait: Seconds) -> Failure:
    return Failure(ErrorKind.caller_over_limit, reason, entry, wait)
