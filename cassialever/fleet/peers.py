"""The list of all daemons, by which they divide limits of the whole fleet."""

from typing import Final

from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.relay import (
    MAX_COMPLETE_AGE,
    RECONNECT_PERIOD,
    Relay,
)
from cassialever.types import Seconds

#: Age up to which a confirmed list is the latest one. Another leader completes
#: its list, without the daemons that it can't reach, RECONNECT_PERIOD after it
#: has taken over.
MAX_LIST_AGE: Final[Seconds] = RECONNECT_PERIOD


class SharedPeers:
    """The complete list of daemons that this daemon knows."""

    def __init__(self, relay: Relay, link: LeaderLink) -> None:
        """Take the list from the relay as the leader, else from the link."""
        self._relay = relay
        self._link = link
        self._clock = link.view.targets.clock
        #: The daemons named since the last complete list of a leader that
        #: reached the store.
        self._named: dict[str, str] = {}

    def complete_peers(self) -> dict[str, str]:
        """Return the addresses of all daemons.

        All daemons that follow the same leader have the same list, but for
        the time that a change takes to reach them. It is empty until a list
        is known that is complete.
        """
        announced = self._relay.announced.members
        if self._relay.is_leader and announced.is_complete:
            return announced.addresses_by_id
        return self._link.complete_addresses_by_id

    def askable(self, *, is_leading: bool) -> dict[str, str]:
        """Return the addresses of daemons, of which some may have ended.

        A leader without the store names ever fewer, as followers leave it.
        """
        if not is_leading:
            return {
                **self._link.confirmed_addresses_by_id,
                **self._link.addresses_by_id,
            }
        if self._relay.announced.members.is_complete:
            return self._relay.peers()
        return {**self._link.addresses_by_id, **self._relay.peers()}

    def informed(
        self, present: dict[str, str], *, is_leading: bool
    ) -> dict[str, str]:
        """Return the addresses of the daemons that reports are sent to.

        Followers leave a leader without the store: those on its present list
        are ever fewer, and others go on.
        """
        if self._is_whole(is_leading=is_leading):
            self._named = present
        else:
            self._named = {**self._named, **present}
        return self._named

    def has_current_peers(self) -> bool:
        """Return whether no daemon can have a later complete list."""
        announced, seen_at = self._relay.announced
        if self._relay.is_leader and announced.is_complete:
            age = self._clock.boot() - seen_at
            return announced.is_confirmed and age < MAX_LIST_AGE
        return self._link.list_age() < MAX_LIST_AGE

    def _is_whole(self, *, is_leading: bool) -> bool:
        """Return whether the leader's list lacks no daemon that is alive."""
        if is_leading:
            store_age = self._relay.ages().store_age
            is_complete = self._relay.announced.members.is_complete
            return is_complete and store_age < MAX_COMPLETE_AGE
        link = self._link
        is_complete = link.addresses_by_id == link.complete_addresses_by_id
        is_fresh = link.is_open and link.store_age < MAX_COMPLETE_AGE
        return is_complete and is_fresh
