"""How often a daemon may ask the platform, and when after failures.

Without I/O: the time and the random source are passed in.
"""

from typing import Final

from cassialever.interfaces import RandomSource
from cassialever.types import Seconds

#: A delay is at least this share of its longest length, the rest is random.
_LEAST_DELAY_SHARE: Final = 0.5

_LONGEST_EXPONENT: Final = 16

#: A burst is this part of a second's operations.
_BURST_PART: Final = 5


class Budget:
    """A hard limit of operations in any one second.

    A fifth of them may come at once; the others are spread over the second.
    """

    def __init__(self, per_second: int) -> None:
        """Start with the whole burst."""
        burst = max(1, per_second // _BURST_PART)
        self._interval: Seconds = 1 / (per_second - burst + 1)
        self._slack: Seconds = (burst - 1) * self._interval
        self._next: Seconds = 0

    def reserve(self, now: Seconds, longest: Seconds) -> Seconds | None:
        """Take the next turn and return the wait until then, in seconds.

        Returns nothing, and takes no turn, if the wait is over `longest`.
        """
        earliest = max(self._next, now - self._slack)
        wait = max(0, earliest - now)
        if wait > longest:
            return None
        self._next = earliest + self._interval
        return wait


class Backoff:
    """When to try again after failures: later each time, never in step.

    While the service is down one operation at a time tries it. A success
    halves what the failures have added, so that a service that comes and
    goes is not asked as if it were well.
    """

    def __init__(
        self,
        shortest: Seconds,
        longest: Seconds,
        source: RandomSource,
    ) -> None:
        """Start with the service up."""
        self._shortest = shortest
        self._longest = longest
        self._source = source
        self._failures = 0
        self._is_down = False
        self._is_trying = False
        self._next: Seconds = 0

    def wait(self, now: Seconds) -> Seconds:
        """Return the seconds until the next try; 0 is now."""
        return max(0, self._next - now) if self._is_down else 0

    def tried(self, now: Seconds) -> None:
        """Note the start of an operation; others wait for its end."""
        if self._is_down:
            self._is_trying = True
            self._next = now + self._longest

    def succeeded(self) -> None:
        """Note an answer."""
        self._is_down = False
        self._is_trying = False
        self._failures //= 2

    def failed(self, now: Seconds) -> None:
        """Note a failure, and put off the next try.

        Failures of operations from before the service was down count once.
        """
        if self._is_down and not self._is_trying:
            return
        self._is_down = True
        self._is_trying = False
        self._failures = min(self._failures + 1, _LONGEST_EXPONENT)
        doubled = self._shortest * 2 ** (self._failures - 1)
        delay = min(doubled, self._longest)
        random_share = self._source.random() * (1 - _LEAST_DELAY_SHARE)
        self._next = now + delay * (_LEAST_DELAY_SHARE + random_share)
