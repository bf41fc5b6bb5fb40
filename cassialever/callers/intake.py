"""Parse a caller's request: its service, key, caller, deadline and id.

No input or output happens here: the server passes in what aiohttp has parsed.
"""

import re
import uuid
from collections.abc import Mapping
from typing import Final

import msgspec
import xxhash

from cassialever.catalogue.entries import (
    CallerEntry,
    CatalogueIndex,
    ServiceEntry,
)
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import KEY_COUNT, KeyNumber
from cassialever.gateway.sender import CALLER_HEADER
from cassialever.telemetry.spans import (
    TRACEPARENT_HEADER,
    validated_traceparent,
)
from cassialever.types import (
    CallerId,
    Headers,
    Key,
    RequestId,
    RoutingClass,
    ServiceName,
    SliceIndex,
)

DEADLINE_HEADER: Final = 'X-Cassialever-Deadline-Ms'
REQUEST_ID_HEADER: Final = 'X-Cassialever-Request-Id'

#: Bits of the hash that maps keys to slices.
HASH_BITS: Final = 64

_REQUEST_ID = re.compile('[A-Za-z0-9._-]{8,64}')
_DEADLINE = re.compile('[0-9]{1,9}')


class RawRequest(msgspec.Struct, frozen=True):
    """A request as aiohttp has parsed it, before its body is read."""

    method: str
    path: str
    query: str
    header_by_name: Mapping[str, str]
    headers: Headers
    #: 0 if there is no body, `None` if its length is not given.
    body_length: int | None


class ParsedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A valid request that can be routed."""

    service: ServiceEntry
    caller: CallerEntry
    caller_id: CallerId
    request_id: RequestId
    method: str
    path: str
    headers: Headers
    timeout_ms: int
    is_retryable: bool
    has_body: bool
    key: Key = Key('')
    traceparent: str = ''

    def with_traceparent(self, traceparent: str) -> 'ParsedRequest':
        """Return the request with another trace context."""
        if traceparent == self.traceparent:
            return self
        return msgspec.structs.replace(self, traceparent=traceparent)

    @property
    def key_number(self) -> KeyNumber | None:
        """Return the key's number; `None` if the service has no keys."""
        if self.service.routing is RoutingClass.any_target:
            return None
        return key_number(self.key, self.service)


def new_request_id() -> RequestId:
    """Return a random request id."""
    return RequestId(uuid.uuid4().hex)


def request_id_of(raw: RawRequest) -> RequestId | Failure:
    """Return the request id that the caller gave, or a new one."""
    given = raw.header_by_name.get(REQUEST_ID_HEADER)
    if given is None:
        return new_request_id()
    if _REQUEST_ID.fullmatch(given):
        return RequestId(given)
    return Failure(
        ErrorKind.malformed_request_id,
        'a request id is 8 to 64 letters, digits, dots, dashes or underscores',
    )


def parse_request(
    raw: RawRequest,
    index: CatalogueIndex,
    request_id: RequestId,
) -> ParsedRequest | Failure:
    """Parse a request; a failure says why it is refused."""
    service = _find_service(raw, index)
    if isinstance(service, Failure):
        return service
    caller = _find_caller(raw, index)
    if isinstance(caller, Failure):
        return caller
    if raw.body_length and raw.body_length > service.limits.body_bytes:
        return body_too_large(service)
    timeout_ms = _parse_timeout(raw, service)
    if isinstance(timeout_ms, Failure):
        return timeout_ms
    key = _parse_key(raw, service)
    if isinstance(key, Failure):
        return key
    return ParsedRequest(
        service=service,
        caller=caller,
        caller_id=CallerId(raw.header_by_name.get(CALLER_HEADER, '')),
        request_id=request_id,
        method=raw.method,
        path=f'{raw.path}?{raw.query}' if raw.query else raw.path,
        headers=raw.headers,
        timeout_ms=timeout_ms,
        is_retryable=raw.method in service.repeatable_methods,
        has_body=raw.body_length != 0,
        key=key,
        traceparent=validated_traceparent(
            raw.header_by_name.get(TRACEPARENT_HEADER, ''),
        ),
    )


def slice_of(key: Key, service: ServiceEntry) -> SliceIndex:
    """Return the slice of a key; all keys of a slice have the same owner."""
    key_hash = xxhash.xxh3_64_intdigest(key.encode())
    return SliceIndex((key_hash * service.slices) >> HASH_BITS)


def key_number(key: Key, service: ServiceEntry) -> KeyNumber:
    """Return the key number that represents a key's slice at targets."""
    slice_index = slice_of(key, service)
    return KeyNumber(slice_index * KEY_COUNT // service.slices)


def body_too_large(service: ServiceEntry) -> Failure:
    """Return the failure for a body over the service's limit."""
    return Failure(
        ErrorKind.body_too_large,
        f'a body may have {service.limits.body_bytes} bytes',
        service.ref(),
    )


def _find_service(
    raw: RawRequest,
    index: CatalogueIndex,
) -> ServiceEntry | Failure:
    name = raw.path.removeprefix('/').partition('/')[0]
    service = index.service_by_name.get(ServiceName(name))
    if service:
        return service
    return Failure(
        ErrorKind.unknown_service,
        'the first part of the path names no service of the catalogue',
    )


def _find_caller(
    raw: RawRequest, index: CatalogueIndex
) -> CallerEntry | Failure:
    name = raw.header_by_name.get(CALLER_HEADER, '')
    caller = index.caller_entry(CallerId(name))
    if caller:
        return caller
    return Failure(
        ErrorKind.unknown_caller,
        'neither this caller nor `default` has an entry in the catalogue',
    )


def _parse_timeout(raw: RawRequest, service: ServiceEntry) -> int | Failure:
    given = raw.header_by_name.get(DEADLINE_HEADER)
    if given is None:
        return service.limits.default_timeout_ms
    if _DEADLINE.fullmatch(given) and int(given):
        return min(int(given), service.limits.longest_timeout_ms)
    return Failure(
        ErrorKind.malformed_deadline,
        'a deadline is a whole number of milliseconds from 1',
    )


def _parse_key(raw: RawRequest, service: ServiceEntry) -> Key | Failure:
    if service.routing is RoutingClass.any_target:
        return Key('')
    rule = service.key_rule
    key = raw.header_by_name.get(rule.header, '')
    if not key and rule.path_segment is not None:
        key = _path_segment(raw.path, rule.path_segment)
    if not key:
        return Failure(
            ErrorKind.missing_key,
            f'the header {rule.header} is missing',
            service.ref(),
        )
    if len(key.encode()) > service.limits.key_bytes:
        return Failure(
            ErrorKind.key_too_long,
            f'a key may have {service.limits.key_bytes} bytes',
            service.ref(),
        )
    return Key(key)


def _path_segment(path: str, index: int) -> str:
    segments = path.strip('/').split('/')[1:]
    if index < len(segments):
        return segments[index]
    return ''
