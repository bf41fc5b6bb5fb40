"""Which daemons read the store while no leader relays its changes.

Each call has a price, and all daemons of a large fleet lose a leader at once.
A few read the store then; the others ask these for their tables, and read the
store only if that does not keep their own new.
"""

import zlib
from collections.abc import Callable, Mapping
from typing import Final

from cassialever.types import Seconds

#: Daemons that read the store, whatever the size of the fleet. The store may
#: refuse a third of all machines, and a data centre may be cut off.
MAX_READERS: Final = 9
#: Daemons that do once the tables are older than MORE_READERS_AGE, as most of
#: the first may be refused.
MORE_READERS: Final = 27
MORE_READERS_AGE: Final[Seconds] = 1.7
#: Age of its tables at which any daemon reads the store itself: what is left of
#: MAX_UNCONFIRMED_AGE is for its answer.
READ_AGE: Final[Seconds] = 1.88


class Readers:
    """The daemons that read the store, of those that a daemon knows.

    All that know the same daemons agree on them.
    """

    def __init__(
        self, own_id: str, peers: Callable[[], Mapping[str, str]]
    ) -> None:
        """Choose among `peers` and this daemon."""
        self._own_id = own_id
        self._peers = peers

    def are_few(self) -> bool:
        """Return whether the fleet has daemons that don't read the store."""
        return len({self._own_id, *self._peers()}) > MAX_READERS

    def is_spared(self, tables_age: Seconds) -> bool:
        """Return whether others keep the tables of this daemon new."""
        return tables_age < READ_AGE and self._own_id not in self._ids(
            tables_age
        )

    def addresses(self, tables_age: Seconds) -> list[str]:
        """Return the addresses of the daemons that read the store."""
        address_by_id = self._peers()
        names = self._ids(tables_age) - {self._own_id}
        return sorted(address_by_id[name] for name in names)

    def _ids(self, tables_age: Seconds) -> frozenset[str]:
        count = MAX_READERS
        if tables_age > MORE_READERS_AGE:
            count = MORE_READERS
        known = {self._own_id, *self._peers()}
        return frozenset(sorted(known, key=_rank)[:count])


def _rank(instance_id: str) -> tuple[int, str]:
    return zlib.crc32(instance_id.encode()), instance_id
