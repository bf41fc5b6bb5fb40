"""Tests of cassialever.resolution and cassialever.rowmarks."""

import random
import unittest

from cassialever.errors import ErrorKind, Failure
from cassialever.exceptions import CodecError
from cassialever.interfaces import Committed, Row, RowWrite, Transaction
from cassialever.resolution import Resolution, SendAnswer, Step
from cassialever.rowmarks import MARKS_KEPT, MarkedRow, Marks, unwrap, wrap
from cassialever.types import ChangeId, RowName, RowVersion
from standins.table import TableRows

NAMES = (RowName('a'), RowName('b'))
LOST = Failure(ErrorKind.table_answer_lost, 'lost')
DOWN = Failure(ErrorKind.table_unavailable, 'down')


class Writer:
    """A client whose waits and wire are in the hands of the test."""

    def __init__(self, rows: TableRows) -> None:
        """Start without marks."""
        self.rows = rows
        self.marks = Marks()

    def read(self) -> dict[RowName, MarkedRow]:
        """Read both rows and remember their marks."""
        found = {row.name: unwrap(row) for row in self.rows.read(NAMES)}
        self.marks.seen(found)
        return found

    def change(self, change_id: str, names: tuple[RowName, ...]) -> Transaction:
        """Return a transaction that writes its id to rows as they are now."""
        self.read()
        writes = tuple(
            RowWrite(name, self.rows.version(name), change_id.encode())
            for name in names
        )
        return Transaction(ChangeId(change_id), writes)

    def write(self, change_id: str) -> None:
        """Write both rows at once."""
        order = self.marks.stamp(self.change(change_id, NAMES))
        self.rows.commit(order)
        self.marks.written(order)


class Run:
    """One change on a wire that loses, delays and overtakes."""

    def __init__(self, seed: int) -> None:
        """Set up two writers of the same two rows."""
        self.source = random.Random(seed)
        self.rows = TableRows()
        self.writer = Writer(self.rows)
        self.rival = Writer(self.rows)
        self.rival.write('first')
        self.late: list[Transaction] = []
        self.effects = 0
        self.rivals = 0

    def apply(self, order: Transaction) -> SendAnswer:
        """Carry an order out and count its effect."""
        reply = self.rows.commit(order)
        self.effects += not reply.conflicts
        return SendAnswer(tuple(reply.conflicts))

    def send(self, order: Transaction) -> SendAnswer | Failure:
        """Send an order; it may be lost, late, or its answer lost."""
        fate = self.source.random()
        if fate < 0.2:
            return DOWN
        if fate < 0.4:
            self.late.append(order)
            return LOST
        answer = self.apply(order)
        return LOST if fate < 0.7 else answer

    def disturb(self) -> None:
        """Let late orders arrive and rivals write."""
        if self.late and self.source.random() < 0.5:
            self.apply(self.late.pop())
        while self.source.random() < 0.3:
            self.rivals += 1
            self.rival.write(f'rival-{self.rivals}')

    def outcome(self, change: Transaction) -> Committed | Failure:
        """Drive a change until it is settled, twice if it is not at first."""
        known = False
        for _ in range(2):
            resolution = Resolution(change, may_be_written=known)
            settled = self._drive(resolution, self.writer.marks.stamp(change))
            if isinstance(settled, Committed):
                return settled
            if settled.kind is not ErrorKind.table_answer_lost:
                return settled
            known = True
        return settled

    def _drive(
        self,
        resolution: Resolution,
        order: Transaction,
    ) -> Committed | Failure:
        step: Step | Committed | Failure = Step.send
        for _ in range(12):
            self.disturb()
            if step is Step.give_up:
                return resolution.lost()
            if not isinstance(step, Step):
                return step
            if step is Step.send:
                step = resolution.after_send(self.send(order))
                continue
            is_down = self.source.random() < 0.2
            step = resolution.after_read(
                DOWN if is_down else self.writer.read(),
            )
        return step if not isinstance(step, Step) else resolution.lost()


class TestResolution(unittest.TestCase):
    """What the client says is what happened."""

    def test_outcomes_are_true_on_any_wire(self) -> None:
        """Written is written once; not written stays so for good."""
        seen = set()
        for seed in range(3000):
            run = Run(seed)
            names = NAMES if seed % 2 else NAMES[:1]
            change = run.writer.change('mine', names)
            run.disturb()
            outcome = run.outcome(change)
            for order in run.late:
                run.apply(order)
            self.assertLessEqual(run.effects, 1, seed)
            if isinstance(outcome, Committed):
                seen.add(None)
                self.assertEqual(1, run.effects, seed)
                continue
            seen.add(outcome.kind)
            if outcome.kind is not ErrorKind.table_answer_lost:
                self.assertEqual(0, run.effects, seed)
        self.assertEqual(
            {
                None,
                ErrorKind.table_conflict,
                ErrorKind.table_unavailable,
                ErrorKind.table_answer_lost,
            },
            seen,
        )

    def test_an_overwritten_row_still_tells_who_wrote(self) -> None:
        """Marks settle a lost answer until too many changes came after."""
        for rivals in range(MARKS_KEPT + 2):
            with self.subTest(rivals=rivals):
                run = Run(1)
                change = run.writer.change('mine', NAMES)
                resolution = Resolution(change)
                run.apply(run.writer.marks.stamp(change))
                self.assertIs(Step.read_back, resolution.after_send(LOST))
                for number in range(rivals):
                    run.rival.write(f'rival-{number}')
                settled = resolution.after_read(run.writer.read())
                if rivals < MARKS_KEPT:
                    self.assertIsInstance(settled, Committed)
                    continue
                assert isinstance(settled, Failure)
                self.assertIs(ErrorKind.table_answer_lost, settled.kind)

    def test_a_conflict_with_oneself_is_no_conflict(self) -> None:
        """A second sending that finds the first one written is a success."""
        run = Run(1)
        change = run.writer.change('mine', NAMES)
        order = run.writer.marks.stamp(change)
        run.apply(order)
        resolution = Resolution(change, may_be_written=True)
        answer = run.apply(order)
        self.assertEqual(NAMES, answer.conflicts)
        self.assertIs(Step.read_back, resolution.after_send(answer))
        settled = resolution.after_read(run.writer.read())
        self.assertEqual(Committed({'a': 2, 'b': 2}), settled)

    def test_a_moved_check_settles_a_lost_answer(self) -> None:
        """A transaction whose checked row has moved is never written."""
        run = Run(1)
        plain = run.writer.change('mine', NAMES[:1])
        change = Transaction(
            plain.change_id,
            plain.writes,
            {NAMES[1]: RowVersion(1)},
        )
        resolution = Resolution(change)
        resolution.after_send(LOST)
        run.rows.commit(run.rival.change('rival', NAMES[1:]))
        settled = resolution.after_read(run.writer.read())
        assert isinstance(settled, Failure)
        self.assertIs(ErrorKind.table_conflict, settled.kind)

    def test_a_deletion_without_an_answer_stays_unclear(self) -> None:
        """A row that is gone does not say who deleted it."""
        run = Run(1)
        write = RowWrite(NAMES[0], RowVersion(1), None)
        resolution = Resolution(Transaction(ChangeId('mine'), (write,)))
        resolution.after_send(LOST)
        run.rows.commit(resolution.transaction)
        settled = resolution.after_read(run.writer.read())
        assert isinstance(settled, Failure)
        self.assertIs(ErrorKind.table_answer_lost, settled.kind)


class TestWrapping(unittest.TestCase):
    """Bodies with marks and without."""

    def test_a_plain_body_is_taken_as_it_is(self) -> None:
        """Rows written by other tools have no marks."""
        row = Row(NAMES[0], RowVersion(3), b'{}')
        self.assertEqual(MarkedRow(row), unwrap(row))

    def test_a_broken_wrapping_is_an_error(self) -> None:
        """Half a wrapping is never taken for a body."""
        body = wrap(b'body', ())[:-1]
        with self.assertRaises(CodecError):
            unwrap(Row(NAMES[0], RowVersion(1), body))
