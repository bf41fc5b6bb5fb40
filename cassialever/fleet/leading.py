"""Renew the leader's lease and track how long this daemon may act on it."""

import asyncio
import contextlib
from typing import Final, NamedTuple

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet import lease as leases
from cassialever.fleet import messages
from cassialever.fleet.breakable_calls import BreakableCalls
from cassialever.fleet.earlier_grants import EarlierGrants
from cassialever.fleet.lease_writes import commit_lease, release_lease
from cassialever.fleet.mapped_services import MappedServices
from cassialever.fleet.owner_doubts import TermDoubt
from cassialever.fleet.store_clock import StoreClock
from cassialever.fleet.suspected_moves import SuspectedMoves
from cassialever.fleet.term_ends import WITHOUT_LEASE, TermEnd, TermResult
from cassialever.fleet.term_fences import TermFences
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE
from cassialever.keys.assignments import MAX_TRANSIT_TIME
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import RowVersion, Seconds

#: Minimum delay after a renewal that the store did not answer.
RETRY_DELAY: Final[Seconds] = 0.1
#: Writes in a row that were performed and not answered, after which the lease
#: is left to lapse.
MAX_UNANSWERED: Final = 2
#: For how long it is: until others may take it over, and the time that they
#: take for that.
LAPSE_TIME: Final[Seconds] = 2 * leases.STALE_AFTER
#: How long a resignation waits for answers to grants, while no daemon leads.
#: Later answers are those of targets that are down or unreachable.
GRANT_PATIENCE: Final[Seconds] = 0.2
#: Poll interval while grants are in progress at the end of a term.
GRANT_POLL_INTERVAL: Final[Seconds] = 0.01
#: Time limit for releasing the lease after a term: the end of the grants, a
#: read and a write. It is over when others may take the lease anyway.
RELEASE_TIMEOUT: Final[Seconds] = leases.STALE_AFTER


class TakeoverTimes(NamedTuple):
    """When the calls of a takeover were sent, by the daemon's clock."""

    read_at: Seconds
    sent_at: Seconds


class _LostAnswers:
    """Writes that the store has performed in a row without answering.

    Each keeps the lease while none confirms it: followers leave this leader,
    and can't replace it. After some of them the lease is left to lapse.
    """

    def __init__(self) -> None:
        self.count = 0
        self._lapses_until: Seconds = 0

    def note_performed(self, now: Seconds) -> None:
        """Count a write of which a later call tells that it was performed."""
        self.count += 1
        if self.count > MAX_UNANSWERED:
            self._lapses_until = now + LAPSE_TIME

    def lets_lapse(self, now: Seconds) -> bool:
        """Return whether the lease is not to be renewed now."""
        return now < self._lapses_until


class LeaderTerm:
    """One term of this daemon as leader."""

    def __init__(
        self,
        store: StoreClient,
        lease: leases.Lease,
        committed: rows.Committed,
        times: TakeoverTimes,
        clock: SystemClock,
    ) -> None:
        """Start the term with a lease that has just been written.

        Its renewal time is that of the answer to the call at `read_at`.
        """
        self._store = store
        self._clock = clock
        self._lease = lease
        #: The lease as the store last confirmed it. If it stands with another
        #: version than was expected, that one was a guess.
        self._confirmed_lease = lease
        #: The row version of the takeover, which numbers the term.
        self.term: RowVersion = committed.version
        self._lease_version = committed.version
        #: The lowest version that the lease can have, unless the store has lost
        #: it. So the store's own is no lower.
        self.lease_at_least = committed.lower_bound
        self._store_clock = StoreClock(lease.renewed_at, times.read_at)
        self._store_clock.note(
            committed.store_time, times.sent_at, clock.boot()
        )
        # The next leader counts this one's authority from the renewal time.
        self._confirmed_at = times.read_at
        self._lost_answers = _LostAnswers()
        #: Whether the last write was not confirmed.
        self.has_failed_write = False
        #: The keys that earlier leaders and this one moved on suspicion.
        self.suspected_moves = SuspectedMoves(
            lease.suspected_moves,
            lambda: self._store_clock.at(clock.boot()),
        )
        self.earlier_grants = EarlierGrants(lease, times.sent_at, clock)
        self.doubt = TermDoubt(lease, self.earlier_grants)
        self.fences = TermFences(
            committed.version,
            committed.store_time,
            lambda: self.doubt.min_fence,
        )
        self.mapped_services = MappedServices(
            lease.mapped_services, self.earlier_grants
        )
        #: Number of calls that grant keys and have not ended.
        self.grants_in_progress = 0
        self.grant_calls = BreakableCalls()
        self._ended = asyncio.Event()
        self._began_at = clock.boot()
        self._result: TermResult | None = None
        self._is_resigning = False
        #: Serialises writes of the lease, since each one expects the row
        #: version that the last one left.
        self._write_lock = asyncio.Lock()

    def has_authority(self, at: Seconds | None = None) -> bool:
        """Return whether this daemon may grant keys, now or at a time.

        A caller that asks more than once for one call names the time.
        """
        if self._ended.is_set() or self._is_resigning:
            return False
        now = self._clock.boot() if at is None else at
        return now < self._confirmed_at + leases.AUTHORITY_TERM

    def earlier_leaders_expired(self) -> bool:
        """Return whether all grants of earlier leaders have expired."""
        return self.earlier_grants.have_expired()

    def store_age(self) -> Seconds:
        """Return the time since the last call that the store confirmed."""
        return self._clock.boot() - self._confirmed_at

    def note_follower(self, hello: messages.Hello) -> None:
        """Shorten the wait for an earlier leader that is now a follower.

        Other followers are ignored.
        """
        if not self.earlier_grants.note_follower(hello.instance_id):
            return
        authority_until = dict(self._lease.authority_until_by_id)
        known_end = authority_until.pop(hello.instance_id, None)
        if known_end is not None and self.doubt.is_open():
            # The next leader does not wait for all earlier leaders again.
            store_time = self._store_clock.at(self._clock.boot())
            authority_until[hello.instance_id] = min(known_end, store_time)
        self._lease = msgspec.structs.replace(
            self._lease,
            authority_until_by_id=authority_until,
        )

    def depose_if_later(self, term: RowVersion) -> None:
        """End this term if another daemon leads in a later one."""
        if term > self.term:
            self.end(TermEnd.later_term, f'later={term}')

    def end(self, cause: TermEnd, details: str = '') -> TermResult:
        """End this term and return how it ended; the first cause counts."""
        self._ended.set()
        if self._result is None:
            self.doubt.term_ended_at = self._clock.boot()
            lasted = self.doubt.term_ended_at - self._began_at
            self._result = TermResult(self.term, lasted, cause, details)
        return self._result

    async def keep_lease(self) -> None:
        """Renew the lease until the term ends."""
        ended = asyncio.ensure_future(self._ended.wait())
        try:
            while not ended.done():
                pause = self._until_renewal()
                if pause <= 0 and not self._is_resigning:
                    pause = await self._renew(is_resigned=False)
                await asyncio.wait((ended,), timeout=pause)
        finally:
            ended.cancel()

    async def resign(self) -> None:
        """Release the lease so that another daemon can take over.

        No grant is under way by then: a later process of its target would take
        it after a higher fence of the next leader. Those without an answer in
        GRANT_PATIENCE are broken off.
        """
        self._is_resigning = True
        try:
            await _end_grants(self, self._clock)
            await self._renew(is_resigned=True)
        finally:
            self.end(TermEnd.resigned)

    async def release(self) -> None:
        """Release the lease of a term that has ended by itself.

        Others need not wait then until it lapses. Takes at most
        RELEASE_TIMEOUT.
        """
        if self._result is None or self._result.end in WITHOUT_LEASE:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT):
                while self.grants_in_progress:
                    await asyncio.sleep(GRANT_POLL_INTERVAL)
                # A grant that was broken off may still arrive until then.
                await asyncio.sleep(MAX_TRANSIT_TIME)
                await release_lease(self._store, self._lease)

    async def commit(
        self,
        transaction: rows.Transaction,
    ) -> rows.Committed | rows.Conflict | Failure:
        """Commit a transaction that also renews the lease.

        While writes are frequent, no separate renewals are needed. A write
        that the store applies late fails once a later one has succeeded. One
        beside a resignation leaves the lease to that, which waits for grants.
        """
        async with self._write_lock:
            return await self._commit(transaction, is_resigned=False)

    def _until_renewal(self) -> Seconds:
        if self._is_resigning:
            return leases.RENEWAL_INTERVAL
        if self.doubt.is_unstored():
            return 0
        return self._confirmed_at + leases.RENEWAL_INTERVAL - self._clock.boot()

    async def _renew(self, *, is_resigned: bool) -> Seconds:
        async with self._write_lock:
            if not is_resigned and self._until_renewal() > 0:
                # Another transaction has renewed the lease meanwhile.
                return 0
            answer = await self._commit(
                leases.EMPTY_TRANSACTION,
                is_resigned=is_resigned,
            )
        return RETRY_DELAY if isinstance(answer, Failure) else 0

    async def _commit(
        self,
        transaction: rows.Transaction,
        *,
        is_resigned: bool,
    ) -> rows.Committed | rows.Conflict | Failure:
        while True:
            sent_at = self._clock.boot()
            refusal = _refusal(
                is_ended=self._ended.is_set(),
                lapses=not is_resigned
                and self._lost_answers.lets_lapse(sent_at),
            )
            if refusal is not None:
                return refusal
            renewed = msgspec.structs.replace(
                self._lease,
                # The store's time at sending, estimated by the local clock.
                renewed_at=self._store_clock.at(sent_at),
                is_resigned=is_resigned,
                suspected_moves=self.suspected_moves.recent(),
                mapped_services=self.mapped_services.recorded(),
                are_owners_in_doubt=self.doubt.is_open(),
                min_fence=self.fences.least(),
            )
            answer = await commit_lease(
                self._store,
                leases.with_renewal(
                    _in_term(transaction, self.term),
                    renewed,
                    self._lease_version,
                ),
                renewed,
            )
            self.has_failed_write = isinstance(answer, Failure)
            if isinstance(answer, rows.Committed):
                self._confirmed_lease = renewed
                self._note_commit(answer, sent_at)
            if not isinstance(answer, rows.Conflict):
                return answer
            if not self._adopt_version(answer):
                return answer

    def _adopt_version(self, conflict: rows.Conflict) -> bool:
        """Adopt the row version of a renewal whose answer was lost or late.

        Return whether to retry the transaction, which now expects another
        version. End the term if another daemon holds the lease. Other daemons
        judge the lease by the renewal time in the row, which is that of an
        earlier renewal, so only the next renewal extends this term.
        """
        if self._ended.is_set():
            return False
        lease, version = leases.find_lease(conflict.rows)
        is_own = lease is not None and (
            lease.instance_id == self._lease.instance_id
            and lease.incarnation == self._lease.incarnation
        )
        leader_version = leases.leader_version(conflict.rows)
        if is_own and leader_version != self.term:
            self.end(
                TermEnd.leader_row_changed,
                f'expected={self.term} found={leader_version}',
            )
            return False
        if is_own:
            is_changed = version != self._lease_version
            self.doubt.loss_count += version < self.lease_at_least
            self._lease_version = version
            self.lease_at_least = version
            if is_changed and lease != self._confirmed_lease:
                self._lost_answers.note_performed(self._clock.boot())
            return is_changed
        record(
            Event.authority_lost,
            term=self.term,
            leader=lease.instance_id if lease else '',
            version=version,
        )
        holder_id = lease.instance_id if lease else ''
        self.end(TermEnd.lease_lost, f'holder={holder_id} version={version}')
        return False

    def _note_commit(self, answer: rows.Committed, sent_at: Seconds) -> None:
        self._store_clock.note(answer.store_time, sent_at, self._clock.boot())
        self._lease_version = answer.version
        self.lease_at_least = answer.lower_bound
        self._confirmed_at = sent_at
        self.fences.note_answer(answer.store_time)
        self._lost_answers.count = 0
        self.doubt.is_stored = True


async def _end_grants(leader_term: LeaderTerm, clock: SystemClock) -> None:
    """Wait until no grant is under way."""
    breaks_off_at = clock.boot() + GRANT_PATIENCE
    is_broken_off = False
    while leader_term.grants_in_progress:
        if clock.boot() >= breaks_off_at and not is_broken_off:
            leader_term.grant_calls.break_off()
            is_broken_off = True
        await asyncio.sleep(GRANT_POLL_INTERVAL)
    if is_broken_off:
        # One that was may still arrive until then.
        await asyncio.sleep(MAX_TRANSIT_TIME)


def _refusal(*, is_ended: bool, lapses: bool) -> Failure | None:
    """Return why a term may write nothing now, if it may not."""
    if is_ended:
        # The lease may be that of a later term of this process.
        return Failure(ErrorKind.table_unavailable, 'the term has ended')
    if lapses:
        return Failure(ErrorKind.table_unavailable, 'writes are not answered')
    return None


def _in_term(
    transaction: rows.Transaction, term: RowVersion
) -> rows.Transaction:
    """Return a transaction that expects no other daemon to have taken over.

    The version of the lease may be known from an answer only, and be that of
    another daemon's takeover.
    """
    leader = rows.Precondition(OWN_TABLE, LEADER_ROW, term)
    return rows.Transaction(
        (leader, *transaction.preconditions), transaction.writes
    )
