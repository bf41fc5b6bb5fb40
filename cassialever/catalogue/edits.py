"""Edits that change one entry, for the drain, out and return commands."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from cassialever.catalogue.entries import (
    Catalogue,
    DataCentreEntry,
    TargetEntry,
)
from cassialever.errors import ErrorKind, Failure
from cassialever.types import AdminState, DataCentreId, TargetId


def set_data_centre_state(
    data_centre_id: DataCentreId,
    state: AdminState,
) -> Callable[[Catalogue], Catalogue | Failure]:
    """Return an edit that takes a data centre out or returns it."""

    def edit(catalogue: Catalogue) -> Catalogue | Failure:  # noqa: WPS430
        entries = _with_state(
            catalogue.data_centres,
            data_centre_id,
            state,
        )
        if entries is None:
            return _not_found('data centre', data_centre_id)
        return msgspec.structs.replace(catalogue, data_centres=entries)

    return edit


def set_target_state(
    target_id: TargetId,
    state: AdminState,
) -> Callable[[Catalogue], Catalogue | Failure]:
    """Return an edit that drains a target or returns it."""

    def edit(catalogue: Catalogue) -> Catalogue | Failure:  # noqa: WPS430
        entries = _with_state(catalogue.targets, target_id, state)
        if entries is None:
            return _not_found('target', target_id)
        return msgspec.structs.replace(catalogue, targets=entries)

    return edit


_EntryWithState = TypeVar('_EntryWithState', DataCentreEntry, TargetEntry)


def _with_state(
    entries: Iterable[_EntryWithState],
    name: str,
    state: AdminState,
) -> tuple[_EntryWithState, ...] | None:
    entry_by_name = {entry.ref().name: entry for entry in entries}
    entry = entry_by_name.get(name)
    if entry is None:
        return None
    entry_by_name[name] = msgspec.structs.replace(entry, state=state)
    return tuple(entry_by_name.values())


def _not_found(kind: str, name: str) -> Failure:
    return Failure(
        ErrorKind.catalogue_invalid,
        f'the catalogue has no {kind} named "{name}"',
    )
