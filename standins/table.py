"""A stand-in for the platform's transactional table service, over HTTP."""

from collections.abc import Sequence

import msgspec
from aiohttp import web

from cassialever.interfaces import ABSENT, Row, RowWrite, Transaction
from cassialever.misc import ServerSite
from cassialever.table import (
    COMMIT_PATH,
    READ_PATH,
    SCAN_PATH,
    CommitReply,
    ReadOrder,
    RowsReply,
    ScanOrder,
)
from cassialever.types import RowName, RowVersion


class TableRows:
    """Keep rows in memory and commit transactions whole or not at all."""

    def __init__(self) -> None:
        """Start empty."""
        self.row_by_name: dict[RowName, Row] = {}
        self.reads = 0
        self.writes = 0

    def version(self, name: RowName) -> RowVersion:
        """Return a row's version, `ABSENT` where there is none."""
        row = self.row_by_name.get(name)
        return row.version if row else ABSENT

    def read(self, names: Sequence[RowName]) -> list[Row]:
        """Return those of the named rows that exist."""
        self.reads += 1
        found = [self.row_by_name.get(name) for name in names]
        return [row for row in found if row is not None]

    def scan(self, prefix: str) -> list[Row]:
        """Return every row whose name starts with the prefix."""
        self.reads += 1
        return [
            row
            for name, row in self.row_by_name.items()
            if name.startswith(prefix)
        ]

    def commit(self, transaction: Transaction) -> CommitReply:
        """Write all rows if every expected version holds."""
        conflicts = self._conflicts(transaction)
        if conflicts:
            return CommitReply(conflicts=conflicts)
        self.writes += 1
        names = [order.name for order in transaction.writes]
        for write in transaction.writes:
            self._write(write)
        return CommitReply(
            version_by_name={name: self.version(name) for name in names},
        )

    def _conflicts(self, transaction: Transaction) -> list[RowName]:
        expected = {write.name: write.expected for write in transaction.writes}
        expected.update(transaction.checks)
        return [
            name
            for name, version in expected.items()
            if self.version(name) != version
        ]

    def _write(self, write: RowWrite) -> None:
        if write.body is None:
            self.row_by_name.pop(write.name, None)
            return
        version = RowVersion(write.expected + 1)
        self.row_by_name[write.name] = Row(write.name, version, write.body)


class TableServer:
    """Serve the rows over HTTP on loopback."""

    def __init__(self) -> None:
        """Make the application; nothing listens yet."""
        self.rows = TableRows()
        app = web.Application()
        app.router.add_post(READ_PATH, self._read)
        app.router.add_post(SCAN_PATH, self._scan)
        app.router.add_post(COMMIT_PATH, self._commit)
        self.site = ServerSite(app)

    async def start(self, port: int = 0) -> str:
        """Listen and return the base URL."""
        return await self.site.start('127.0.0.1', port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.site.stop()

    async def _read(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ReadOrder)
        rows = self.rows.read(order.names)
        return web.Response(body=msgspec.json.encode(RowsReply(rows)))

    async def _scan(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ScanOrder)
        rows = self.rows.scan(order.prefix)
        return web.Response(body=msgspec.json.encode(RowsReply(rows)))

    async def _commit(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Transaction)
        return web.Response(body=msgspec.json.encode(self.rows.commit(order)))
