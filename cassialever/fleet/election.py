"""Make this daemon the leader if no other daemon leads."""

import asyncio
import collections
import math
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet import lease as leases
from cassialever.fleet import messages
from cassialever.fleet.attempts import Attempt, AttemptLog, Hindrance
from cassialever.fleet.deference import Deference
from cassialever.fleet.leading import LeaderTerm, TakeoverTimes
from cassialever.fleet.lease_writes import commit_lease
from cassialever.fleet.model import StoreRow
from cassialever.fleet.owner_doubts import OwnerDoubts
from cassialever.fleet.suspected_moves import SuspectedMoves
from cassialever.fleet.view import (
    KEY_MAP_PREFIX,
    OWN_TABLE,
    FleetView,
    Leadership,
)
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
#: How long a daemon leaves the lapsed lease of its earlier process to others
#: that it has heard nothing from: the longest delay of a candidate and its
#: takeover. They know what the store may have lost.
UNTOLD_PATIENCE: Final[Seconds] = 0.6
#: Takeovers whose outcome is remembered as unknown. Each expects the lease that
#: was read before, so that few of them can still be performed.
MAX_UNCONFIRMED: Final = 8
#: Used in place of a lease that does not exist or can't be read: no doubt.
_NO_LEASE: Final = leases.Lease(leases.UNKNOWN_ID, 0, 0)


class _LeaseRead(msgspec.Struct, frozen=True):
    """The lease as it was read, and the clocks of both ends."""

    lease: leases.Lease | None
    version: RowVersion
    store_time: Seconds
    sent_at: Seconds
    unchanged_for: Seconds


class _Sightings:
    """Since when the lease's row has had its version, by this daemon's clock.

    A lease that isn't renewed becomes stale by it, too: its renewal time may
    be ahead of the store's clock.
    """

    def __init__(self) -> None:
        self._version: RowVersion | None = None
        self._first_seen_at: Seconds = 0

    def note(
        self, version: RowVersion, sent_at: Seconds, received_at: Seconds
    ) -> Seconds:
        """Note a read; return for how long its version is known to stand."""
        if version != self._version:
            self._version = version
            self._first_seen_at = received_at
        return max(0, sent_at - self._first_seen_at)


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
        self.opens_in: Seconds = math.inf
        #: Whether that holder has missed a renewal.
        self.is_overdue = False
        #: Why the last attempt failed; `None` if it did not.
        self.failed: Attempt | None = None
        self.log = AttemptLog()
        self._sightings = _Sightings()
        #: Leaders' writes that the store has lost.
        self.doubts = OwnerDoubts(view, clock)
        #: Leases that this process may have written without leading by them.
        self._unconfirmed: collections.deque[leases.Lease] = collections.deque(
            maxlen=MAX_UNCONFIRMED
        )
        #: What this daemon's failures to lead have others do before it.
        self.deference = Deference()
        #: Returns whether others have told this process what they know.
        self.is_told: Callable[[], bool] = _is_never_told
        #: Asks others for that, unless they have told it.
        self.ask_others: Callable[[], Awaitable[None]] = _ask_none

    async def run(self, patience: Seconds) -> LeaderTerm | None:
        """Attempt to lead, and once more if the lease is stale soon."""
        leader_term = await self.attempt(patience)
        if leader_term is not None or self.opens_in > MAX_LEASE_WAIT:
            return leader_term
        await asyncio.gather(
            asyncio.sleep(max(self.opens_in, 0) + LEASE_WAIT_MARGIN),
            self.ask_others(),
        )
        return await self.attempt(patience)

    def begin_pass(self) -> None:
        """Forget the outcome of an earlier attempt."""
        self.holder_id = ''
        self.opens_in = math.inf
        self.is_overdue = False
        self.failed = None

    def note_leader(self) -> None:
        """Begin a new series of attempts, since there was a leader."""
        self.log.clear()

    def note_failure(self, hindrance: Hindrance, details: str = '') -> None:
        """Log why this daemon does not lead."""
        self.failed = Attempt(hindrance, details)
        self.log.note(self.failed, self._clock.monotonic())

    async def attempt(self, patience: Seconds) -> LeaderTerm | None:
        """Take over the lease; return the new term, or None on failure.

        A lease that was not resigned is left to others for `patience` after it
        became stale.
        """
        self.begin_pass()
        read = await self._read_lease()
        if isinstance(read, Failure):
            self.note_failure(Hindrance.lease_unread, read.reason)
            return None
        is_left_over = _is_of_process(read.lease, self._own_hello)
        if is_left_over or read.lease in self._unconfirmed:
            await self._give_up(read.lease, read.version, read.store_time)
            self.note_failure(Hindrance.given_up, f'version={read.version}')
            return None
        opens_in = self._opens_in(read, patience)
        if opens_in >= 0:
            self._note_held(read, opens_in)
            return None
        leader_term = await self._take_over(read)
        if leader_term is not None:
            self.doubts.last_term = leader_term.doubt
            leader_term.doubt.lowest_fence = self.doubts.lowest_fence
        return leader_term

    async def _read_lease(self) -> _LeaseRead | Failure:
        sent_at = self._clock.boot()
        table = await self._store.read(leases.LEASE_TABLE)
        if isinstance(table, Failure):
            return table
        lease, version = leases.find_lease(table.rows)
        return _LeaseRead(
            lease,
            version,
            table.store_time,
            sent_at,
            self._sightings.note(version, sent_at, self._clock.boot()),
        )

    def _opens_in(self, read: _LeaseRead, patience: Seconds) -> Seconds:
        """Return when this daemon may take over the lease.

        That of its earlier process is open once others have told what they
        know: the store may have lost what that one wrote. Until then it is
        left to them.
        """
        lease = read.lease
        if lease is None:
            return -leases.STALE_AFTER
        if _is_of_earlier_process(lease, self._own_hello):
            if self.is_told():
                return -leases.STALE_AFTER
            patience = max(patience, UNTOLD_PATIENCE)
        left_to_others = self.deference.delay(has_lapsed=not lease.is_resigned)
        if not lease.is_resigned:
            left_to_others += patience
        opens_in = leases.opens_in(lease, read.store_time, read.unchanged_for)
        if lease.is_resigned and not left_to_others:
            return -leases.STALE_AFTER
        return opens_in + left_to_others

    def _note_held(self, read: _LeaseRead, opens_in: Seconds) -> None:
        holder_id = read.lease.instance_id if read.lease else ''
        if holder_id != self._own_hello.instance_id:
            self.holder_id = holder_id
        self.opens_in = opens_in
        age = leases.STALE_AFTER - leases.opens_in(
            read.lease, read.store_time, read.unchanged_for
        )
        self.is_overdue = age > leases.RENEWAL_INTERVAL
        self.note_failure(
            Hindrance.lease_held,
            f'holder={holder_id} version={read.version} '
            f'opens_in={opens_in:.2f} unanswered={self.deference.unanswered} '
            f'unread={self.deference.unread} '
            f'short_terms={self.deference.short_terms}',
        )

    async def _take_over(self, read: _LeaseRead) -> LeaderTerm | None:
        sent_at = self._clock.boot()
        new_lease, committed = await self._commit(read)
        if isinstance(committed, rows.Conflict):
            self.holder_id = _winner(committed, self._own_hello.instance_id)
            self.note_failure(
                Hindrance.conflict, _describe(committed, read.version)
            )
            return None
        if _is_open_to_own(read, self._own_hello) and _is_read_back(committed):
            committed = Failure(ErrorKind.table_answer_lost, 'read back')
        if isinstance(committed, Failure):
            self._unconfirmed.append(new_lease)
            await self._resolve(committed)
            return None
        self.deference.unanswered = 0
        term = await self._reload_own_table(committed)
        if isinstance(term, Attempt):
            self.deference.unread += term.hindrance is Hindrance.tables_unread
            self._unconfirmed.append(new_lease)
            await self._withdraw()
            self.note_failure(term.hindrance, term.details)
            return None
        self.deference.unread = 0
        # None of them can be performed after this takeover.
        self._unconfirmed.clear()
        stored_lease = new_lease
        # Lost writes may have been found since it was written.
        new_lease = self._new_lease(read)
        record(
            Event.leader_taken,
            version=term,
            earlier=new_lease.authority_until_by_id,
            store_time=read.store_time,
            holder=read.lease.instance_id if read.lease else '',
            lease=leases.state_of(
                read.lease, self._own_hello.instance_id
            ).value,
        )
        if new_lease.are_owners_in_doubt:
            record(
                Event.owners_in_doubt,
                term=term,
                earlier=new_lease.authority_until_by_id,
                min_fence=new_lease.min_fence,
            )
        leader_term = LeaderTerm(
            self._store,
            new_lease,
            rows.Committed(term, committed.store_time),
            TakeoverTimes(read.sent_at, sent_at),
            self._clock,
        )
        leader_term.doubt.is_stored = stored_lease.are_owners_in_doubt
        return leader_term

    def _new_lease(self, read: _LeaseRead) -> leases.Lease:
        lease = read.lease or _NO_LEASE
        moves = SuspectedMoves(lease.suspected_moves, lambda: read.store_time)
        known = (
            read.lease,
            read.version,
            self._own_hello.instance_id,
            read.store_time,
        )
        new_lease = leases.Lease(
            self._own_hello.instance_id,
            self._own_hello.incarnation,
            read.store_time,
            authority_until_by_id=leases.earlier_leaders(*known),
            suspected_moves=moves.recent(),
            unnamed_until=leases.unnamed_until(*known),
            mapped_services=leases.mapped_services(read.lease, read.version),
            are_owners_in_doubt=lease.are_owners_in_doubt,
            min_fence=lease.min_fence,
            doubted_at=lease.doubted_at,
            is_doubt_dated=lease.is_doubt_dated,
        )
        # The latest time that the store's clock may show now.
        store_time = read.store_time + self._clock.boot() - read.sent_at
        return self.doubts.applied_to(new_lease, lease, store_time)

    async def _commit(
        self, read: _LeaseRead
    ) -> tuple[leases.Lease, rows.Committed | rows.Conflict | Failure]:
        """Write a new lease and the leader's row; return the lease, too.

        The known version of the latter may be wrong, if it can't be read. The
        lease that is expected to stand keeps takeovers apart by itself.
        """
        lease = self._new_lease(read)
        leader_version = self._view.leader[1] if self._view.leader else 0
        leadership = _leadership_of(self._own_hello)
        transaction = leases.takeover_transaction(
            leadership, lease, RowVersion(leader_version), read.version
        )
        answer = await commit_lease(self._store, transaction, lease)
        if not isinstance(answer, rows.Conflict):
            return lease, answer
        stored_version = leases.leader_version(answer.rows)
        is_lease_unchanged = leases.find_lease(answer.rows)[1] == read.version
        if not is_lease_unchanged or stored_version == leader_version:
            return lease, answer
        self.doubts.note_leader_row(stored_version)
        # The next leader inherits a doubt from the lease as it is stored.
        lease = self._new_lease(read)
        transaction = leases.takeover_transaction(
            leadership, lease, stored_version, read.version
        )
        return lease, await commit_lease(self._store, transaction, lease)

    async def _resolve(self, failure: Failure) -> None:
        """Give up a takeover that was performed and not answered.

        Others would leave its lease in force. A refused one was not performed.
        """
        if failure.kind is not ErrorKind.table_answer_lost:
            self.note_failure(Hindrance.refused, failure.reason)
            return
        self.deference.unanswered += 1
        self.note_failure(Hindrance.unanswered, failure.reason)
        await self._withdraw()

    async def _withdraw(self) -> None:
        """Release the lease if it is one that this daemon does not lead by.

        It is read again: the version in the answer to a takeover may be that
        of another daemon's, which would lose its lease.
        """
        read = await self._read_lease()
        if isinstance(read, _LeaseRead) and read.lease in self._unconfirmed:
            await self._give_up(read.lease, read.version, read.store_time)

    async def _give_up(
        self,
        lease: leases.Lease | None,
        version: RowVersion,
        store_time: Seconds,
    ) -> None:
        """Release a lease under which this daemon has granted no keys."""
        if lease is None:
            return
        released = await self._store.commit(
            leases.release_transaction(lease, version, store_time)
        )
        if isinstance(released, rows.Committed):
            self.deference.unanswered = 0

    async def _reload_own_table(
        self, committed: rows.Committed
    ) -> RowVersion | Attempt:
        """Read again what earlier leaders wrote until the takeover.

        Return the version of the leader's row, which numbers the term. That in
        the answer to the takeover may be another writer's.
        """
        began_at = self._clock.boot()
        own_table = await self._store.read_all(OWN_TABLE)
        if isinstance(own_table, Failure):
            return Attempt(Hindrance.tables_unread, own_table.reason)
        leadership, term = leases.find_leadership(own_table.rows)
        if leadership != _leadership_of(self._own_hello):
            # Another daemon has taken over since.
            leader_id = leadership.instance_id if leadership else ''
            if leader_id != self._own_hello.instance_id:
                self.holder_id = leader_id
            return Attempt(
                Hindrance.conflict, f'leader={leader_id} version={term}'
            )
        known = self._view.rows.version_by_table.get(OWN_TABLE, RowVersion(0))
        is_newest = term >= committed.lower_bound
        if is_newest and self._view.replace(
            OWN_TABLE, own_table.rows, own_table.version, began_at=began_at
        ):
            # Nothing is granted by a map that the store does not hold.
            differing = differing_key_maps(self._view, own_table.rows)
            if not differing:
                return term
            known = max(row.version for row in differing)
        return Attempt(
            Hindrance.tables_unread,
            f'read={own_table.version} leader={term} '
            f'committed={committed.version} known={known}',
        )


def _is_never_told() -> bool:
    """Return false; the default until a source is set."""
    return False


async def _ask_none() -> None:
    """Ask no daemon; the default until others are known."""


def differing_key_maps(
    view: FleetView, stored: tuple[StoreRow, ...]
) -> list[StoreRow]:
    """Return the rows with key maps that a view has otherwise than the store.

    Rows that the view lacks are returned, too.
    """
    known_maps = {
        row.name: row
        for row in view.rows.rows_of(OWN_TABLE)
        if row.name.startswith(KEY_MAP_PREFIX)
    }
    content_by_name = {row.name: row.content for row in known_maps.values()}
    for row in stored:
        if not row.name.startswith(KEY_MAP_PREFIX):
            continue
        if content_by_name.get(row.name) == row.content:
            known_maps.pop(row.name)
            continue
        known_maps.setdefault(row.name, row)
    return list(known_maps.values())


def _is_of_process(lease: leases.Lease | None, own: messages.Hello) -> bool:
    """Return whether this process holds the lease, which does not lead.

    The store has not taken its release after a term.
    """
    return lease is not None and (
        not lease.is_resigned
        and lease.instance_id == own.instance_id
        and lease.incarnation == own.incarnation
    )


def _is_of_earlier_process(lease: leases.Lease, own: messages.Hello) -> bool:
    """Return whether the lease is that of a process that has ended."""
    return (
        lease.instance_id == own.instance_id
        and lease.incarnation != own.incarnation
    )


def _is_open_to_own(read: _LeaseRead, own: messages.Hello) -> bool:
    """Return whether only this daemon may take over the lease now.

    It is that of its earlier process. If the takeover is not answered, the
    others are to lead.
    """
    lease = read.lease
    if lease is None or lease.is_resigned:
        return False
    opens_in = leases.opens_in(lease, read.store_time, read.unchanged_for)
    return opens_in > 0 and _is_of_earlier_process(lease, own)


def _is_read_back(
    outcome: rows.Committed | rows.Conflict | Failure,
) -> bool:
    """Return whether a write was performed and not answered."""
    return isinstance(outcome, rows.Committed) and outcome.is_read_back


def _leadership_of(hello: messages.Hello) -> Leadership:
    """Return the content of the leader's row while a daemon leads."""
    return Leadership(hello.instance_id, hello.address, hello.incarnation)


def _winner(conflict: rows.Conflict, own_id: str) -> str:
    """Return the daemon that has taken over instead; empty if none has."""
    lease, _ = leases.find_lease(conflict.rows)
    if lease is None or lease.is_resigned or lease.instance_id == own_id:
        return ''
    return lease.instance_id


def _describe(conflict: rows.Conflict, expected: RowVersion) -> str:
    """Return which versions the rows of a refused takeover have."""
    lease, version = leases.find_lease(conflict.rows)
    holder = lease.instance_id if lease else ''
    leader_version = leases.leader_version(conflict.rows)
    return (
        f'lease={version} expected={expected} holder={holder} '
        f'leader={leader_version}'
    )
