"""What a change does, field by field, as people read it."""

from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

import msgspec
from rich.table import Table

from cassialever.catalogue.changes import CatalogueChange, EntryChange
from cassialever.catalogue.entries import Entry
from cassialever.tool.rendering import NONE, new_table

FieldChange: TypeAlias = tuple[str, str, str]
_Part: TypeAlias = Iterable[EntryChange[Any]]


def change_table(change: CatalogueChange) -> Table:
    """Return a row for each field that a change touches."""
    table = new_table('entry', 'field', 'before', 'after')
    parts: tuple[_Part, ...] = (
        change.services,
        change.targets,
        change.data_centres,
        change.callers,
    )
    for part in parts:
        for changed in part:
            name = f'{changed.ref.kind.value}/{changed.ref.name}'
            for row in field_changes(changed):
                table.add_row(name, *row)
    return table


def field_changes(changed: EntryChange[Any]) -> Iterator[FieldChange]:
    """Yield each field that differs, before and after."""
    before = _fields(changed.before)
    after = _fields(changed.after)
    if not before or not after:
        yield 'entry', 'there' if before else NONE, 'there' if after else NONE
        return
    for name in sorted({*before, *after}):
        old = before.get(name, NONE)
        new = after.get(name, NONE)
        if old != new:
            yield name, old, new


def _fields(entry: Entry | None) -> dict[str, str]:
    if entry is None:
        return {}
    words = msgspec.to_builtins(entry)
    for name in ('version', 'reason'):
        words.pop(name)
    return dict(_flattened('', words))


def _flattened(prefix: str, words: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for name, word in words.items():
        path = f'{prefix}{name}'
        if isinstance(word, dict):
            yield from _flattened(f'{path}.', word)
            continue
        yield path, str(word)
