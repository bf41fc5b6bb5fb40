"""The headers and calls that requests, answers and targets carry."""

from collections.abc import Collection, Iterable, Mapping
from http import HTTPStatus
from typing import Final

import msgspec
from multidict import CIMultiDict

from cassialever.fleet.model import KEY_COUNT, KeyRange
from cassialever.types import MILLISECONDS, Seconds, TargetId

READINESS_PATH: Final = '/cassialever/readyz'

_ATTEMPT_ID: Final = 'Attempt-Id'
_DEADLINE: Final = 'Deadline-Ms'
_EXPECTED_TARGET: Final = 'Expect-Instance'
_NOT_RUN: Final = 'Not-Executed'
_SIGNATURE: Final = 'Response-Seal'
_KEY: Final = 'Shard-Key'
_LOAD: Final = 'Instance-Load'
_HANDOVER: Final = 'Handover'
_GRANT_PATH: Final = '/cassialever/grant'
_RELEASE_PATH: Final = '/cassialever/release'
#: A target's share of usual speed is told in hundredths.
_USUAL: Final = 100

#: Headers that concern one connection only.
_CONNECTION_HEADERS: Final = frozenset(
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
_LABELS: Final = frozenset(
    name.lower() for name in (_ATTEMPT_ID, _LOAD, _NOT_RUN, _SIGNATURE)
)
_REPLACED: Final = frozenset(
    name.lower() for name in (_DEADLINE, _EXPECTED_TARGET)
)


class RequestMetadata(msgspec.Struct, frozen=True):
    """What a request says of itself beside its method, path and body.

    `patience` is how long its caller waits; `key` is -1 where none is given.
    """

    request_id: str
    timeout: Seconds | None
    key: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """What a target tells of its load; `slowness` is 1 as usual."""

    running: int
    queued: int
    slots: int
    slowdown: float


def parse_request_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Read what a request says of itself."""
    timeout = _whole_number(headers.get(_DEADLINE, ''))
    key = _whole_number(headers.get(_KEY, ''))
    return RequestMetadata(
        request_id=headers.get(_ATTEMPT_ID, ''),
        timeout=None if timeout is None else timeout / MILLISECONDS,
        key=-1 if key is None or key >= KEY_COUNT else key,
    )


def forwarded_headers(
    headers: Mapping[str, str],
    target_id: TargetId,
    time_left: Seconds,
) -> list[tuple[str, str]]:
    """Return a request's headers as its target is to get them."""
    passed = end_to_end_headers(headers, _REPLACED)
    passed.append((_DEADLINE, str(max(1, int(time_left * MILLISECONDS)))))
    passed.append((_EXPECTED_TARGET, target_id))
    return passed


def with_target_headers(
    headers: Mapping[str, str],
    request_id: str,
    key: int | None,
) -> CIMultiDict[str]:
    """Return headers with what targets need to know of a request."""
    made = CIMultiDict(headers)
    made[_ATTEMPT_ID] = request_id
    if key is not None:
        made[_KEY] = str(key)
    return made


def without_target_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return an answer's headers without those that targets speak by."""
    return [
        (name, text) for name, text in headers if name.lower() not in _LABELS
    ]


def end_to_end_headers(
    headers: Mapping[str, str],
    left_out: Collection[str] = (),
) -> list[tuple[str, str]]:
    """Return the headers that concern more than one connection."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = _CONNECTION_HEADERS.union(left_out) | {
        name.strip() for name in named
    }
    return [
        (name, text)
        for name, text in headers.items()
        if name.lower() not in dropped
    ]


def reports_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Tell whether a target states that it did not run the request."""
    return _NOT_RUN in headers or status == HTTPStatus.MISDIRECTED_REQUEST


def is_signed(headers: Mapping[str, str]) -> bool:
    """Tell whether an answer bears a target's signature."""
    return _SIGNATURE in headers


def router_response_headers(request_id: str) -> dict[str, str]:
    """Return the headers of an answer that no target gave."""
    return {_ATTEMPT_ID: request_id} if request_id else {}


def matches_request(headers: Mapping[str, str], request_id: str) -> bool:
    """Tell whether an answer belongs to a request.

    An answer without an id is taken, since targets leave it out where they
    refuse a request.
    """
    return headers.get(_ATTEMPT_ID, request_id) == request_id


def parse_reported_load(headers: Mapping[str, str]) -> ReportedLoad | None:
    """Read the load that a target tells; `None` if it tells none."""
    text = headers.get(_LOAD)
    if text is None:
        return None
    try:
        numbers = [float(number) for number in text.split(',')]
    except ValueError:
        return None
    if len(numbers) < 3:
        return None
    running, queued, slots, *rest = numbers
    slowdown = rest[0] / _USUAL if rest else 1
    return ReportedLoad(int(running), int(queued), int(slots), slowdown)


def encode_grant(keys: KeyRange, hold: Seconds) -> tuple[str, bytes]:
    """Return the path and body of a call that grants or renews keys."""
    body: dict[str, int | str] = {
        'from': keys.first,
        'target': keys.last,
        'fence': keys.fence,
        'hold_ms': int(hold * MILLISECONDS),
    }
    if keys.handover:
        body['handover'] = keys.handover
    return _GRANT_PATH, msgspec.json.encode(body)


def encode_release(keys: KeyRange) -> tuple[str, bytes]:
    """Return the path and body of a call that takes keys back."""
    return _RELEASE_PATH, msgspec.json.encode(
        {'from': keys.first, 'target': keys.last, 'fence': keys.fence},
    )


def handover_of(headers: Mapping[str, str]) -> str:
    """Return what a target gave for keys that it released."""
    return headers.get(_HANDOVER, '')


def _whole_number(text: str) -> int | None:
    # Digits alone are no number where they belong to another script.
    if not (text.isascii() and text.isdigit()):
        return None
    return int(text)
