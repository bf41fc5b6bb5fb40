"""Keep the homes of slices in step with the catalogue, in the table."""

import asyncio
import uuid
from collections.abc import Mapping
from typing import Final

from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.homes import HOMES_PREFIX, HomeAssignment
from cassialever.interfaces import (
    Clock,
    RowWrite,
    TableClient,
    Transaction,
)
from cassialever.misc import BackgroundTasks
from cassialever.ownership import Ownership
from cassialever.rows import coordinator_row
from cassialever.types import (
    ChangeId,
    RowName,
    RowVersion,
    Seconds,
    ServiceName,
)

#: Between two looks while homes are missing or to change, in seconds.
BUSY_INTERVAL: Final[Seconds] = 0.1
#: Between two looks otherwise, in seconds; rows are read now and then.
IDLE_INTERVAL: Final[Seconds] = 0.25
#: Between two readings of rows that seem settled, in seconds.
READ_INTERVAL: Final[Seconds] = 2.0


class HomesKeeper:
    """Write first homes, and give away what this data centre has let go."""

    def __init__(
        self,
        table: TableClient,
        homes: HomeAssignment,
        core: Ownership,
        clock: Clock,
    ) -> None:
        """Take the table; only a coordinator looks."""
        self._table = table
        self._homes = homes
        self._core = core
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._next_read: Seconds = 0

    async def start(self) -> None:
        """Begin to look."""
        self._tasks.add(self._run())

    async def stop(self) -> None:
        """Stop looking."""
        self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            interval = IDLE_INTERVAL
            if self._coordinates() and self._is_due():
                interval = BUSY_INTERVAL
                await self._look()
            await asyncio.sleep(interval)

    def _coordinates(self) -> bool:
        return self._core.authority.holds(self._clock.monotonic())

    def _is_due(self) -> bool:
        if self._homes.missing() or self._homes.unsettled():
            return True
        return self._clock.monotonic() >= self._next_read

    async def _look(self) -> None:
        await self._read()
        first = self._homes.missing()
        if first:
            await self._write(first, {})
        for service in self._homes.unsettled():
            await self._hand_over(service)

    async def _hand_over(self, service: ServiceName) -> None:
        state = self._core.coordinator.state
        if state is None or not self._coordinates():
            return
        rows = state.moves.rows
        owners = rows.owners_by_service.get(service)
        write = owners and self._homes.handed_over(service, owners)
        if not write:
            return
        known = self._core.authority.rows.known
        if known is None:
            return
        # Another coordinator of this data centre, or a new owner at this
        # home, makes the write fail.
        checks = rows.versions(service)
        checks[coordinator_row(self._homes.data_centre)] = known.version
        await self._write([write], checks)

    async def _write(
        self,
        writes: list[RowWrite],
        checks: Mapping[RowName, RowVersion],
    ) -> None:
        change_id = ChangeId(uuid.uuid4().hex)
        # Whatever became of the write, the rows are read again: they alone
        # say what the homes are.
        await self._table.commit(
            Transaction(change_id, tuple(writes), checks),
        )
        await self._read()

    async def _read(self) -> None:
        self._next_read = self._clock.monotonic() + READ_INTERVAL
        rows = await self._table.scan(HOMES_PREFIX)
        if isinstance(rows, Failure):
            return
        try:
            self._homes.adopt_rows(rows)
        except CodecError as error:
            record(Event.row_rubbish, error=str(error))
            return
        state = self._core.coordinator.state
        if state:
            state.upkeep.changed = True
