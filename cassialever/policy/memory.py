"""Budget the bytes of bodies that a daemon holds for all requests together.

Load patterns handled: callers that upload long bodies at the same time, a
target that answers without end, many callers that read their answers slowly.
The budget follows from the memory of the process. What doesn't fit waits
unread in its socket, so that the sender slows down, or is refused.
"""

from collections.abc import Callable
from typing import Final

from cassialever.types import Seconds

BYTES_PER_MB: Final = 1_000_000
#: Memory of a process whose settings name none.
DEFAULT_MEMORY_MB: Final = 512
#: Share of the memory for the program: its code, the tables of the fleet, the
#: requests without their bodies.
PROGRAM_SHARE: Final = 0.4
#: Share of the memory for the buffers of sockets and transports, and for
#: copies that last for a moment. The rest is for bodies.
BUFFER_SHARE: Final = 0.2
#: Bodies up to this size are short.
SHORT_BODY_BYTES: Final = 65536
#: Share of the budget that only short bodies use, so that long ones never keep
#: the other requests waiting.
SHORT_BODIES_SHARE: Final = 0.125
#: Bytes that a connection has read ahead when its reading is paused, the most
#: that is read at once then, and what waits to be written when writers wait.
READ_AHEAD_BYTES: Final = 131072
READ_BYTES: Final = 65536
WRITE_BUFFER_BYTES: Final = 65536
#: Bytes that a connection holds while a body goes through it.
CONNECTION_BYTES: Final = READ_AHEAD_BYTES + READ_BYTES + WRITE_BUFFER_BYTES
#: Share of its time that a request waits for memory, unread, and the longest
#: time: callers give a request up that isn't read within a second.
MAX_WAIT_SHARE: Final = 0.25
MAX_WAIT: Final[Seconds] = 0.8


class MemoryBudget:
    """The bytes of bodies that all requests of a daemon may hold."""

    def __init__(self, memory_mb: float = 0) -> None:
        """Divide the memory of a process; 0 MB are unknown."""
        memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        self.total = memory * (1 - PROGRAM_SHARE - BUFFER_SHARE)
        self.held = 0
        #: Claims that were refused, waited for in vain, or could not grow.
        self.refused_count = 0
        self._long_total = self.total * (1 - SHORT_BODIES_SHARE)
        #: Those that wait leave their bytes in the buffers.
        self._max_waiting = memory * BUFFER_SHARE / CONNECTION_BYTES
        self._waiting: list[MemoryWait] = []

    def limit_of(self, size: int) -> float:
        """Return what all may hold together if a claim is to be `size`."""
        if size <= SHORT_BODY_BYTES:
            return self.total
        return self._long_total

    def wait(self, waiting: 'MemoryWait') -> bool:
        """Add one that waits for memory, unless that can't help."""
        size = waiting.claim.held + waiting.size
        is_too_long = size > self.limit_of(size)
        if is_too_long or len(self._waiting) >= self._max_waiting:
            return False
        self._waiting.append(waiting)
        return True

    def stop_waiting(self, waiting: 'MemoryWait') -> None:
        """Remove one that waits no longer."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def grant_waiting(self) -> None:
        """Grant what fits now to those that wait, in their order."""
        for waiting in list(self._waiting):
            if waiting.claim.try_grow(waiting.size):
                self._waiting.remove(waiting)
                waiting.on_granted()


class MemoryClaim:
    """The bytes that one request holds, until they are released."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = 0
        self._is_released = False

    def grow(self, size: int) -> bool:
        """Claim more bytes, or count a refusal and return false."""
        if self.try_grow(size):
            return True
        self.budget.refused_count += 1
        return False

    def try_grow(self, size: int) -> bool:
        """Claim more bytes if they fit.

        A released claim doesn't grow, since nothing would release it again.
        """
        budget = self.budget
        held = self.held + size
        if self._is_released or budget.held + size > budget.limit_of(held):
            return False
        self.held = held
        budget.held += size
        return True

    def shrink(self, size: int) -> None:
        """Give bytes back that the request no longer holds."""
        size = min(size, self.held)
        self.held -= size
        self.budget.held -= size
        if size:
            self.budget.grant_waiting()

    def release(self) -> None:
        """Give everything back; the claim doesn't grow any more."""
        self._is_released = True
        self.shrink(self.held)


class MemoryWait:
    """A claim that waits for memory."""

    def __init__(
        self, claim: MemoryClaim, size: int, on_granted: Callable[[], None]
    ) -> None:
        self.claim = claim
        self.size = size
        self.on_granted = on_granted


def max_wait(time_limit: Seconds) -> Seconds:
    """Return how long a request with a time limit waits for memory."""
    return min(time_limit * MAX_WAIT_SHARE, MAX_WAIT)
