"""Follow the platform's store directly."""

import asyncio
from typing import Final

from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.platform.store import StoreClient
from cassialever.types import Seconds

#: Pauses between failed calls: the first, and the longest.
INITIAL_RETRY_DELAY: Final[Seconds] = 0.1
MAX_RETRY_DELAY: Final[Seconds] = 0.8
#: Pause after rows that changed, so that those which change together come in
#: one call: targets that start together tell of themselves within it.
BATCH_DELAY: Final[Seconds] = 0.05


class StoreFollower:
    """Keep the view up to date from the store itself."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        random_source: RandomSource,
        tables: tuple[str, ...],
    ) -> None:
        """Take the store, the view that it feeds and the tables followed."""
        self._tables = tables
        self._store = store
        self._view = view
        self._random = random_source
        #: Tables whose last call failed.
        self.failing_tables: set[str] = set()

    async def run(self) -> None:
        """Follow every table until cancelled."""
        async with asyncio.TaskGroup() as group:
            for table in self._tables:
                group.create_task(self._follow(table))

    async def _follow(self, table: str) -> None:
        delay = INITIAL_RETRY_DELAY
        must_read = table not in self._view.rows.version_by_table
        while True:
            failure = await self._step(table, must_read)
            if failure is None:
                delay = INITIAL_RETRY_DELAY
                must_read = False
                self._note_success(table)
                continue
            if failure.kind is ErrorKind.table_conflict:
                must_read = True
                record(Event.history_lost, table=table, reason=failure.reason)
                continue
            self._note_failure(table, failure)
            # Spread, so that daemons do not call again together.
            await asyncio.sleep(delay * (1 + self._random.random()))
            delay = min(delay * 2, MAX_RETRY_DELAY)

    async def _step(self, table: str, must_read: bool) -> Failure | None:
        if must_read:
            snapshot = await self._store.read_all(table)
            if isinstance(snapshot, Failure):
                return snapshot
            if self._view.replace(table, snapshot.rows, snapshot.version):
                return None
            return Failure(
                ErrorKind.table_unavailable,
                f'the store read version {snapshot.version}, which is old',
            )
        after = self._view.rows.version_by_table[table]
        changed = await self._store.follow(table, after)
        if isinstance(changed, Failure):
            return changed
        self._view.apply(table, changed.rows, changed.version)
        if changed.rows:
            await asyncio.sleep(BATCH_DELAY)
        return None

    def _note_failure(self, table: str, failure: Failure) -> None:
        if table not in self.failing_tables:
            record(Event.table_unavailable, table=table, reason=failure.reason)
        self.failing_tables.add(table)

    def _note_success(self, table: str) -> None:
        if table in self.failing_tables:
            self.failing_tables.discard(table)
            record(Event.table_answers_again, table=table)
