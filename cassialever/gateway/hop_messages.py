"""The headers with which a daemon has another one exchange with a target.

The daemon that cannot reach a target posts the request to another daemon, the
helper, whose reply states an outcome and, if the target has answered, carries
its answer. If the settings have a fleet key, each message has a keyed hash.
"""

import enum
import math
import re
import secrets
from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.decoding import shortened
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import proof
from cassialever.fleet.model import StartedAt
from cassialever.types import MS_PER_SECOND, InstanceId, Seconds, TargetId

#: Age up to which a request is accepted. Clocks of daemons differ by less.
MAX_MESSAGE_AGE: Final[Seconds] = 10.0
#: Prefix of all headers between daemons; neither callers nor targets get them.
_PREFIX: Final = 'Daemon-Hop-'
_METHOD: Final = f'{_PREFIX}Method'
_TARGET: Final = f'{_PREFIX}Target'
_STARTED_AT: Final = f'{_PREFIX}Target-Started'
_TIME_LEFT: Final = f'{_PREFIX}Time-Left-Ms'
_ORIGIN: Final = f'{_PREFIX}Origin'
_CONFIGURATION: Final = f'{_PREFIX}Configuration'
_SEND_WITHIN: Final = f'{_PREFIX}Send-Within-Ms'
_SENT_AT: Final = f'{_PREFIX}Sent-Ms'
_NONCE: Final = f'{_PREFIX}Nonce'
_PROOF: Final = f'{_PREFIX}Proof'
_OUTCOME: Final = f'{_PREFIX}Outcome'
_STATUS: Final = f'{_PREFIX}Status'
_KIND: Final = f'{_PREFIX}Kind'
_REASON: Final = f'{_PREFIX}Reason'
_REQUEST_HEADERS: Final = (
    _METHOD,
    _TARGET,
    _STARTED_AT,
    _TIME_LEFT,
    _ORIGIN,
    _CONFIGURATION,
    _SENT_AT,
    _NONCE,
)
_REPLY_HEADERS: Final = (_NONCE, _OUTCOME, _STATUS, _KIND, _REASON)
#: All headers between daemons, in lower case.
HOP_HEADERS: Final = frozenset(
    name.lower()
    for name in (*_REQUEST_HEADERS, *_REPLY_HEADERS, _SEND_WITHIN, _PROOF)
)
_NONCE_BYTES: Final = 8
#: Longest reason in a reply, in characters.
_MAX_REASON_LENGTH: Final = 300
#: Whole numbers of up to 64 bits: Python fails on very long ones.
_DIGITS: Final = re.compile('[0-9]{1,20}')
_MIN_STATUS: Final = 200
_MAX_STATUS: Final = 599


class HopOutcome(enum.Enum):
    """What a helper did with a request."""

    #: The target's answer follows.
    relayed = 'relayed'
    #: The helper sent nothing to the target, and never will.
    not_run = 'not_run'
    #: The helper sent the request, and got no answer.
    unknown = 'unknown'


class HopRequest(msgspec.Struct, frozen=True):
    """A request for one exchange with a target.

    `sent_at` is in seconds of the wall clock. `time_left` is the target's time
    limit, from the arrival of the request on. `configuration` is the version
    in force at the origin, the daemon that has the caller's request.
    `send_within` is how long after its arrival the request may be written;
    infinity if it uses no permit, or if the origin is of the build before.
    """

    method: str
    raw_path: str
    target_id: TargetId
    started_at: StartedAt
    time_left: Seconds
    origin: InstanceId
    configuration: int
    sent_at: Seconds
    nonce: str
    send_within: Seconds = math.inf


class HopReply(msgspec.Struct, frozen=True):
    """The outcome of an exchange; the status is that of the target's answer."""

    nonce: str
    outcome: HopOutcome
    status: int = 0
    failure: Failure = Failure(ErrorKind.internal, '')


def new_nonce() -> str:
    """Return a text by which the reply to a request is recognised."""
    return secrets.token_hex(_NONCE_BYTES)


def encode_request(hop: HopRequest, key: str) -> list[tuple[str, str]]:
    """Return the headers of a request to a helper."""
    headers = [
        (_METHOD, hop.method),
        (_TARGET, hop.target_id),
        (_STARTED_AT, str(hop.started_at)),
        (_TIME_LEFT, str(max(1, int(hop.time_left * MS_PER_SECOND)))),
        (_ORIGIN, hop.origin),
        (_CONFIGURATION, str(hop.configuration)),
        (_SENT_AT, str(int(hop.sent_at * MS_PER_SECOND))),
        (_NONCE, hop.nonce),
    ]
    if math.isfinite(hop.send_within):
        within = max(0, int(hop.send_within * MS_PER_SECOND))
        # The build before does not know the field, and signs without it: named
        # here, it is not passed on to the target.
        headers.append((_SEND_WITHIN, str(within)))
        headers.append(('Connection', _SEND_WITHIN))
    return _with_proof(headers, _REQUEST_HEADERS, hop.raw_path, key)


def decode_request(
    headers: Mapping[str, str],
    raw_path: str,
    key: str,
    now: Seconds,
) -> HopRequest | Failure:
    """Decode and check a request; `now` is the time of the wall clock."""
    try:
        hop = HopRequest(
            method=headers[_METHOD],
            raw_path=raw_path,
            target_id=TargetId(headers[_TARGET]),
            started_at=StartedAt(_digits(headers[_STARTED_AT])),
            time_left=_digits(headers[_TIME_LEFT]) / MS_PER_SECOND,
            origin=InstanceId(headers[_ORIGIN]),
            configuration=_digits(headers[_CONFIGURATION]),
            sent_at=_digits(headers[_SENT_AT]) / MS_PER_SECOND,
            nonce=headers[_NONCE],
            send_within=_send_within(headers),
        )
    except (KeyError, ValueError) as error:
        reason = shortened(f'malformed: {error!r}')
        return Failure(ErrorKind.bad_request, reason)
    if not key:
        return hop
    if not _has_proof(headers, _REQUEST_HEADERS, raw_path, key):
        return Failure(ErrorKind.bad_credential, 'another fleet key')
    if abs(now - hop.sent_at) > MAX_MESSAGE_AGE:
        return Failure(ErrorKind.bad_credential, 'the request is too old')
    return hop


def nonce_of(headers: Mapping[str, str]) -> str:
    """Return the nonce of a request; empty if it has none."""
    return headers.get(_NONCE, '')


def encode_reply(reply: HopReply, key: str) -> list[tuple[str, str]]:
    """Return the headers that a helper adds to its reply."""
    headers = [
        (_NONCE, reply.nonce),
        (_OUTCOME, reply.outcome.value),
        (_STATUS, str(reply.status)),
        (_KIND, reply.failure.kind.value),
        (_REASON, _printable(reply.failure.reason)),
    ]
    return _with_proof(headers, _REPLY_HEADERS, '', key)


def decode_reply(
    headers: Mapping[str, str],
    nonce: str,
    key: str,
) -> HopReply | Failure:
    """Decode the reply to the request with a nonce."""
    try:
        reply = HopReply(
            headers[_NONCE],
            HopOutcome(headers[_OUTCOME]),
            _digits(headers[_STATUS]),
            Failure(ErrorKind(headers[_KIND]), headers[_REASON]),
        )
    except (KeyError, ValueError) as error:
        reason = shortened(f'malformed: {error!r}')
        return Failure(ErrorKind.outcome_unknown, reason)
    if reply.nonce != nonce:
        return Failure(
            ErrorKind.outcome_unknown, 'the reply belongs to another request'
        )
    if key and not _has_proof(headers, _REPLY_HEADERS, '', key):
        return Failure(ErrorKind.outcome_unknown, 'another fleet key')
    is_relayed = reply.outcome is HopOutcome.relayed
    if is_relayed and not _MIN_STATUS <= reply.status <= _MAX_STATUS:
        return Failure(
            ErrorKind.outcome_unknown, f'invalid status {reply.status}'
        )
    return reply


def _with_proof(
    headers: list[tuple[str, str]],
    signed_names: tuple[str, ...],
    raw_path: str,
    key: str,
) -> list[tuple[str, str]]:
    if not key:
        return headers
    signed = _signed_text(dict(headers), signed_names, raw_path)
    return [*headers, (_PROOF, proof.keyed_hash(key, signed))]


def _has_proof(
    headers: Mapping[str, str],
    signed_names: tuple[str, ...],
    raw_path: str,
    key: str,
) -> bool:
    signed = _signed_text(headers, signed_names, raw_path)
    return proof.is_keyed_hash(headers.get(_PROOF, ''), key, signed)


def _signed_text(
    headers: Mapping[str, str],
    signed_names: tuple[str, ...],
    raw_path: str,
) -> str:
    return '\n'.join((raw_path, *(headers[name] for name in signed_names)))


def _send_within(headers: Mapping[str, str]) -> Seconds:
    text = headers.get(_SEND_WITHIN)
    return math.inf if text is None else _digits(text) / MS_PER_SECOND


def _digits(text: str) -> int:
    """Parse a whole number; `int` alone also accepts signs and spaces."""
    if not _DIGITS.fullmatch(text):
        raise ValueError(f'{text!r} is not a whole number, or too long')
    return int(text)


def _printable(reason: str) -> str:
    """Return a reason that can be sent in a header."""
    printable = ''.join(
        letter if ' ' <= letter <= '~' else '?' for letter in reason
    )
    return printable[:_MAX_REASON_LENGTH].strip()
