"""Estimate the store's clock from the times that its answers have."""

from typing import Final

from cassialever.types import Seconds

#: A call that took longer tells little of the store's clock: the process may
#: have been stopped before it was sent.
MAX_CALL_TIME: Final[Seconds] = 1.0


class StoreClock:
    """The latest time that the store's clock may show.

    The store shows the time of an answer after the call was sent, so that an
    estimate from then on is ahead by at most the length of the call.
    """

    def __init__(self, store_time: Seconds, sent_at: Seconds) -> None:
        """Start with the time of an answer, and when its call was sent."""
        self._store_time = store_time
        self._sent_at = sent_at

    def at(self, moment: Seconds) -> Seconds:
        """Return the store's time at a moment of this daemon's clock."""
        return self._store_time + moment - self._sent_at

    def note(
        self, store_time: Seconds, sent_at: Seconds, received_at: Seconds
    ) -> None:
        """Adopt a later answer, unless its call took long."""
        is_late = received_at - sent_at > MAX_CALL_TIME
        # An earlier estimate below the answer's time would be wrong.
        if is_late and self.at(received_at) >= store_time:
            return
        self._store_time = store_time
        self._sent_at = sent_at
