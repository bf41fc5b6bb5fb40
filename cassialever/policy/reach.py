"""Tell whether a target is reached from here, or through another daemon."""

from collections.abc import Sequence

from cassialever.interfaces import HelperDaemon, PathEvidence
from cassialever.policy.loads import LoadTracker
from cassialever.types import Seconds, TargetId


class SoundPaths:
    """Evidence that every path is in order, so that no helper is needed."""

    def is_reachable(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether the path to a target is in order: always."""
        return True

    def is_trial_due(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a request may try a path: no path needs it."""
        return False

    def helpers_for(
        self, target_id: TargetId, now: Seconds
    ) -> Sequence[HelperDaemon]:
        """Return no daemon."""
        return ()

    def record_helper_refusal(
        self, instance_id: str, target_id: TargetId, now: Seconds
    ) -> None:
        """Ignore the refusal."""


class TargetReach:
    """Combines the evidence on paths with this daemon's own connections."""

    def __init__(self, loads: LoadTracker, paths: PathEvidence) -> None:
        self._loads = loads
        self.paths = paths

    def is_direct(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a target is reached without another daemon."""
        load = self._loads.of(target_id)
        return load.is_reachable(now) and self.paths.is_reachable(
            target_id, now
        )

    def is_trial_due(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a request may try if a path is in order again."""
        load = self._loads.of(target_id)
        return load.is_reachable(now) and self.paths.is_trial_due(
            target_id, now
        )

    def is_reached(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a target is reached in any way."""
        if self.is_direct(target_id, now):
            return True
        return bool(self.paths.helpers_for(target_id, now))
