"""What a link writes: frames queued within a turn of the loop, one write."""

import asyncio
from typing import cast

from cassialever.exceptions import LinkClosedError


class Output(asyncio.Protocol):
    """The writing half of a connection."""

    def __init__(self) -> None:
        """Start without a transport."""
        #: Bytes queued since the start.
        self.queued = 0
        self._handed_on = 0
        self._frames: list[bytes] = []
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._resumed: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to write."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            transport.close()

    def pause_writing(self) -> None:
        """Hold senders of bodies back."""
        if self._resumed is None:
            self._resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let senders of bodies go on."""
        if self._resumed and not self._resumed.done():
            self._resumed.set_result(None)
        self._resumed = None

    async def writable(self) -> None:
        """Wait until the transport takes more; raise if it never will."""
        if self._resumed:
            await asyncio.shield(self._resumed)
        if self._closed:
            raise LinkClosedError('the link has ended')

    def queue(self, frame: bytes) -> None:
        """Queue a frame for the end of this turn of the loop."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self.flush)
        self._frames.append(frame)
        self.queued += len(frame)

    def flush(self) -> None:
        """Hand what is queued to the transport."""
        if self._closed or not self._frames or self._transport is None:
            return
        self._transport.write(b''.join(self._frames))
        self._frames.clear()
        self._handed_on = self.queued

    def bytes_left(self) -> int:
        """Return how many bytes may have left this machine so far."""
        if self._transport is None:
            return 0
        return self._handed_on - self._transport.get_write_buffer_size()

    def abort_output(self) -> None:
        """End the connection; drop what has not left."""
        self._closed = True
        self._frames.clear()
        if self._transport:
            self._transport.abort()
        self.resume_writing()

    def finish_output(self) -> None:
        """End the connection once what is queued has left."""
        self.flush()
        self._closed = True
        if self._transport:
            self._transport.close()
        self.resume_writing()
