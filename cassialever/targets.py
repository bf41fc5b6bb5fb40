"""The client towards targets, over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

import aiohttp
from yarl import URL

from cassialever import target_headers
from cassialever.catalogue import TargetEntry
from cassialever.connectors import Sending, TargetConnector, sending
from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import TargetAnswer, TargetRequest
from cassialever.misc import BackgroundTasks
from cassialever.target_bodies import TargetBody, has_end
from cassialever.target_orders import (
    ORDER_CONNECTIONS,
    EntryLookup,
    TargetOrders,
)
from cassialever.types import Incarnation, RequestId, TargetId

# Headers that the library would add by itself.
_NOT_ADDED: Final = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class TargetPool:
    """The connections to one target, as its entry limits them."""

    def __init__(self, entry: TargetEntry) -> None:
        """Open a session; it connects when needed."""
        limit = max(entry.limits.connections - ORDER_CONNECTIONS, 1)
        self.entry = entry
        self.connector = TargetConnector(limit)
        self._session = _session(self.connector)

    def fits(self, entry: TargetEntry) -> bool:
        """Say whether the pool is right for an entry."""
        same_address = self.entry.address == entry.address
        return same_address and self.entry.limits == entry.limits

    async def request(
        self,
        request: TargetRequest,
        body: AsyncIterator[bytes] | None,
    ) -> aiohttp.ClientResponse:
        """Send a request and return once the head of its answer is here."""
        return await self._session.request(
            request.method,
            _url(self.entry, request.path),
            headers=target_headers.to_target(
                request,
                has_body=body is not None,
            ),
            data=body,
            allow_redirects=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


class HttpTargets:
    """Send requests to targets by aiohttp."""

    def __init__(self, directory: EntryLookup) -> None:
        """Take what names the targets' addresses and limits."""
        self.orders = TargetOrders(directory)
        #: The incarnation that each target last gave.
        self.incarnation_by_target: dict[TargetId, Incarnation] = {}
        self._directory = directory
        self._pool_by_target: dict[TargetId, TargetPool] = {}
        self._retired: list[TargetPool] = []
        self._closing = BackgroundTasks()

    async def start(self) -> None:
        """Open the session for orders."""
        await self.orders.start()

    async def stop(self) -> None:
        """Close every connection."""
        await self.orders.stop()
        for pool in (*self._pool_by_target.values(), *self._retired):
            await pool.close()
        self._pool_by_target.clear()
        self._retired.clear()

    async def send(
        self,
        request: TargetRequest,
        body: AsyncIterator[bytes] | None,
    ) -> TargetAnswer | Failure:
        """Send one attempt; see `interfaces.TargetClient`."""
        entry = self._directory.target(request.target_id)
        if entry is None:
            return Failure(
                ErrorKind.no_target,
                f'{request.target_id} is not in this catalogue',
            )
        if not _is_path(request.path):
            return Failure(ErrorKind.bad_request, 'the path is malformed')
        pool = self._pool(entry)
        response = await _attempt(pool, request, body)
        if isinstance(response, Failure):
            return response
        return self._judge(pool, request, response)

    async def cancel(self, target_id: TargetId, request_id: RequestId) -> bool:
        """Ask a target to give up a request; say whether it has."""
        return await self.orders.cancel(target_id, request_id)

    def _pool(self, entry: TargetEntry) -> TargetPool:
        pool = self._pool_by_target.get(entry.target_id)
        if pool is None or not pool.fits(entry):
            if pool:
                self._retire(pool)
            pool = TargetPool(entry)
            self._pool_by_target[entry.target_id] = pool
        return pool

    def _retire(self, retired: TargetPool) -> None:
        """Let a pool's requests finish; close those that have none."""
        self._retired.append(retired)
        for pool in tuple(self._retired):
            if pool.connector.in_use:
                continue
            self._retired.remove(pool)
            self._closing.add(pool.close())

    def _judge(
        self,
        pool: TargetPool,
        request: TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> TargetAnswer | Failure:
        headers = response.headers
        incarnation = _incarnation(headers.get(target_headers.INCARNATION))
        self.incarnation_by_target[request.target_id] = incarnation
        refusal = _refusal(pool.entry, response)
        if refusal:
            response.release()
            return refusal
        if not has_end(request.method, response):
            response.close()
            return Failure(
                ErrorKind.target_failed,
                'the answer does not say where it ends',
                pool.entry.ref(),
            )
        return TargetAnswer(
            response.status,
            target_headers.to_caller(headers.items()),
            incarnation,
            TargetBody(response, pool.connector, request.time_left),
        )


async def _attempt(
    pool: TargetPool,
    request: TargetRequest,
    body: AsyncIterator[bytes] | None,
) -> aiohttp.ClientResponse | Failure:
    progress = Sending()
    sending.set(progress)
    try:
        async with asyncio.timeout(request.time_left):
            return await pool.request(request, body)
    except TimeoutError:
        # What has lost track of this connection may have lost the others.
        pool.connector.disown_pooled()
        return _failed(pool.entry, progress, 'no answer within the limit')
    except (aiohttp.ClientError, OSError) as error:
        return _failed(pool.entry, progress, repr(error))


def _failed(entry: TargetEntry, progress: Sending, reason: str) -> Failure:
    kind = ErrorKind.target_unreachable
    if progress.connected:
        kind = ErrorKind.outcome_unknown
    return Failure(kind, f'{entry.target_id}: {reason}', entry.ref())


def _refusal(
    entry: TargetEntry,
    response: aiohttp.ClientResponse,
) -> Failure | None:
    """Return what a target refused before running it."""
    headers = response.headers
    if headers.get(target_headers.SHED) == target_headers.YES:
        return Failure(
            ErrorKind.target_shed,
            f'{entry.target_id} shed the request',
            entry.ref(),
        )
    stale = headers.get(target_headers.STALE_FENCE) == target_headers.YES
    if stale and response.status == HTTPStatus.CONFLICT:
        return Failure(
            ErrorKind.stale_fence,
            f'{entry.target_id} has seen a higher fence',
            entry.ref(),
        )
    return None


def _session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_NOT_ADDED,
        timeout=aiohttp.ClientTimeout(),
    )


def _url(entry: TargetEntry, path: str) -> URL:
    return URL(f'http://{entry.address}{path}', encoded=True)


def _is_path(path: str) -> bool:
    # A fragment is never sent, so the target would see another path.
    plain = path.isascii() and path.isprintable()
    return plain and path.startswith('/') and not set(path) & set('# ')


def _incarnation(header: str | None) -> Incarnation:
    if header and header.isascii() and header.isdigit():
        return Incarnation(int(header))
    return Incarnation(0)
