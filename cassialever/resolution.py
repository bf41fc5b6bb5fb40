"""What became of a transaction: decided from answers and from rows read back.

The rule behind it: a row's version only rises, and a transaction is written
only while each of its rows has the expected version. So a row that is past
the expected version settles the matter for good, also for a sending that is
still under way, and its mark says whose change took that version. A row that
still has the expected version settles nothing, since a late sending may yet
be written; then the same transaction is sent again, of which at most one
sending can be written.
"""

import enum

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import ABSENT, Committed, RowWrite, Transaction
from cassialever.rowmarks import MarkedRow, MarkedRows
from cassialever.types import ChangeId, RowName, RowVersion


class Verdict(enum.Enum):
    """What the rows say of a transaction, the strongest word first."""

    written = 0
    overtaken = 1
    unknown = 2
    untouched = 3


class Step(enum.Enum):
    """What the client does next for a transaction."""

    send = 'send'
    read_back = 'read_back'
    give_up = 'give_up'


class SendAnswer(msgspec.Struct, frozen=True):
    """The table's answer to a sending: new versions, or rows in conflict."""

    conflicts: tuple[RowName, ...] = ()


class Resolution:
    """The state of one transaction from its first sending to its outcome."""

    def __init__(
        self,
        transaction: Transaction,
        *,
        may_be_written: bool = False,
    ) -> None:
        """Start before the first sending.

        `may_be_written` is for a transaction that was given up earlier.
        """
        self.transaction = transaction
        self._may_be_written = may_be_written
        self._conflicts: tuple[RowName, ...] = ()

    def after_send(self, answer: SendAnswer | Failure) -> Step | Committed:
        """Decide after a sending.

        A conflict is not believed at once: an earlier sending of the same
        transaction may be what moved the rows.
        """
        if isinstance(answer, SendAnswer):
            if not answer.conflicts:
                return self._committed()
            self._conflicts = answer.conflicts
            return Step.read_back
        if answer.kind is ErrorKind.table_answer_lost:
            self._may_be_written = True
            return Step.read_back
        return Step.send if self._may_be_written else Step.give_up

    def after_read(
        self,
        rows: MarkedRows | Failure,
    ) -> Step | Committed | Failure:
        """Decide after the rows were read back, or could not be."""
        if isinstance(rows, Failure):
            return Step.read_back
        verdict = judge(self.transaction, rows)
        if verdict is Verdict.written:
            return self._committed()
        if self._conflicts or verdict is Verdict.overtaken:
            return self._after_conflict(verdict)
        return self.lost() if verdict is Verdict.unknown else Step.send

    def lost(self) -> Failure:
        """Return the failure of giving up now."""
        if self._may_be_written:
            return Failure(
                ErrorKind.table_answer_lost,
                f'it is not known whether {self.transaction.change_id} was'
                ' written; the same transaction may be sent again',
            )
        if self._conflicts:
            return self._conflict()
        return Failure(
            ErrorKind.table_unavailable,
            'the table did not take the transaction',
        )

    def _after_conflict(self, verdict: Verdict) -> Failure:
        if verdict is Verdict.unknown and self._may_be_written:
            return self.lost()
        return self._conflict()

    def _conflict(self) -> Failure:
        names = ', '.join(self._conflicts) or 'a row of the transaction'
        return Failure(
            ErrorKind.table_conflict,
            f'another change came first to {names}',
        )

    def _committed(self) -> Committed:
        return Committed(
            {
                write.name: _version_after(write)
                for write in self.transaction.writes
            },
        )


def judge(transaction: Transaction, rows: MarkedRows) -> Verdict:
    """Say what rows read back tell of a transaction."""
    verdicts = [
        _judge_write(write, rows.get(write.name), transaction.change_id)
        for write in transaction.writes
    ]
    for name, expected in transaction.checks.items():
        row = rows.get(name)
        if _version(row) > expected:
            verdicts.append(Verdict.overtaken)
    return min(verdicts, key=_strength, default=Verdict.unknown)


def _judge_write(
    write: RowWrite,
    row: MarkedRow | None,
    change_id: ChangeId,
) -> Verdict:
    version = _version(row)
    if version == write.expected:
        return Verdict.untouched
    if row is None or version < write.expected or write.body is None:
        # The row was deleted, perhaps by this very transaction.
        return Verdict.unknown
    writer = row.writer(_version_after(write))
    if writer is None:
        return Verdict.unknown
    return Verdict.written if writer == change_id else Verdict.overtaken


def _version(row: MarkedRow | None) -> RowVersion:
    return ABSENT if row is None else row.row.version


def _version_after(write: RowWrite) -> RowVersion:
    return ABSENT if write.body is None else RowVersion(write.expected + 1)


def _strength(verdict: Verdict) -> int:
    return verdict.value
