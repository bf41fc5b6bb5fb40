"""Read the bytes of messages between daemons."""

import asyncio
import zlib

import msgspec

from cassialever.types import Seconds


def decompress(body: bytes, max_bytes: int) -> bytes:
    """Decompress a message; raise DecodeError if it is invalid or too long."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, max_bytes)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError('a compressed message is cut or too long')
    return decompressed


async def read_exactly(
    reader: asyncio.StreamReader,
    length: int,
    max_silence: Seconds | None,
) -> bytes:
    """Read a number of bytes; raise TimeoutError after a silence.

    Raises asyncio.IncompleteReadError if the connection ends before.
    """
    received = bytearray()
    while len(received) < length:
        chunk = await _read_some(reader, length - len(received), max_silence)
        if not chunk:
            raise asyncio.IncompleteReadError(bytes(received), length)
        received += chunk
    return bytes(received)


async def _read_some(
    reader: asyncio.StreamReader,
    length: int,
    max_silence: Seconds | None,
) -> bytes:
    """Read at most `length` bytes; raise TimeoutError after a silence.

    A loop that runs late finds the timer expired and bytes received at once.
    """
    try:
        async with asyncio.timeout(max_silence):
            return await reader.read(length)
    except asyncio.TimeoutError:
        async with asyncio.timeout(0):
            return await reader.read(length)
