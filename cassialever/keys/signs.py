"""When each target has last been known to be alive."""

import math

from cassialever.clock import SystemClock
from cassialever.types import Seconds, TargetId


class SignsOfLife:
    """The answers of targets to the calls of one leader.

    A target that answered was alive after the call was sent.
    """

    def __init__(self, clock: SystemClock) -> None:
        """Start without any answer."""
        self._clock = clock
        self._sent_at_by_id: dict[TargetId, Seconds] = {}

    def record(self, target_id: TargetId, sent_at: Seconds) -> None:
        """Note an answer to what was sent at a moment of boot time."""
        self._sent_at_by_id[target_id] = sent_at

    def forget(self, target_id: TargetId) -> None:
        """Remove a target that has been removed."""
        self._sent_at_by_id.pop(target_id, None)

    def silence_of(self, target_id: TargetId) -> Seconds:
        """Return the time since a target's last sign of life."""
        sent_at = self._sent_at_by_id.get(target_id, -math.inf)
        return self._clock.boot() - sent_at
