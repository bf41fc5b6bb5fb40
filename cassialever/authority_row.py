"""The coordinator's row: reading it, writing it, lost answers."""

from collections.abc import Iterator

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import (
    ABSENT,
    Committed,
    RandomSource,
    RowWrite,
    Transaction,
)
from cassialever.membership import Process
from cassialever.ownership_effects import CommitRows, Effect, ReadRows
from cassialever.ownership_events import RowsRead
from cassialever.rows import (
    CoordinatorRow,
    Unresolved,
    coordinator_row,
    decode_row,
    encode_row,
)
from cassialever.settings import Settings
from cassialever.types import (
    ChangeId,
    Epoch,
    Incarnation,
    RowVersion,
    Seconds,
)

#: How long an answer of the table is waited for, in seconds.
ANSWER_WAIT = 1.0
#: The shortest time between two reads of the row, in seconds.
READ_INTERVAL = 0.2


class PendingWrite(msgspec.Struct, frozen=True):
    """A write of the row whose outcome is not known yet.

    `asked_at` is when it was first sent, `sent_at` when it was last;
    `old_ended` when the authority before it was over.
    """

    token: int
    row: CoordinatorRow
    expected: RowVersion
    asked_at: Seconds
    sent_at: Seconds
    old_ended: Seconds


class KnownRow(msgspec.Struct, frozen=True):
    """The row as last read or written, and since when it is known."""

    row: CoordinatorRow | None
    version: RowVersion
    seen_at: Seconds


class RowAccess:
    """Read and write one coordinator's row, one thing at a time."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        random: RandomSource,
        tokens: Iterator[int],
    ) -> None:
        """Know nothing of the row yet."""
        self.known: KnownRow | None = None
        self.pending: PendingWrite | None = None
        self.last_write: Seconds = 0
        self._name = coordinator_row(settings.instance.data_centre)
        self._me = settings.instance.instance_id
        self._incarnation = incarnation
        self._random = random
        self._tokens = tokens
        self._read_token = 0
        self._next_read: Seconds = 0
        self._unbroken_since: Seconds | None = None

    def read(self, now: Seconds) -> list[Effect]:
        """Read the row, unless that was done just now."""
        if now < self._next_read:
            return []
        jitter = READ_INTERVAL * self._random.random()
        self._next_read = now + READ_INTERVAL + jitter
        self._read_token = next(self._tokens)
        return [ReadRows(self._read_token, (self._name,))]

    def take_read(self, event: RowsRead, now: Seconds) -> bool:
        """Take in an answer; return whether it tells of the row."""
        if event.token != self._read_token:
            return False
        if isinstance(event.outcome, Failure):
            self._unbroken_since = None
            return False
        found = event.outcome.get(self._name)
        version = found.version if found else ABSENT
        if self.known and version < self.known.version:
            return False
        if self.known is None or self.known.version != version:
            row = decode_row(found.body, CoordinatorRow) if found else None
            self.known = KnownRow(row, version, now)
            self._unbroken_since = now
        if self._unbroken_since is None:
            self._unbroken_since = now
        return True

    def unchanged_for(self, now: Seconds) -> Seconds:
        """Return how long reads have shown the row unchanged."""
        if self._unbroken_since is None:
            return 0
        return now - self._unbroken_since

    def write_again(
        self,
        successor: Process,
        unresolved: tuple[Unresolved, ...],
        now: Seconds,
    ) -> list[Effect]:
        """Renew one's own row."""
        known = self.known
        if known is None or known.row is None:
            return []
        return self._write(
            known.row.epoch,
            successor,
            unresolved,
            0,
            now,
        )

    def write_over(
        self,
        epoch: Epoch,
        successor: Process,
        unresolved: tuple[Unresolved, ...],
        old_ended: Seconds,
        now: Seconds,
    ) -> list[Effect]:
        """Write the row of another, or the first one."""
        return self._write(epoch, successor, unresolved, old_ended, now)

    def resend(self, now: Seconds) -> list[Effect]:
        """Send a write again whose answer has not come."""
        if self.pending is None or now < self.pending.sent_at + ANSWER_WAIT:
            return []
        self.pending = msgspec.structs.replace(
            self.pending,
            token=next(self._tokens),
            sent_at=now,
        )
        return [self._commit(self.pending)]

    def committed(self, outcome: Committed, now: Seconds) -> None:
        """Know that the pending write has been done."""
        if self.pending is None:
            return
        version = outcome.version_by_name[self._name]
        self.known = KnownRow(self.pending.row, version, now)
        self._unbroken_since = now
        self.pending = None

    def failed(self, failure: Failure, now: Seconds) -> list[Effect]:
        """Forget a write that was not done; read back one that may be."""
        if failure.kind is ErrorKind.table_unavailable:
            # An earlier sending of the same write may still have been done.
            if self.pending and self.pending.sent_at == self.pending.asked_at:
                self.pending = None
            return []
        self._next_read = now
        return self.read(now)

    def settle_by_read(self) -> PendingWrite | None:
        """Return the pending write if the row has moved past what it expects.

        It is done then, or can't be done any more.
        """
        pending = self.pending
        if pending is None or self.known is None:
            return None
        if self.known.version <= pending.expected:
            return None
        self.pending = None
        return pending

    def _write(
        self,
        epoch: Epoch,
        successor: Process,
        unresolved: tuple[Unresolved, ...],
        old_ended: Seconds,
        now: Seconds,
    ) -> list[Effect]:
        token = next(self._tokens)
        row = CoordinatorRow(
            epoch=epoch,
            holder=self._me,
            holder_incarnation=self._incarnation,
            successor=successor[0],
            successor_incarnation=successor[1],
            unresolved=unresolved,
            change_id=ChangeId(f'{self._me}/{self._incarnation}/{token}'),
        )
        version = self.known.version if self.known else ABSENT
        self.pending = PendingWrite(token, row, version, now, now, old_ended)
        self.last_write = now
        return [self._commit(self.pending)]

    def _commit(self, pending: PendingWrite) -> CommitRows:
        body = encode_row(pending.row)
        write = RowWrite(self._name, pending.expected, body)
        transaction = Transaction(pending.row.change_id, (write,))
        return CommitRows(pending.token, transaction)
