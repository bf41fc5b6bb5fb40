"""Ask the store for versions of tables that a leader lacks.

A follower may be ahead of its leader for a moment. One that stays ahead may
know a version that the store does not have, and gets no change up to it.
"""

import asyncio
from typing import Final

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.settled_versions import Versions
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import RowVersion, Seconds

#: Time in which a leader's older table usually catches up, with up to as much
#: jitter. Also the time between two questions.
DOUBT_TIME: Final[Seconds] = 0.5
#: The same after a read that was older than what was known: a second one
#: settles it, and changes wait for that.
SECOND_LOOK_TIME: Final[Seconds] = 0.1


class VersionDoubts:
    """Tables of which this daemon knows a version that its leader lacks."""

    def __init__(
        self, store: StoreClient, view: FleetView, random_source: RandomSource
    ) -> None:
        """Start without a doubt."""
        self._store = store
        self._view = view
        self._random = random_source
        self._false_versions = view.rows.false_versions
        self._doubts = asyncio.Event()
        self._false_versions.on_doubt = self._note_doubt

    async def run(self) -> None:
        """Ask the store for each doubted version, until cancelled."""
        while True:
            await self._doubts.wait()
            self._doubts.clear()
            await self._pause()
            for table in self._view.tables_of_other_writers:
                await self._settle(table)

    async def _settle(self, table: str) -> None:
        """Ask the store for a table until its version is certain."""
        while self._false_versions.is_doubted(table):
            known = self._view.rows.version_by_table[table]
            failure = await read_changes(self._store, self._view, table)
            version = self._view.rows.version_by_table[table]
            if failure is None and version >= known:
                self._false_versions.end_doubt(table)
                return
            is_denied = failure and failure.kind is ErrorKind.table_conflict
            await self._pause(SECOND_LOOK_TIME if is_denied else DOUBT_TIME)

    async def _pause(self, duration: Seconds = DOUBT_TIME) -> None:
        await asyncio.sleep(duration * (1 + self._random.random()))

    def _note_doubt(self, _: str) -> None:
        self._doubts.set()


async def read_changes(
    store: StoreClient, view: FleetView, table: str
) -> Failure | None:
    """Read a table's changes, or all of it if the store lacks its version.

    Others may have told that version, and the store may have lost it since.
    """
    known = view.rows.version_by_table[table]
    false_versions = view.rows.false_versions
    after = false_versions.settled.before(table, known)
    began_at = view.targets.clock.boot()
    changed = await store.wait_for_changes(table, after, 0)
    if isinstance(changed, Failure):
        if changed.kind is not ErrorKind.table_conflict:
            return changed
        return await _read_whole(store, view, table)
    if _adopt(view, table, known, changed):
        return None
    if changed.version < known and not false_versions.is_denied(table):
        # This answer counts as the first of the two that deny a version.
        false_versions.disproves(table, changed.version, began_at)
        return _outdated(changed.version)
    return await _read_whole(store, view, table)


async def _read_whole(
    store: StoreClient, view: FleetView, table: str
) -> Failure | None:
    began_at = view.targets.clock.boot()
    snapshot = await store.read_all(table)
    if isinstance(snapshot, Failure):
        return snapshot
    if view.replace(table, snapshot.rows, snapshot.version, began_at=began_at):
        return None
    return _outdated(snapshot.version)


def _adopt(
    view: FleetView, table: str, known: RowVersion, changed: rows.Rows
) -> bool:
    """Apply changes unless they show that the store lost what was known."""
    if changed.version < known or view.rows.shows_loss(
        table, changed.rows, Versions(known, changed.version)
    ):
        return False
    view.rows.false_versions.note_confirmed(table)
    view.apply(table, changed.rows, changed.version)
    return True


def _outdated(version: RowVersion) -> Failure:
    return Failure(
        ErrorKind.table_conflict,
        f'the store returned outdated version {version}',
    )
