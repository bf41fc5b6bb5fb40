"""Messages that spread the catalogue between daemons.

Changes and whole catalogues travel in the form that the table keeps, so
that both ways give the same bytes.
"""

import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from cassialever import codec
from cassialever.catalogue import Catalogue
from cassialever.catalogue_changes import CatalogueChange
from cassialever.exceptions import CodecError
from cassialever.types import CatalogueVersion

HELD_NUMBER: Final = 160
WANTED_NUMBER: Final = 161
CHANGES_NUMBER: Final = 162
WHOLE_NUMBER: Final = 163
#: Longest catalogue that is taken from a peer, in bytes of JSON.
MOST_BYTES: Final = 67_108_864
SPREAD_THRIFT: Final = codec.load_thrift('spread.thrift')


class CatalogueHeld(msgspec.Struct, frozen=True):
    """The sender has this version in force."""

    version: CatalogueVersion


class CatalogueWanted(msgspec.Struct, frozen=True):
    """The sender has this version and asks for what follows it."""

    version: CatalogueVersion


class CatalogueChanges(msgspec.Struct, frozen=True):
    """Changes in order; `first` is the version of the first one."""

    first: CatalogueVersion
    body: bytes


class CatalogueWhole(msgspec.Struct, frozen=True):
    """A whole catalogue, for a daemon that is far behind or has none.

    The body is compressed, so that one of many thousand entries stays under
    the limit of one message.
    """

    version: CatalogueVersion
    body: bytes


codec.register(HELD_NUMBER, CatalogueHeld, SPREAD_THRIFT.CatalogueHeld)
codec.register(WANTED_NUMBER, CatalogueWanted, SPREAD_THRIFT.CatalogueWanted)
codec.register(
    CHANGES_NUMBER,
    CatalogueChanges,
    SPREAD_THRIFT.CatalogueChanges,
)
codec.register(WHOLE_NUMBER, CatalogueWhole, SPREAD_THRIFT.CatalogueWhole)


def pack_changes(changes: Sequence[CatalogueChange]) -> CatalogueChanges:
    """Write at least one change as a message."""
    return CatalogueChanges(
        changes[0].version,
        msgspec.json.encode(list(changes)),
    )


def unpack_changes(message: CatalogueChanges) -> list[CatalogueChange]:
    """Read changes; raise `CodecError` if they are none."""
    try:
        return msgspec.json.decode(message.body, type=list[CatalogueChange])
    except msgspec.DecodeError as error:
        raise CodecError(f'catalogue changes: {error}') from error


def pack_whole(catalogue: Catalogue) -> CatalogueWhole:
    """Write a catalogue as a message."""
    body = zlib.compress(msgspec.json.encode(catalogue), level=1)
    return CatalogueWhole(catalogue.version, body)


def unpack_whole(message: CatalogueWhole) -> Catalogue:
    """Read a catalogue; raise `CodecError` if it is none."""
    try:
        return msgspec.json.decode(_expand(message.body), type=Catalogue)
    except (zlib.error, msgspec.DecodeError) as error:
        raise CodecError(f'a whole catalogue: {error}') from error


def _expand(body: bytes) -> bytes:
    expander = zlib.decompressobj()
    expanded = expander.decompress(body, MOST_BYTES)
    if expander.unconsumed_tail:
        raise CodecError(f'a catalogue of more than {MOST_BYTES} bytes')
    return expanded
