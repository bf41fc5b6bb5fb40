"""Bodies that tell how they ended."""

import enum
from collections.abc import AsyncIterator, Callable
from typing import TypeAlias

from cassialever.errors import Failure
from cassialever.misc import close_body


class BodyEnd(enum.Enum):
    """How a body ended: whole, broken at its source, or left unread."""

    whole = 'whole'
    broken = 'broken'
    given_up = 'given_up'


OnEnd: TypeAlias = Callable[[BodyEnd], None]
OnChunk: TypeAlias = Callable[[bytes], None]


class WatchedBody:
    """A body that calls back once, when it has ended or is given up.

    No generator does: closed before its first chunk was asked for, it would
    never come to its clean-up.
    """

    def __init__(
        self,
        inner: AsyncIterator[bytes | Failure],
        on_end: OnEnd,
        on_chunk: OnChunk | None = None,
    ) -> None:
        """Take the body; `on_end` is told how it ended."""
        self._inner = inner
        self._on_end: OnEnd | None = on_end
        self._on_chunk = on_chunk

    def __aiter__(self) -> 'WatchedBody':
        """Return itself."""
        return self

    async def __anext__(self) -> bytes | Failure:
        """Return the next chunk; a failure is the last one."""
        try:
            chunk = await anext(self._inner)
        except StopAsyncIteration:
            self._end(BodyEnd.whole)
            raise
        if isinstance(chunk, Failure):
            self._end(BodyEnd.broken)
        elif self._on_chunk:
            self._on_chunk(chunk)
        return chunk

    async def aclose(self) -> None:
        """Give up what has not been read."""
        self._end(BodyEnd.given_up)
        await close_body(self._inner)

    def _end(self, body_end: BodyEnd) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end:
            on_end(body_end)
