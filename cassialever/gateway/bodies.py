"""Read bodies within the memory budget, and write long ones in pieces.

A body that is written at once is copied whole to the buffer of its transport;
in pieces, each of which waits for the one before, only a piece is.
"""

import asyncio
import math
from typing import Final, TypeAlias

from aiohttp import ClientError, ClientResponse, Payload, StreamReader, web
from aiohttp.abc import AbstractStreamWriter

from cassialever.events import Event, record
from cassialever.gateway.connection_guard import STALL_TIMEOUT
from cassialever.gateway.connections import count_unsent_bytes
from cassialever.gateway.refusals import (
    Refusal,
    body_late,
    body_too_large,
    out_of_memory,
)
from cassialever.policy.memory import (
    SHORT_BODY_BYTES,
    MemoryBudget,
    MemoryClaim,
    MemoryWait,
    max_wait,
)
from cassialever.types import Seconds

#: Longest part of a body that is written at once.
PIECE_BYTES: Final = SHORT_BODY_BYTES

#: A long body is read into a buffer that grows, since joining the parts would
#: hold it twice.
Body: TypeAlias = bytes | bytearray


class OutOfMemoryError(ClientError):
    """A body does not fit into the memory that is left."""


class RequestMemory(MemoryClaim):
    """The memory that one request holds, for its body and its answers."""

    def __enter__(self) -> 'RequestMemory':
        """Return the claim, which is released at the end of the context."""
        return self

    def __exit__(self, *error: object) -> None:
        """Release all that is held."""
        self.release()

    async def grow_in_time(self, size: int, timeout: Seconds) -> bool:
        """Claim bytes, waiting for them if there is room to wait."""
        if self.try_grow(size):
            return True
        granted = asyncio.Event()
        waiting = MemoryWait(self, size, granted.set)
        if self.budget.wait(waiting):
            try:
                async with asyncio.timeout(timeout):
                    await granted.wait()
            except TimeoutError:
                record(
                    Event.memory_waited_for, bytes=size, held=self.budget.held
                )
            finally:
                self.budget.stop_waiting(waiting)
        if granted.is_set():
            return True
        self.budget.refused_count += 1
        return False


def unlimited_memory() -> RequestMemory:
    """Return a claim that belongs to no budget."""
    return RequestMemory(MemoryBudget(math.inf))


class PiecewisePayload(Payload):
    """A long body that is sent in pieces."""

    _autoclose = True

    def __init__(self, body: Body) -> None:
        """Send a body with its length."""
        super().__init__(body, content_type='application/octet-stream')
        self._body = body
        self._size = len(body)

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text."""
        return self._body.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body, at the speed at which the peer reads it."""
        body = memoryview(self._body)
        for start in range(0, len(body), PIECE_BYTES):
            await writer.write(body[start : start + PIECE_BYTES])


def payload_of(body: Body) -> Payload | Body | None:
    """Return what a session sends as the body of a request."""
    if len(body) > PIECE_BYTES:
        return PiecewisePayload(body)
    return body or None


async def read_request(
    request: web.BaseRequest,
    memory: RequestMemory,
    max_bytes: int | None,
    time_limit: Seconds,
) -> Body | Refusal:
    """Read the body of a request, or return why it is refused.

    The rest of a refused body is unread, so that its connection has to be
    closed.
    """
    if not request.can_read_body:
        return b''
    length = request.content_length
    if length is not None and max_bytes is not None and length > max_bytes:
        return body_too_large(max_bytes)
    if not await memory.grow_in_time(length or 0, max_wait(time_limit)):
        return out_of_memory()
    if length is not None and request.content.is_eof():
        # It has arrived, and is mostly one part.
        return await request.content.read()
    try:
        async with asyncio.timeout(time_limit):
            return await _read_long(request, memory, max_bytes, time_limit)
    except TimeoutError:
        return body_late()


async def _read_long(
    request: web.BaseRequest,
    memory: RequestMemory,
    max_bytes: int | None,
    time_limit: Seconds,
) -> Body | Refusal:
    content = request.content
    is_claimed = request.content_length is not None
    clock = asyncio.get_running_loop().time
    wait_left = max_wait(time_limit)
    body = bytearray()
    while not content.at_eof():
        async with asyncio.timeout(STALL_TIMEOUT):
            part = await content.readany()
        if max_bytes is not None and len(body) + len(part) > max_bytes:
            return body_too_large(max_bytes)
        if not is_claimed:
            since = clock()
            if not await memory.grow_in_time(len(part), wait_left):
                return out_of_memory()
            wait_left -= clock() - since
        body += part
    return body


async def read_answer(response: ClientResponse, claim: MemoryClaim) -> Body:
    """Read the body of an answer; raise OutOfMemoryError if it doesn't fit."""
    part = _ClaimedPart(claim)
    try:
        return await _read_parts(response.content, part)
    except BaseException:
        claim.shrink(part.held)
        raise


class _ClaimedPart:
    """What one body holds of a claim, which other tries may grow as well."""

    def __init__(self, claim: MemoryClaim) -> None:
        self._claim = claim
        self.held = 0

    def grow(self, size: int) -> None:
        """Claim more bytes; raise OutOfMemoryError if they don't fit."""
        if not self._claim.grow(size):
            raise OutOfMemoryError(
                f'an answer of over {self.held} bytes exceeds the memory left'
            )
        self.held += size


async def _read_parts(content: StreamReader, claimed: _ClaimedPart) -> Body:
    """Read the parts of a body, of which there is mostly one."""
    first = await content.readany()
    claimed.grow(len(first))
    if content.at_eof():
        return first
    body = bytearray(first)
    while not content.at_eof():
        part = await content.readany()
        claimed.grow(len(part))
        body += part
    return body


async def send_whole(
    request: web.BaseRequest,
    response: web.StreamResponse,
    body: Body,
) -> None:
    """Send a long body in pieces, and wait until they are written.

    Raises ConnectionError if the peer has gone, or receives nothing more.
    """
    response.content_length = len(body)
    await response.prepare(request)
    parts = memoryview(body)
    with _StallWatch(request.transport) as watch:
        for start in range(0, len(parts), PIECE_BYTES):
            part = parts[start : start + PIECE_BYTES]
            watch.written_bytes += len(part)
            await response.write(part)
        await response.write_eof()


class _StallWatch:
    """Aborts a connection whose peer receives nothing for STALL_TIMEOUT.

    The memory of its answer would be held for as long as the peer likes.
    """

    def __init__(self, transport: asyncio.Transport | None) -> None:
        self._transport = transport
        #: Bytes that were given to the transport.
        self.written_bytes = 0
        self._received_bytes = -1
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> '_StallWatch':
        """Start to look at what the peer has received."""
        self._check_later()
        return self

    def __exit__(self, *error: object) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_TIMEOUT, self._check)

    def _check(self) -> None:
        if self._transport is None:
            return
        unsent_bytes = count_unsent_bytes(self._transport) or 0
        received_bytes = self.written_bytes - unsent_bytes
        if received_bytes <= self._received_bytes:
            self._transport.abort()
            return
        self._received_bytes = received_bytes
        self._check_later()
