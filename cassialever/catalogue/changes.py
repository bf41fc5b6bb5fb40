"""Compute, apply and undo changes between versions of the catalogue.

A change holds only the entries that differ, each before and after, so that
its size does not grow with the catalogue. The history is stored as changes;
an earlier version is rebuilt by undoing them one by one.
"""

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

import msgspec

from cassialever.catalogue.entries import (
    CallerEntry,
    Catalogue,
    DataCentreEntry,
    Entry,
    ServiceEntry,
    TargetEntry,
)
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.types import CatalogueVersion, ChangeId, Seconds

_Entry = TypeVar('_Entry', bound=Entry)
_UNVERSIONED = CatalogueVersion(0)


class Origin(msgspec.Struct, frozen=True):
    """Author, reason, id and Unix time in seconds of a change."""

    author: str
    reason: str
    change_id: ChangeId
    made_at: Seconds = 0


class EntryChange(msgspec.Struct, Generic[_Entry], frozen=True):
    """An entry before and after a change; `None` if it does not exist."""

    before: _Entry | None
    after: _Entry | None

    @property
    def ref(self) -> EntryRef:
        """Return a reference to the new entry, or to the removed one."""
        entry = self.after or self.before
        assert entry is not None
        return entry.ref()


class CatalogueChange(msgspec.Struct, frozen=True, kw_only=True):
    """The differences between the preceding version and `version`."""

    version: CatalogueVersion
    origin: Origin
    services: tuple[EntryChange[ServiceEntry], ...] = ()
    targets: tuple[EntryChange[TargetEntry], ...] = ()
    data_centres: tuple[EntryChange[DataCentreEntry], ...] = ()
    callers: tuple[EntryChange[CallerEntry], ...] = ()

    def entry_refs(self) -> list[EntryRef]:
        """Return references to all entries that differ."""
        kinds = (self.services, self.targets, self.data_centres, self.callers)
        return [change.ref for changes in kinds for change in changes]


def next_version(
    current: Catalogue,
    proposed: Catalogue,
    origin: Origin,
) -> Catalogue:
    """Return the proposal as the version that follows the current one.

    Only entries that differ get the new version and reason. Entries are
    sorted by name, so that equal catalogues encode to equal bytes.
    """
    version = CatalogueVersion(current.version + 1)
    stamp = _Stamp(version, origin.reason)
    return Catalogue(
        services=_stamp_changed(current.services, proposed.services, stamp),
        targets=_stamp_changed(current.targets, proposed.targets, stamp),
        data_centres=_stamp_changed(
            current.data_centres,
            proposed.data_centres,
            stamp,
        ),
        callers=_stamp_changed(current.callers, proposed.callers, stamp),
        version=version,
        author=origin.author,
        reason=origin.reason,
        change_id=origin.change_id,
    )


def diff_catalogues(
    old: Catalogue,
    new: Catalogue,
    made_at: Seconds = 0,
) -> CatalogueChange:
    """Return the entries that differ in more than version and reason."""
    return CatalogueChange(
        version=new.version,
        origin=Origin(new.author, new.reason, new.change_id, made_at),
        services=_diff_entries(old.services, new.services),
        targets=_diff_entries(old.targets, new.targets),
        data_centres=_diff_entries(old.data_centres, new.data_centres),
        callers=_diff_entries(old.callers, new.callers),
    )


def apply_change(
    catalogue: Catalogue,
    change: CatalogueChange,
) -> Catalogue | Failure:
    """Return the next version; fails if the change is not the next one."""
    if change.version != catalogue.version + 1:
        return Failure(
            ErrorKind.table_conflict,
            f'change {change.version} does not follow version'
            f' {catalogue.version}',
        )
    return Catalogue(
        services=_apply_changes(catalogue.services, change.services),
        targets=_apply_changes(catalogue.targets, change.targets),
        data_centres=_apply_changes(
            catalogue.data_centres, change.data_centres
        ),
        callers=_apply_changes(catalogue.callers, change.callers),
        version=change.version,
        author=change.origin.author,
        reason=change.origin.reason,
        change_id=change.origin.change_id,
    )


def undo_change(
    catalogue: Catalogue,
    change: CatalogueChange,
    previous_origin: Origin,
) -> Catalogue:
    """Return the version before a change.

    `previous_origin` is the origin of the change that made that version.
    """
    return Catalogue(
        services=_apply_changes(catalogue.services, _inverted(change.services)),
        targets=_apply_changes(catalogue.targets, _inverted(change.targets)),
        data_centres=_apply_changes(
            catalogue.data_centres,
            _inverted(change.data_centres),
        ),
        callers=_apply_changes(catalogue.callers, _inverted(change.callers)),
        version=CatalogueVersion(change.version - 1),
        author=previous_origin.author,
        reason=previous_origin.reason,
        change_id=previous_origin.change_id,
    )


class _Stamp(msgspec.Struct, frozen=True):
    """The version and reason that a changed entry is stamped with."""

    version: CatalogueVersion
    reason: str


def _by_name(entries: Iterable[_Entry]) -> dict[str, _Entry]:
    return {entry.ref().name: entry for entry in entries}


def _unstamped(entry: _Entry | None) -> _Entry | None:
    if entry is None:
        return None
    return msgspec.structs.replace(entry, version=_UNVERSIONED, reason='')


def _stamp_changed(
    old: Iterable[_Entry],
    new: Iterable[_Entry],
    stamp: _Stamp,
) -> tuple[_Entry, ...]:
    old_by_name = _by_name(old)
    stamped: list[_Entry] = []
    for name, entry in sorted(_by_name(new).items()):
        previous = old_by_name.get(name)
        if previous is not None and _unstamped(previous) == _unstamped(entry):
            stamped.append(previous)
            continue
        changed = msgspec.structs.replace(
            entry,
            version=stamp.version,
            reason=stamp.reason,
        )
        stamped.append(changed)
    return tuple(stamped)


def _diff_entries(
    old: Iterable[_Entry],
    new: Iterable[_Entry],
) -> tuple[EntryChange[_Entry], ...]:
    old_by_name = _by_name(old)
    new_by_name = _by_name(new)
    changes: list[EntryChange[_Entry]] = []
    for name in sorted({*old_by_name, *new_by_name}):
        before = old_by_name.get(name)
        after = new_by_name.get(name)
        if _unstamped(before) != _unstamped(after):
            changes.append(EntryChange(before, after))
    return tuple(changes)


def _apply_changes(
    entries: tuple[_Entry, ...],
    changes: Sequence[EntryChange[_Entry]],
) -> tuple[_Entry, ...]:
    if not changes:
        return entries
    entry_by_name = _by_name(entries)
    for change in changes:
        name = change.ref.name
        if change.after is None:
            entry_by_name.pop(name, None)
            continue
        entry_by_name[name] = change.after
    return tuple(entry for _, entry in sorted(entry_by_name.items()))


def _inverted(
    changes: Iterable[EntryChange[_Entry]],
) -> tuple[EntryChange[_Entry], ...]:
    return tuple(EntryChange(change.after, change.before) for change in changes)
