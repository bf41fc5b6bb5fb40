"""The client of the platform's table: paced, batched, and sure of outcomes.

Decisions are in `pacing` and `resolution`; here are the waits, the wire and
the marks of the rows last seen.
"""

import asyncio
from collections.abc import Coroutine, Mapping, Sequence
from typing import Any, Final

from cassialever.clock import SystemClock, seeded_random
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.interfaces import (
    Clock,
    Committed,
    RandomSource,
    Row,
    Transaction,
)
from cassialever.pacing import Backoff, Budget
from cassialever.resolution import Resolution, SendAnswer, Step
from cassialever.rowmarks import MarkedRows, Marks, unwrap
from cassialever.settings import PlatformSettings
from cassialever.tablewire import (
    COMMIT_PATH,
    READ_PATH,
    SCAN_PATH,
    CommitReply,
    ReadOrder,
    RowsReply,
    ScanOrder,
    TableWire,
)
from cassialever.types import ChangeId, RowName, Seconds

#: The longest sleep while the table is down, so that its return is noticed.
_LONGEST_SLEEP: Final[Seconds] = 0.1


class Pace:
    """Hold a daemon to its budget, and off a table that is down."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        source: RandomSource,
    ) -> None:
        """Start with the table up."""
        self.clock = clock
        self._longest = settings.timeout_seconds
        self.reads = Budget(settings.reads_per_second)
        self.writes = Budget(settings.writes_per_second)
        self._backoff = Backoff(
            settings.shortest_backoff_seconds,
            settings.longest_backoff_seconds,
            source,
        )
        self._is_down = False

    async def enter(self, budget: Budget) -> Failure | None:
        """Wait for a turn; fail at once while the table is down."""
        now = self.clock.monotonic()
        down_for = self._backoff.wait(now)
        if down_for:
            return Failure(
                ErrorKind.table_unavailable,
                'the table did not answer a short while ago',
                retry_after=down_for,
            )
        turn = budget.reserve(now, self._longest)
        if turn is None:
            return Failure(
                ErrorKind.table_unavailable,
                'the budget of table operations is used up',
                retry_after=self._longest,
            )
        self._backoff.tried(now)
        if turn:
            await asyncio.sleep(turn)
        return None

    async def enter_by(self, budget: Budget, limit: Seconds) -> bool:
        """Wait for a turn until a monotonic limit; return whether it came."""
        while self.clock.monotonic() < limit:
            refusal = await self.enter(budget)
            if refusal is None:
                return True
            await asyncio.sleep(min(refusal.retry_after, _LONGEST_SLEEP))
        return False

    def leave(self, *, answered: bool) -> None:
        """Note the end of an operation."""
        if answered:
            self._backoff.succeeded()
        else:
            self._backoff.failed(self.clock.monotonic())
        if answered and self._is_down:
            record(Event.table_answers_again)
        if not answered and not self._is_down:
            record(Event.table_unavailable)
        self._is_down = not answered


class HttpTable:
    """Reach the table service over HTTP."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock | None = None,
        source: RandomSource | None = None,
    ) -> None:
        """Take the settings; `start` opens the session."""
        self._settings = settings
        self._wire = TableWire(settings)
        self._pace = Pace(
            settings,
            clock or SystemClock(),
            source or seeded_random(None),
        )
        self._marks = Marks()
        self._unresolved: dict[ChangeId, None] = {}
        self._batch: _ReadBatch | None = None

    async def start(self) -> None:
        """Open the session."""
        await self._wire.start()

    async def stop(self) -> None:
        """Close the session."""
        await self._wire.stop()

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist.

        Reads asked for in one turn of the loop go to the table as one.
        """
        if self._batch is None:
            self._batch = _ReadBatch(self._read_batch())
        batch = self._batch
        batch.names.update(dict.fromkeys(names))
        rows = await asyncio.shield(batch.task)
        if isinstance(rows, Failure):
            return rows
        return {name: rows[name].row for name in names if name in rows}

    async def scan(self, prefix: str) -> Mapping[RowName, Row] | Failure:
        """Return every row whose name starts with the prefix."""
        refusal = await self._pace.enter(self._pace.reads)
        if refusal:
            return refusal
        rows = await self._fetch(SCAN_PATH, ScanOrder(prefix))
        if isinstance(rows, Failure):
            return rows
        return {name: marked.row for name, marked in rows.items()}

    async def commit(self, transaction: Transaction) -> Committed | Failure:
        """Write a transaction, and find out what became of it.

        Takes at most `resolve_seconds` and one time limit of an operation.
        """
        refusal = await self._pace.enter(self._pace.writes)
        if refusal:
            return refusal
        change_id = transaction.change_id
        resolution = Resolution(
            transaction,
            may_be_written=change_id in self._unresolved,
        )
        self._unresolved[change_id] = None
        outcome = await self._resolve(resolution)
        if not _is_unclear(outcome):
            self._unresolved.pop(change_id)
        self._forget_oldest()
        return outcome

    async def _resolve(self, resolution: Resolution) -> Committed | Failure:
        pace = self._pace
        limit = pace.clock.monotonic() + self._settings.resolve_seconds
        order = self._marks.stamp(resolution.transaction)
        step: Step | Committed | Failure
        step = resolution.after_send(await self._send(order))
        while isinstance(step, Step):
            is_send = step is Step.send
            budget = pace.writes if is_send else pace.reads
            if step is Step.give_up or not await pace.enter_by(budget, limit):
                return resolution.lost()
            if is_send:
                step = resolution.after_send(await self._send(order))
                continue
            read_back = await self._fetch(READ_PATH, _rows_of(order))
            step = resolution.after_read(read_back)
        if isinstance(step, Committed):
            self._marks.written(order)
        return step

    async def _send(self, order: Transaction) -> SendAnswer | Failure:
        reply = await self._wire.post(COMMIT_PATH, order, CommitReply)
        self._pace.leave(answered=not isinstance(reply, Failure))
        if isinstance(reply, Failure):
            return reply
        return SendAnswer(tuple(reply.conflicts))

    async def _read_batch(self) -> MarkedRows | Failure:
        # The next turn of the loop starts once all that is ready has run.
        await asyncio.sleep(0)
        refusal = await self._pace.enter(self._pace.reads)
        batch = self._batch
        self._batch = None
        if refusal:
            return refusal
        names = tuple(batch.names) if batch else ()
        return await self._fetch(READ_PATH, ReadOrder(names))

    async def _fetch(
        self,
        path: str,
        order: ReadOrder | ScanOrder,
    ) -> MarkedRows | Failure:
        reply = await self._wire.post(path, order, RowsReply)
        self._pace.leave(answered=not isinstance(reply, Failure))
        if isinstance(reply, Failure):
            return Failure(ErrorKind.table_unavailable, reply.reason)
        try:
            rows = {row.name: unwrap(row) for row in reply.rows}
        except CodecError as error:
            return Failure(ErrorKind.table_unavailable, str(error))
        self._marks.seen(rows)
        return rows

    def _forget_oldest(self) -> None:
        if len(self._unresolved) > self._settings.unresolved_changes:
            self._unresolved.pop(next(iter(self._unresolved)))


class _ReadBatch:
    """Names to read together, and the task that reads them."""

    def __init__(
        self, coroutine: Coroutine[Any, Any, MarkedRows | Failure]
    ) -> None:
        self.names: dict[RowName, None] = {}
        self.task = asyncio.create_task(coroutine)


def _rows_of(order: Transaction) -> ReadOrder:
    names = [write.name for write in order.writes]
    return ReadOrder((*names, *order.checks))


def _is_unclear(outcome: Committed | Failure) -> bool:
    if isinstance(outcome, Committed):
        return False
    return outcome.kind is ErrorKind.table_answer_lost
