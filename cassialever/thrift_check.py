"""Check thrift's binary form before the compiled decoder sees it.

That decoder takes counts and element types as they come: a few wrong bytes
can hold it for minutes or have it read behind their end. Here every count
has to fit in the bytes there are. Each message passes here, so the code is
written for speed: an index past the end is what tells that bytes lack.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from thriftpy2.thrift import TType

from cassialever.exceptions import CodecError

#: How deep structs and containers may stand in each other.
DEEPEST: Final = 16

_COUNT_BYTES: Final = 4
_FIELD_HEADER_BYTES: Final = 3
_TYPES: Final = 256

_STOP: Final = int(TType.STOP)
_STRING: Final = int(TType.STRING)

_FIXED_SIZES: Final[Mapping[int, int]] = MappingProxyType(
    {
        TType.BOOL: 1,
        TType.BYTE: 1,
        TType.I16: 2,
        TType.I32: 4,
        TType.I64: 8,
        TType.DOUBLE: 8,
    },
)
# The size of each type, 0 where it varies, as a string of bytes.
_SIZE_BY_TYPE: Final = bytes(
    _FIXED_SIZES.get(ttype, 0) for ttype in range(_TYPES)
)


def check_struct(body: bytes) -> None:
    """Raise `CodecError` unless the bytes are one whole struct."""
    try:
        end = _skip_struct(body, 0, DEEPEST)
    except IndexError as error:
        raise CodecError('a message is cut short') from error
    if end != len(body):
        raise CodecError('a message does not end where its bytes do')


def _skip_struct(body: bytes, start: int, depth: int) -> int:
    """Return where a struct that starts at an offset ends."""
    end = start
    ttype = body[end]
    while ttype != _STOP:
        end += _FIELD_HEADER_BYTES
        size = _SIZE_BY_TYPE[ttype]
        if size:
            end += size
        elif ttype == _STRING:
            text = end + _COUNT_BYTES
            end = text + int.from_bytes(body[end:text])
        else:
            end = _skip_container(body, ttype, end, depth)
        ttype = body[end]
    return end + 1


def _skip(body: bytes, ttype: int, start: int, depth: int) -> int:
    size = _SIZE_BY_TYPE[ttype]
    if size:
        return start + size
    if ttype == _STRING:
        return _skip_strings(body, start, 1)
    return _skip_container(body, ttype, start, depth)


def _skip_container(body: bytes, ttype: int, start: int, depth: int) -> int:
    skip = _SKIP_BY_TYPE.get(ttype)
    if skip is None or not depth:
        raise CodecError('a message has an unknown type or is too deep')
    return skip(body, start, depth - 1)


def _skip_strings(body: bytes, start: int, count: int) -> int:
    end = start
    for _ in range(count):
        text = end + _COUNT_BYTES
        end = text + int.from_bytes(body[end:text])
    if end > len(body):
        raise IndexError
    return end


def _skip_list(body: bytes, start: int, depth: int) -> int:
    ttype = body[start]
    count, end = _count(body, start + 1)
    if ttype == _STRING:
        return _skip_strings(body, end, count)
    for _ in range(count):
        end = _skip(body, ttype, end, depth)
    return end


def _skip_map(body: bytes, start: int, depth: int) -> int:
    count, end = _count(body, start + 2)
    key_type = body[start]
    value_type = body[start + 1]
    for _ in range(count):
        end = _skip(body, key_type, end, depth)
        end = _skip(body, value_type, end, depth)
    return end


def _count(body: bytes, start: int) -> tuple[int, int]:
    """Return a container's count, each of which takes a byte at least."""
    end = start + _COUNT_BYTES
    count = int.from_bytes(body[start:end])
    if count > len(body) - end:
        raise IndexError
    return count, end


_Skip = Callable[[bytes, int, int], int]
_SKIP_BY_TYPE: Final[Mapping[int, _Skip]] = MappingProxyType(
    {
        TType.STRUCT: _skip_struct,
        TType.LIST: _skip_list,
        TType.SET: _skip_list,
        TType.MAP: _skip_map,
    },
)
