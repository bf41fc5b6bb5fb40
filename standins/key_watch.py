"""Report the keys that a stand-in target holds."""

import contextlib
from collections.abc import Iterator

import msgspec


class Life(msgspec.Struct, frozen=True):
    """One process of a target, which may have the id of an earlier one."""

    target_id: str
    #: The start time in its entry, in milliseconds.
    born: int


class Grant(msgspec.Struct):
    """A range of keys that a target holds until a point in time."""

    first: int
    last: int
    fence: int
    until: float


class KeyWatch:
    """Receives grants, releases and work of targets; ignores them all."""

    def take(self, life: Life, grant: Grant, sender: str) -> None:
        """Note a grant that a target has accepted."""

    def release(self, life: Life, first: int, last: int) -> None:
        """Note that a target starts no more work on some keys."""

    def begin(self, life: Life, key: int) -> None:
        """Note that a target begins a request."""

    def finish(self, life: Life, key: int) -> None:
        """Note that a target works on a request no more."""

    def end(self, life: Life) -> None:
        """Note that the process of a target has ended."""

    @contextlib.contextmanager
    def working(self, life: Life, key: int) -> Iterator[None]:
        """Note the begin and the end of the work on a request."""
        self.begin(life, key)
        try:
            yield
        finally:
            self.finish(life, key)
