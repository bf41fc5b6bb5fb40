"""Tests of what the stand-ins must not bring about by themselves."""

import asyncio
import pathlib
import socket
import unittest

from aiohttp import web

from standins.keyed_target import TargetServer
from standins.listening import LOOPBACK, Listener

#: The ports that the system gives to connections and to servers without one.
SYSTEM_PORTS = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Its loop logs what fails while a connection is set up."""

    async def test_connection_at_the_stop_is_no_fault(self) -> None:
        # A test that ended a target failed by the error of the event loop.
        for stop in (Listener.stop, Listener.abort):
            for turns in range(4):
                with self.subTest(stop=stop.__name__, turns=turns):
                    listener = Listener()
                    await listener.start(web.Application())
                    port = int(listener.address.rpartition(':')[2])
                    with (
                        socket.create_connection((LOOPBACK, port)),
                        self.assertNoLogs('asyncio', 'ERROR'),
                    ):
                        for _ in range(turns):
                            await asyncio.sleep(0)
                        await stop(listener)
                        await asyncio.sleep(0.05)
                    await listener.stop()
