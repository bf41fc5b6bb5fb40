"""Limit how often targets are probed though no connection to them failed.

Load pattern handled: many targets are slow or full at the same time. A probe
is one of the connections that they are short of, and takes the link on which
their answers are due.
"""

import math
from collections.abc import Container
from typing import Final

from cassialever.types import Seconds, TargetId

#: Minimum time between two probes of a target that is in doubt.
DOUBT_PROBE_INTERVAL: Final[Seconds] = 1.0
#: Probes of targets in doubt a second, of one daemon and over all targets: few
#: beside the requests of a small daemon.
DOUBT_PROBES_PER_S: Final = 1.0
#: Probes that may follow one another at once, after a time without any.
DOUBT_PROBE_BURST: Final = 8
#: Further probes a second, and at once, that only a suspected cut of this
#: daemon may use, so that other doubts don't delay its recognition.
CUT_PROBES_PER_S: Final = 4.0
CUT_PROBE_BURST: Final = 8


class _Allowance:
    """Probes at a rate, and a burst of them after a time without any."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left: float = burst
        self._counted_at: Seconds = 0

    def try_take(self, now: Seconds) -> bool:
        """Take one probe; return whether one was left."""
        gained = self._per_s * max(now - self._counted_at, 0)
        self._left = min(self._left + gained, self._burst)
        self._counted_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class DoubtAllowance:
    """The probes of targets in doubt that a daemon may make now."""

    def __init__(self) -> None:
        """Start with full bursts."""
        self._usual = _Allowance(DOUBT_PROBES_PER_S, DOUBT_PROBE_BURST)
        self._reserve = _Allowance(CUT_PROBES_PER_S, CUT_PROBE_BURST)
        #: When each target was last probed because of a doubt.
        self._probed_at_by_id: dict[TargetId, Seconds] = {}

    def next_probe_at(self, target_id: TargetId, now: Seconds) -> Seconds:
        """Return when a target may be probed for a doubt that is not urgent."""
        probed_at = self._probed_at_by_id.get(target_id, -math.inf)
        return max(now, probed_at + DOUBT_PROBE_INTERVAL)

    def try_take(
        self, target_id: TargetId, now: Seconds, *, is_urgent: bool
    ) -> bool:
        """Take one probe for a target; return whether one was left."""
        is_left = self._usual.try_take(now)
        if is_urgent and not is_left:
            is_left = self._reserve.try_take(now)
        if is_left:
            self._probed_at_by_id[target_id] = now
        return is_left

    def prune(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone."""
        for target_id in list(self._probed_at_by_id):
            if target_id not in known:
                self._probed_at_by_id.pop(target_id)
