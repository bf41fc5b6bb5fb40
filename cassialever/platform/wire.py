"""Encode and decode the platform's headers and its calls to targets."""

from collections.abc import Collection, Iterable, Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from multidict import CIMultiDict

from cassialever.fleet.model import KEY_COUNT, KeyRange
from cassialever.platform.entry_limits import MAX_HANDOVER_LENGTH
from cassialever.platform.identity import EXPECTED_TARGET
from cassialever.types import MS_PER_SECOND, Seconds, TargetId

READINESS_PATH: Final = '/cassialever/readyz'

_ATTEMPT_ID: Final = 'Attempt-Id'
DEADLINE_HEADER: Final = 'Deadline-Ms'
_NOT_RUN: Final = 'Not-Executed'
_SIGNATURE: Final = 'Response-Seal'
_KEY: Final = 'Shard-Key'
_LOAD: Final = 'Instance-Load'
LIMIT_HEADER: Final = 'Server-Limit'
LEAVING_HEADER: Final = 'Server-Leaving'
_HANDOVER: Final = 'Handover'
GRANT_PATH: Final = '/cassialever/grant'
RELEASE_PATH: Final = '/cassialever/release'
#: Longest number that is read; Python fails on very long ones.
_MAX_DIGITS: Final = 15
#: Larger figures of a load are malformed, as is "nan".
_MAX_LOAD_FIGURE: Final = 10**6
#: Targets report their slowdown in percent.
_PERCENT: Final = 100

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
#: Headers of the platform in a target's answer.
_ANSWER_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        _ATTEMPT_ID,
        LEAVING_HEADER,
        LIMIT_HEADER,
        _LOAD,
        _NOT_RUN,
        _SIGNATURE,
    )
)
#: Headers of a request that the router replaces by its own.
_REPLACED_HEADERS: Final = frozenset(
    name.lower() for name in (DEADLINE_HEADER, EXPECTED_TARGET)
)


class RequestMetadata(msgspec.Struct, frozen=True):
    """The metadata that a request carries in the platform's headers.

    `timeout` is how long its caller waits; `key` is -1 if the request has
    none.
    """

    request_id: str
    timeout: Seconds | None
    key: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a target reports with an answer.

    `slowdown` is its service time as a multiple of the usual one.
    """

    running: int
    queued: int
    slots: int
    slowdown: float


def parse_request_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Parse a request's headers; malformed values count as missing."""
    timeout = _parse_digits(headers.get(DEADLINE_HEADER, ''))
    key = _parse_digits(headers.get(_KEY, ''))
    return RequestMetadata(
        request_id=headers.get(_ATTEMPT_ID, ''),
        timeout=None if timeout is None else timeout / MS_PER_SECOND,
        key=-1 if key is None or key >= KEY_COUNT else key,
    )


def forwarded_headers(
    headers: Mapping[str, str],
    target_id: TargetId,
) -> list[tuple[str, str]]:
    """Return the headers of a request to send to its target.

    The time left is set when the request is written.
    """
    forwarded = end_to_end_headers(headers, _REPLACED_HEADERS)
    forwarded.append((EXPECTED_TARGET, target_id))
    return forwarded


def with_target_headers(
    headers: Mapping[str, str],
    request_id: str,
    key: int | None,
) -> CIMultiDict[str]:
    """Return headers with the request id and key that targets need."""
    extended = CIMultiDict(headers)
    extended[_ATTEMPT_ID] = request_id
    if key is not None:
        extended[_KEY] = str(key)
    return extended


def without_target_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return an answer's headers without those of the platform."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _ANSWER_HEADERS
    ]


def end_to_end_headers(
    headers: Mapping[str, str],
    excluded: Collection[str] = (),
) -> list[tuple[str, str]]:
    """Return the headers that are not limited to one connection."""
    listed = headers.get('Connection', '').lower().split(',')
    dropped = _HOP_BY_HOP_HEADERS.union(excluded) | {
        name.strip() for name in listed
    }
    return [
        (name, text)
        for name, text in headers.items()
        if name.lower() not in dropped
    ]


def reports_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a target reports that it did not run a request.

    Which request it refuses, only the id in the answer tells.
    """
    return _NOT_RUN in headers or status == HTTPStatus.MISDIRECTED_REQUEST


def is_signed(headers: Mapping[str, str]) -> bool:
    """Return whether an answer has a target's signature."""
    return _SIGNATURE in headers


def router_response_headers(request_id: str) -> dict[str, str]:
    """Return the headers of an answer that the router itself gives."""
    return {_ATTEMPT_ID: request_id} if request_id else {}


def matches_request(headers: Mapping[str, str], request_id: str) -> bool:
    """Return whether an answer names a request, as targets do.

    An answer without an id may belong to an earlier request.
    """
    return headers.get(_ATTEMPT_ID, '') == request_id


def parse_reported_load(headers: Mapping[str, str]) -> ReportedLoad | None:
    """Parse the load in a target's answer; `None` if missing or malformed."""
    text = headers.get(_LOAD)
    if text is None:
        return None
    try:
        numbers = [float(number) for number in text.split(',')]
    except ValueError:
        return None
    if len(numbers) < 3 or not all(
        0 <= number <= _MAX_LOAD_FIGURE for number in numbers
    ):
        return None
    running, queued, slots, *rest = numbers
    slowdown = rest[0] / _PERCENT if rest else 1
    return ReportedLoad(int(running), int(queued), int(slots), slowdown)


def encode_grant(keys: KeyRange, duration: Seconds) -> tuple[str, bytes]:
    """Return the path and body of a call that grants or renews keys."""
    body: dict[str, int | str] = {
        'from': keys.first,
        'target': keys.last,
        'fence': keys.fence,
        'hold_ms': int(duration * MS_PER_SECOND),
    }
    if keys.handover:
        body['handover'] = keys.handover
    return GRANT_PATH, msgspec.json.encode(body)


def encode_release(keys: KeyRange) -> tuple[str, bytes]:
    """Return the path and body of a call that takes keys back."""
    return RELEASE_PATH, msgspec.json.encode(
        {'from': keys.first, 'target': keys.last, 'fence': keys.fence},
    )


def handover_of(headers: Mapping[str, str]) -> str:
    """Return the handover that a target gave for keys it released.

    One that is too long for a key map counts as missing.
    """
    handover = headers.get(_HANDOVER, '')
    return handover if len(handover) <= MAX_HANDOVER_LENGTH else ''


def _parse_digits(text: str) -> int | None:
    # `isdigit` alone also accepts the digits of other scripts.
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    return int(text)
