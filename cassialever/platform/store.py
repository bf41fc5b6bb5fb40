"""Call the platform's row store over HTTP."""

import asyncio
from http import HTTPStatus
from typing import Any, Final

import aiohttp

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.platform.sessions import open_session
from cassialever.types import MILLISECONDS, RowVersion, Seconds

#: Longest wait for an answer that the store need not hold back; its usual
#: answer takes 4 ms and a slow one 60 to 100 times that (site files).
CALL_TIMEOUT: Final[Seconds] = 1.0
CONNECT_TIMEOUT: Final[Seconds] = 0.5
#: How long the store may hold back a call that follows a table. A call that
#: the store has forgotten ends soon enough for the bounds on leaving targets,
#: which hold 3 s after a fault.
LONG_POLL_WAIT: Final[Seconds] = 1.5
#: Rows a read asks for (the store's limit).
ROWS_PER_PAGE: Final = 500

_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=CALL_TIMEOUT,
    connect=CONNECT_TIMEOUT,
)
_LONG_POLL_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=LONG_POLL_WAIT + CALL_TIMEOUT,
    connect=CONNECT_TIMEOUT,
)
_JSON: Final = (('Content-Type', 'application/json'),)


class StoreClient:
    """The one client of the platform's row store."""

    def __init__(self, address: str) -> None:
        """Take the store's address; `start` opens the session."""
        #: Where the store is; it may change with the settings.
        self.address = address
        self._session: aiohttp.ClientSession | None = None
        #: Calls made, for the metrics.
        self.calls = 0

    async def start(self) -> None:
        """Open the session."""
        self._session = open_session()

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def commit(
        self,
        transaction: rows.Transaction,
    ) -> rows.Committed | rows.Conflict | Failure:
        """Carry out a transaction.

        A failure of kind `table_answer_lost` may have taken effect, or may
        do so later while its expectations hold.
        """
        answer = await self._call(
            'POST',
            rows.COMMIT_PATH,
            _TIMEOUT,
            data=rows.encode_transaction(transaction),
            headers=_JSON,
        )
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == HTTPStatus.PRECONDITION_FAILED:
            return rows.decode_conflict(body)
        if status != HTTPStatus.OK:
            return _refused(status)
        return rows.decode_committed(body)

    async def read(self, table: str, start: str = '') -> rows.Rows | Failure:
        """Read a page of a table's rows, by name, from `start` on."""
        query = {'table': table, 'part': '', 'limit': ROWS_PER_PAGE}
        if start:
            query['from'] = start
        answer = await self._call('GET', rows.READ_PATH, _TIMEOUT, params=query)
        return _rows(answer)

    async def read_all(self, table: str) -> rows.Rows | Failure:
        """Read a whole table.

        The version is the first page's: what changed while the other pages
        were read comes again from following the table.
        """
        first = await self.read(table)
        if isinstance(first, Failure):
            return first
        gathered = list(first.rows)
        start = first.next_start
        while start is not None:
            page = await self.read(table, start)
            if isinstance(page, Failure):
                return page
            gathered.extend(page.rows)
            start = page.next_start
        return rows.Rows(tuple(gathered), first.version, first.store_time)

    async def wait_for_changes(
        self,
        table: str,
        after: RowVersion,
    ) -> rows.Rows | Failure:
        """Wait for rows of a table that changed after a version.

        A failure of kind `table_conflict` means that the store no longer
        has the changes since then, and the table must be read whole.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(LONG_POLL_WAIT * MILLISECONDS),
        }
        answer = await self._call(
            'GET',
            rows.CHANGES_PATH,
            _LONG_POLL_TIMEOUT,
            params=query,
        )
        return _rows(answer)

    async def _call(
        self,
        method: str,
        path: str,
        timeout: aiohttp.ClientTimeout,
        **options: Any,
    ) -> tuple[int, bytes] | Failure:
        if self._session is None:
            return Failure(ErrorKind.table_unavailable, 'not started')
        self.calls += 1
        try:
            async with self._session.request(
                method,
                f'http://{self.address}{path}',
                timeout=timeout,
                **options,
            ) as response:
                return response.status, await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return Failure(ErrorKind.table_unavailable, repr(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(ErrorKind.table_answer_lost, repr(error))


def _rows(answer: tuple[int, bytes] | Failure) -> rows.Rows | Failure:
    if isinstance(answer, Failure):
        return answer
    status, body = answer
    if status == HTTPStatus.GONE:
        return Failure(
            ErrorKind.table_conflict,
            'the store no longer has the changes asked for',
        )
    if status != HTTPStatus.OK:
        return _refused(status)
    return rows.decode_rows(body)


def _refused(status: int) -> Failure:
    return Failure(
        ErrorKind.table_unavailable,
        f'the store answered {status}',
    )
