"""A peer that answers each request without end, on a thread of its own."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator

LOOPBACK = '127.0.0.1'
#: Bytes after which a peer counts as read without a limit.
ENDLESS_BYTES = 64 * 2**20


class EndlessPeer:
    """Sends a beginning and then repeats a piece until it is disconnected."""

    def __init__(self, beginning: bytes, piece: bytes) -> None:
        self.beginning = beginning
        self.piece = piece
        self.sent_bytes = 0
        #: Time between the beginning and the first piece, in seconds.
        self.pause = 0.0
        self._listener = socket.create_server((LOOPBACK, 0))
        host, port = self._listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._answer, args=(connection,), daemon=True
                ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            received = b''
            while b'\r\n\r\n' not in received:
                data = connection.recv(65536)
                if not data:
                    return
                received += data
            connection.sendall(self.beginning)
            time.sleep(self.pause)
            while self.piece and self.sent_bytes < ENDLESS_BYTES:
                self.sent_bytes += connection.send(self.piece)
            connection.recv(1)


@contextlib.contextmanager
def endless_peer(beginning: bytes, piece: bytes) -> Iterator[EndlessPeer]:
    """Run a peer that answers without end."""
    peer = EndlessPeer(beginning, piece)
    try:
        yield peer
    finally:
        peer.stop()


@contextlib.asynccontextmanager
async def watched_loop() -> AsyncIterator[Callable[[], float]]:
    """Yield a function for the longest processor time of one turn, in s."""
    turns: list[float] = [0.0]

    async def tick() -> None:
        last = time.thread_time()
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            turns[0] = max(turns[0], now - last)
            last = now

    ticking = asyncio.create_task(tick())
    await asyncio.sleep(0)
    try:
        yield lambda: turns[0]
    finally:
        ticking.cancel()
