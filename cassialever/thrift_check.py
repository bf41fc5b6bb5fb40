"""Check thrift's binary form before the compiled decoder sees it.

That decoder takes counts and element types as they come: a few wrong bytes
can hold it for minutes. Here every count has to fit in the bytes there are.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from thriftpy2.thrift import TType

from cassialever.exceptions import CodecError

#: How deep structs and containers may stand in each other.
DEEPEST: Final = 16

_COUNT_BYTES: Final = 4
_FIELD_ID_BYTES: Final = 2

_STOP: Final = int(TType.STOP)
_STRING: Final = int(TType.STRING)

_SIZE_BY_TYPE: Final[Mapping[int, int]] = MappingProxyType(
    {
        TType.BOOL: 1,
        TType.BYTE: 1,
        TType.I16: 2,
        TType.I32: 4,
        TType.I64: 8,
        TType.DOUBLE: 8,
    },
)


def check_struct(body: bytes) -> None:
    """Raise `CodecError` unless the bytes are one whole struct."""
    try:
        end = _skip_struct(body, 0, DEEPEST)
    except IndexError as error:
        raise CodecError('a message is cut short') from error
    if end != len(body):
        raise CodecError('a message does not end where its bytes do')


def _skip(body: bytes, ttype: int, start: int, depth: int) -> int:
    """Return where a value that starts at an offset ends."""
    size = _SIZE_BY_TYPE.get(ttype)
    if size:
        return start + size
    skip = _SKIP_BY_TYPE.get(ttype)
    if skip is None or not depth:
        raise CodecError('a message has an unknown type or is too deep')
    return skip(body, start, depth - 1)


def _skip_string(body: bytes, start: int, depth: int) -> int:
    size = int.from_bytes(body[start : start + _COUNT_BYTES])
    end = start + _COUNT_BYTES + size
    if end > len(body):
        raise IndexError
    return end


def _skip_struct(body: bytes, start: int, depth: int) -> int:
    ttype = body[start]
    while ttype != _STOP:
        start = _skip(body, ttype, start + 1 + _FIELD_ID_BYTES, depth)
        ttype = body[start]
    return start + 1


def _skip_list(body: bytes, start: int, depth: int) -> int:
    count, at = _count(body, start + 1)
    ttype = body[start]
    if ttype == _STRING:
        return _skip_strings(body, at, count)
    for _ in range(count):
        at = _skip(body, ttype, at, depth)
    return at


def _skip_strings(body: bytes, start: int, count: int) -> int:
    # Lists of headers are the most of most messages, hence the short way.
    end = start
    for _ in range(count):
        text = end + _COUNT_BYTES
        end = text + int.from_bytes(body[end:text])
    if end > len(body):
        raise IndexError
    return end


def _skip_map(body: bytes, start: int, depth: int) -> int:
    count, at = _count(body, start + 2)
    key_type = body[start]
    value_type = body[start + 1]
    for _ in range(count):
        at = _skip(body, key_type, at, depth)
        at = _skip(body, value_type, at, depth)
    return at


def _count(body: bytes, start: int) -> tuple[int, int]:
    """Return a container's count, each of which takes a byte at least."""
    at = start + _COUNT_BYTES
    count = int.from_bytes(body[start:at])
    if count > len(body) - at:
        raise IndexError
    return count, at


_Skip = Callable[[bytes, int, int], int]
_SKIP_BY_TYPE: Final[Mapping[int, _Skip]] = MappingProxyType(
    {
        TType.STRING: _skip_string,
        TType.STRUCT: _skip_struct,
        TType.LIST: _skip_list,
        TType.SET: _skip_list,
        TType.MAP: _skip_map,
    },
)
