"""A stand-in for one target: a server with slots that owns keys."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus

import msgspec
from aiohttp import web

from cassialever.misc import ServerSite
from cassialever.types import RequestId, Seconds, TargetId

SHED_HEADER = 'X-Cassialever-Shed'
STALE_FENCE_HEADER = 'X-Cassialever-Stale-Fence'
FENCE_HEADER = 'X-Cassialever-Fence'
REQUEST_ID_HEADER = 'X-Cassialever-Request-Id'
INCARNATION_HEADER = 'X-Cassialever-Incarnation'


class TargetBehaviour(msgspec.Struct):
    """How a stand-in target behaves; tests change it while it runs."""

    slots: int = 4
    work_time: Seconds = 0.002
    incarnation: int = 1


class StandInTarget:
    """Serve any path, count what runs and note each breach of the limit."""

    def __init__(self, target_id: TargetId, behaviour: TargetBehaviour) -> None:
        """Make the server; nothing listens yet."""
        self.target_id = target_id
        self.behaviour = behaviour
        self.in_flight = 0
        self.peak = 0
        self.highest_fence = 0
        self.runs_by_request: dict[RequestId, int] = {}
        self.site = ServerSite(web.Server(self._serve))

    async def start(self, port: int = 0) -> str:
        """Listen and return the base URL."""
        return await self.site.start('127.0.0.1', port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.site.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        fence = int(request.headers.get(FENCE_HEADER, '0'))
        if fence < self.highest_fence:
            return self._reply(
                HTTPStatus.CONFLICT, {STALE_FENCE_HEADER: '1'}, b''
            )
        self.highest_fence = fence
        if self.in_flight >= self.behaviour.slots:
            self.peak = max(self.peak, self.in_flight + 1)
            return self._reply(
                HTTPStatus.SERVICE_UNAVAILABLE, {SHED_HEADER: '1'}, b''
            )
        await self._run(request)
        words = f'{self.target_id} {request.method} {request.path_qs}\n'
        return self._reply(HTTPStatus.OK, {}, words.encode() + body)

    async def _run(self, request: web.BaseRequest) -> None:
        request_id = RequestId(request.headers.get(REQUEST_ID_HEADER, ''))
        runs = self.runs_by_request.get(request_id, 0)
        self.runs_by_request[request_id] = runs + 1
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        try:
            await asyncio.sleep(self.behaviour.work_time)
        finally:
            self.in_flight -= 1

    def _reply(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> web.Response:
        incarnation = str(self.behaviour.incarnation)
        return web.Response(
            status=status,
            headers={**headers, INCARNATION_HEADER: incarnation},
            body=body,
        )
