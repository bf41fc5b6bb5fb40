"""Count the outcomes of requests for the metrics."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, TypeVar

from hdrh.histogram import HdrHistogram

from cassialever.gateway.outcomes import Attempt, TargetRefusal
from cassialever.types import MS_PER_SECOND, Seconds, ServiceName

_LOWEST_MS: Final = 1
_HIGHEST_MS: Final = 60000
_SIGNIFICANT_DIGITS: Final = 2

#: Shortest time between two events of refusals of one kind.
EVENT_INTERVAL: Final[Seconds] = 1.0

_Name = TypeVar('_Name', bound=str)


class HopCounters:
    """Requests passed on to other daemons, and carried for them."""

    def __init__(self) -> None:
        #: Requests that another daemon has sent to their targets.
        self.passed_on = 0
        self.helper_failures_by_kind: Counter[str] = Counter()
        #: Requests of other daemons that were sent to their targets.
        self.carried = 0
        self.refusals_by_kind: Counter[str] = Counter()


class WaitingCounters:
    """Requests that found every target full."""

    def __init__(self) -> None:
        #: Returns the number of those that wait, by rank.
        self.count_by_rank: Callable[[], Counter[int]] = Counter
        #: Refused as soon as they came, or while they waited.
        self.refused_at_once = 0
        self.put_out = 0

    def record_out(self, *, was_queued: bool) -> None:
        """Count a request that can't be served in time."""
        if was_queued:
            self.put_out += 1
        else:
            self.refused_at_once += 1


class Counters:
    """The outcomes of this daemon's requests since its start."""

    def __init__(self) -> None:
        self.served = 0
        self.waiting = WaitingCounters()
        self.refused_by_reason: Counter[str] = Counter()
        self.failed_by_outcome: Counter[str] = Counter()
        #: Attempts that targets have refused, by why and service.
        self.refused_by_target: Counter[tuple[TargetRefusal, ServiceName]] = (
            Counter()
        )
        #: Requests sent to targets, retries included.
        self.sent_by_service: Counter[str] = Counter()
        self.latency_ms = HdrHistogram(
            _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS
        )

    def record_answer(self, latency: Seconds) -> None:
        """Count a target's answer that was passed on to its caller."""
        self.served += 1
        self.latency_ms.record_value(max(int(latency * MS_PER_SECOND), 1))

    def record_refusal(self, reason: str) -> None:
        """Count a refusal by this daemon."""
        self.refused_by_reason[reason] += 1

    def record_failed_attempt(
        self, service: ServiceName, attempt: Attempt
    ) -> None:
        """Count an attempt that did not serve its request."""
        self.failed_by_outcome[attempt.outcome.value] += 1
        if attempt.refusal is not None:
            self.refused_by_target[attempt.refusal, service] += 1


class RefusalCount:
    """Refusals of one kind, of which there is an event once in a time."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._count = 0
        self._next_event_at: Seconds = 0

    def note(self, now: Seconds) -> int:
        """Count a refusal; return how many an event reports, if it is due."""
        self._count += 1
        if now < self._next_event_at:
            return 0
        self._next_event_at = now + EVENT_INTERVAL
        count = self._count
        self._count = 0
        return count


@contextmanager
def counted(counter: Counter[_Name], name: _Name) -> Iterator[None]:
    """Count something under a name for as long as it lasts."""
    counter[name] += 1
    try:
        yield
    finally:
        counter[name] -= 1
