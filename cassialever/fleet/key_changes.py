"""Relay the changes of key maps in place of whole maps.

While keys move, a key map changes several times a second, each time in a few
of its hundreds of ranges.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

import msgspec

from cassialever.fleet.messages import KeysChanged
from cassialever.fleet.model import KEY_COUNT, KeyMap, KeyRange, StoreRow
from cassialever.fleet.view import OWN_TABLE, FleetView, key_map_service
from cassialever.types import RowVersion

DIGEST_BYTES: Final = 8


class KeyMapHistory:
    """The key maps that a leader has relayed in its term."""

    def __init__(self) -> None:
        #: The last map relayed for each row, and the row's version.
        self._last_by_row: dict[str, tuple[KeyMap, RowVersion]] = {}

    def changes(self, row: StoreRow, view: FleetView) -> KeysChanged | None:
        """Return what has changed in a row that was applied to the view.

        Return None for rows without a key map that can be read, and for the
        first change of the term, since followers may have different versions
        then.
        """
        service = key_map_service(row)
        index = view.keys_by_service.get(service) if service else None
        if index is None or index.version != row.version or not row.content:
            return None
        key_map = index.key_map
        earlier = self._last_by_row.get(row.name)
        self._last_by_row[row.name] = (key_map, row.version)
        if earlier is None:
            return None
        return KeysChanged(
            row.name,
            earlier[1],
            changed_ranges(earlier[0], key_map),
            row.version,
            content_digest(row.content),
            owners_digest(key_map),
        )


def apply_key_changes(changed: KeysChanged, view: FleetView) -> bool:
    """Apply the changes of a key map to a view.

    They apply to each version from the one on which they are based: what the
    leader wrote later, and a follower may have read in the store, differs from
    it in ranges that have changed, whose fences rise. Return False, and forget
    the table's version so that it is sent whole the next time, if the known
    version is older, ranges were split and merged otherwise meanwhile, or the
    result has other owners than the leader's map.
    """
    row = view.rows.by_table_and_name.get((OWN_TABLE, changed.row_name))
    service = key_map_service(row) if row else None
    if row is not None and row.version >= changed.version:
        return True
    if row is None or service is None or row.version < changed.earlier_version:
        view.rows.version_by_table.pop(OWN_TABLE, None)
        return False
    index = view.keys_by_service.get(service)
    if index is None:
        # The row that is known can't be read.
        view.rows.version_by_table.pop(OWN_TABLE, None)
        return False
    known = index.key_map
    key_map = replace_ranges(known, changed.ranges)
    content = msgspec.msgpack.encode(key_map)
    if not (
        covers_same_keys(known, key_map) and _fits(changed, key_map, content)
    ):
        view.rows.version_by_table.pop(OWN_TABLE, None)
        return False
    later = StoreRow(OWN_TABLE, changed.row_name, content, changed.version)
    view.apply(OWN_TABLE, [later], changed.version)
    return True


def changed_ranges(earlier: KeyMap, later: KeyMap) -> list[KeyRange]:
    """Return the ranges of a map that an earlier one does not have.

    Both maps cover the same keys, so these ranges also tell which ones they
    replace.
    """
    known = set(earlier.ranges)
    return [keys for keys in later.ranges if keys not in known]


def replace_ranges(key_map: KeyMap, changed: Iterable[KeyRange]) -> KeyMap:
    """Return a map in which ranges replace those that they overlap."""
    replacing = sorted(changed, key=_first_key)
    merged: list[KeyRange] = []
    position = 0
    for keys in key_map.ranges:
        while position < len(replacing) and (
            replacing[position].last < keys.first
        ):
            merged.append(replacing[position])
            position += 1
        is_replaced = position < len(replacing) and (
            replacing[position].first <= keys.last
        )
        if not is_replaced:
            merged.append(keys)
    merged.extend(replacing[position:])
    return KeyMap(key_map.service, tuple(merged))


def content_digest(content: bytes) -> bytes:
    """Return a digest of the content of a row."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def owners_digest(key_map: KeyMap) -> bytes:
    """Return a digest of who owns which keys, however ranges are split."""
    parts: list[tuple[object, ...]] = []
    owned: tuple[object, ...] = ()
    end = 0
    for keys in key_map.ranges:
        known = owned
        owned = (
            keys.owner,
            keys.owner_started_at,
            keys.fence,
            keys.handover,
        )
        if owned != known or keys.first != end:
            parts.append((end, keys.first, owned))
        end = keys.last + 1
    return content_digest(msgspec.msgpack.encode((parts, end)))


def covers_same_keys(earlier: KeyMap, later: KeyMap) -> bool:
    """Return whether a map has each key of an earlier one, and each once."""
    return _gaps(earlier) == _gaps(later)


def _fits(changed: KeysChanged, key_map: KeyMap, content: bytes) -> bool:
    """Return whether a map has the owners that the leader has named."""
    if changed.content_digest in {b'', content_digest(content)}:
        return True
    return changed.owners_digest == owners_digest(key_map)


def _gaps(key_map: KeyMap) -> list[tuple[int, int]]:
    """Return where keys are missing, or lie in two ranges, as two keys."""
    ends = [-1, *(keys.last for keys in key_map.ranges)]
    starts = [*(keys.first for keys in key_map.ranges), KEY_COUNT]
    return [
        (end, start)
        for end, start in zip(ends, starts, strict=True)
        if start != end + 1
    ]


def _first_key(keys: KeyRange) -> int:
    return keys.first
