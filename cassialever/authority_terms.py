"""How long a coordinator may go on, counted from before it asked."""

import itertools
import math
from collections.abc import Iterable

from cassialever.membership import Process
from cassialever.types import Seconds


class AuthorityTerms:
    """The end of the authority, from the table or from promises."""

    def __init__(self, term: Seconds) -> None:
        """Start without any; `term` is in seconds."""
        self._term = term
        self._table_ends: Seconds = 0
        self._end_by_promiser: dict[Process, Seconds] = {}
        self._asked_at_by_sequence: dict[int, Seconds] = {}
        self._sequence = itertools.count(1)
        self.successors: set[Process] = set()
        self.last_promise: Seconds = 0
        self.next_ask: Seconds = 0

    def begin(self, asked_at: Seconds, successor: Process) -> None:
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

    def name(self, successor: Process) -> None:
        """Count with another successor, whose naming is not certain yet."""
        self.successors.add(successor)

    def written(self, asked_at: Seconds, successor: Process) -> None:
        """Count from a write of the row that has been done."""
        self._table_ends = max(self._table_ends, asked_at + self._term)
        self.successors = {successor}

    def not_written(self, successor: Process) -> None:
        """Count with the row's successor alone, since no other was named."""
        self.successors = {successor}

    def ask(self, now: Seconds) -> int:
        """Return the sequence of a promise that is asked for now."""
        sequence = next(self._sequence)
        self._asked_at_by_sequence[sequence] = now
        self._forget(now - self._term)
        return sequence

    def promised(self, promiser: Process, sequence: int) -> None:
        """Count from when a promise was asked for."""
        asked_at = self._asked_at_by_sequence.get(sequence)
        if asked_at is None:
            return
        known = self._end_by_promiser.get(promiser, 0)
        self._end_by_promiser[promiser] = max(known, asked_at + self._term)
        if promiser in self.successors:
            self.last_promise = max(self.last_promise, asked_at)

    def release(self, successor: Process) -> None:
        """Wait for a successor no more that will never take over."""
        self._end_by_promiser[successor] = math.inf

    def is_released(self, successor: Process) -> bool:
        """Return whether a successor will never take over."""
        return self._end_by_promiser.get(successor) == math.inf

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
