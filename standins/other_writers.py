"""Rows that other writers commit between a transaction and its answer.

The answer to a transaction has the store's newest version. It is above the
version of the rows written if another writer has committed meanwhile.
"""

import random
from collections.abc import Callable
from typing import Final

TABLE: Final = 'other-writers'
ROW: Final = 'row'


class OtherWriters:
    """Decide after which transactions other writers commit a row."""

    def __init__(self, write: Callable[[str, str, bytes], int]) -> None:
        """Commit rows by calling `write`; none are committed by default."""
        self._write = write
        #: Share of the transactions that are followed by such a row.
        self.share: float = 0
        #: Rows after each of them, each with a version of its own.
        self.burst = 1
        #: Number of transactions that may still be followed by rows, if it is
        #: limited: 1 for a single one.
        self.transactions_left: int | None = None
        #: Whether a transaction, with this body, is concerned.
        self.concerns: Callable[[bytes], bool] = _concern_all
        #: Draws the share; tests may seed it.
        self.random = random.Random(0)
        #: Rows that were committed.
        self.count = 0

    def follow(self, transaction: bytes) -> None:
        """Commit rows after a transaction that was performed, or none."""
        if self.transactions_left == 0 or not self.share:
            return
        if not self.concerns(transaction):
            return
        if self.random.random() >= self.share:
            return
        if self.transactions_left is not None:
            self.transactions_left -= 1
        for _ in range(self.burst):
            self.count += 1
            self._write(TABLE, ROW, str(self.count).encode())


def _concern_all(transaction: bytes) -> bool:
    """Concern every transaction; the default."""
    return True
