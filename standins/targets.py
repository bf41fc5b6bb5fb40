"""A stand-in for one target: a server with slots that owns keys.

Its behaviour can be changed while it runs, so that tests bring about each
fault that a target may have.
"""

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from http import HTTPStatus

import msgspec
from aiohttp import web

from cassialever import target_headers
from cassialever.misc import ServerSite
from cassialever.target_orders import Grant, TargetHealth, TargetReport
from cassialever.types import Fence, Incarnation, RequestId, TargetId
from standins.downloads import Download
from standins.grants import Grants
from standins.work import TargetBehaviour, Work

ORDERS = '/_cassialever/'
MILLISECONDS = 1000


class StandInTarget:
    """Serve any path, count what runs and note each breach of the limit."""

    def __init__(self, target_id: TargetId, behaviour: TargetBehaviour) -> None:
        """Make the server; nothing listens yet."""
        self.target_id = target_id
        self.behaviour = behaviour
        self.download = Download()
        self.faults = ConnectionFaults()
        self.work = Work()
        self.grants = Grants()
        self.cancelled: list[RequestId] = []
        self.site = ServerSite(web.Server(self._serve))

    @property
    def peak(self) -> int:
        """Return the most requests that it had at once."""
        return self.work.peak

    async def start(self, port: int = 0) -> str:
        """Listen and return the base URL."""
        return await self.site.start('127.0.0.1', port)

    async def stop(self) -> None:
        """Stop listening."""
        self.faults.stop()
        self.download.stop()
        await self.site.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        # When the router has gone away there is nobody to be told.
        with suppress(ConnectionError):
            if await self.faults.lets_through(request.transport):
                # Work goes on after the one who wanted it has gone away.
                answering = asyncio.create_task(self._answer(request))
                return await asyncio.shield(answering)
        return web.Response()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path.startswith(ORDERS):
            return await self._serve_order(request, body)
        refusal = self._refusal(request)
        if refusal:
            return refusal
        if not await self._run(request.headers):
            return self._reply(HTTPStatus.INTERNAL_SERVER_ERROR, {}, b'')
        if self.download.is_at(request.path):
            return await self.download.send(request)
        words = f'{self.target_id} {request.method} {request.path_qs}\n'
        return self._reply(HTTPStatus.OK, {}, words.encode() + body)

    def _refusal(self, request: web.BaseRequest) -> web.Response | None:
        headers = request.headers
        fence = int(headers.get(target_headers.FENCE, '0'))
        allowed = self.grants.allow(
            Fence(fence),
            needs_grant=self.behaviour.needs_grant,
        )
        if self.behaviour.checks_fence and not allowed:
            stale = {target_headers.STALE_FENCE: target_headers.YES}
            return self._reply(HTTPStatus.CONFLICT, stale, b'')
        full = self.work.in_flight >= self.behaviour.slots
        if self.behaviour.shed or full:
            self.work.note_refused()
            shed = {target_headers.SHED: target_headers.YES}
            return self._reply(HTTPStatus.SERVICE_UNAVAILABLE, shed, b'')
        return None

    async def _run(self, headers: Mapping[str, str]) -> bool:
        request_id = RequestId(headers.get(target_headers.REQUEST_ID, ''))
        time_left = None
        deadline = headers.get(target_headers.DEADLINE)
        if deadline and self.behaviour.checks_deadline:
            time_left = int(deadline) / MILLISECONDS
        return await self.work.run(request_id, self.behaviour, time_left)

    async def _serve_order(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.Response:
        order = request.path.removeprefix(ORDERS)
        if order == 'grant':
            return self._take_grant(msgspec.json.decode(body, type=Grant))
        if order == 'health':
            incarnation = Incarnation(self.behaviour.incarnation)
            health = TargetHealth(self.behaviour.state, incarnation)
            return self._reply(HTTPStatus.OK, {}, msgspec.json.encode(health))
        if order == 'load':
            load = TargetReport(self.work.in_flight, self.behaviour.slots)
            report = self.behaviour.report or load
            return self._reply(HTTPStatus.OK, {}, msgspec.json.encode(report))
        return self._cancel(RequestId(order.removeprefix('requests/')))

    def _take_grant(self, grant: Grant) -> web.Response:
        answer = self.grants.take(grant, self.behaviour.incarnation)
        return self._reply(HTTPStatus.OK, {}, msgspec.json.encode(answer))

    def _cancel(self, request_id: RequestId) -> web.Response:
        self.cancelled.append(request_id)
        if self.behaviour.checks_cancel:
            self.work.cancel(request_id)
        return self._reply(HTTPStatus.NO_CONTENT, {}, b'')

    def _reply(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> web.Response:
        incarnation = str(self.behaviour.incarnation)
        return web.Response(
            status=status,
            headers={**headers, target_headers.INCARNATION: incarnation},
            body=body,
        )


class ConnectionFaults:
    """A target that freezes, and connections that have gone silent."""

    def __init__(self) -> None:
        """Start without a fault."""
        self._seen: set[asyncio.BaseTransport] = set()
        self._silent: set[asyncio.BaseTransport] = set()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._stopped = asyncio.Event()
        #: Close the connection of the next request before it runs.
        self.drop_next = False
        self.dropped = 0

    def freeze(self) -> None:
        """Keep every request waiting; it runs after the thaw."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Go on with all that came meanwhile, wanted or not."""
        self._thawed.set()

    def stop(self) -> None:
        """Let go of what waits for ever."""
        self._stopped.set()
        self._thawed.set()

    def silence_open_connections(self) -> None:
        """Never answer again on a connection that is open now."""
        self._silent.update(self._seen)

    @property
    def connections(self) -> int:
        """Return how many connections have brought requests so far."""
        return len(self._seen)

    async def lets_through(
        self,
        transport: asyncio.Transport | None,
    ) -> bool:
        """Wait until connection and target let a request through, if ever."""
        if transport is None:
            return False
        self._seen.add(transport)
        if transport in self._silent:
            await self._stopped.wait()
            return False
        await self._thawed.wait()
        if self.drop_next:
            self.drop_next = False
            self.dropped += 1
            transport.abort()
            return False
        return True
