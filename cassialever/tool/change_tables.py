"""Tables of the fields that a change modifies."""

from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

import msgspec
from rich.table import Table

from cassialever.catalogue.changes import CatalogueChange, EntryChange
from cassialever.catalogue.entries import Entry
from cassialever.tool.rendering import NO_VALUE, new_table

FieldChange: TypeAlias = tuple[str, str, str]
_EntryChanges: TypeAlias = Iterable[EntryChange[Any]]


def change_table(change: CatalogueChange) -> Table:
    """Return a table with a row for each field that a change modifies."""
    table = new_table('entry', 'field', 'before', 'after')
    sections: tuple[_EntryChanges, ...] = (
        change.services,
        change.targets,
        change.data_centres,
        change.callers,
    )
    for section in sections:
        for changed in section:
            name = f'{changed.ref.kind.value}/{changed.ref.name}'
            for row in field_changes(changed):
                table.add_row(name, *row)
    return table


def field_changes(changed: EntryChange[Any]) -> Iterator[FieldChange]:
    """Yield the name, old value and new value of each changed field."""
    before = _fields(changed.before)
    after = _fields(changed.after)
    if not before or not after:
        yield (
            'entry',
            'present' if before else NO_VALUE,
            'present' if after else NO_VALUE,
        )
        return
    for name in sorted({*before, *after}):
        old = before.get(name, NO_VALUE)
        new = after.get(name, NO_VALUE)
        if old != new:
            yield name, old, new


def _fields(entry: Entry | None) -> dict[str, str]:
    if entry is None:
        return {}
    encoded = msgspec.to_builtins(entry)
    for name in ('version', 'reason'):
        encoded.pop(name)
    return dict(_flattened('', encoded))


def _flattened(
    prefix: str, encoded: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    for name, value in encoded.items():
        path = f'{prefix}{name}'
        if isinstance(value, dict):
            yield from _flattened(f'{path}.', value)
            continue
        yield path, str(value)
