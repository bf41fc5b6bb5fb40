"""Changes of the catalogue: made, applied, undone and compared.

A change holds only the entries that differ, each before and after, so that
its size does not grow with the catalogue. The history is kept and spread in
changes; any earlier version is had by undoing them one by one.
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
    """Who makes a change, why, when (seconds since 1970), and its id."""

    author: str
    reason: str
    change_id: ChangeId
    made_at: Seconds = 0


class EntryChange(msgspec.Struct, Generic[_Entry], frozen=True):
    """One entry before and after a change; `None` is no such entry."""

    before: _Entry | None
    after: _Entry | None

    @property
    def ref(self) -> EntryRef:
        """Name the entry, at its later version where it has one."""
        entry = self.after or self.before
        assert entry is not None
        return entry.ref()


class CatalogueChange(msgspec.Struct, frozen=True, kw_only=True):
    """What leads from the version before to `version`."""

    version: CatalogueVersion
    origin: Origin
    services: tuple[EntryChange[ServiceEntry], ...] = ()
    targets: tuple[EntryChange[TargetEntry], ...] = ()
    data_centres: tuple[EntryChange[DataCentreEntry], ...] = ()
    callers: tuple[EntryChange[CallerEntry], ...] = ()

    def entry_refs(self) -> list[EntryRef]:
        """Name every entry that changes."""
        parts = (self.services, self.targets, self.data_centres, self.callers)
        return [changed.ref for part in parts for changed in part]


def next_version(
    current: Catalogue,
    proposed: Catalogue,
    origin: Origin,
) -> Catalogue:
    """Return the proposal as the version that follows the current one.

    Only entries that differ get the new version and reason; all are put in
    the order of their names, so that equal catalogues are equal bytes.
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
    """Return what differs; versions and reasons alone are no difference."""
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
    """Return the next version; the change has to be the one that follows."""
    if change.version != catalogue.version + 1:
        return Failure(
            ErrorKind.table_conflict,
            f'change {change.version} does not follow {catalogue.version}',
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
    earlier: Origin,
) -> Catalogue:
    """Return the version before a change, whose own origin is `earlier`."""
    return Catalogue(
        services=_apply_changes(catalogue.services, _inverted(change.services)),
        targets=_apply_changes(catalogue.targets, _inverted(change.targets)),
        data_centres=_apply_changes(
            catalogue.data_centres,
            _inverted(change.data_centres),
        ),
        callers=_apply_changes(catalogue.callers, _inverted(change.callers)),
        version=CatalogueVersion(change.version - 1),
        author=earlier.author,
        reason=earlier.reason,
        change_id=earlier.change_id,
    )


class _Stamp(msgspec.Struct, frozen=True):
    """What a changed entry is marked with."""

    version: CatalogueVersion
    reason: str


def _by_name(entries: Iterable[_Entry]) -> dict[str, _Entry]:
    return {entry.ref().name: entry for entry in entries}


def _without_stamp(entry: _Entry | None) -> _Entry | None:
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
        known = old_by_name.get(name)
        if known is not None and _without_stamp(known) == _without_stamp(entry):
            stamped.append(known)
            continue
        marked = msgspec.structs.replace(
            entry,
            version=stamp.version,
            reason=stamp.reason,
        )
        stamped.append(marked)
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
        if _without_stamp(before) != _without_stamp(after):
            changes.append(EntryChange(before, after))
    return tuple(changes)


def _apply_changes(
    entries: tuple[_Entry, ...],
    changes: Sequence[EntryChange[_Entry]],
) -> tuple[_Entry, ...]:
    if not changes:
        return entries
    entry_by_name = _by_name(entries)
    for changed in changes:
        name = changed.ref.name
        if changed.after is None:
            entry_by_name.pop(name, None)
            continue
        entry_by_name[name] = changed.after
    return tuple(entry for _, entry in sorted(entry_by_name.items()))


def _inverted(
    changes: Iterable[EntryChange[_Entry]],
) -> tuple[EntryChange[_Entry], ...]:
    return tuple(EntryChange(one.after, one.before) for one in changes)
