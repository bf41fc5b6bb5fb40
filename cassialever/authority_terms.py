"""How long a coordinator may go on, counted from before it asked."""

import itertools
from collections.abc import Iterable

from cassialever.types import InstanceId, Seconds


class AuthorityTerms:
    """The end of the authority, from the table or from promises."""

    def __init__(self, term: Seconds) -> None:
        """Start without any; `term` is in seconds."""
        self._term = term
        self._table_ends: Seconds = 0
        self._end_by_promiser: dict[InstanceId, Seconds] = {}
        self._asked_at_by_sequence: dict[int, Seconds] = {}
        self._sequence = itertools.count(1)
        self.successors: set[InstanceId] = set()
        self.last_promise: Seconds = 0
        self.next_ask: Seconds = 0

    def begin(self, asked_at: Seconds, successor: InstanceId) -> None:
        """Count anew from a takeover whose write was asked for then."""
        self._end_by_promiser.clear()
        self._asked_at_by_sequence.clear()
        self._table_ends = asked_at + self._term
        self.successors = {successor}
        self.last_promise = asked_at

    def end(self) -> None:
        """Forget every term."""
        self._table_ends = 0
        self._end_by_promiser.clear()
        self.successors = set()

    def name(self, successor: InstanceId) -> None:
        """Count with another successor, whose naming is not certain yet."""
        self.successors.add(successor)

    def written(self, asked_at: Seconds, successor: InstanceId) -> None:
        """Count from a write of the row that has been done."""
        self._table_ends = max(self._table_ends, asked_at + self._term)
        self.successors = {successor}

    def ask(self, now: Seconds) -> int:
        """Return the sequence of a promise that is asked for now."""
        sequence = next(self._sequence)
        self._asked_at_by_sequence[sequence] = now
        self._forget(now - self._term)
        return sequence

    def promised(self, promiser: InstanceId, sequence: int) -> None:
        """Count from when a promise was asked for."""
        asked_at = self._asked_at_by_sequence.get(sequence)
        if asked_at is None:
            return
        known = self._end_by_promiser.get(promiser, 0)
        self._end_by_promiser[promiser] = max(known, asked_at + self._term)
        if promiser in self.successors:
            self.last_promise = max(self.last_promise, asked_at)

    def promises_end(self) -> Seconds:
        """Return when the first of all who may take over is free to."""
        ends: Iterable[Seconds] = (
            self._end_by_promiser.get(name, 0) for name in self.successors
        )
        return min(ends, default=0)

    def ends(self) -> Seconds:
        """Return when the authority runs out, as an instant."""
        return max(self._table_ends, self.promises_end())

    def _forget(self, before: Seconds) -> None:
        for sequence, asked_at in list(self._asked_at_by_sequence.items()):
            if asked_at >= before:
                break
            self._asked_at_by_sequence.pop(sequence)
