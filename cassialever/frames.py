"""Frames on a link between two daemons: no input or output.

A frame is the length of its payload, its type and its stream, then the
payload. Stream 0 is the link itself.
"""

import enum
import struct
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.exceptions import CodecError

_HEADER: Final = struct.Struct('!IBI')
_CREDIT: Final = struct.Struct('!I')

#: The stream of frames that concern the whole link.
LINK_STREAM: Final = 0

#: The last stream of a link; ids are never used again on one link.
LAST_STREAM: Final = 0x7FFFFFFF


class FrameType(enum.Enum):
    """What a frame says; numbers are never used again."""

    hello = 1
    proof = 2
    request = 3
    answer = 4
    body = 5
    end = 6
    failure = 7
    cancel = 8
    window = 9
    ping = 10
    pong = 11
    control_part = 12
    control = 13
    goaway = 14


_TYPE_BY_NUMBER: Final[Mapping[int, FrameType]] = MappingProxyType(
    {frame_type.value: frame_type for frame_type in FrameType},
)


class Frame(msgspec.Struct, frozen=True, gc=False):
    """One frame."""

    frame_type: FrameType
    stream_id: int
    payload: bytes


def encode_frame(
    frame_type: FrameType,
    stream_id: int = LINK_STREAM,
    payload: bytes = b'',
) -> bytes:
    """Write one frame."""
    header = _HEADER.pack(len(payload), frame_type.value, stream_id)
    return header + payload


def encode_credit(credit: int) -> bytes:
    """Write the payload of a `window` frame: bytes that may follow."""
    return _CREDIT.pack(credit)


def decode_credit(payload: bytes) -> int:
    """Read the payload of a `window` frame; raise `CodecError` if bad."""
    if len(payload) != _CREDIT.size:
        raise CodecError('a window frame has the wrong size')
    return int(_CREDIT.unpack(payload)[0])


class FrameDecoder:
    """Cut a stream of bytes into frames."""

    def __init__(self, limit: int) -> None:
        """Start empty; `limit` is the longest payload, in bytes."""
        self.limit = limit
        self._rest = b''

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Yield the frames that a chunk completes.

        Raises `CodecError` at an oversize frame or an unknown type; nothing
        may be fed after that. Has to be read to its end.
        """
        buffered = self._rest + chunk if self._rest else chunk
        start = 0
        while len(buffered) - start >= _HEADER.size:
            header = _HEADER.unpack_from(buffered, start)
            payload_start = start + _HEADER.size
            stop = payload_start + self._checked_length(header[0])
            if stop > len(buffered):
                break
            yield Frame(
                _frame_type(header[1]),
                header[2],
                buffered[payload_start:stop],
            )
            start = stop
        self._rest = buffered[start:]

    def _checked_length(self, length: int) -> int:
        if length > self.limit:
            raise CodecError(f'a frame of {length} bytes is over the limit')
        return length


def _frame_type(number: int) -> FrameType:
    frame_type = _TYPE_BY_NUMBER.get(number)
    if frame_type is None:
        raise CodecError(f'a frame is of unknown type {number}')
    return frame_type
