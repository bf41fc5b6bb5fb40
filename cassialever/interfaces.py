"""Protocols of what the core depends on: a clock and a random source.

Tests replace each with a small fake.
"""

from typing import Protocol

from cassialever.types import Seconds


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
