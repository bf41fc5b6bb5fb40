"""When a target's limit may take its next step, up or down.

Latency at each limit is compared with the latency before: a step up that
slows the target is taken back, and the next try waits for longer.
"""

import enum
from typing import Final

from cassialever.types import Seconds

#: Answers at one limit before it is judged.
WINDOW: Final = 8
#: Answers after which a step up may be taken back.
SHORTEST_WINDOW: Final = 4
#: A step up that slows answers by this factor is taken back.
CROWDED_FACTOR: Final = 2.0
#: The longest wait after steps that were taken back, in windows.
MOST_PATIENCE: Final = 2


class Move(enum.Enum):
    """What becomes of the limit."""

    stay = 0
    up = 1
    down = -1


class Growth:
    """The answers at the present limit against those before it."""

    def __init__(self) -> None:
        """Start without anything to compare with."""
        self._total: Seconds = 0
        self._count = 0
        self._patience = 1
        self._reference: Seconds | None = None

    def saw(self, latency: Seconds) -> Move:
        """Count in an answer to an attempt begun at the present limit."""
        self._total += latency
        self._count += 1
        if self._is_crowded():
            self._patience = min(self._patience * 2, MOST_PATIENCE)
            self._start_window()
            return Move.down
        if self._count < WINDOW * self._patience:
            return Move.stay
        mean = self._total / self._count
        self._reference = min(mean, self._reference or mean)
        self._start_window()
        return Move.up

    def _is_crowded(self) -> bool:
        if self._reference is None or self._count < SHORTEST_WINDOW:
            return False
        return self._total > self._count * self._reference * CROWDED_FACTOR

    def _start_window(self) -> None:
        self._total = 0
        self._count = 0
