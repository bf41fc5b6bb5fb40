"""The messages that daemons send to one another, and their frames.

A frame is a length of four bytes, then one message in MessagePack.
"""

import asyncio
import struct
from typing import Final, TypeAlias

import msgspec

from cassialever.fleet.model import StoreRow
from cassialever.types import RowVersion, Seconds, ServiceName, TargetId

#: A frame longer than this is not read; a table of the target size fits.
MAX_FRAME_BYTES: Final = 1 << 24
#: Bytes of a proof's frame at most; nothing longer is read from a stranger.
MAX_PROOF_BYTES: Final = 256
_LENGTH: Final = struct.Struct('!I')


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of every message."""


class Hello(Message, frozen=True, array_like=True, tag=True):
    """A daemon's first message: who it is and what it has already."""

    instance_id: str
    incarnation: int
    address: str
    version_by_table: dict[str, int]


class Proof(Message, frozen=True, array_like=True, tag=True):
    """A challenge to the other end, and the answer to its challenge."""

    challenge: bytes
    answer: bytes


class Whole(Message, frozen=True, array_like=True, tag=True):
    """Every row of a table."""

    table: str
    rows: list[StoreRow]
    version: RowVersion


class Changed(Message, frozen=True, array_like=True, tag=True):
    """Rows of a table that changed."""

    table: str
    rows: list[StoreRow]
    version: RowVersion


class Moving(Message, frozen=True, array_like=True, tag=True):
    """All keys of a service that are on their way, as first and last."""

    service: ServiceName
    ranges: list[tuple[int, int]]


class Members(Message, frozen=True, array_like=True, tag=True):
    """The daemons that follow the leader, and the leader: id, address."""

    addresses_by_id: dict[str, str]


class Pulse(Message, frozen=True, array_like=True, tag=True):
    """A sign of life; `store_age` is how long the store is unheard."""

    is_leader: bool
    store_age: Seconds


class Farewell(Message, frozen=True, array_like=True, tag=True):
    """The sender leads no more; the address is the leader's, if known."""

    leader_address: str = ''


class Deposed(Message, frozen=True, array_like=True, tag=True):
    """Tell a leader that another has taken over, at a higher term."""

    term: RowVersion


class KeysAsked(Message, frozen=True, array_like=True, tag=True):
    """The keys that callers asked for, and answer times by target.

    An answer time is a count and a sum in seconds.
    """

    keys_by_service: dict[ServiceName, list[int]]
    times_by_target: dict[TargetId, tuple[int, float]]


AnyMessage: TypeAlias = (
    Hello
    | Proof
    | Whole
    | Changed
    | Moving
    | Members
    | Pulse
    | Farewell
    | Deposed
    | KeysAsked
)

_decoder: Final = msgspec.msgpack.Decoder(AnyMessage)
_encoder: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    body = _encoder.encode(message)
    return _LENGTH.pack(len(body)) + body


async def receive(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
) -> AnyMessage:
    """Read one message of up to `longest` bytes.

    Raises msgspec.DecodeError for bytes that are none, and
    asyncio.IncompleteReadError at the end of the connection.
    """
    length = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))[0]
    if length > max_bytes:
        raise msgspec.DecodeError(f'a frame of {length} bytes')
    return _decoder.decode(await reader.readexactly(length))
