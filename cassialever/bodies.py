"""Bodies that tell how they ended."""

from collections.abc import AsyncIterator, Callable
from typing import TypeAlias

from cassialever.errors import Failure
from cassialever.misc import close_body

OnEnd: TypeAlias = Callable[[bool], None]
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
        """Take the body; `on_end` is told whether it came whole."""
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
            self._end(is_whole=True)
            raise
        if isinstance(chunk, Failure):
            self._end(is_whole=False)
        elif self._on_chunk:
            self._on_chunk(chunk)
        return chunk

    async def aclose(self) -> None:
        """Give up what has not been read."""
        self._end(is_whole=False)
        await close_body(self._inner)

    def _end(self, *, is_whole: bool) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end:
            on_end(is_whole)
