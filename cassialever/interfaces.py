"""Protocols of what the core depends on: clocks, randomness, evidence.

Tests replace each with a small fake.
"""

from collections.abc import Sequence
from typing import Protocol

from cassialever.types import DataCentreId, Seconds, TargetId


class Clock(Protocol):
    """Monotonic time for decisions, wall time for display only."""

    def monotonic(self) -> Seconds:
        """Return monotonic seconds."""

    def wall(self) -> Seconds:
        """Return seconds since the Unix epoch, for display."""


class RandomSource(Protocol):
    """A seeded random number generator."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer in [0, `stop`)."""


class HelperDaemon(Protocol):
    """Another daemon that reaches a target which this one does not."""

    @property
    def instance_id(self) -> str:
        """Return the daemon's id."""

    @property
    def address(self) -> str:
        """Return the host and port for links between daemons."""

    @property
    def data_centre(self) -> DataCentreId:
        """Return the daemon's data centre."""


class PathEvidence(Protocol):
    """What is known of the paths from daemons to targets."""

    def is_reachable(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether this daemon's own path to a target is in order."""

    def is_trial_due(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a request may try if a path is in order again."""

    def helpers_for(
        self, target_id: TargetId, now: Seconds
    ) -> Sequence[HelperDaemon]:
        """Return the daemons that reach a target, the best first.

        There are none if this daemon's own path may be in order.
        """

    def record_helper_refusal(
        self, instance_id: str, target_id: TargetId, now: Seconds
    ) -> None:
        """Record that a daemon did not exchange with a target."""
