"""Decode what others wrote: a value, or a failure with a short reason."""

from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

from cassialever.errors import ErrorKind, Failure

#: Longest reason, and longest name of an entry in the log, in characters: the
#: bytes may hold a number or a text of any length, which some errors quote.
MAX_REASON_LENGTH: Final = 200

_Decoded = TypeVar('_Decoded')


def decode_json(
    content: bytes | str,
    expected_type: type[_Decoded],
    kind: ErrorKind = ErrorKind.catalogue_invalid,
) -> _Decoded | Failure:
    """Decode JSON of a type; fail with a kind if that is not possible."""
    return attempt(
        lambda: msgspec.json.decode(content, type=expected_type), kind
    )


def decode_msgpack(
    content: bytes,
    expected_type: type[_Decoded],
    kind: ErrorKind = ErrorKind.catalogue_invalid,
) -> _Decoded | Failure:
    """Decode MessagePack of a type; fail with a kind if it is not possible."""
    return attempt(
        lambda: msgspec.msgpack.decode(content, type=expected_type), kind
    )


def attempt(
    decode: Callable[[], _Decoded],
    kind: ErrorKind = ErrorKind.catalogue_invalid,
) -> _Decoded | Failure:
    """Return what a decoder returns; fail in each way in which it raises.

    A decoder raises ValueError for bytes, texts and numbers that are invalid,
    RecursionError for deep nesting, and OverflowError for large numbers.
    """
    try:
        return decode()
    except (ValueError, RecursionError, OverflowError) as error:
        return Failure(kind, shortened(str(error)))


def shortened(text: str) -> str:
    """Return a text of another writer for the log: short, and on one line."""
    start = text[:MAX_REASON_LENGTH]
    return ''.join(one if one.isprintable() else '?' for one in start)
