"""Call the platform's row store over HTTP."""

import asyncio
import enum
from collections import Counter
from http import HTTPStatus
from typing import Any, Final, TypeVar

import aiohttp

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.platform.answer_bodies import AnswerTooLongError, check_length
from cassialever.platform.newest_version import NewestVersion
from cassialever.platform.sessions import close_idle, open_session
from cassialever.types import MS_PER_SECOND, RowVersion, Seconds

#: Time in which the store must begin its answer, and in which more of an answer
#: must arrive. The store usually answers in 4 ms; a slow answer takes 60 to
#: 100 times that (site files).
CALL_TIMEOUT: Final[Seconds] = 1.0
#: Limit of a whole read, which bounds an answer that arrives byte by byte; a
#: link of 1 Mbit/s carries the largest page in it.
MAX_READ_TIME: Final[Seconds] = 10.0
CONNECT_TIMEOUT: Final[Seconds] = 0.5
#: Time in which the answer to a long poll must begin after it was held. With
#: that of a poll the next one's answer is within the 2.5 s for a change.
POLL_ANSWER_TIMEOUT: Final[Seconds] = 0.7
#: How long the store may hold a long poll. A poll that the store has lost
#: times out, and the next one is answered, within the 2.5 s for changes of the
#: configuration. Also the age of its tables that a follower aims at.
LONG_POLL_WAIT: Final[Seconds] = 1.0
#: The most rows that the store returns for one read.
ROWS_PER_PAGE: Final = 500
#: Bytes of the values in one answer, as the platform's pages limit them.
MAX_VALUE_BYTES: Final = 1_048_576
#: The longest name of a table, a part or a key, in bytes.
MAX_NAME_BYTES: Final = 200
#: Bytes that JSON takes for one byte of a name, as in \u001f.
JSON_ESCAPE_BYTES: Final = 6
#: Bytes of a row's fields beside its names and its value: their names, marks
#: and the version.
ROW_FIELDS_BYTES: Final = 200
#: The longest body of an answer. Values are in base64, and each of its rows
#: has three names.
MAX_ANSWER_BYTES: Final = MAX_VALUE_BYTES * 4 // 3 + ROWS_PER_PAGE * (
    3 * MAX_NAME_BYTES * JSON_ESCAPE_BYTES + ROW_FIELDS_BYTES
)

_COMMIT_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=CALL_TIMEOUT,
    connect=CONNECT_TIMEOUT,
)
_READ_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=MAX_READ_TIME,
    connect=CONNECT_TIMEOUT,
    sock_read=CALL_TIMEOUT,
)
_Answer = TypeVar(
    '_Answer',
    rows.Committed | Failure,
    rows.Conflict | Failure,
    rows.Rows | Failure,
)

#: The errors of a call of which nothing was sent. An address that the settings
#: have wrong raises one of the last two.
_UNSENT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
    UnicodeError,
)
_JSON_HEADERS: Final = (('Content-Type', 'application/json'),)


class Call(enum.Enum):
    """What a call to the store is for."""

    whole_read = 'whole_read'
    #: Changes so far, which the store answers at once.
    poll = 'poll'
    #: Changes so far, or the next one.
    long_poll = 'long_poll'
    commit = 'commit'


class StoreClient:
    """The client of the platform's row store."""

    def __init__(self, address: str) -> None:
        """Set the address; `start` opens the session."""
        #: The store's host and port; may change with the settings.
        self.address = address
        self._session: aiohttp.ClientSession | None = None
        #: Numbers of calls made, for the metrics; a commit has no table, as it
        #: may write several.
        self.calls_by_purpose: Counter[tuple[Call, str]] = Counter()
        self._newest = NewestVersion()

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self.calls_by_purpose.total()

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
        """Commit a transaction.

        One that fails with `table_answer_lost` may have taken effect, or may
        still do so later, while its preconditions hold.
        """
        # Answers are linearizable: what is sent now gets a later version.
        at_least = RowVersion(self._newest.told + 1)
        answer = await self._call(
            (Call.commit, ''),
            rows.COMMIT_PATH,
            _COMMIT_TIMEOUT,
            data=rows.encode_transaction(transaction),
            headers=_JSON_HEADERS,
        )
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == HTTPStatus.PRECONDITION_FAILED:
            return self._note(rows.decode_conflict(body))
        if status != HTTPStatus.OK:
            return _unexpected_status(status)
        return self._note(rows.decode_committed(body, at_least))

    async def read(self, table: str, start: str = '') -> rows.Rows | Failure:
        """Read a page of a table's rows, ordered by name, from `start` on."""
        query = {'table': table, 'part': '', 'limit': ROWS_PER_PAGE}
        if start:
            query['from'] = start
        told_before = self._newest.told
        answer = _decode_rows(
            await self._call(
                (Call.whole_read, table),
                rows.READ_PATH,
                _READ_TIMEOUT,
                params=query,
            )
        )
        if isinstance(answer, rows.Rows):
            self._newest.note_read(rows.newest_version(answer), told_before)
        return answer

    async def read_all(self, table: str) -> rows.Rows | Failure:
        """Read a whole table.

        The version is that of the first page, so that `wait_for_changes`
        also returns the rows that changed while other pages were read.
        """
        first = await self.read(table)
        if isinstance(first, Failure):
            return first
        rows_read = list(first.rows)
        start = first.next_start
        while start is not None:
            page = await self.read(table, start)
            if isinstance(page, Failure):
                return page
            rows_read.extend(page.rows)
            start = page.next_start
        return rows.Rows(tuple(rows_read), first.version, first.store_time)

    async def wait_for_changes(
        self,
        table: str,
        after: RowVersion,
        wait: Seconds = LONG_POLL_WAIT,
    ) -> rows.Rows | Failure:
        """Wait for rows of a table that changed after a version.

        The store holds the call for `wait` if there is no change.

        A failure of kind `table_conflict` means that the store no longer has
        all changes since that version, and the table must be read whole.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * MS_PER_SECOND),
        }
        answer = await self._call(
            (Call.long_poll if wait else Call.poll, table),
            rows.CHANGES_PATH,
            _long_poll_timeout(wait),
            params=query,
        )
        return self._note(_decode_rows(answer))

    def _note(self, answer: _Answer) -> _Answer:
        """Note the newest version that an answer tells; return the answer."""
        if not isinstance(answer, Failure):
            self._newest.note(rows.newest_version(answer))
        return answer

    async def _call(
        self,
        purpose: tuple[Call, str],
        path: str,
        timeout: aiohttp.ClientTimeout,
        **options: Any,
    ) -> tuple[int, bytes] | Failure:
        # A task that a stop cancels may still call once after it.
        if self._session is None or self._session.closed:
            return Failure(
                ErrorKind.table_unavailable, 'the session is not open'
            )
        self.calls_by_purpose[purpose] += 1
        try:
            async with self._session.request(
                'POST' if purpose[0] is Call.commit else 'GET',
                f'http://{self.address}{path}',
                timeout=timeout,
                **options,
            ) as response:
                return response.status, await _read_body(response)
        except _UNSENT_ERRORS as error:
            return Failure(ErrorKind.table_unavailable, repr(error))
        except AnswerTooLongError as too_long:
            return Failure(_too_long_kind(path), str(too_long))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            if isinstance(error, asyncio.TimeoutError):
                # Other connections of before may be as silent as this one.
                close_idle(self._session, self.address)
            return Failure(ErrorKind.table_answer_lost, repr(error))


def _too_long_kind(path: str) -> ErrorKind:
    """Return what a call fails with whose answer is too long.

    Changes are not sent in pages: the table is to be read whole, in pages.
    """
    if path == rows.CHANGES_PATH:
        return ErrorKind.table_conflict
    return ErrorKind.table_answer_lost


def _long_poll_timeout(wait: Seconds) -> aiohttp.ClientTimeout:
    """Return the time limits of a call that the store holds for `wait`."""
    return aiohttp.ClientTimeout(
        total=wait + MAX_READ_TIME,
        connect=CONNECT_TIMEOUT,
        sock_read=wait + POLL_ANSWER_TIMEOUT,
    )


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read a body of at most MAX_ANSWER_BYTES.

    Raises TimeoutError if nothing arrives for CALL_TIMEOUT.
    """
    body = bytearray()
    while not response.content.at_eof():
        async with asyncio.timeout(CALL_TIMEOUT):
            body += await response.content.readany()
        check_length(response, len(body), MAX_ANSWER_BYTES)
    return bytes(body)


def _decode_rows(answer: tuple[int, bytes] | Failure) -> rows.Rows | Failure:
    if isinstance(answer, Failure):
        return answer
    status, body = answer
    if status == HTTPStatus.GONE:
        return Failure(
            ErrorKind.table_conflict,
            'the store no longer has the requested changes',
        )
    if status != HTTPStatus.OK:
        return _unexpected_status(status)
    return rows.decode_rows(body)


def _unexpected_status(status: int) -> Failure:
    return Failure(
        ErrorKind.table_unavailable,
        f'the store answered {status}',
    )
