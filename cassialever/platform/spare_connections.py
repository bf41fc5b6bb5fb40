"""Keep a spare connection to each owner of keys, and prove whom it reaches.

A connection is asked by a call that names no target there is, so that no
process carries it out. Whatever comes back is an answer of the process, but for
a success: that is the copy of an earlier one.
"""

import asyncio
import time
from collections.abc import Container
from http import HTTPStatus
from typing import Final

import aiohttp

from cassialever.fleet.connecting import CONNECT_TIMEOUT
from cassialever.platform import wire
from cassialever.platform.answer_bodies import read_limited
from cassialever.platform.identity import call_headers
from cassialever.platform.known_connections import (
    close_in_use,
    connection_in_use,
    only_on,
)
from cassialever.platform.processes import TargetProcess, TargetProcesses
from cassialever.platform.sessions import idle_connections, open_idle
from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds, TargetId

#: Idle connections to an owner of keys: one that is used and a spare one. Keys
#: are renewed on a connection to the process that has them.
IDLE_CONNECTIONS: Final = 2
#: How long an answer that proves the process of a connection may take. The
#: question changes nothing, so that it may arrive at any time.
PROOF_TIMEOUT: Final[Seconds] = 2.0
#: The same on a new connection for which a process that has answered waits.
NEW_CONNECTION_TIMEOUT: Final[Seconds] = 0.3
#: The same for an answer after that of a spare connection. The next grant waits
#: for it, so that it has as long as a grant.
CONFIRMATION_TIMEOUT: Final[Seconds] = 0.4
#: Bytes of the body of an answer; what it tells is in its head.
MAX_ANSWER_BYTES: Final = 4096
#: The id that no target has.
NO_TARGET: Final = TargetId('-')


class SpareConnections:
    """The spare connections of one session."""

    def __init__(self, processes: TargetProcesses) -> None:
        """Start without connections."""
        self._processes = processes
        #: Addresses to which a spare connection is being opened.
        self._opening: set[str] = set()
        self._tasks = BackgroundTasks()

    def stop(self) -> None:
        """Stop opening connections."""
        self._tasks.stop()

    def open(self, session: aiohttp.ClientSession, address: str) -> None:
        """Open a connection in the background, unless there are enough."""
        is_missing = len(idle_connections(session, address)) < IDLE_CONNECTIONS
        if is_missing and address not in self._opening:
            self._opening.add(address)
            self._tasks.start(self._open(session, address, PROOF_TIMEOUT))

    async def confirm(
        self,
        session: aiohttp.ClientSession,
        address: str,
        process: TargetProcess,
    ) -> None:
        """Ask a process that has accepted keys, if that proves a connection.

        It has answered on a spare connection before.
        """
        idle = idle_connections(session, address)
        if self._processes.has_unproven(process, idle):
            await self._ask(
                session, address, process.connections, CONFIRMATION_TIMEOUT
            )

    async def prove(
        self,
        session: aiohttp.ClientSession,
        address: str,
        process: TargetProcess,
    ) -> bool:
        """Return whether a process answers on a connection that is left to it.

        It gets a second one before, if it takes that, so that a call which is
        lost with its connection does not take the last one.
        """
        asked = process.connections
        if asked.isdisjoint(idle_connections(session, address)):
            return False
        is_missing = len(idle_connections(session, address)) < IDLE_CONNECTIONS
        if is_missing and address not in self._opening:
            self._opening.add(address)
            await self._open(session, address, NEW_CONNECTION_TIMEOUT)
        return await self._ask(session, address, asked, PROOF_TIMEOUT)

    async def _open(
        self, session: aiohttp.ClientSession, address: str, timeout: Seconds
    ) -> None:
        try:
            connection = await open_idle(session, address, CONNECT_TIMEOUT)
            if connection is not None:
                self._processes.record_made(connection, time.monotonic())
                await self._ask(session, address, (connection,), timeout)
        finally:
            self._opening.discard(address)

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        address: str,
        connections: Container[object],
        timeout: Seconds,
    ) -> bool:
        """Return whether an answer comes on one of some idle connections.

        The answers of a connection with a copy belong to earlier calls.
        """
        sent_at = time.monotonic()
        try:
            with only_on(connections):
                status = await _status_of_question(session, address, timeout)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False
        connection = connection_in_use()
        if connection is None or status == HTTPStatus.OK:
            close_in_use()
            return False
        # A refusal that another target would not give may be that of a grant.
        is_proof = self._processes.record_status(connection, status) and (
            status == HTTPStatus.MISDIRECTED_REQUEST
        )
        idle = idle_connections(session, address)
        self._processes.record_answer(
            connection, sent_at, time.monotonic(), idle if is_proof else ()
        )
        return True


async def _status_of_question(
    session: aiohttp.ClientSession, address: str, timeout: Seconds
) -> int:
    """Return the status that answers a question."""
    async with session.post(
        f'http://{address}{wire.GRANT_PATH}',
        data=b'{}',
        headers=call_headers(NO_TARGET),
        timeout=aiohttp.ClientTimeout(total=timeout),
        allow_redirects=False,
    ) as response:
        await read_limited(response, MAX_ANSWER_BYTES)
        return response.status
