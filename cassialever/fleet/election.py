"""Make this daemon the leader if no other daemon leads."""

import asyncio
import math
from typing import Final

from cassialever.clock import SystemClock
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet import lease as leases
from cassialever.fleet import messages
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.view import OWN_TABLE, FleetView, Leadership
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import RowVersion, Seconds

#: Longest time for which a candidate waits until the lease may be taken over.
#: The holder has then missed a renewal, and connecting to it again would take
#: as long.
MAX_LEASE_WAIT: Final[Seconds] = (
    leases.STALE_AFTER - 2 * leases.RENEWAL_INTERVAL
)
#: Added to that wait, as the lease has to be older than its limit.
LEASE_WAIT_MARGIN: Final[Seconds] = 0.01


class Election:
    """Attempts of this daemon to become the leader."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        own_hello: messages.Hello,
        clock: SystemClock,
    ) -> None:
        self._store = store
        self._view = view
        self._own_hello = own_hello
        self._clock = clock
        #: The daemon that held the lease in the last attempt; empty if none.
        self.holder_id = ''
        #: How long after the last attempt the lease may be taken over, unless
        #: its holder renews it; infinite if that attempt failed otherwise.
        self._opens_in: Seconds = math.inf

    async def run(self, patience: Seconds) -> LeaderTerm | None:
        """Attempt to lead, and once more if the lease is stale soon."""
        leader_term = await self.attempt(patience)
        if leader_term is not None or self._opens_in > MAX_LEASE_WAIT:
            return leader_term
        await asyncio.sleep(self._opens_in + LEASE_WAIT_MARGIN)
        return await self.attempt(patience)

    async def attempt(self, patience: Seconds) -> LeaderTerm | None:
        """Take over the lease; return the new term, or None on failure.

        A lease that was not resigned is left to others for `patience` after it
        became stale.
        """
        self.holder_id = ''
        self._opens_in = math.inf
        lease_table = await self._store.read(leases.LEASE_TABLE)
        if isinstance(lease_table, Failure):
            return None
        lease, lease_version = leases.find_lease(lease_table.rows)
        if not self._may_take_over(lease, lease_table.store_time - patience):
            self.holder_id = lease.instance_id if lease else ''
            stale_at = lease.renewed_at + leases.STALE_AFTER if lease else 0
            self._opens_in = stale_at + patience - lease_table.store_time
            return None
        new_lease = leases.Lease(
            self._own_hello.instance_id,
            self._own_hello.incarnation,
            lease_table.store_time,
            authority_until_by_id=leases.earlier_leaders(
                lease,
                lease_version,
                self._own_hello.instance_id,
                lease_table.store_time,
            ),
            suspected_moves=lease.suspected_moves if lease else (),
        )
        sent_at = self._clock.boot()
        committed = await self._store.commit(
            leases.takeover_transaction(
                self._leadership(),
                new_lease,
                self._leader_version(),
                lease_version,
            ),
        )
        if not isinstance(committed, rows.Committed):
            return None
        if not await self._reload_own_table(committed.version):
            return None
        record(
            Event.leader_taken,
            version=committed.version,
            earlier=new_lease.authority_until_by_id,
            store_time=lease_table.store_time,
        )
        return LeaderTerm(
            self._store,
            new_lease,
            committed,
            sent_at,
            self._clock,
        )

    async def _reload_own_table(self, version: RowVersion) -> bool:
        """Read again what earlier leaders wrote until the takeover."""
        own_table = await self._store.read_all(OWN_TABLE)
        if isinstance(own_table, Failure) or own_table.version < version:
            return False
        return self._view.replace(OWN_TABLE, own_table.rows, own_table.version)

    def _may_take_over(
        self,
        lease: leases.Lease | None,
        store_time: Seconds,
    ) -> bool:
        # A lease of this instance belongs to an earlier process, which ended.
        return self._is_own(lease) or leases.may_take_over(lease, store_time)

    def _is_own(self, lease: leases.Lease | None) -> bool:
        return lease is not None and (
            lease.instance_id == self._own_hello.instance_id
        )

    def _leader_version(self) -> RowVersion:
        return self._view.leader[1] if self._view.leader else RowVersion(0)

    def _leadership(self) -> Leadership:
        return Leadership(
            self._own_hello.instance_id,
            self._own_hello.address,
            self._own_hello.incarnation,
        )
