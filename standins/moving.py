"""Take a data centre out and return it while callers go on asking."""

import asyncio
import time
from collections import Counter

import aiohttp
import msgspec

from cassialever.callers.answers import ERROR_HEADER
from cassialever.catalogue.entries import Catalogue
from cassialever.types import AdminState, DataCentreId, Seconds
from standins.deployment import Deployment

#: Between two requests of one caller, in seconds.
ASK_PAUSE = 0.01


class MoveOutcome(msgspec.Struct):
    """What callers saw while a data centre left and returned."""

    answers: Counter[str]
    latencies: list[Seconds]
    runs_after_grace: int = 0
    runs_after_return: int = 0


class Mover:
    """Callers that go on asking, and the operator who edits an entry."""

    def __init__(
        self,
        deployment: Deployment,
        data_centre: DataCentreId,
        path: str,
        key_header: str,
    ) -> None:
        """Take the service's path and the header of its key."""
        self.outcome = MoveOutcome(Counter(), [])
        self._deployment = deployment
        self._data_centre = data_centre
        self._path = path
        self._key_header = key_header
        self._going_on = True

    async def run(self, grace: Seconds, stay: Seconds) -> MoveOutcome:
        """Take the data centre out, return it; ask all the while.

        `grace` is how long new work may still reach it, `stay` how long it
        is out after that; both in seconds.
        """
        callers = [
            asyncio.create_task(self._ask(number)) for number in range(4)
        ]
        before = await self._state_for(AdminState.out, grace)
        await asyncio.sleep(stay)
        self.outcome.runs_after_grace = self.runs() - before
        await self._state_for(AdminState.in_service, grace + stay)
        self.outcome.runs_after_return = self.runs() - before
        self._going_on = False
        await asyncio.gather(*callers)
        return self.outcome

    def runs(self) -> int:
        """Count what the targets of the data centre have run."""
        platform = self._deployment.platform
        local = [
            platform.target_by_id[entry.target_id]
            for entry in platform.catalogue.targets
            if entry.data_centre == self._data_centre
        ]
        return sum(len(stand_in.ran) for stand_in in local)

    async def _state_for(self, state: AdminState, wait: Seconds) -> int:
        """Edit the entry, wait, and return what has been run by then."""
        platform = self._deployment.platform
        await platform.write_catalogue(
            with_state(platform.catalogue, self._data_centre, state),
        )
        await asyncio.sleep(wait)
        return self.runs()

    async def _ask(self, number: int) -> None:
        daemons = list(self._deployment.daemons)
        asked = number
        async with aiohttp.ClientSession() as session:
            while self._going_on:
                asked += 1
                daemon = daemons[asked % len(daemons)]
                await self._ask_once(session, daemon.caller_server.url, asked)
                await asyncio.sleep(ASK_PAUSE)

    async def _ask_once(
        self,
        session: aiohttp.ClientSession,
        url: str,
        asked: int,
    ) -> None:
        headers = {
            self._key_header: f'key-{asked}',
            'X-Cassialever-Deadline-Ms': '5000',
        }
        began = time.perf_counter()
        response = await session.get(f'{url}{self._path}', headers=headers)
        await response.read()
        self.outcome.latencies.append(time.perf_counter() - began)
        error = response.headers.get(ERROR_HEADER, 'whole answer')
        self.outcome.answers[f'{response.status} {error}'] += 1


def with_state(
    catalogue: Catalogue,
    data_centre: DataCentreId,
    state: AdminState,
) -> Catalogue:
    """Return the catalogue with one data centre's entry edited."""
    entries = tuple(
        msgspec.structs.replace(entry, state=state)
        if entry.data_centre_id == data_centre
        else entry
        for entry in catalogue.data_centres
    )
    return msgspec.structs.replace(catalogue, data_centres=entries)
