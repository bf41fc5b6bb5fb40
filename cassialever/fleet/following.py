"""Keep the view up to date from the platform's store."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.settled_versions import Versions
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.platform.store import LONG_POLL_WAIT, StoreClient
from cassialever.types import RowVersion, Seconds

#: Time from the beginning of the first failed call to the next one, with up to
#: as much jitter; it doubles up to the maximum. Silent calls count, so that a
#: store that answers again is called in time. Also the least pause.
INITIAL_RETRY_DELAY: Final[Seconds] = 0.1
MAX_RETRY_DELAY: Final[Seconds] = 0.7
#: The same for a failed call for changes once the table could be read whole.
WHOLE_READ_DELAY: Final[Seconds] = 0.5
#: Delay after a change, so that changes which come together are read in one
#: call: targets that start together register within it.
BATCH_DELAY: Final[Seconds] = 0.05


class _Calls:
    """The calls for one table: which one is next, and the delay before it.

    The store may fail calls that wait for changes and answer others: after one
    without an answer, which takes long, or the second one that is refused in a
    row, every other call reads the table whole.
    """

    def __init__(self, needs_snapshot: bool) -> None:
        self._needs_snapshot = needs_snapshot
        self.is_whole = needs_snapshot
        self.delay = INITIAL_RETRY_DELAY

    def succeed(self) -> bool:
        """Note a success; return whether the table can be followed."""
        is_followed = self._needs_snapshot or not self.is_whole
        self.delay = INITIAL_RETRY_DELAY if is_followed else WHOLE_READ_DELAY
        self._needs_snapshot = False
        self.is_whole = False
        return is_followed

    def fail(self, kind: ErrorKind, *, is_repeated: bool) -> bool:
        """Note a failure, after another one if it is repeated.

        Return whether the table is to be read whole at once.
        """
        was_whole = self.is_whole
        if kind is ErrorKind.table_conflict:
            if not self._needs_snapshot:
                self.delay = INITIAL_RETRY_DELAY
            self._needs_snapshot = True
            self.is_whole = True
            return not was_whole
        is_due = is_repeated or kind is ErrorKind.table_answer_lost
        self.is_whole = self._needs_snapshot or (is_due and not was_whole)
        return False


class StoreFollower:
    """Updates the view with the changes in the store's tables."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        random_source: RandomSource,
        tables: tuple[str, ...],
        batch_delay: Seconds = BATCH_DELAY,
        *,
        losses: Callable[[], int] | None = None,
    ) -> None:
        """Start with no table followed.

        `batch_delay` is the pause after an answer with changes. Tables that are
        known are read again whenever the number of `losses` of the store has
        risen, by default of those that the view has found.
        """
        self._tables = tables
        lost_writes = view.rows.lost_writes
        self._losses = losses or (lambda: lost_writes.count)
        #: How many there were before each table was read whole.
        self._losses_by_table = dict.fromkeys(
            tables, 0 if losses else lost_writes.count
        )
        #: Up to which version the store has told each table. Others may know
        #: later ones, which it has lost and gives to other rows.
        self._told_by_table: dict[str, RowVersion] = {}
        #: Those by which requests are routed. Only leaders write the own table.
        self._routing_tables = tuple(
            table for table in tables if table in view.tables_of_other_writers
        )
        self._batch_delay = batch_delay
        self._store = store
        self._view = view
        self._random = random_source
        #: Tables whose last call failed.
        self.failing_tables: set[str] = set()
        #: Ages count the time in which the machine is suspended.
        self._clock = view.targets.clock
        #: When each table was last known to be complete.
        self._complete_at_by_table: dict[str, Seconds] = {}
        #: How long the last answer without a change was under way.
        self._answer_time_by_table: dict[str, Seconds] = {}

    def age(self) -> Seconds:
        """Return the time since all routing tables were complete.

        A leader's tables are of the same age without the own one.
        """
        return max(self._age_of(table) for table in self._routing_tables)

    async def run(self) -> None:
        """Follow every table until cancelled."""
        async with asyncio.TaskGroup() as group:
            for table in self._tables:
                group.create_task(self._follow(table))

    async def _follow(self, table: str) -> None:
        calls = _Calls(table not in self._view.rows.version_by_table)
        while True:
            began_at = self._clock.boot()
            failure = await self._update_once(table, calls.is_whole)
            if failure is None:
                if calls.succeed():
                    self._note_success(table)
                continue
            # The store may lose writes before the next call.
            self._told_by_table.pop(table, None)
            is_repeated = table in self.failing_tables
            if calls.fail(failure.kind, is_repeated=is_repeated):
                record(Event.history_lost, table=table, reason=failure.reason)
                continue
            self._note_failure(table, failure)
            await asyncio.sleep(self._pause(calls.delay, began_at))
            calls.delay = min(calls.delay * 2, MAX_RETRY_DELAY)

    async def _update_once(
        self, table: str, needs_snapshot: bool
    ) -> Failure | None:
        called_at = self._clock.boot()
        known = self._view.rows.version_by_table.get(table)
        # It is forgotten when changes of a key map do not apply.
        if needs_snapshot or known is None or self._may_lack_rows(table):
            return await self._read_whole(table, called_at)
        after = self._position(table, known)
        wait = self._longest_wait(table)
        changed = await self._store.wait_for_changes(table, after, wait)
        if isinstance(changed, Failure):
            return changed
        if changed.version < known:
            return Failure(
                ErrorKind.table_conflict,
                f'the store has no version {known}, but {changed.version}',
            )
        versions = Versions(known, changed.version)
        if self._view.rows.shows_loss(table, changed.rows, versions):
            return Failure(
                ErrorKind.table_conflict,
                f'the store has other rows up to version {known}',
            )
        self._view.rows.false_versions.note_confirmed(table)
        self._view.apply(table, changed.rows, changed.version)
        self._told_by_table[table] = changed.version
        if changed.rows:
            self._complete_at_by_table[table] = called_at
            await asyncio.sleep(self._batch_delay)
            return None
        # The store answers as soon as there is a change, so an empty answer
        # tells that there was none while it waited.
        waited = min(self._clock.boot() - called_at, wait)
        self._complete_at_by_table[table] = called_at + waited
        self._answer_time_by_table[table] = self._age_of(table)
        return None

    def _position(self, table: str, known: RowVersion) -> RowVersion:
        """Return the version after which changes are asked for."""
        settled = self._view.rows.false_versions.settled
        told = self._told_by_table.get(table)
        return (
            settled.before(table, known) if told is None else min(known, told)
        )

    def _may_lack_rows(self, table: str) -> bool:
        """Return whether rows may have got versions that were known."""
        return self._losses() != self._losses_by_table[table]

    async def _read_whole(
        self, table: str, called_at: Seconds
    ) -> Failure | None:
        losses = self._losses()
        snapshot = await self._store.read_all(table)
        if isinstance(snapshot, Failure):
            return snapshot
        if self._view.replace(
            table, snapshot.rows, snapshot.version, began_at=called_at
        ):
            self._losses_by_table[table] = losses
            self._complete_at_by_table[table] = called_at
            self._told_by_table[table] = snapshot.version
            return None
        return Failure(
            ErrorKind.table_conflict,
            f'the store returned outdated version {snapshot.version}',
        )

    def _age_of(self, table: str) -> Seconds:
        complete_at = self._complete_at_by_table.get(table, -math.inf)
        return self._clock.boot() - complete_at

    def _longest_wait(self, table: str) -> Seconds:
        """Return how long the store may hold a call for changes.

        The answer is here before the table is older than LONG_POLL_WAIT, if it
        takes as long as the last one. A table that is older is asked for at
        once: one that was just adopted, or one whose last call was held for
        long until there was a change. So is one whose last call failed.
        """
        if table in self.failing_tables:
            return 0
        answer_time = self._answer_time_by_table.get(table, 0)
        return max(0, LONG_POLL_WAIT - self._age_of(table) - answer_time)

    def _pause(self, delay: Seconds, began_at: Seconds) -> Seconds:
        """Return how long to wait after a failed call.

        Jitter keeps daemons from retrying in step.
        """
        stretch = 1 + self._random.random()
        left = began_at + delay * stretch - self._clock.boot()
        return max(left, INITIAL_RETRY_DELAY * stretch)

    def _note_failure(self, table: str, failure: Failure) -> None:
        if table not in self.failing_tables:
            record(Event.table_unavailable, table=table, reason=failure.reason)
        self.failing_tables.add(table)

    def _note_success(self, table: str) -> None:
        if table in self.failing_tables:
            self.failing_tables.discard(table)
            record(Event.table_answers_again, table=table)
