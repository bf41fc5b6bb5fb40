"""Connections to one target, pooled, limited and replaced when silent."""

import weakref
from contextvars import ContextVar
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from aiohttp.connector import Connection

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.tracing import Trace


class Sending(msgspec.Struct):
    """How far one attempt has come; `connected`: a byte may have left."""

    connected: bool = False


#: The attempt of the task that asks for a connection.
sending: ContextVar[Sending] = ContextVar('sending')


class TargetConnector(aiohttp.TCPConnector):
    """A pool that can disown its older connections.

    It also keeps aiohttp from sending a request a second time by itself,
    which it does with any method that HTTP calls idempotent.
    """

    def __init__(self, limit: int, limit_per_host: int = 0) -> None:
        """Allow so many connections at once; 0 per host is any number."""
        super().__init__(limit=limit, limit_per_host=limit_per_host)
        #: Connections that carry a request now.
        self.in_use = 0
        self._generation = 0
        self._generation_by_protocol: weakref.WeakKeyDictionary[object, int] = (
            weakref.WeakKeyDictionary()
        )

    def disown_pooled(self) -> None:
        """Never use again a connection that is open now."""
        self._generation += 1

    async def connect(
        self,
        req: 'ClientRequest',
        traces: list['Trace'],
        timeout: 'ClientTimeout',
    ) -> Connection:
        """Return a connection that is not disowned."""
        attempt = sending.get()
        if attempt.connected:
            raise aiohttp.ClientConnectionError('the connection was lost')
        connection = await super().connect(req, traces, timeout)
        while self._is_disowned(connection):
            connection.close()
            connection = await super().connect(req, traces, timeout)
        attempt.connected = True
        self.in_use += 1
        connection.add_callback(self._release_one)
        return connection

    def _release_one(self) -> None:
        self.in_use -= 1

    def _is_disowned(self, connection: Connection) -> bool:
        generation = self._generation_by_protocol.setdefault(
            connection.protocol,
            self._generation,
        )
        return generation != self._generation
