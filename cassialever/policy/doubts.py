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
#: Further ones that only a suspected cut of this daemon may use. Later probes
#: wait until they are made up for.
CUT_PROBE_RESERVE: Final = 8


class DoubtAllowance:
    """The probes of targets in doubt that a daemon may make now."""

    def __init__(self) -> None:
        """Start with a full burst."""
        self._left: float = DOUBT_PROBE_BURST
        self._counted_at: Seconds = 0
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
        gained = DOUBT_PROBES_PER_S * max(now - self._counted_at, 0)
        self._left = min(self._left + gained, DOUBT_PROBE_BURST)
        self._counted_at = now
        least = -CUT_PROBE_RESERVE if is_urgent else 0
        if self._left - 1 < least:
            return False
        self._left -= 1
        self._probed_at_by_id[target_id] = now
        return True

    def prune(self, known: Container[TargetId]) -> None:
        """Forget targets that are gone."""
        for target_id in list(self._probed_at_by_id):
            if target_id not in known:
                self._probed_at_by_id.pop(target_id)
