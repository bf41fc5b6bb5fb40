"""Until when grants of earlier leaders may be in force."""

from cassialever.clock import SystemClock
from cassialever.fleet.lease import Lease
from cassialever.keys.assignments import MAX_GRANT_DURATION
from cassialever.types import Seconds


class EarlierGrants:
    """The grants of the leaders before a term, by its daemon's clock."""

    def __init__(
        self, lease: Lease, sent_at: Seconds, clock: SystemClock
    ) -> None:
        """Take what the lease says that the takeover sent at a time wrote."""
        self._clock = clock
        offset = sent_at - lease.renewed_at + MAX_GRANT_DURATION
        self._until_by_id = {
            name: until + offset
            for name, until in lease.authority_until_by_id.items()
        }
        #: The same for leaders that had ended by the takeover.
        self._ended_until = sent_at + MAX_GRANT_DURATION
        #: The same for those that had ended when a doubt of the owners began:
        #: terms in doubt grant nothing.
        self._doubted_until = self._ended_until
        if lease.are_owners_in_doubt and lease.is_doubt_dated:
            self._doubted_until = min(
                self._ended_until, lease.doubted_at + offset
            )
        self._unnamed_until = lease.unnamed_until + offset

    def have_expired(self) -> bool:
        """Return whether all of them have expired."""
        now = self._clock.boot()
        return all(now >= end for end in self._until_by_id.values())

    def unnamed_have_expired(self) -> bool:
        """Return whether those have whose calls named no target.

        Whichever process has an owner's address takes them, so that neither the
        end of the owner nor its answers end them.
        """
        until = min(self._unnamed_until, self._latest_end())
        return self._clock.boot() >= until

    def all_have_expired(self) -> bool:
        """Return whether all have, also those of leaders that had ended."""
        return self._clock.boot() >= self._latest_end()

    def doubted_have_expired(self) -> bool:
        """Return whether all have that may be in force in a doubt."""
        ends = (self._doubted_until, *self._until_by_id.values())
        return self._clock.boot() >= max(ends)

    def note_follower(self, instance_id: str) -> bool:
        """Shorten the wait for an earlier leader that is now a follower.

        Return whether it is one. A follower renews no grants, so its last ones
        expire within MAX_GRANT_DURATION.
        """
        known_end = self._until_by_id.get(instance_id)
        if known_end is None:
            return False
        new_end = self._clock.boot() + MAX_GRANT_DURATION
        self._until_by_id[instance_id] = min(known_end, new_end)
        return True

    def _latest_end(self) -> Seconds:
        return max((self._ended_until, *self._until_by_id.values()))
