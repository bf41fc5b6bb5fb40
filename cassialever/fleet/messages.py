"""Messages between daemons and their framing.

A frame is a length of four bytes, followed by one message in MessagePack. The
highest bit of the length is set if the message is compressed.
"""

import asyncio
import struct
import zlib
from typing import Annotated, ClassVar, Final, TypeAlias

import msgspec

from cassialever.fleet.activity import Activity
from cassialever.fleet.framing import decompress, read_exactly
from cassialever.fleet.limit_reports import LimitReport
from cassialever.fleet.lost_writes import Loss
from cassialever.fleet.message_version import FIRST_VERSION, MessageVersion
from cassialever.fleet.model import KEY_COUNT, KeyRange, StoreRow
from cassialever.fleet.unknown_types import MessageDecoder, UnknownMessage
from cassialever.types import RowVersion, Seconds, ServiceName, TargetId

#: Longer frames are rejected; the largest supported table fits in one.
MAX_FRAME_BYTES: Final = 1 << 24
#: Limit for frames of peers that are not yet authenticated.
MAX_PROOF_BYTES: Final = 256
#: Longer messages are compressed. Tables consist of similar texts, and go to
#: every follower over the leader's link.
MIN_COMPRESSED_BYTES: Final = 4096
#: The fastest level: 1 ms for a configuration of 1,400 routes (250 kB).
_COMPRESSION_LEVEL: Final = 1
#: Most answers of a target that a daemon reports at a time, and the sum of
#: their latencies.
MAX_REPORTED_ANSWERS: Final = 1_000_000
MAX_REPORTED_TIME: Final[Seconds] = 1e9
#: A clock that is ahead of this counts as invalid: three centuries.
MAX_CLOCK: Final[Seconds] = 1e10
_LENGTH: Final = struct.Struct('!I')
_COMPRESSED_FLAG: Final = 0x80000000


# What is out of range is rejected with the message, and its link ends.
_Key: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=KEY_COUNT)]
_Answers: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_REPORTED_ANSWERS)
]
_Latency: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED_TIME)]
#: Infinite if nothing was heard; NaN compares with nothing.
_Age: TypeAlias = Annotated[float, msgspec.Meta(ge=-MAX_CLOCK)]
_Clock: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK)]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages; daemons from `since` on read the type."""

    since: ClassVar[MessageVersion] = FIRST_VERSION


class Hello(Message, frozen=True, array_like=True, tag=True):
    """A follower's first message after any proof, with its table versions.

    One that `reads_once` gets the changes of these tables and does not follow.
    """

    instance_id: str
    incarnation: int
    address: str
    version_by_table: dict[str, int]
    message_version: MessageVersion = FIRST_VERSION
    reads_once: bool = False


class Proof(Message, frozen=True, array_like=True, tag=True):
    """A challenge for the peer, and the answer to the peer's challenge."""

    challenge: bytes
    answer: bytes


class Whole(Message, frozen=True, array_like=True, tag=True):
    """A complete table."""

    table: str
    rows: list[StoreRow]
    version: RowVersion


class Changed(Message, frozen=True, array_like=True, tag=True):
    """Rows of a table that have changed, including removed ones."""

    table: str
    rows: list[StoreRow]
    version: RowVersion


class KeysChanged(Message, frozen=True, array_like=True, tag=True):
    """The ranges in which a row with a key map differs from its last version.

    The whole row would be sent to every follower several times a second while
    keys are moving. The digests are those of the later row's content, and of
    its owners however ranges are split: a store that lost writes gives the same
    versions to other maps. They are empty if they are not sent.
    """

    row_name: str
    earlier_version: RowVersion
    ranges: list[KeyRange]
    version: RowVersion
    content_digest: bytes = b''
    owners_digest: bytes = b''


class Moving(Message, frozen=True, array_like=True, tag=True):
    """All key ranges of a service that are being moved: (first, last)."""

    service: ServiceName
    ranges: list[tuple[int, int]]


class Members(Message, frozen=True, array_like=True, tag=True):
    """Addresses, by instance id, of the leader and its followers.

    The list is complete once all followers had time to find a new leader. It
    is confirmed while no other leader can have a later complete list.
    """

    addresses_by_id: dict[str, str]
    is_complete: bool
    is_confirmed: bool = True


class Pulse(Message, frozen=True, array_like=True, tag=True):
    """A heartbeat.

    `store_age` is the time since the sender's lease was last confirmed, and
    `tables_age` the time since its tables were last known to be complete.
    `sent_at` is the sender's clock; 0 if it is not sent. The store has lately
    lost the writes of leaders in `losses`.
    """

    is_leader: bool
    store_age: _Age
    tables_age: _Age
    message_version: MessageVersion = FIRST_VERSION
    sent_at: _Clock = 0
    losses: tuple[Loss, ...] = ()


class Farewell(Message, frozen=True, array_like=True, tag=True):
    """The sender takes no followers; gives the leader's address if known.

    `activity` is what the sender was doing about the leadership.
    """

    leader_address: str = ''
    activity: Activity = Activity.unknown


class Deposed(Message, frozen=True, array_like=True, tag=True):
    """Informs an earlier leader of a takeover and its higher term."""

    term: RowVersion


class KeysAsked(Message, frozen=True, array_like=True, tag=True):
    """A follower's report of requested keys, and of latencies by target.

    Latencies are given as the number of answers and their sum in seconds;
    service times, which leave out the time in queues, likewise.
    """

    keys_by_service: dict[ServiceName, list[_Key]]
    times_by_target: dict[TargetId, tuple[_Answers, _Latency]]
    service_times_by_target: dict[TargetId, tuple[_Answers, _Latency]] = {}


class Limits(Message, frozen=True, array_like=True, tag=True):
    """What the sender knows of the limits that some targets have named."""

    reports: list[LimitReport]


AnyMessage: TypeAlias = (
    Hello
    | Proof
    | Whole
    | Changed
    | KeysChanged
    | Moving
    | Members
    | Pulse
    | Farewell
    | Deposed
    | KeysAsked
    | Limits
)

#: What a link can carry; unknown messages are skipped.
Received: TypeAlias = AnyMessage | UnknownMessage

_decoder: Final = MessageDecoder(AnyMessage)
_encoder: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the frame for a message."""
    body = _encoder.encode(message)
    if len(body) < MIN_COMPRESSED_BYTES:
        return _LENGTH.pack(len(body)) + body
    body = zlib.compress(body, _COMPRESSION_LEVEL)
    return _LENGTH.pack(len(body) | _COMPRESSED_FLAG) + body


async def receive(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    max_silence: Seconds | None = None,
) -> Received:
    """Read a message of at most `max_bytes` bytes.

    `max_silence` limits the time in which no byte arrives. The time for the
    whole message is not limited, since it depends on the message's size.

    Raises msgspec.DecodeError if the bytes are not a valid message,
    asyncio.IncompleteReadError if the connection ends, and TimeoutError.
    """
    header = await read_exactly(reader, _LENGTH.size, max_silence)
    length_and_flag = _LENGTH.unpack(header)[0]
    length = length_and_flag & ~_COMPRESSED_FLAG
    if length > max_bytes:
        raise msgspec.DecodeError(f'frame of {length} bytes is too long')
    body = await read_exactly(reader, length, max_silence)
    if length_and_flag & _COMPRESSED_FLAG:
        body = decompress(body, max_bytes)
    received: Received = _decoder.decode(body)
    return received
