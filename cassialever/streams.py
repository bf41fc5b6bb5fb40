"""Bodies of the streams on a link, each with its own flow control window."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from cassialever.errors import ErrorKind, Failure
from cassialever.exceptions import CodecError, LinkClosedError
from cassialever.frames import FrameType
from cassialever.links import Link


class Credit:
    """How many bytes of a body the receiver is still willing to take."""

    def __init__(self, window: int) -> None:
        """Start with a whole window, in bytes."""
        self.left = window
        self._closed = False
        self._waiter: asyncio.Future[None] | None = None

    def add(self, credit: int) -> None:
        """Take more credit from the receiver."""
        self.left += credit
        self._wake()

    def close(self) -> None:
        """Let a waiting sender fail: the stream is over."""
        self._closed = True
        self._wake()

    def is_open(self) -> bool:
        """Say whether something may be sent at once."""
        return self.left > 0 and not self._closed

    async def wait(self) -> None:
        """Wait for credit; raise `LinkClosedError` once closed."""
        while self.left <= 0 and not self._closed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if self._closed:
            raise LinkClosedError('the stream is over')

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)


class BodySender:
    """Send a body in frames, as credit and the link allow."""

    def __init__(self, link: Link, stream_id: int) -> None:
        """Start with the window and frame size that the peer offered."""
        peer = link.proved_peer()
        self.credit = Credit(peer.window_bytes)
        self._frame_bytes = peer.frame_bytes
        self._link = link
        self._stream_id = stream_id

    async def send(self, chunk: bytes) -> None:
        """Send a chunk; raise `LinkClosedError` once the stream is over."""
        start = 0
        while start < len(chunk):
            if not self.credit.is_open():
                await self.credit.wait()
            await self._link.writable()
            stop = start + min(self._frame_bytes, self.credit.left)
            part = chunk[start:stop]
            self._link.write(FrameType.body, self._stream_id, part)
            self.credit.left -= len(part)
            start += len(part)


class BodyReader:
    """A body as it arrives: chunks, then an end or a `Failure`.

    It holds at most one window, since the sender gets credit only for what
    has been read. A body without its end is never taken for a whole one.
    """

    def __init__(
        self,
        window: int,
        on_credit: Callable[[int], None],
        on_abandon: Callable[[], None],
    ) -> None:
        """Start empty; `on_abandon` is called if the reader gives up."""
        self._window = window
        self._room = window
        self._read = 0
        self._on_credit = on_credit
        self._on_abandon = on_abandon
        self._parts: deque[bytes | Failure] = deque()
        self._ended = False
        self._abandoned = False
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, chunk: bytes) -> None:
        """Take a chunk; raise `CodecError` if it is over the window."""
        if self._abandoned:
            return
        if self._ended:
            raise CodecError('a body goes on after its end')
        self._room -= len(chunk)
        if self._room < 0:
            raise CodecError('a body runs over its window')
        self._parts.append(chunk)
        self._wake()

    def finish(self, failure: Failure | None = None) -> None:
        """End the body, whole or with a failure as its last part."""
        if self._ended:
            return
        self._ended = True
        if failure:
            self._parts.append(failure)
        self._wake()

    def __aiter__(self) -> AsyncIterator[bytes | Failure]:
        """Read this body; it can be read once."""
        return self

    async def __anext__(self) -> bytes | Failure:
        """Return the next part; being cancelled here gives the body up."""
        while not self._parts:
            if self._ended:
                raise StopAsyncIteration
            await self._wait()
        part = self._parts.popleft()
        if isinstance(part, bytes):
            self._count(len(part))
        return part

    async def aclose(self) -> None:
        """Give up what is left of the body."""
        self.abandon()

    def abandon(self) -> None:
        """Give up what is left of the body, without waiting."""
        self._parts.clear()
        if self._ended:
            return
        self._ended = True
        self._abandoned = True
        self._on_abandon()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            self.abandon()
            raise

    def _count(self, size: int) -> None:
        self._read += size
        if self._ended or self._read * 2 < self._window:
            return
        self._room += self._read
        self._on_credit(self._read)
        self._read = 0

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)


async def request_body(reader: BodyReader) -> AsyncIterator[bytes]:
    """Yield a request's body; raise `LinkClosedError` where it breaks off."""
    async for part in reader:
        if isinstance(part, Failure):
            raise LinkClosedError(part.reason)
        yield part


def cut(reason: str) -> Failure:
    """Return the last part of an answer's body that broke off."""
    return Failure(ErrorKind.answer_cut, reason)
