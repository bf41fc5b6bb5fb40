"""See to it that the table has the homes of every keyed service's slices."""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from typing import Final

from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.homes import HOMES_PREFIX, HomeAssignment
from cassialever.interfaces import Row, TableClient, Transaction
from cassialever.misc import BackgroundTasks
from cassialever.types import ChangeId, RowName, Seconds

#: Between two looks for homes that the table lacks, in seconds.
HOMES_INTERVAL: Final[Seconds] = 0.5


class HomesKeeper:
    """Read the homes, and write first ones where there are none."""

    def __init__(
        self,
        table: TableClient,
        homes: HomeAssignment,
        coordinates: Callable[[], bool],
    ) -> None:
        """Take the table; only a coordinator looks."""
        self._table = table
        self._homes = homes
        self._coordinates = coordinates
        self._tasks = BackgroundTasks()

    async def start(self) -> None:
        """Begin to look."""
        self._tasks.add(self._run())

    async def stop(self) -> None:
        """Stop looking."""
        self._tasks.cancel()

    async def _run(self) -> None:
        while True:
            if self._coordinates() and self._homes.missing():
                await self._look()
            await asyncio.sleep(HOMES_INTERVAL)

    async def _look(self) -> None:
        await self._read()
        writes = self._homes.missing()
        if not writes:
            return
        change_id = ChangeId(uuid.uuid4().hex)
        # Whatever became of the write, the rows are read again: they alone
        # say what the homes are.
        await self._table.commit(Transaction(change_id, tuple(writes)))
        await self._read()

    async def _read(self) -> None:
        rows = await self._table.scan(HOMES_PREFIX)
        if not isinstance(rows, Failure):
            self._adopt(rows)

    def _adopt(self, rows: Mapping[RowName, Row]) -> None:
        try:
            self._homes.adopt_rows(rows)
        except CodecError as error:
            record(Event.row_rubbish, error=str(error))
