"""Makers that the tests of links share."""

import asyncio
import contextlib
from collections.abc import Callable

from cassialever.messages import RequestHead
from cassialever.settings import (
    InstanceSettings,
    LinkSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
)
from cassialever.types import (
    CallerId,
    DataCentreId,
    InstanceId,
    RequestId,
    ServiceName,
    TargetId,
)

# No link is ticked by the clock in these tests.
NEVER = 3600


def make_settings(
    name: str, fleet_key: str = 'key', **links: object
) -> Settings:
    """Return settings of one daemon on loopback."""
    quiet = {'ping_interval': NEVER, 'silent_after': 3 * NEVER}
    return Settings(
        instance=InstanceSettings(
            instance_id=InstanceId(name),
            data_centre=DataCentreId('dc'),
            address='127.0.0.1',
            peer_port=0,
        ),
        platform=PlatformSettings(table_url='', instances_url=''),
        security=SecuritySettings(fleet_key=fleet_key, operator_credential='c'),
        links=LinkSettings(**{**quiet, **links}),
    )


def make_head(request_id: str = 'r1', **fields: object) -> RequestHead:
    """Return the head of a request."""
    base = {
        'request_id': RequestId(request_id),
        'caller': CallerId('caller'),
        'service': ServiceName('registry'),
        'target_id': TargetId('t1'),
        'method': 'GET',
        'path': '/registry/é',
        'headers': (('Accept', '*/*'), ('Accept', 'text/plain')),
        'time_left_ms': 1000,
        'repeatable': True,
        'has_body': False,
    }
    return RequestHead(**{**base, **fields})


class Relay:
    """Pass bytes between a dialler and a peer until it is told not to."""

    def __init__(self) -> None:
        """Start without a socket."""
        self.frozen = False
        self.accepted = 0
        self._port = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._pumps: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> int:
        """Listen in front of a port and return the relay's own."""
        self._port = port
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Break every connection."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def close(self) -> None:
        """Stop."""
        self.cut()
        self._server.close()
        for pump in self._pumps:
            pump.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        inner, outer = await asyncio.open_connection('127.0.0.1', self._port)
        self._writers += [writer, outer]
        for source, sink in ((reader, outer), (inner, writer)):
            self._pumps.append(asyncio.create_task(self._pump(source, sink)))

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while got := await source.read(65536):
                if not self.frozen:
                    sink.write(got)
                    await sink.drain()
        sink.transport.abort()


async def until(holds: Callable[[], bool]) -> None:
    """Let the loop run until something holds; a test ends at the latest."""
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0)
