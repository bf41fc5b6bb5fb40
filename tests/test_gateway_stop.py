"""Tests of stopping a daemon process."""

import asyncio
import math
import pathlib
import signal
import socket
import tempfile
import unittest

import aiohttp

from cassialever.fleet.connecting import split_address
from cassialever.gateway.hop_messages import encode_request
from soak.fleet import SoakFleet
from soak.__main__ import START_TIMEOUT
from soak.callers import Callers
from tests.fleet_helpers import deployment, until
from tests.gateway_helpers import (
    ISSUE_HEADERS,
    LOOKUP_HEADERS,
    wait_for_keys,
)
from tests.hop_helpers import ask, cut_off_daemon, hop_request

#: The answer, and the rate at which its caller reads it: within the grace
#: period of a stop.
BODY_BYTES = 12_000_000
BYTES_PER_SECOND = 4_000_000
#: Longer than the caller needs on a busy machine, in seconds.
DRAIN_TIMEOUT = 60
CHUNK_BYTES = 100_000
#: Too long to be sent with its head.
LONG_BYTES = 200_000
#: How long a target takes for it, in seconds.
SERVICE_TIME = 0.3
REQUEST = (
    b'GET /lookup/x HTTP/1.1\r\nHost: registry.example\r\n'
    b'Shard-Key: 1\r\nAttempt-Id: a1\r\nDeadline-Ms: 9000\r\n\r\n'
)


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """A caller whose link is slower than the daemon."""

    async def test_answer_is_sent_whole_to_a_slow_caller(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(pathlib.Path(folder), daemons=1)
            await fleet.start()
            try:
                served = await Callers(fleet, 1).wait_until_served(
                    START_TIMEOUT
                )
                self.assertTrue(served)
                for target in fleet.targets:
                    target.fixed_body = bytes(BODY_BYTES)
                received = await self.read_slowly(fleet)
            finally:
                await fleet.stop()
        self.assertEqual(received, BODY_BYTES)

    async def read_slowly(self, fleet: SoakFleet) -> int:
        """Return the size of the body that arrives around a stop."""
        daemon = fleet.daemons[0]
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', daemon.ports[0], limit=CHUNK_BYTES
        )
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        daemon.send(signal.SIGTERM)
        received = 0
        while chunk := await reader.read(CHUNK_BYTES):
            received += len(chunk)
            await asyncio.sleep(len(chunk) / BYTES_PER_SECOND)
        writer.close()
        await daemon.wait_for_exit()
        return received


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """What is left to send when open requests have ended."""

    async def test_drain_ends_after_the_last_byte_was_sent(self) -> None:
        """The handler ends while a part of its answer is still buffered."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].fixed_body = bytes(BODY_BYTES)
            host, port = gateway.settings.listen.callers.split(':')
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(caller, REQUEST)
            received = len(await loop.sock_recv(caller, CHUNK_BYTES))
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            while not draining.done():
                received += len(await loop.sock_recv(caller, CHUNK_BYTES))
                await asyncio.sleep(0.0005)
            # What the socket has taken is sent by the system.
            unsent = caller.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            caller.close()
        self.assertGreaterEqual(received, BODY_BYTES - unsent)


class AnnouncementTest(unittest.IsolatedAsyncioTestCase):
    """Long answers whose heads are written after a stop has begun.

    They announce that their connections close; a head already sent can't.
    """

    async def test_answer_to_a_caller(self) -> None:
        async with deployment(keyed=1) as system:
            gateway, target = system.gateways[0], system.targets[0]
            await wait_for_keys(gateway)
            target.fixed_body = bytes(LONG_BYTES)
            target.faults.service_time = SERVICE_TIME
            asking = asyncio.create_task(
                ask(gateway, '/lookup/x', LOOKUP_HEADERS)
            )
            await until(lambda: target.executed_ids)
            gateway.server.is_stopping = True
            reply = await asking
        self.assertEqual(len(reply.body), LONG_BYTES)
        self.assertEqual(reply.headers.get('Connection'), 'close')

    async def receive_around_stop(self, requests_behind: int) -> bytes:
        """Return what follows a long answer that a stop has met.

        Its caller sends the next request when it has received it, or some
        behind the first one.
        """
        async with deployment(keyed=1) as system:
            gateway, target = system.gateways[0], system.targets[0]
            await wait_for_keys(gateway)
            target.fixed_body = bytes(BODY_BYTES)
            address = split_address(gateway.settings.listen.callers)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            target.fixed_body = b'next'
            writer.write(REQUEST.replace(b'a1', b'a2') * requests_behind)
            gateway.server.is_stopping = True
            await reader.readexactly(BODY_BYTES)
            if not requests_behind:
                writer.write(REQUEST.replace(b'a1', b'a2'))
            received = await asyncio.wait_for(reader.read(), DRAIN_TIMEOUT)
            writer.close()
        return received

    async def test_request_after_an_answer_that_announced_nothing(self) -> None:
        """The stop began after its head had been sent."""
        for requests_behind in (0, 1):
            with self.subTest(requests_behind=requests_behind):
                received = await self.receive_around_stop(requests_behind)
                self.assertIn(b'200 OK', received)
                self.assertIn(b'Connection: close', received)
                self.assertTrue(received.endswith(b'\r\n\r\nnext'))

    async def test_answer_to_another_daemon(self) -> None:
        async with cut_off_daemon() as (system, _, helper):
            target = system.targets[-1]
            target.fixed_body = bytes(LONG_BYTES)
            target.faults.service_time = SERVICE_TIME
            headers = {
                **ISSUE_HEADERS,
                'Attempt-Id': 'a1',
                **dict(encode_request(hop_request(helper, 'i0'), '')),
            }
            address = helper.settings.hop_address
            async with aiohttp.ClientSession() as session:
                asking = asyncio.create_task(
                    session.post(f'http://{address}/issue/1', headers=headers)
                )
                await until(lambda: target.executed_ids)
                helper.core.exchanges.hop_server.announce_stop(math.inf)
                async with await asking as response:
                    body = await response.read()
        self.assertEqual(len(body), LONG_BYTES)
        self.assertEqual(response.headers.get('Connection'), 'close')


if __name__ == '__main__':
    unittest.main()
