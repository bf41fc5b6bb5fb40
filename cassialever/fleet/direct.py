"""Follow the store directly while no leader relays its changes."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection
from typing import Final

from cassialever.events import Event, record
from cassialever.fleet.following import StoreFollower
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.platform.store import StoreClient
from cassialever.tasks import failure_of
from cassialever.types import Seconds

#: Delay after a change. All daemons may follow the store at the same time, so
#: that each reads a table that changes all the time twice a second
#: (docs/design/bounds.md).
DIRECT_BATCH_DELAY: Final[Seconds] = 0.5
#: Time between two checks whether this daemon has to read the store.
CHECK_INTERVAL: Final[Seconds] = 0.05


class DirectFollower:
    """A daemon's fallback to the store's tables while it has no leader."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        random_source: RandomSource,
    ) -> None:
        """Start without following anything."""
        self._store = store
        self._view = view
        self._random = random_source
        self._follower: StoreFollower | None = None
        self._task: asyncio.Task[None] | None = None
        self._has_begun = False
        self._begins_nothing = False
        #: Tables whose last call to the store failed.
        self._failing_tables: Collection[str] = ()
        #: How often the store was followed, by why.
        self.count_by_reason: Counter[str] = Counter()
        #: Tells whether others keep this daemon's tables new.
        self.is_spared: Callable[[], bool] = _is_never_spared

    @property
    def is_running(self) -> bool:
        """Return whether the store is being followed directly."""
        return self._task is not None

    def is_store_reachable(self) -> bool:
        """Return whether the store is followed and answers for all tables."""
        return self.is_running and not self._failing_tables

    def reaches(self, table: str) -> bool:
        """Return whether the store is followed and answers for a table."""
        return self.is_running and table not in self._failing_tables

    def age(self) -> Seconds:
        """Return the time since all tables were known to be complete."""
        return math.inf if self._follower is None else self._follower.age()

    def start(self, reason: str, delay: Seconds = 0) -> None:
        """Follow every table after a delay, in which a leader may be found.

        A daemon that is spared waits for longer.
        """
        if self._task is not None or self._begins_nothing:
            return
        follower = StoreFollower(
            self._store,
            self._view,
            self._random,
            self._view.tables,
            DIRECT_BATCH_DELAY,
        )
        self._follower = follower
        self._has_begun = False
        self._task = asyncio.create_task(
            self._run_after(follower, reason, delay)
        )
        self._task.add_done_callback(self._note_end)
        self._failing_tables = follower.failing_tables

    def stop_for_leader(self) -> None:
        """Stop because a leader now relays the store's changes."""
        for table in self._failing_tables:
            record(Event.table_answers_again, table=table, through='the leader')
        self._failing_tables = ()
        self.stop()

    def begin_nothing(self) -> None:
        """Follow the store no more, unless tables are being read already."""
        self._begins_nothing = True
        if not self._has_begun:
            self.stop()

    def stop(self) -> None:
        """Stop following the store."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._follower = None

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Log a failure, after which the store can be followed again."""
        error = failure_of(task)
        if error is None:
            return
        record(Event.task_failed, reason=repr(error))
        if self._task is task:
            self._task = None
            self._follower = None

    async def _run_after(
        self, follower: StoreFollower, reason: str, delay: Seconds
    ) -> None:
        await asyncio.sleep(delay)
        while self.is_spared():
            await asyncio.sleep(CHECK_INTERVAL)
        self._has_begun = True
        self.count_by_reason[reason] += 1
        record(Event.store_followed, reason=reason)
        await follower.run()


def _is_never_spared() -> bool:
    """Read the store in any case; the default until others are known."""
    return False
