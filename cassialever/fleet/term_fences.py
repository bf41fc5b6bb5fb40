"""The lowest fence that a term may assign.

Terms number their fences by the store's clock. It goes on where the store has
lost writes, while versions and key maps may repeat then.
"""

from collections.abc import Callable

from cassialever.keys.assignments import least_fence
from cassialever.types import Fence, RowVersion, Seconds


class TermFences:
    """Fences above those of all terms before."""

    def __init__(
        self,
        term: RowVersion,
        store_time: Seconds,
        above_lost: Callable[[], Fence],
    ) -> None:
        """Start with the store's time when the term began.

        `above_lost` returns a fence above those that a build before may have
        assigned and the store has lost.
        """
        self._term = term
        self._store_time = store_time
        self._above_lost = above_lost

    def note_answer(self, store_time: Seconds) -> None:
        """Note when the store took a write of the term, by its clock.

        All fences that are assigned later exceed those of terms that another
        daemon began before, whether or not the store still has these terms.
        """
        self._store_time = store_time

    def least(self) -> Fence:
        """Return the lowest fence that may be assigned now."""
        by_clock = least_fence(self._term, self._store_time)
        return max(by_clock, self._above_lost())

    def next_after(self, highest: int) -> Fence:
        """Return the lowest fence above the highest one of a key map."""
        return max(Fence(highest + 1), self.least())
