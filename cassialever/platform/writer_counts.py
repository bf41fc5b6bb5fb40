"""Compare rows by what their writers count, not by the store's versions.

The store's versions don't tell which of two rows is later once it has lost
writes: it gives the same ones out again.
"""

import re
from typing import Final

import msgspec

from cassialever.decoding import decode_json
from cassialever.errors import Failure
from cassialever.fleet.model import StoreRow
from cassialever.platform.entry_limits import UnixMilliseconds
from cassialever.platform.records import (
    CONFIGURATION_ROW,
    OPERATOR_TABLE,
    TARGET_TABLE,
)

_CONFIGURATION_VERSION: Final = re.compile(r'r(\d{1,18})')


class _Configuration(msgspec.Struct):
    version: str


class _TargetStatus(msgspec.Struct):
    sequence: int


class _Target(msgspec.Struct):
    status: _TargetStatus
    born: UnixMilliseconds


def is_later(row: StoreRow, known: StoreRow) -> bool:
    """Return whether a row is later than a known one by its writer's count.

    Rows of writers that count nothing are not.
    """
    if row.content is None or known.content is None:
        return False
    if row.table == TARGET_TABLE:
        return _target_count(row.content) > _target_count(known.content)
    if row.table == OPERATOR_TABLE and row.name == CONFIGURATION_ROW:
        count = _configuration_count(row.content)
        return count > _configuration_count(known.content)
    return False


def _target_count(content: bytes) -> tuple[int, int]:
    """Return the start of a target's process and the number of its report."""
    wire = decode_json(content, _Target)
    if isinstance(wire, Failure):
        return 0, 0
    return wire.born, wire.status.sequence


def _configuration_count(content: bytes) -> int:
    """Return the operators' version of a configuration; 0 if it has none."""
    wire = decode_json(content, _Configuration)
    if isinstance(wire, Failure):
        return 0
    version = _CONFIGURATION_VERSION.fullmatch(wire.version)
    return int(version.group(1)) if version else 0
