"""Encode calls to the platform's row store and decode its answers."""

import base64
from typing import Annotated, Any, Final, TypeAlias

import msgspec

from cassialever.decoding import attempt, decode_json
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import StoreRow
from cassialever.platform.entry_limits import MAX_INTEGER
from cassialever.types import MS_PER_SECOND, RowVersion, Seconds

COMMIT_PATH: Final = '/cassialever/rows-tx'
READ_PATH: Final = '/cassialever/rows-get'
CHANGES_PATH: Final = '/cassialever/rows-feed'

#: The version of a row that does not exist.
NO_VERSION: Final = RowVersion(0)
#: Latest time of the store's clock, in milliseconds: in 30,000 years.
MAX_CLOCK_MS: Final = 1e15


class Precondition(msgspec.Struct, frozen=True):
    """The version that a row must have; 0 if it must not exist."""

    table: str
    name: str
    version: RowVersion


class Write(msgspec.Struct, frozen=True):
    """A row that a transaction writes."""

    table: str
    name: str
    content: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, if every precondition holds."""

    preconditions: tuple[Precondition, ...]
    writes: tuple[Write, ...]


class Committed(msgspec.Struct, frozen=True):
    """A transaction that took effect; `store_time` is the store's clock.

    The version of the rows written is at most `version`: the store answers
    with its newest one, and other writers may have committed since.
    """

    version: RowVersion
    store_time: Seconds
    #: The lowest version that the rows can have; `None` if `version` is theirs.
    at_least: RowVersion | None = None

    @property
    def lower_bound(self) -> RowVersion:
        """Return the lowest version that the rows written can have."""
        return self.version if self.at_least is None else self.at_least

    @property
    def is_read_back(self) -> bool:
        """Return whether the rows were read, as the answer was lost."""
        return self.at_least is None


class Conflict(msgspec.Struct, frozen=True):
    """A transaction without effect, and the rows of its preconditions."""

    rows: tuple[StoreRow, ...]
    store_time: Seconds
    #: The newest version of the store.
    version: RowVersion = RowVersion(0)


class Rows(msgspec.Struct, frozen=True):
    """Rows of one table and the version up to which they are complete."""

    rows: tuple[StoreRow, ...]
    version: RowVersion
    store_time: Seconds
    has_more: bool = False

    @property
    def next_start(self) -> str | None:
        """Return the start of the next page; `None` after the last page."""
        if self.has_more and self.rows:
            return f'{self.rows[-1].name}\0'
        return None


_Body: TypeAlias = dict[str, list[dict[str, Any]]]


_Version: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Clock: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_MS)]


class _Row(msgspec.Struct):
    table: str
    key: str
    ver: _Version
    value: str | None = None
    removed: bool = False


class _Answer(msgspec.Struct):
    ver: _Version = 0
    now_ms: _Clock = 0
    rows: list[_Row] = []
    has_more: bool = False


def newest_version(answer: Committed | Conflict | Rows) -> RowVersion:
    """Return the newest version of the store that an answer tells."""
    if isinstance(answer, Committed):
        return answer.version
    row_versions = (row.version for row in answer.rows)
    return max(answer.version, max(row_versions, default=NO_VERSION))


def encode_transaction(transaction: Transaction) -> bytes:
    """Encode a transaction; the `part` of every row is empty."""
    body: _Body = {
        'expect': [
            {
                'table': row.table,
                'part': '',
                'key': row.name,
                'ver': row.version,
            }
            for row in transaction.preconditions
        ],
        'writes': [
            {
                'table': row.table,
                'part': '',
                'key': row.name,
                'value': base64.b64encode(row.content).decode(),
            }
            for row in transaction.writes
        ],
        'remove': [],
    }
    return msgspec.json.encode(body)


def decode_committed(
    body: bytes, at_least: RowVersion = NO_VERSION
) -> Committed | Failure:
    """Decode the answer to a transaction that took effect.

    Its rows have at least a given version. An answer that tells otherwise, or
    that can't be read, counts as lost.
    """
    wire = _decode_answer(body)
    if isinstance(wire, Failure):
        return Failure(ErrorKind.table_answer_lost, wire.reason)
    if wire.ver < at_least:
        return Failure(
            ErrorKind.table_answer_lost,
            f'the store answered version {wire.ver}, below {at_least}',
        )
    return Committed(
        RowVersion(wire.ver), wire.now_ms / MS_PER_SECOND, at_least
    )


def decode_conflict(body: bytes) -> Conflict | Failure:
    """Decode the answer to a transaction with a failed precondition."""
    wire = _decode_answer(body)
    if isinstance(wire, Failure):
        return wire
    rows = tuple(_decode_row(row) for row in wire.rows)
    return Conflict(rows, wire.now_ms / MS_PER_SECOND, RowVersion(wire.ver))


def decode_rows(body: bytes) -> Rows | Failure:
    """Decode the rows of a read or of a wait for changes."""
    wire = _decode_answer(body)
    if isinstance(wire, Failure):
        return wire
    return Rows(
        rows=tuple(_decode_row(row) for row in wire.rows),
        version=RowVersion(wire.ver),
        store_time=wire.now_ms / MS_PER_SECOND,
        has_more=wire.has_more,
    )


def _decode_answer(body: bytes) -> _Answer | Failure:
    answer = decode_json(body, _Answer, ErrorKind.table_unavailable)
    if isinstance(answer, Failure):
        reason = f'the store sent a malformed answer: {answer.reason}'
        return Failure(answer.kind, reason)
    return answer


def _decode_row(row: _Row) -> StoreRow:
    content = None if row.removed else _decode_content(row.value)
    return StoreRow(row.table, row.key, content, RowVersion(row.ver))


def _decode_content(encoded: str | None) -> bytes:
    # Invalid base64 decodes to empty content. No reader accepts that, so it
    # is logged where the meaning of the row is known.
    content = attempt(lambda: base64.b64decode(encoded or '', validate=True))
    return b'' if isinstance(content, Failure) else content
