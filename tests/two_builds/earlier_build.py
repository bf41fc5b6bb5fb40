"""The message definitions of the build at cf39707, frozen.

Copied from that build and not imported from today's code, which may change.
Only names that a reader needs are here. When another build becomes the one to
be compatible with, this file and the record are replaced together.
"""

import enum
import hashlib
import hmac
import struct
import zlib
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

MAX_FRAME_BYTES = 1 << 24
MAX_LISTED_TARGETS = 64
MAX_BATCH = 32
MAX_DELAY = 3600.0
MAX_REQUESTS = 100_000
MAX_ID_LENGTH = 255
MAX_AGE = 2.6e6
MAX_RATE = 1e9
MS_PER_SECOND = 1000
MIN_STATUS = 200
MAX_STATUS = 599

LENGTH = struct.Struct('!I')
COMPRESSED_FLAG = 0x80000000

Delay = Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY)]
Requests = Annotated[int, msgspec.Meta(ge=0, le=MAX_REQUESTS)]
Id = Annotated[str, msgspec.Meta(max_length=MAX_ID_LENGTH)]
Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


# fleet/model.py and fleet/limit_reports.py


class StoreRow(msgspec.Struct, frozen=True, array_like=True):
    table: str
    name: str
    content: bytes | None
    version: int


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    first: int
    last: int
    owner: str
    owner_started_at: int
    fence: int
    handover: str = ''


class KeyMap(msgspec.Struct, frozen=True, array_like=True):
    service: str
    ranges: tuple[KeyRange, ...]


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    target_id: str
    started_at: int
    rate: Rate
    named_age: Age | None
    ended_age: Age | None


# fleet/messages.py


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages on links."""


class Hello(Message, frozen=True, array_like=True, tag=True):
    instance_id: str
    incarnation: int
    address: str
    version_by_table: dict[str, int]


class Proof(Message, frozen=True, array_like=True, tag=True):
    challenge: bytes
    answer: bytes


class Whole(Message, frozen=True, array_like=True, tag=True):
    table: str
    rows: list[StoreRow]
    version: int


class Changed(Message, frozen=True, array_like=True, tag=True):
    table: str
    rows: list[StoreRow]
    version: int


class KeysChanged(Message, frozen=True, array_like=True, tag=True):
    row_name: str
    earlier_version: int
    ranges: list[KeyRange]
    version: int


class Moving(Message, frozen=True, array_like=True, tag=True):
    service: str
    ranges: list[tuple[int, int]]


class Members(Message, frozen=True, array_like=True, tag=True):
    addresses_by_id: dict[str, str]
    is_complete: bool
    is_confirmed: bool = True


class Pulse(Message, frozen=True, array_like=True, tag=True):
    is_leader: bool
    store_age: float
    tables_age: float


class Farewell(Message, frozen=True, array_like=True, tag=True):
    leader_address: str = ''


class Deposed(Message, frozen=True, array_like=True, tag=True):
    term: int


class KeysAsked(Message, frozen=True, array_like=True, tag=True):
    keys_by_service: dict[str, list[int]]
    times_by_target: dict[str, tuple[int, float]]


class Limits(Message, frozen=True, array_like=True, tag=True):
    reports: list[LimitReport]


LINK_TYPES: tuple[type[Message], ...] = (
    Hello,
    Proof,
    Whole,
    Changed,
    KeysChanged,
    Moving,
    Members,
    Pulse,
    Farewell,
    Deposed,
    KeysAsked,
    Limits,
)
_link_decoder: Any = msgspec.msgpack.Decoder(
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


def read_frame(frame: bytes) -> Message:
    """Read one frame of a link; raise DecodeError if it is invalid."""
    length_and_flag = LENGTH.unpack(frame[: LENGTH.size])[0]
    body = frame[LENGTH.size :]
    length = length_and_flag & ~COMPRESSED_FLAG
    if length > MAX_FRAME_BYTES or length != len(body):
        raise msgspec.DecodeError(f'frame of {length} bytes')
    if length_and_flag & COMPRESSED_FLAG:
        decompressor = zlib.decompressobj()
        body = decompressor.decompress(body, MAX_FRAME_BYTES)
        if not decompressor.eof:
            raise msgspec.DecodeError('a compressed message is cut or too long')
    message: Message = _link_decoder.decode(body)
    return message


# fleet/datagrams.py


class OpenRequests(msgspec.Struct, frozen=True, array_like=True, tag=1):
    instance_id: Id
    open_by_target: dict[Id, Requests]
    data_centre: Id = ''
    room: Requests = 0
    is_cut_off: bool = False
    is_stopping: bool = False
    unreachable: Annotated[
        tuple[Id, ...], msgspec.Meta(max_length=MAX_LISTED_TARGETS)
    ] = ()


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    target_id: str
    wanted: int
    is_cold: bool
    limit: LimitReport | None


class Permits(msgspec.Struct, frozen=True, array_like=True, tag=5):
    target_id: str
    delay: Delay
    count: Annotated[int, msgspec.Meta(ge=0, le=MAX_BATCH)]
    interval: Delay
    limit: LimitReport | None


DATAGRAM_TYPES = (OpenRequests, PermitRequest, Permits)
_datagram_decoder: Any = msgspec.msgpack.Decoder(
    OpenRequests | PermitRequest | Permits
)


def read_datagram(datagram: bytes) -> Any:
    """Read a datagram; raise DecodeError if it is invalid."""
    return _datagram_decoder.decode(datagram)


# fleet/lease.py, fleet/view.py


class Lease(msgspec.Struct, frozen=True, array_like=True):
    instance_id: str
    incarnation: int
    renewed_at: float
    is_resigned: bool = False
    authority_until_by_id: dict[str, float] = {}


class Leadership(msgspec.Struct, frozen=True):
    instance_id: str
    address: str
    incarnation: int


#: The rows that daemons write, as (table, name), by the type of their content.
ROW_BY_TYPE: dict[type[Any], tuple[str, str]] = {
    Lease: ('cassialever-lease', 'lease'),
    Leadership: ('cassialever', 'leader'),
    KeyMap: ('cassialever', 'keys/registry'),
}


# errors.py: the kinds that a helper's reply may name


ERROR_KINDS = frozenset(
    {
        'bad_request',
        'missing_key',
        'key_too_long',
        'malformed_deadline',
        'malformed_request_id',
        'unknown_service',
        'unknown_caller',
        'bad_credential',
        'body_too_large',
        'caller_over_limit',
        'target_busy',
        'target_shed',
        'target_unreachable',
        'target_failed',
        'no_target',
        'no_owner',
        'stopping',
        'deadline_passed',
        'peer_unreachable',
        'outcome_unknown',
        'no_catalogue',
        'catalogue_invalid',
        'table_unavailable',
        'table_conflict',
        'table_answer_lost',
        'internal',
    }
)


# gateway/hop_messages.py


class HopOutcome(enum.Enum):
    relayed = 'relayed'
    not_run = 'not_run'
    unknown = 'unknown'


REQUEST_HEADERS = (
    'Daemon-Hop-Method',
    'Daemon-Hop-Target',
    'Daemon-Hop-Target-Started',
    'Daemon-Hop-Time-Left-Ms',
    'Daemon-Hop-Origin',
    'Daemon-Hop-Configuration',
    'Daemon-Hop-Sent-Ms',
    'Daemon-Hop-Nonce',
)
REPLY_HEADERS = (
    'Daemon-Hop-Nonce',
    'Daemon-Hop-Outcome',
    'Daemon-Hop-Status',
    'Daemon-Hop-Kind',
    'Daemon-Hop-Reason',
)
PROOF_HEADER = 'Daemon-Hop-Proof'


def read_hop_request(
    headers: Mapping[str, str], raw_path: str, key: str
) -> dict[str, Any]:
    """Read the headers of a hop; raise ValueError or KeyError."""
    _check_proof(headers, REQUEST_HEADERS, raw_path, key)
    return {
        'method': headers['Daemon-Hop-Method'],
        'raw_path': raw_path,
        'target_id': headers['Daemon-Hop-Target'],
        'started_at': _digits(headers['Daemon-Hop-Target-Started']),
        'time_left': _digits(headers['Daemon-Hop-Time-Left-Ms'])
        / MS_PER_SECOND,
        'origin': headers['Daemon-Hop-Origin'],
        'configuration': _digits(headers['Daemon-Hop-Configuration']),
        'sent_at': _digits(headers['Daemon-Hop-Sent-Ms']) / MS_PER_SECOND,
        'nonce': headers['Daemon-Hop-Nonce'],
    }


def read_hop_reply(headers: Mapping[str, str], key: str) -> dict[str, Any]:
    """Read the headers of a reply; raise ValueError or KeyError."""
    _check_proof(headers, REPLY_HEADERS, '', key)
    kind = headers['Daemon-Hop-Kind']
    if kind not in ERROR_KINDS:
        raise ValueError(f'{kind!r} is no kind of error')
    outcome = HopOutcome(headers['Daemon-Hop-Outcome'])
    status = _digits(headers['Daemon-Hop-Status'])
    if outcome is HopOutcome.relayed and not MIN_STATUS <= status <= MAX_STATUS:
        raise ValueError(f'invalid status {status}')
    return {
        'nonce': headers['Daemon-Hop-Nonce'],
        'outcome': outcome.value,
        'status': status,
        'kind': kind,
        'reason': headers['Daemon-Hop-Reason'],
    }


def _check_proof(
    headers: Mapping[str, str],
    signed_names: tuple[str, ...],
    raw_path: str,
    key: str,
) -> None:
    if not key:
        return
    signed = '\n'.join((raw_path, *(headers[name] for name in signed_names)))
    proof = hmac.digest(key.encode(), signed.encode(), hashlib.sha256).hex()
    if headers.get(PROOF_HEADER) != proof:
        raise ValueError('another fleet key')


def _digits(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f'{text!r} is not a whole number')
    return int(text)
