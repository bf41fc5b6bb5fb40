"""Terms of leaders that begin after the store has lost writes.

Such a leader may know neither who has led before it nor which target has which
keys, and the fences that were given are above those that it reads.
"""

from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet import lease as leases
from cassialever.fleet.earlier_grants import EarlierGrants
from cassialever.fleet.lost_writes import MAX_LOST_VERSIONS
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, FleetView
from cassialever.keys.assignments import first_fence
from cassialever.types import RowVersion, Seconds

#: A term in doubt grants nothing for longer than this, so that no loss that is
#: found by then is one of its owners. Daemons learn of a loss one by one.
MIN_DOUBT_TIME: Final[Seconds] = 2.0


class OwnerDoubts:
    """What this daemon knows of leaders' writes that the store has lost."""

    def __init__(self, view: FleetView, clock: SystemClock) -> None:
        """Go by the lost writes that a view has found."""
        self._view = view
        self._lost = view.rows.lost_writes
        self._clock = clock

    def note_leader_row(self, stored_version: RowVersion) -> None:
        """Note the version that the store has of the leader's row."""
        known = self._view.rows.by_table_and_name.get((OWN_TABLE, LEADER_ROW))
        if known is not None and stored_version < known.version:
            self._lost.note(known, stored_version, self._view.leader_id)

    def applied_to(
        self, lease: leases.Lease, store_time: Seconds, read_at: Seconds
    ) -> leases.Lease:
        """Return a new lease with what follows from lost writes, if any were.

        `store_time` was read by a call at `read_at`. The lost leaders may renew
        grants until they learn that they were replaced. A term that began after
        a loss was found, in doubt, has waited for them.
        """
        now = self._clock.boot()
        known_until = lease.doubted_at + MIN_DOUBT_TIME
        losses = [
            loss
            for loss in self._lost.recent()
            if store_time + now - loss.age - read_at > known_until
        ]
        if not losses:
            return lease
        until = store_time + leases.AUTHORITY_TERM
        lost_leaders = {
            loss.leader_id: until - loss.age
            for loss in losses
            if loss.leader_id not in {leases.UNKNOWN_ID, lease.instance_id}
        }
        version = max(loss.version for loss in losses)
        fence = first_fence(RowVersion(version + MAX_LOST_VERSIONS))
        return msgspec.structs.replace(
            lease,
            authority_until_by_id={
                **lease.authority_until_by_id,
                **lost_leaders,
            },
            are_owners_in_doubt=True,
            min_fence=max(lease.min_fence, fence),
        )


class TermDoubt:
    """Whether grants may be in force that no stored key map names."""

    def __init__(
        self, lease: leases.Lease, earlier_grants: EarlierGrants
    ) -> None:
        """Take what the lease of a term says."""
        self._began_in_doubt = lease.are_owners_in_doubt
        self._earlier_grants = earlier_grants
        #: The lowest fence that is above those which the store has lost.
        self.min_fence = lease.min_fence
        #: How often the store was found to have lost writes of the term.
        self.loss_count = 0

    def is_open(self) -> bool:
        """Return whether they may be: all keys wait for them."""
        return (
            self._began_in_doubt and not self._earlier_grants.all_have_expired()
        )

    def losses(self) -> int:
        """Return how often the store has lost writes, as this term knows."""
        return self.loss_count + self._began_in_doubt
