"""A stand-in row store that speaks the platform's protocol."""

import asyncio
import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import msgspec
from aiohttp import web

from standins.call_faults import (
    COMMIT_PATH,
    FEED_PATH,
    HOLD_TIME,
    READ_PATH,
    STATUS_BY_OUTCOME,
    CallFault,
    CallOutcome,
    find_fault,
)
from standins.listening import Listener
from standins.store_pace import StorePace

_TABLE: Final = 'table'
_KEY: Final = 'key'
#: Maximum number of rows that a read returns.
PAGE_SIZE: Final = 500


class StoredRow(msgspec.Struct):
    """A row; a deleted row stays in the history with no value."""

    table: str
    key: str
    value: str | None
    ver: int

    def to_wire(self) -> dict[str, Any]:
        """Return the row as it is encoded in responses."""
        fields = {_TABLE: self.table, 'part': '', _KEY: self.key}
        if self.value is None:
            return {**fields, 'ver': self.ver, 'removed': True}
        return {**fields, 'ver': self.ver, 'value': self.value}


class RowStore:
    """The rows and their history, without I/O."""

    def __init__(self) -> None:
        """Start with an empty store at version 0."""
        self.version = 0
        self.row_by_name: dict[tuple[str, str], StoredRow] = {}
        self.history: list[StoredRow] = []
        #: Changes up to this version have been removed from the history.
        self.truncated_version = 0
        #: The rows as they were then.
        self._truncated_rows: dict[tuple[str, str], StoredRow] = {}
        #: Whether later versions were told than the present one.
        self.has_lost_writes = False

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write one row and return the new version."""
        value = base64.b64encode(content).decode()
        return self.apply([{_TABLE: table, _KEY: key, 'value': value}], [])

    def delete(self, table: str, key: str) -> int:
        """Delete one row and return the new version."""
        return self.apply([], [{_TABLE: table, _KEY: key}])

    def transact(self, body: dict[str, Any]) -> list[StoredRow] | int:
        """Apply a transaction and return the new version.

        If an expected version is not the current one, nothing is applied and
        all expected rows are returned as they are now.
        """
        names = [(row[_TABLE], row[_KEY]) for row in body['expect']]
        for row in body['expect']:
            if self._version_of(row[_TABLE], row[_KEY]) != row['ver']:
                return self.current(names)
        return self.apply(body['writes'], body['remove'])

    def current(self, names: list[tuple[str, str]]) -> list[StoredRow]:
        """Return rows as they are now, by their names."""
        return [
            self.row_by_name.get(name) or StoredRow(*name, None, 0)
            for name in names
        ]

    def apply(
        self,
        writes: list[dict[str, Any]],
        removes: list[dict[str, Any]],
    ) -> int:
        """Write and delete rows at one new version, and return it."""
        self.version += 1
        for row in writes:
            name = (row[_TABLE], row[_KEY])
            stored = StoredRow(*name, row['value'], self.version)
            self.row_by_name[name] = stored
            self.history.append(stored)
        for row in removes:
            name = (row[_TABLE], row[_KEY])
            if self.row_by_name.pop(name, None) is not None:
                self.history.append(StoredRow(*name, None, self.version))
        return self.version

    def read_page(self, table: str, start: str) -> list[StoredRow]:
        """Return a table's rows from a key on, one more than the page size.

        The extra row shows that there are more.
        """
        rows = [
            row
            for (name, key), row in sorted(self.row_by_name.items())
            if name == table and key >= start
        ]
        return rows[: PAGE_SIZE + 1]

    def changes_after(self, table: str, after: int) -> list[StoredRow] | None:
        """Return changes after a version; None if they have been removed."""
        is_lost = self.has_lost_writes and after > self.version
        if is_lost or after < self.truncated_version:
            return None
        return [
            row
            for row in self.history
            if row.table == table and row.ver > after
        ]

    def as_of(self, version: int) -> 'RowStore':
        """Return the rows and history as they were at a version.

        Changes that have been removed from the history are not undone.
        """
        if version == self.version:
            return self
        earlier = RowStore()
        earlier.version = version
        earlier.truncated_version = self.truncated_version
        earlier.history = [row for row in self.history if row.ver <= version]
        changed = {
            (later.table, later.key)
            for later in self.history
            if later.ver > version
        }
        earlier.row_by_name = {
            name: row
            for name, row in self.row_by_name.items()
            if name not in changed
        }
        earlier.row_by_name.update(
            (name, row)
            for name, row in self._truncated_rows.items()
            if name in changed
        )
        for known in earlier.history:
            name = (known.table, known.key)
            if name not in changed:
                continue
            earlier.row_by_name.pop(name, None)
            if known.value is not None:
                earlier.row_by_name[name] = known
        return earlier

    def go_back(self, version: int) -> list[StoredRow]:
        """Lose all changes after a version, and return them.

        Later writes get the same versions again. The history is empty. Changes
        that have been removed from it are not lost.
        """
        lost = [row for row in self.history if row.ver > version]
        earlier = self.as_of(max(version, self.truncated_version))
        self.version = earlier.version
        self.row_by_name = dict(earlier.row_by_name)
        self.truncate_history()
        self.has_lost_writes = True
        return lost

    def truncate_history(self) -> None:
        """Remove all changes from the history."""
        self.history.clear()
        self.truncated_version = self.version
        self._truncated_rows = dict(self.row_by_name)

    def _version_of(self, table: str, key: str) -> int:
        row = self.row_by_name.get((table, key))
        return row.ver if row else 0


class RowStoreServer:
    """An HTTP server for the store's calls, with faults for tests."""

    def __init__(self) -> None:
        """Start without rows or faults; `start` lets it listen."""
        self.rows = RowStore()
        #: Faults of many calls at once, and rows of other writers.
        self.pace = StorePace(self.rows.put, lambda: self.rows.version)
        self.call_count_by_path: dict[str, int] = {}
        #: If set, answer every call with this status.
        self.error_status: int | None = None
        #: Commit transactions without answering them.
        self.drops_responses = False
        #: Delay of every call, in seconds.
        self.call_delay: float = 0
        self.call_faults: list[CallFault] = []
        #: Return the machine that has the connection from a port.
        self.machine_at: Callable[[int], str] = _unknown_machine
        #: The machine whose transaction was performed last, and when answers
        #: to those of each machine were sent, by the loop's clock.
        self.last_writer = ''
        self.confirmed_at: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._listener = Listener()

    @property
    def address(self) -> str:
        """Return the host and port that the store listens on."""
        return self._listener.address

    async def start(self, port: int = 0) -> None:
        """Start listening; port 0 selects any free port."""
        application = web.Application(middlewares=[self._inject_faults])
        application.router.add_post(COMMIT_PATH, self._handle_transaction)
        application.router.add_get(READ_PATH, self._handle_read)
        application.router.add_get(FEED_PATH, self._handle_feed)
        await self._listener.start(application, port)

    async def stop(self) -> None:
        """Stop the server."""
        self.pace.stop()
        await self._listener.stop()

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row with a JSON document."""
        self.put_bytes(table, key, msgspec.json.encode(document))

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row with any content."""
        self.rows.put(table, key, content)
        self._wake_feeds()

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self.rows.delete(table, key)
        self._wake_feeds()

    @web.middleware
    async def _inject_faults(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110
    ) -> web.StreamResponse:
        self.call_count_by_path[request.path] = (
            self.call_count_by_path.get(request.path, 0) + 1
        )
        if self.error_status is not None:
            return web.Response(status=self.error_status)
        await asyncio.sleep(self.call_delay)
        machine = self.machine_at(_port_of(request))
        fault = find_fault(self.call_faults, request, machine)
        if fault is not None:
            return await self._spoil(request, handler, fault.outcome)
        response = await self.pace.answer(request, handler, machine)
        if request.path == COMMIT_PATH and self.drops_responses:
            if request.transport is not None:
                request.transport.abort()
        elif request.path == COMMIT_PATH and response.status == HTTPStatus.OK:
            now = asyncio.get_running_loop().time()
            self.confirmed_at[machine] = now
        return response

    async def _spoil(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110
        outcome: CallOutcome,
    ) -> web.StreamResponse:
        """Answer a call that meets a fault, or end its connection."""
        status = STATUS_BY_OUTCOME.get(outcome)
        if status is not None:
            return web.Response(status=status)
        if outcome is CallOutcome.conflicting:
            return self._conflict(msgspec.json.decode(await request.read()))
        if outcome is CallOutcome.performed_late:
            await self.pace.perform_late(request, handler, HOLD_TIME / 2)
        elif outcome.loses_answers:
            await handler(request)
        if outcome in {CallOutcome.answer_held, CallOutcome.unanswered}:
            await asyncio.sleep(HOLD_TIME)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    def _conflict(self, body: dict[str, Any]) -> web.Response:
        """Refuse a transaction with its expected rows as they are."""
        names = [(row[_TABLE], row[_KEY]) for row in body['expect']]
        return self._response(
            self.rows.current(names), HTTPStatus.PRECONDITION_FAILED
        )

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        body = await request.read()
        outcome = self.rows.transact(msgspec.json.decode(body))
        if isinstance(outcome, int):
            # A caller that has gone is no longer known.
            machine = self.machine_at(_port_of(request))
            self.last_writer = machine or self.last_writer
            self.pace.other_writers.follow(body)
            self._wake_feeds()
            return self._response([])
        return self._response(outcome, HTTPStatus.PRECONDITION_FAILED)

    async def _handle_read(self, request: web.Request) -> web.Response:
        shown = self._shown(request, is_feed=False)
        rows = shown.read_page(
            request.query[_TABLE],
            request.query.get('from', ''),
        )
        return self._response(
            rows[:PAGE_SIZE],
            has_more=len(rows) > PAGE_SIZE,
            version=shown.version,
        )

    async def _handle_feed(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        wait = int(request.query['wait_ms']) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            shown = self._shown(request, is_feed=True)
            rows = shown.changes_after(request.query[_TABLE], after)
            if rows is None:
                return web.Response(status=HTTPStatus.GONE)
            remaining = deadline - loop.time()
            if rows or remaining <= 0:
                return self._response(rows, version=shown.version)
            change = asyncio.ensure_future(self._changed.wait())
            pause = self.pace.lag.until_shown(remaining)
            await asyncio.wait((change,), timeout=pause)
            change.cancel()

    def _shown(self, request: web.Request, *, is_feed: bool) -> RowStore:
        """Return the rows as a read shows them."""
        version = self.pace.lag.version_for(
            request.query[_TABLE],
            self.machine_at(_port_of(request)),
            self.rows.version,
            is_feed=is_feed,
        )
        return self.rows.as_of(version)

    def _wake_feeds(self) -> None:
        self.pace.lag.note(self.rows.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _response(
        self,
        rows: list[StoredRow],
        status: int = HTTPStatus.OK,
        *,
        has_more: bool = False,
        version: int | None = None,
    ) -> web.Response:
        now = asyncio.get_running_loop().time()
        body = {
            'rows': [row.to_wire() for row in rows],
            'has_more': has_more,
            'ver': self.rows.version if version is None else version,
            'now_ms': now * 1000,
        }
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type='application/json',
        )


def _port_of(request: web.Request) -> int:
    """Return the caller's port; 0 if its connection has ended."""
    peer = request.transport and request.transport.get_extra_info('peername')
    return int(peer[1]) if peer else 0


def _unknown_machine(port: int) -> str:
    """Return no machine; the default until machines are known."""
    return ''
