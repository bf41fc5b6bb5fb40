"""Marks in a row that tell which changes wrote it last.

The table does not know change ids, so the client keeps them in the row: each
body is wrapped with the ids of the changes behind its last few versions. A
body without the wrapping is taken as it is.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.exceptions import CodecError
from cassialever.interfaces import Row, RowWrite, Transaction
from cassialever.types import ChangeId, RowName, RowVersion

#: Versions of a row whose change ids are kept.
MARKS_KEPT: Final = 8

#: Rows whose marks a client remembers.
ROWS_REMEMBERED: Final = 4096

#: The first byte of a wrapped body; no text and no message starts with it.
_WRAPPED: Final = b'\xc1'


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """The change that wrote one version of a row."""

    version: RowVersion
    change_id: ChangeId


class MarkedRow(msgspec.Struct, frozen=True):
    """A row without its wrapping, and its marks, the newest first."""

    row: Row
    marks: tuple[Mark, ...] = ()

    def writer(self, version: RowVersion) -> ChangeId | None:
        """Return the change that wrote a version, if it is still marked."""
        for mark in self.marks:
            if mark.version == version:
                return mark.change_id
        return None


MarkedRows = Mapping[RowName, MarkedRow]


class _Wrapped(msgspec.Struct, frozen=True, array_like=True):
    body: bytes
    marks: tuple[Mark, ...]


def wrap(body: bytes, marks: tuple[Mark, ...]) -> bytes:
    """Return a body with the newest of its marks."""
    wrapped = _Wrapped(body, marks[:MARKS_KEPT])
    return _WRAPPED + msgspec.msgpack.encode(wrapped)


def unwrap(row: Row) -> MarkedRow:
    """Return a row as it was written; raises `CodecError` on a bad one."""
    if not row.body.startswith(_WRAPPED):
        return MarkedRow(row)
    try:
        wrapped = msgspec.msgpack.decode(row.body[1:], type=_Wrapped)
    except msgspec.MsgspecError as error:
        raise CodecError(f'row {row.name} is malformed') from error
    plain = msgspec.structs.replace(row, body=wrapped.body)
    return MarkedRow(plain, wrapped.marks)


class Marks:
    """The marks of the rows last seen, so that the next write keeps them."""

    def __init__(self) -> None:
        """Start without any."""
        self._marks_by_name: dict[RowName, tuple[Mark, ...]] = {}

    def seen(self, rows: MarkedRows) -> None:
        """Remember the marks of rows that were read."""
        for name, marked in rows.items():
            self._remember(name, marked.marks)

    def stamp(self, transaction: Transaction) -> Transaction:
        """Return a transaction whose bodies carry its change id."""
        writes = tuple(
            self._stamp_write(write, transaction.change_id)
            for write in transaction.writes
        )
        return msgspec.structs.replace(transaction, writes=writes)

    def written(self, order: Transaction) -> None:
        """Remember the marks of a stamped transaction that was written."""
        for write in order.writes:
            marks = self._marks_after(write, order.change_id)
            self._remember(write.name, marks)

    def _stamp_write(self, write: RowWrite, change_id: ChangeId) -> RowWrite:
        if write.body is None:
            return write
        body = wrap(write.body, self._marks_after(write, change_id))
        return msgspec.structs.replace(write, body=body)

    def _marks_after(
        self,
        write: RowWrite,
        change_id: ChangeId,
    ) -> tuple[Mark, ...]:
        known = self._marks_by_name.get(write.name, ())
        is_current = bool(known) and known[0].version == write.expected
        newest = Mark(RowVersion(write.expected + 1), change_id)
        return (newest, *known)[:MARKS_KEPT] if is_current else (newest,)

    def _remember(self, name: RowName, marks: tuple[Mark, ...]) -> None:
        self._marks_by_name.pop(name, None)
        self._marks_by_name[name] = marks
        if len(self._marks_by_name) > ROWS_REMEMBERED:
            self._marks_by_name.pop(next(iter(self._marks_by_name)))
