"""What one daemon has seen of one target, by its own requests."""

from typing import Final

from cassialever.latency import Average
from cassialever.messages import TargetLoad
from cassialever.types import RequestId, Seconds, TargetId

#: The share of a new answer in a target's latency.
VIEW_WEIGHT: Final = 0.2
#: The first and the longest pause between two probes of a straggler.
FIRST_PROBE_PAUSE: Final[Seconds] = 0.25
LONGEST_PROBE_PAUSE: Final[Seconds] = 4.0


class TargetView:
    """Own requests at a target, its latest load and its latency."""

    def __init__(self, target_id: TargetId, *, is_local: bool) -> None:
        """Start without having seen anything."""
        self.target_id = target_id
        self.is_local = is_local
        self.is_avoided = False
        self.is_failing = False
        self._next_probe: Seconds = 0
        self._load = TargetLoad(target_id)
        self._latency = Average(VIEW_WEIGHT)
        self._sent_since_load = 0
        self._sent_by_id: dict[RequestId, Seconds] = {}
        self._probe_pause = FIRST_PROBE_PAUSE

    @property
    def has_answered(self) -> bool:
        """Say whether its latency is known."""
        return self._latency.count > 0

    def sent(self, request_id: RequestId, now: Seconds) -> None:
        """Note a request that goes out."""
        self._sent_by_id[request_id] = now
        self._sent_since_load += 1

    def answered(
        self,
        request_id: RequestId,
        load: TargetLoad,
        now: Seconds,
    ) -> Seconds | None:
        """Note an answer and return its latency, if the sending is known."""
        self._load = load
        self._sent_since_load = 0
        sent = self._sent_by_id.pop(request_id, None)
        if sent is None:
            return None
        self._latency.add(now - sent)
        return now - sent

    def gave_up(
        self,
        request_id: RequestId,
        now: Seconds,
        *,
        is_fault: bool,
    ) -> None:
        """Note a request that ended without an answer.

        Having waited for long is a sign, having been refused fast is none,
        but a fault is one however fast it came.
        """
        elapsed = now - self._sent_by_id.pop(request_id, now)
        self._sent_since_load = max(0, self._sent_since_load - 1)
        if elapsed > self._latency.mean:
            self._latency.add(elapsed)
        if is_fault:
            self.is_failing = True
            self.avoid(now)

    def latency(self, now: Seconds) -> Seconds:
        """Return the usual latency, or the age of an older open request."""
        oldest = next(iter(self._sent_by_id.values()), now)
        return max(self._latency.mean, now - oldest)

    def usage(self) -> float:
        """Return the load in shares of the target's capacity."""
        others = self._load.in_flight + self._load.queued
        known = others + self._sent_since_load
        load = max(known, len(self._sent_by_id))
        return (load + 1) / max(1, self._load.capacity)

    def cost(self, now: Seconds) -> Seconds:
        """Return the expected time of one more request."""
        return self.latency(now) * self.usage()

    def avoid(self, now: Seconds) -> None:
        """Give it no more requests than probes, the first after a pause."""
        if not self.is_avoided:
            self.is_avoided = True
            self._next_probe = now + self._probe_pause

    def probe(self, now: Seconds) -> bool:
        """Say whether a probe is due, and if so wait longer for the next."""
        if now < self._next_probe:
            return False
        self._probe_pause = min(self._probe_pause * 2, LONGEST_PROBE_PAUSE)
        self._next_probe = now + self._probe_pause
        return True

    def forgive(self, latency: Seconds) -> None:
        """Start anew from a good answer."""
        self.is_avoided = False
        self.is_failing = False
        self._probe_pause = FIRST_PROBE_PAUSE
        self._latency = Average(VIEW_WEIGHT)
        self._latency.add(latency)
