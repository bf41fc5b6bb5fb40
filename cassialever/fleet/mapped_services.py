"""Which services have a key map, so that a missing one was removed.

The lease carries them from one leader to the next. Each write of a key map
renews the lease, so that no map is stored before its service is named.
"""

from typing import Final

from cassialever.fleet.earlier_grants import EarlierGrants
from cassialever.types import ServiceName

#: Services that a lease names. With more of them any may have a map, and with
#: the longest names the lease's row stays below the limit of the store.
MAX_MAPPED_SERVICES: Final = 32


class MappedServices:
    """The services whose keys this leader or earlier ones may have granted."""

    def __init__(
        self,
        earlier: tuple[ServiceName, ...] | None,
        earlier_grants: EarlierGrants,
    ) -> None:
        """Start with what the lease of a term names; None if it may be any."""
        self._earlier = earlier
        self._earlier_grants = earlier_grants
        self._own: set[ServiceName] = set()

    def note(self, service: ServiceName) -> None:
        """Note a service whose key map is stored, or is to be written."""
        self._own.add(service)

    def may_be_granted(self, service: ServiceName) -> bool:
        """Return whether earlier leaders' grants of its keys may last."""
        if self._earlier_grants.all_have_expired():
            return False
        return self._earlier is None or service in self._earlier

    def recorded(self) -> tuple[ServiceName, ...] | None:
        """Return what the lease names from now on."""
        names = set(self._own)
        if not self._earlier_grants.all_have_expired():
            if self._earlier is None:
                return None
            names.update(self._earlier)
        if len(names) > MAX_MAPPED_SERVICES:
            return None
        return tuple(sorted(names))
