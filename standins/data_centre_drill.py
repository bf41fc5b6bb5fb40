"""Take a data centre out of service and return it under load."""

import asyncio
import time
from collections import Counter

import aiohttp
import msgspec

from cassialever.callers.answers import ERROR_HEADER
from cassialever.catalogue.entries import Catalogue
from cassialever.types import AdminState, DataCentreId, Seconds
from standins.deployment import Deployment

#: Interval between the requests of one caller, in seconds.
REQUEST_INTERVAL = 0.01


class DrillOutcome(msgspec.Struct):
    """The answers of a drill, and the requests that the data centre ran.

    Both counts start at the end of the grace period: `executed_after_grace`
    covers the outage, `executed_after_return` also the time after the return.
    """

    answers: Counter[str]
    latencies: list[Seconds]
    executed_after_grace: int = 0
    executed_after_return: int = 0


class DataCentreDrill:
    """A data centre that goes out and returns while callers send requests."""

    def __init__(
        self,
        deployment: Deployment,
        data_centre: DataCentreId,
        path: str,
        key_header: str,
    ) -> None:
        """Prepare a drill for the service at `path` with its key header."""
        self.outcome = DrillOutcome(Counter(), [])
        self._deployment = deployment
        self._data_centre = data_centre
        self._path = path
        self._key_header = key_header
        self._is_running = True

    async def run(self, grace: Seconds, outage: Seconds) -> DrillOutcome:
        """Take the data centre out and return it while callers send requests.

        For `grace` seconds new requests may still reach it; it stays out for
        `outage` seconds after that.
        """
        callers = [
            asyncio.create_task(self._send_requests(caller_number))
            for caller_number in range(4)
        ]
        before = await self._set_state(AdminState.out, grace)
        await asyncio.sleep(outage)
        self.outcome.executed_after_grace = self.executed_count() - before
        await self._set_state(AdminState.in_service, grace + outage)
        self.outcome.executed_after_return = self.executed_count() - before
        self._is_running = False
        await asyncio.gather(*callers)
        return self.outcome

    def executed_count(self) -> int:
        """Return how many requests the targets of the data centre have run."""
        platform = self._deployment.platform
        targets = [
            platform.target_by_id[entry.target_id]
            for entry in platform.catalogue.targets
            if entry.data_centre == self._data_centre
        ]
        return sum(len(target.executed_ids) for target in targets)

    async def _set_state(self, state: AdminState, wait: Seconds) -> int:
        """Set the data centre's state, wait, and return `executed_count`."""
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
                    session, daemon.caller_server.url, request_number
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
        error = response.headers.get(ERROR_HEADER, 'complete')
        self.outcome.answers[f'{response.status} {error}'] += 1


def with_state(
    catalogue: Catalogue,
    data_centre: DataCentreId,
    state: AdminState,
) -> Catalogue:
    """Return the catalogue with the state of one data centre replaced."""
    entries = tuple(
        msgspec.structs.replace(entry, state=state)
        if entry.data_centre_id == data_centre
        else entry
        for entry in catalogue.data_centres
    )
    return msgspec.structs.replace(catalogue, data_centres=entries)
