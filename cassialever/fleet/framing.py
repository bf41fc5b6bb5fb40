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
        async with asyncio.timeout(max_silence):
            chunk = await reader.read(length - len(received))
        if not chunk:
            raise asyncio.IncompleteReadError(bytes(received), length)
        received += chunk
    return bytes(received)
