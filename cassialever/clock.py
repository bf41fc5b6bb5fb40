"""The real clock and the real random source."""

import random
import time

from cassialever.types import Seconds


class SystemClock:
    """The clocks of this machine."""

    def monotonic(self) -> Seconds:
        """Return monotonic seconds."""
        return time.monotonic()

    def boot(self) -> Seconds:
        """Return monotonic seconds that include time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def processor(self) -> Seconds:
        """Return the processor time that this process has used."""
        return time.process_time()

    def wall(self) -> Seconds:
        """Return seconds since the Unix epoch, for display."""
        return time.time()


def seeded_random(seed: int | None) -> random.Random:
    """Return a random source; `None` seeds it from the system."""
    return random.Random(seed)  # noqa: S311
