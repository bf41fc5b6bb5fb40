"""Know which services, and which owners of keys, are contended.

Load pattern handled: a burst that many daemons see at different times. Each
learns of it from a few answers; what one has met, all know a moment later.
"""

import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from cassialever.types import Seconds

#: How long a share binds after the last sign of contention. Without shares the
#: queues of a large fleet fill within a second.
CONTENDED_PERIOD: Final[Seconds] = 5.0
#: The same after another daemon has named it, which it does with each report.
HEARD_PERIOD: Final[Seconds] = 4.0
#: Signs that make contention, and the time in which they are forgotten. One
#: full target among many is avoided without shares.
MIN_SIGNS: Final = 1.5
SIGNS_PERIOD: Final[Seconds] = 1.0
#: Most names in a report.
MAX_REPORTED: Final = 16
#: Names of services and targets that are remembered.
MAX_NAMES: Final = 4096


class Contention:
    """What is contended, by this daemon's answers and those of others."""

    def __init__(self) -> None:
        """Start in calm."""
        self._until_by_name: dict[str, Seconds] = {}
        #: The same by what this daemon has met itself, the latest last.
        self._met_until: dict[str, Seconds] = {}
        #: Recent signs of contention, as of a time.
        self._signs_by_name: dict[str, tuple[float, Seconds]] = {}
        #: Called with a name that becomes contended.
        self.on_contended: Callable[[str], None] = _ignore

    def holds_for(self, name: str, now: Seconds) -> bool:
        """Return whether a service or a target is contended."""
        return now < self._until_by_name.get(name, 0)

    def record_sign(self, name: str, weight: float, now: Seconds) -> None:
        """Note that a request has met a queue, or was turned away.

        A queue weighs as many times as it is longer than one that counts.
        """
        signs, last_at = self._signs_by_name.pop(name, (0, now))
        signs = weight + signs * math.exp((last_at - now) / SIGNS_PERIOD)
        _make_room(self._signs_by_name)
        self._signs_by_name[name] = (signs, now)
        if signs > MIN_SIGNS:
            until = now + CONTENDED_PERIOD
            self._met_until.pop(name, None)
            _make_room(self._met_until)
            self._met_until[name] = until
            self._extend(name, until, now)

    def record_heard(self, names: Iterable[str], now: Seconds) -> None:
        """Note what another daemon has met as contended."""
        for name in names:
            self._extend(name, now + HEARD_PERIOD, now)

    def reported(self) -> tuple[str, ...]:
        """Return what this daemon has met as contended, the latest first."""
        latest = reversed(self._met_until)
        return tuple(itertools.islice(latest, MAX_REPORTED))

    def count(self) -> int:
        """Return how many services and owners of keys are contended."""
        return len(self._until_by_name)

    def prune(self, now: Seconds) -> None:
        """Forget what is over."""
        for until_by_name in (self._until_by_name, self._met_until):
            for name, until in list(until_by_name.items()):
                if until <= now:
                    until_by_name.pop(name)

    def _extend(self, name: str, until: Seconds, now: Seconds) -> None:
        known = self._until_by_name.get(name, 0)
        if known <= now:
            self.on_contended(name)
        _make_room(self._until_by_name)
        self._until_by_name[name] = max(known, until)


def _make_room(
    by_name: dict[str, Seconds] | dict[str, tuple[float, Seconds]],
) -> None:
    """Forget all names if there are too many."""
    if len(by_name) >= MAX_NAMES:
        by_name.clear()


def _ignore(name: str) -> None:
    """Take no note; the default until an observer is set."""
