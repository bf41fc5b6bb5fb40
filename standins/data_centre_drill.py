"""Take a data centre out and return it while callers go on asking."""

import asyncio
import time
from collections import Counter

import aiohttp
import msgspec

from cassialever.callers.answers import ERROR_HEADER
from cassialever.catalogue.entries import Catalogue
from cassialever.types import DataCentreId, Seconds, ServiceState
from standins.deployment import Deployment

#: Between two requests of one caller, in seconds.
REQUEST_INTERVAL = 0.01


class DrillOutcome(msgspec.Struct):
    """What callers saw while a data centre left and returned."""

    answers: Counter[str]
    latencies: list[Seconds]
    executed_after_grace: int = 0
    executed_after_return: int = 0


class DataCentreDrill:
    """Callers that go on asking, and the operator who edits an entry."""

    def __init__(
        self,
        deployment: Deployment,
        data_centre: DataCentreId,
        path: str,
        key_header: str,
    ) -> None:
        """Take the service's path and the header of its key."""
        self.outcome = DrillOutcome(Counter(), [])
        self._deployment = deployment
        self._data_centre = data_centre
        self._path = path
        self._key_header = key_header
        self._is_running = True

    async def run(self, grace: Seconds, outage: Seconds) -> DrillOutcome:
        """Take the data centre out, return it; ask all the while.

        `grace` is how long new work may still reach it, `stay` how long it
        is out after that; both in seconds.
        """
        callers = [
            asyncio.create_task(self._send_requests(caller_number))
            for caller_number in range(4)
        ]
        before = await self._set_state(ServiceState.out, grace)
        await asyncio.sleep(outage)
        self.outcome.executed_after_grace = self.executed_count() - before
        await self._set_state(ServiceState.in_service, grace + outage)
        self.outcome.executed_after_return = self.executed_count() - before
        self._is_running = False
        await asyncio.gather(*callers)
        return self.outcome

    def executed_count(self) -> int:
        """Count what the targets of the data centre have run."""
        platform = self._deployment.platform
        targets = [
            platform.target_by_id[entry.target_id]
            for entry in platform.catalogue.targets
            if entry.data_centre == self._data_centre
        ]
        return sum(len(target.executed_ids) for target in targets)

    async def _set_state(self, state: ServiceState, wait: Seconds) -> int:
        """Edit the entry, wait, and return what has been run by then."""
        platform = self._deployment.platform
        await platform.write_catalogue(
            with_state(platform.catalogue, self._data_centre, state),
        )
        await asyncio.sleep(wait)
        return self.executed_count()

    async def _send_requests(self, caller_number: int) -> None:
        daemons = list(self._deployment.daemons)
        request_number = caller_number
        async with aiohttp.ClientSession() as session:
            while self._is_running:
                request_number += 1
                daemon = daemons[request_number % len(daemons)]
                await self._send_request(
                    session, daemon.front.url, request_number
                )
                await asyncio.sleep(REQUEST_INTERVAL)

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        url: str,
        request_number: int,
    ) -> None:
        headers = {
            self._key_header: f'key-{request_number}',
            'X-Cassialever-Deadline-Ms': '5000',
        }
        started = time.perf_counter()
        response = await session.get(f'{url}{self._path}', headers=headers)
        await response.read()
        self.outcome.latencies.append(time.perf_counter() - started)
        error = response.headers.get(ERROR_HEADER, 'whole answer')
        self.outcome.answers[f'{response.status} {error}'] += 1


def with_state(
    catalogue: Catalogue,
    data_centre: DataCentreId,
    state: ServiceState,
) -> Catalogue:
    """Return the catalogue with one data centre's entry edited."""
    entries = tuple(
        msgspec.structs.replace(entry, state=state)
        if entry.data_centre_id == data_centre
        else entry
        for entry in catalogue.data_centres
    )
    return msgspec.structs.replace(catalogue, data_centres=entries)
