"""Look up the owner of a key."""

import bisect

from cassialever.fleet.model import KeyMap, KeyRange


class KeyIndex:
    """Finds the owners of one service's keys by binary search."""

    def __init__(self, key_map: KeyMap, version: int = 0) -> None:
        """Index a map whose ranges are in ascending order.

        `version` is that of the row with the map.
        """
        self.key_map = key_map
        self.version = version
        self._last_keys = [keys.last for keys in key_map.ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key, if there is one."""
        position = bisect.bisect_left(self._last_keys, key)
        if position == len(self._last_keys):
            return None
        keys = self.key_map.ranges[position]
        return keys if keys.first <= key else None
