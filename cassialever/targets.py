"""The client towards targets, over HTTP."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import Clock, TargetAnswer, TargetRequest
from cassialever.placement import Placement
from cassialever.types import Incarnation, RequestId, TargetId


class HttpTargets:
    """Send requests to targets by aiohttp."""

    def __init__(self, placement: Placement, clock: Clock) -> None:
        """Take the catalogue that names addresses."""
        self._placement = placement
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def stop(self) -> None:
        """Close every connection."""
        if self._session:
            await self._session.close()

    async def send(
        self,
        request: TargetRequest,
        body: AsyncIterator[bytes] | None,
    ) -> TargetAnswer | Failure:
        """Send one attempt and return once the head of its answer is here."""
        entry = self._placement.target(request.target_id)
        if entry is None or self._session is None:
            return Failure(ErrorKind.no_target, 'no such target')
        try:
            response = await self._session.request(
                request.method,
                f'http://{entry.address}{request.path}',
                headers={
                    'X-Cassialever-Request-Id': request.request_id,
                    'X-Cassialever-Fence': str(request.fence),
                },
                data=body,
                timeout=aiohttp.ClientTimeout(total=request.time_left),
            )
        except aiohttp.ClientConnectorError as error:
            return Failure(ErrorKind.target_unreachable, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(ErrorKind.outcome_unknown, repr(error))
        if response.headers.get('X-Cassialever-Shed'):
            response.release()
            return Failure(ErrorKind.target_shed, 'shed')
        return TargetAnswer(
            response.status,
            (),
            Incarnation(
                int(response.headers.get('X-Cassialever-Incarnation', '0'))
            ),
            _chunks(response),
        )

    async def cancel(self, target_id: TargetId, request_id: RequestId) -> None:
        """Ask a target to give up a request."""


async def _chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes | Failure]:
    async for chunk in response.content.iter_any():
        yield chunk
