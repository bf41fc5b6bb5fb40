"""Which headers pass to a target and back, and those of the router's own."""

from collections.abc import Iterable
from typing import Final

from multidict import CIMultiDict

from cassialever.interfaces import TargetRequest
from cassialever.types import Headers

REQUEST_ID: Final = 'X-Cassialever-Request-Id'
FENCE: Final = 'X-Cassialever-Fence'
DEADLINE: Final = 'X-Cassialever-Deadline-Ms'
INCARNATION: Final = 'X-Cassialever-Incarnation'
SHED: Final = 'X-Cassialever-Shed'
STALE_FENCE: Final = 'X-Cassialever-Stale-Fence'

TRACEPARENT: Final = 'traceparent'
CONTENT_LENGTH: Final = 'content-length'

#: The value of a header that says yes.
YES: Final = '1'

_MILLISECONDS: Final = 1000

# Those that concern one connection only.
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_RESERVED: Final = frozenset(
    name.lower()
    for name in (REQUEST_ID, FENCE, DEADLINE, INCARNATION, SHED, STALE_FENCE)
)

# The library writes the host; who takes the request has answered `Expect`.
_NOT_TO_TARGET: Final = _HOP_BY_HOP | _RESERVED | {'host', 'expect'}
_NOT_TO_CALLER: Final = _HOP_BY_HOP | _RESERVED


def to_target(request: TargetRequest, *, has_body: bool) -> CIMultiDict[str]:
    """Return the headers of an attempt."""
    headers = CIMultiDict(_passing(request.headers, _NOT_TO_TARGET))
    lengths = headers.getall(CONTENT_LENGTH, ())
    if lengths and not (has_body and _is_length(lengths)):
        # Without a length of one meaning the body goes in chunks.
        headers.popall(CONTENT_LENGTH)
    headers[REQUEST_ID] = request.request_id
    if request.traceparent:
        headers[TRACEPARENT] = request.traceparent
    headers[FENCE] = str(request.fence)
    headers[DEADLINE] = str(max(int(request.time_left * _MILLISECONDS), 1))
    return headers


def to_caller(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return what of a target's headers goes on to the caller."""
    return tuple(_passing(tuple(headers), _NOT_TO_CALLER))


def _passing(headers: Headers, dropped: frozenset[str]) -> Headers:
    passing = []
    named: set[str] = set()
    for header in headers:
        name = header[0].lower()
        if name not in dropped:
            passing.append(header)
        elif name == 'connection':
            named.update(map(str.strip, header[1].lower().split(',')))
    # A connection can't own what frames the message.
    named.discard(CONTENT_LENGTH)
    if not named:
        return tuple(passing)
    return tuple(kept for kept in passing if kept[0].lower() not in named)


def _is_length(lengths: Iterable[str]) -> bool:
    distinct = set(lengths)
    if len(distinct) != 1:
        return False
    length = distinct.pop()
    return length.isascii() and length.isdigit()
