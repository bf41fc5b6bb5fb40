"""Terms of leaders that begin after the store has lost writes.

Such a leader may know neither who has led before it nor which target has which
keys, and the fences that were given are above those that it reads.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet import lease as leases
from cassialever.fleet.earlier_grants import EarlierGrants
from cassialever.fleet.lost_writes import MAX_LOST_VERSIONS, Loss
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, FleetView
from cassialever.keys.assignments import (
    MAX_FIRST_FENCE,
    MAX_GRANT_DURATION,
    first_fence,
    least_fence,
)
from cassialever.types import Fence, RowVersion, Seconds

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
        #: That of the last term of this process.
        self.last_term: TermDoubt | None = None

    def note_leader_row(self, stored_version: RowVersion) -> None:
        """Note the version that the store has of the leader's row."""
        known = self._view.rows.by_table_and_name.get((OWN_TABLE, LEADER_ROW))
        if known is not None and stored_version < known.version:
            self._lost.note(known, stored_version, self._view.leader_id)

    def lowest_fence(self) -> Fence:
        """Return the lowest fence above those that recent losses may hide."""
        losses = self._lost.recent()
        if not losses:
            return Fence(0)
        version = max(loss.version for loss in losses)
        return first_fence(RowVersion(version + MAX_LOST_VERSIONS))

    def applied_to(
        self, lease: leases.Lease, earlier: leases.Lease, store_time: Seconds
    ) -> leases.Lease:
        """Return a new lease with what follows from lost writes, if any were.

        `earlier` is the lease that it replaces; the store's clock shows at most
        `store_time` now. A term that began after a loss was found, in doubt,
        has waited for the lost leaders.
        """
        lease = msgspec.structs.replace(
            lease,
            min_fence=max(
                _next_min_fence(earlier.min_fence, lease.renewed_at),
                self.lowest_fence(),
            ),
        )
        losses = self._lost.recent()
        known_until = earlier.doubted_at + MIN_DOUBT_TIME
        new_losses = [
            loss for loss in losses if store_time - loss.age > known_until
        ]
        if new_losses:
            return self._with_doubt(lease, new_losses, store_time)
        if not earlier.are_owners_in_doubt:
            return lease
        if not earlier.is_doubt_dated:
            return msgspec.structs.replace(
                lease, doubted_at=lease.renewed_at, is_doubt_dated=True
            )
        return self._with_earlier_doubt(lease, earlier, losses, store_time)

    def _with_doubt(
        self, lease: leases.Lease, losses: list[Loss], store_time: Seconds
    ) -> leases.Lease:
        """Return a lease with a doubt that begins with its term."""
        until_by_id = dict(lease.authority_until_by_id)
        for leader_id, until in _authority_of(losses, store_time).items():
            # It may have renewed its lease since it was found to be lost.
            until_by_id[leader_id] = max(
                until, until_by_id.get(leader_id, until)
            )
        if until_by_id.pop(lease.instance_id, None) is not None:
            # Its own lost term has ended; the next leader does not wait anew.
            until_by_id[lease.instance_id] = lease.renewed_at
        return msgspec.structs.replace(
            lease,
            authority_until_by_id=until_by_id,
            are_owners_in_doubt=True,
            doubted_at=lease.renewed_at,
            is_doubt_dated=True,
        )

    def _with_earlier_doubt(
        self,
        lease: leases.Lease,
        earlier: leases.Lease,
        losses: Iterable[Loss],
        store_time: Seconds,
    ) -> leases.Lease:
        """Return a lease with the doubt of the one before.

        Its holder has granted nothing, unless the doubt has ended by a write:
        that would be lost. Lost leaders of which the holder did not know, and
        an earlier term of this daemon, are waited for from now on.
        """
        until_by_id = _authority_of(losses, store_time)
        until_by_id.update(lease.authority_until_by_id)
        until_by_id.update(earlier.authority_until_by_id)
        if earlier.instance_id not in earlier.authority_until_by_id:
            until_by_id.pop(earlier.instance_id, None)
        own_until = max(
            until_by_id.pop(lease.instance_id, leases.NO_UNNAMED),
            self._own_until(store_time),
        )
        until_by_id[lease.instance_id] = min(own_until, lease.renewed_at)
        return msgspec.structs.replace(
            lease,
            authority_until_by_id={
                leader_id: until
                for leader_id, until in until_by_id.items()
                if until + MAX_GRANT_DURATION > lease.renewed_at
            },
        )

    def _own_until(self, store_time: Seconds) -> Seconds:
        """Return until when this process may have granted keys."""
        last = self.last_term
        if last is None or last.is_open():
            return leases.NO_UNNAMED
        return store_time - self._clock.boot() + last.term_ended_at


def _next_min_fence(min_fence: Fence, store_time: Seconds) -> Fence:
    """Return a fence above those of a term that began at its lowest fence.

    Where the store's clock is above that one, the next term begins above it.
    """
    if min_fence < least_fence(RowVersion(0), store_time):
        return min_fence
    return min(
        Fence(min_fence + first_fence(RowVersion(MAX_LOST_VERSIONS))),
        MAX_FIRST_FENCE,
    )


def _no_fence() -> Fence:
    return Fence(0)


def _authority_of(
    losses: Iterable[Loss], store_time: Seconds
) -> dict[str, Seconds]:
    """Return until when lost leaders may renew grants.

    They do until they learn that they were replaced.
    """
    until = store_time + leases.AUTHORITY_TERM
    return {
        loss.leader_id: until - loss.age
        for loss in losses
        if loss.leader_id != leases.UNKNOWN_ID
    }


class TermDoubt:
    """Whether grants may be in force that no stored key map names."""

    def __init__(
        self, lease: leases.Lease, earlier_grants: EarlierGrants
    ) -> None:
        """Take what the lease of a term says."""
        self._began_in_doubt = lease.are_owners_in_doubt
        self._earlier_grants = earlier_grants
        #: Whether the doubt is in the stored lease.
        self.is_stored = True
        #: Returns the lowest fence above those of losses found meanwhile.
        self.lowest_fence: Callable[[], Fence] = _no_fence
        self._min_fence = lease.min_fence
        #: When the term has ended.
        self.term_ended_at: Seconds = math.inf
        #: How often the store was found to have lost writes of the term.
        self.loss_count = 0

    @property
    def min_fence(self) -> Fence:
        """Return the lowest fence above those which the store has lost."""
        if self._began_in_doubt:
            self._min_fence = max(self._min_fence, self.lowest_fence())
        return self._min_fence

    def is_open(self) -> bool:
        """Return whether they may be: all keys wait for them."""
        return (
            self._began_in_doubt
            and not self._earlier_grants.doubted_have_expired()
        )

    def is_unstored(self) -> bool:
        """Return whether the store has yet to be told of an open doubt."""
        return not self.is_stored and self.is_open()

    def losses(self) -> int:
        """Return how often the store has lost writes, as this term knows."""
        return self.loss_count + self._began_in_doubt
