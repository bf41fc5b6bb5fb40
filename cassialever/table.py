"""The client of the platform's transactional table service, over HTTP."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import TypeVar

import aiohttp
import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import Committed, Row, Transaction
from cassialever.settings import PlatformSettings
from cassialever.types import RowName, RowVersion

READ_PATH = '/v1/read'
SCAN_PATH = '/v1/scan'
COMMIT_PATH = '/v1/commit'


class ReadOrder(msgspec.Struct, frozen=True):
    """Ask for rows by name."""

    names: Sequence[RowName]


class ScanOrder(msgspec.Struct, frozen=True):
    """Ask for the rows whose names start with a prefix."""

    prefix: str


class RowsReply(msgspec.Struct, frozen=True):
    """The rows that were found."""

    rows: list[Row]


class CommitReply(msgspec.Struct, frozen=True):
    """New versions, or the rows whose version was not as expected."""

    version_by_name: Mapping[RowName, RowVersion] = {}
    conflicts: list[RowName] = []


Reply = TypeVar('Reply', RowsReply, CommitReply)


class HttpTable:
    """Reach the table service over HTTP."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Take the settings; `start` opens the session."""
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_seconds)
        self._session = aiohttp.ClientSession(
            self._settings.table_url,
            timeout=timeout,
        )

    async def stop(self) -> None:
        """Close the session."""
        if self._session:
            await self._session.close()
            self._session = None

    async def read(
        self,
        names: Sequence[RowName],
    ) -> Mapping[RowName, Row] | Failure:
        """Return those of the named rows that exist."""
        reply = await self._post(READ_PATH, ReadOrder(names), RowsReply)
        return _rows_by_name(reply)

    async def scan(self, prefix: str) -> Mapping[RowName, Row] | Failure:
        """Return every row whose name starts with the prefix."""
        reply = await self._post(SCAN_PATH, ScanOrder(prefix), RowsReply)
        return _rows_by_name(reply)

    async def commit(self, transaction: Transaction) -> Committed | Failure:
        """Write a transaction."""
        reply = await self._post(COMMIT_PATH, transaction, CommitReply)
        if isinstance(reply, Failure):
            return reply
        if reply.conflicts:
            names = ', '.join(reply.conflicts)
            return Failure(ErrorKind.table_conflict, f'rows changed: {names}')
        return Committed(reply.version_by_name)

    async def _post(
        self,
        path: str,
        order: msgspec.Struct,
        reply_type: type[Reply],
    ) -> Reply | Failure:
        if self._session is None:
            return Failure(ErrorKind.table_unavailable, 'not started')
        body = msgspec.json.encode(order)
        try:
            async with self._session.post(path, data=body) as response:
                response.raise_for_status()
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Failure(ErrorKind.table_unavailable, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(ErrorKind.table_answer_lost, repr(error))
        return msgspec.json.decode(content, type=reply_type)


def _rows_by_name(reply: RowsReply | Failure) -> dict[RowName, Row] | Failure:
    if isinstance(reply, Failure):
        return Failure(ErrorKind.table_unavailable, reply.reason)
    return {row.name: row for row in reply.rows}
