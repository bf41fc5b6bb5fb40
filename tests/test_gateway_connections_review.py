"""Tests of connections that a close or a stop treats wrongly."""

import asyncio
import contextlib
import socket
import time
import unittest
from unittest import mock

from aiohttp import web

from cassialever.callers.front import CallerServer
from cassialever.clock import SystemClock
from cassialever.gateway.application import Gateway
from cassialever.gateway.bodies import _StallWatch
from cassialever.gateway.connections import (
    LINGER_CHECK_INTERVAL,
    STALL_TIMEOUT,
    LingeringTransport,
)
from tests.fleet_helpers import (
    CONFIGURATION,
    ROUTES,
    Deployment,
    deployment,
    until,
)
from tests.gateway_helpers import wait_for_keys
from tests.test_gateway_connections import (
    BODY_BYTES,
    DRAIN_TIMEOUT,
    connect,
    read_to_end,
    read_until,
    request,
    turn_loop,
)

CONNECTIONS = 'cassialever.gateway.connections'
#: Longer than a request takes on a busy computer, in seconds.
TIMEOUT = 20.0
CHUNK_BYTES = 65536
#: The rate at which a slow caller reads.
BYTES_PER_SECOND = 4_000_000


class _Connection(asyncio.Protocol):
    """Records when its connection is lost."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.is_lost = asyncio.Event()
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def pause_writing(self) -> None:
        self.is_paused = True

    def resume_writing(self) -> None:
        self.is_paused = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost.set()


class ClosingTest(unittest.IsolatedAsyncioTestCase):
    """The two steps of closing a connection."""

    async def asyncSetUp(self) -> None:
        listening = socket.create_server(('127.0.0.1', 0))
        self.caller = socket.socket()
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.caller.connect(listening.getsockname())
        accepted = listening.accept()[0]
        listening.close()
        accepted.setblocking(False)
        self.connection = _Connection()
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: self.connection, accepted)
        transport = self.connection.transport
        assert transport is not None
        self.transport = transport

    async def asyncTearDown(self) -> None:
        self.caller.close()
        self.transport.abort()

    async def test_caller_that_stops_reading_does_not_keep_its_connection(
        self,
    ) -> None:
        while not self.transport.get_write_buffer_size():
            self.transport.write(bytes(CHUNK_BYTES))
        LingeringTransport(self.transport).close()
        async with asyncio.timeout(STALL_TIMEOUT + 4 * LINGER_CHECK_INTERVAL):
            await self.connection.is_lost.wait()

    async def test_caller_that_half_closes_and_stops_reading_does_neither(
        self,
    ) -> None:
        while not self.transport.get_write_buffer_size():
            self.transport.write(bytes(CHUNK_BYTES))
        LingeringTransport(self.transport).close()
        self.caller.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(STALL_TIMEOUT + 4 * LINGER_CHECK_INTERVAL):
            await self.connection.is_lost.wait()

    async def test_close_while_reading_is_paused_sees_the_caller_close(
        self,
    ) -> None:
        self.transport.pause_reading()
        self.caller.sendall(request('b1'))
        LingeringTransport(self.transport).close()
        self.assertEqual(self.caller.recv(1), b'')
        self.caller.close()
        # Not only at the first check.
        async with asyncio.timeout(LINGER_CHECK_INTERVAL / 2):
            await self.connection.is_lost.wait()

    async def test_check_of_a_lost_connection_is_no_fault(self) -> None:
        """A timer between the loss and the end of the answer raised."""
        self.transport.write(bytes(CHUNK_BYTES))
        with _StallWatch(self.transport) as watch:
            self.transport.abort()
            await self.connection.is_lost.wait()
            await turn_loop(1)
            watch._check()

    async def test_slow_caller_loses_nothing_where_unsent_bytes_are_unknown(
        self,
    ) -> None:
        sent = 400_000
        self.transport.write(bytes(sent))
        self.assertEqual(self.transport.get_write_buffer_size(), 0)
        with mock.patch('fcntl.ioctl', side_effect=OSError):
            LingeringTransport(self.transport).close()
            await asyncio.sleep(2.5)
            # A request that was on the way.
            self.caller.sendall(request('b1'))
            await asyncio.sleep(0.1)
            received = await read_to_end(self.caller)
        self.assertEqual(len(received), sent)


async def lengthen_routes(system: Deployment, gateway: Gateway) -> None:
    """Let routes wait longer than a stop may take."""
    routes = {
        name: {**route, 'timeout_ms': 30000} for name, route in ROUTES.items()
    }
    system.store.put(
        'op', 'config', {**CONFIGURATION, 'version': 'r8', 'routes': routes}
    )

    def is_applied() -> bool:
        configuration = gateway.view.configuration
        return configuration is not None and configuration.version == 8

    await until(is_applied)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """The times of a whole stop."""

    async def answer_of_long_request(self, sent_at: float) -> bytes:
        """Return the answer to a request that is longer than a stop.

        It is sent at a time after the stop began, in seconds.
        """
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            await lengthen_routes(system, gateway)
            await wait_for_keys(gateway)
            system.targets[0].faults.service_time = 30
            caller = connect(gateway)
            text = request('a1').replace(b'9000', b'20000')
            loop = asyncio.get_running_loop()
            loop.call_later(max(sent_at, 0), caller.sendall, text)
            await asyncio.sleep(max(-sent_at, 0))
            system.gateways.remove(gateway)
            with mock.patch(f'{CONNECTIONS}.record') as record:
                stopping = asyncio.create_task(gateway.stop())
                answer = await read_to_end(caller)
                await stopping
        # The drain did not end before the answer was given.
        record.assert_not_called()
        return answer

    async def test_request_that_outlasts_the_whole_stop_is_answered(
        self,
    ) -> None:
        answer = await self.answer_of_long_request(1.0)
        self.assertTrue(answer.startswith(b'HTTP/1.1 504'), answer[:80])

    async def test_request_before_the_stop_that_outlasts_it_is_answered(
        self,
    ) -> None:
        answer = await self.answer_of_long_request(-0.2)
        self.assertTrue(answer.startswith(b'HTTP/1.1 504'), answer[:80])

    async def test_late_loop_answers_a_request_that_outlasts_the_stop(
        self,
    ) -> None:
        """The loop is busy with other work four times in five."""
        busy = asyncio.create_task(keep_loop_late(0.4, 0.1))
        answer = await self.answer_of_long_request(-0.2)
        busy.cancel()
        self.assertTrue(answer.startswith(b'HTTP/1.1 504'), answer[:80])

    async def test_slow_store_does_not_prolong_accepting(self) -> None:
        async def resign() -> None:
            # As long as the store's client waits for an answer.
            await asyncio.sleep(1.0)

        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            gateway.core.membership.resign = resign  # type: ignore
            system.gateways.remove(gateway)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            stopping = asyncio.create_task(gateway.stop())
            accepting = 0.0
            with contextlib.suppress(ConnectionRefusedError):
                while not stopping.done():
                    connect(gateway).close()
                    accepting = loop.time() - started_at
                    await asyncio.sleep(0.02)
            await stopping
        self.assertLess(accepting, gateway.settings.bounds.grace_s * 0.5 + 0.2)


async def keep_loop_late(blocked: float, free: float) -> None:
    """Block the loop again and again, with pauses of a length."""
    while True:
        time.sleep(blocked)
        await asyncio.sleep(free)


async def read_slowly_and_send(caller: socket.socket) -> bytes:
    """Read until the daemon closes; a request goes out with each chunk."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(TIMEOUT):
        while chunk := await loop.sock_recv(caller, CHUNK_BYTES):
            received += chunk
            if len(received) < BODY_BYTES:
                await loop.sock_sendall(caller, request(f'b{len(received)}'))
            await asyncio.sleep(len(chunk) / BYTES_PER_SECOND)
    caller.close()
    return bytes(received)


class DrainingTest(unittest.IsolatedAsyncioTestCase):
    """Connections at the moment a drain begins."""

    async def test_second_request_received_in_part_is_answered(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            caller = connect(gateway)
            second = request('a2')
            caller.sendall(request('a1') + second[:40])
            await read_until(caller, b'/lookup/x')
            await asyncio.sleep(0.05)
            gateway.server.is_stopping = True
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError):
                caller.sendall(second[40:])
            answer = await read_to_end(caller)
            await draining
        self.assertIn(b'HTTP/1.1 200', answer)

    async def test_request_after_the_drain_began_is_answered_or_ends_at_once(
        self,
    ) -> None:
        # Read and never answered, its connection closed with the last others.
        for turns in range(6):
            async with deployment(keyed=1) as system:
                gateway = system.gateways[0]
                await wait_for_keys(gateway)
                system.targets[0].faults.service_time = 0.5
                pending, caller = connect(gateway), connect(gateway)
                await asyncio.sleep(0.1)
                pending.sendall(request('b1'))
                await asyncio.sleep(0.05)
                gateway.server.is_stopping = True
                draining = asyncio.create_task(
                    gateway.server.drain(DRAIN_TIMEOUT)
                )
                await turn_loop(turns)
                caller.sendall(request('a1'))
                started_at = asyncio.get_running_loop().time()
                answer = b''
                with contextlib.suppress(ConnectionResetError):
                    answer = await read_to_end(caller)
                elapsed = asyncio.get_running_loop().time() - started_at
                await read_to_end(pending)
                await draining
            if not answer:
                self.assertLess(elapsed, 0.2, turns)
                self.assertNotIn('a1', system.targets[0].executed_ids)

    async def test_drain_does_not_end_before_connections_are_accepted(
        self,
    ) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            caller = connect(gateway)
            caller.sendall(request('a1'))
            gateway.server.is_stopping = True
            await gateway.server.drain(DRAIN_TIMEOUT)
            answer = caller.recv(CHUNK_BYTES, socket.MSG_DONTWAIT)
            caller.close()
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])

    async def test_answer_unsent_on_an_idle_connection_is_whole(self) -> None:
        """Its caller sends requests behind it when the drain begins."""
        size = 400_000
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].fixed_body = bytes(size)
            caller = connect(gateway, window=4096)
            caller.sendall(request('a1'))
            await asyncio.sleep(0.3)
            gateway.server.is_stopping = True
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            await asyncio.sleep(0.05)
            await read_until(caller, b'\r\n\r\n')
            body = await read_slowly_and_send(caller)
            await draining
        self.assertEqual(len(body), size)

    async def test_blank_line_after_a_request_does_not_hold_the_drain(
        self,
    ) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            caller = connect(gateway)
            caller.sendall(request('a1'))
            await read_until(caller, b'/lookup/x')
            caller.sendall(b'\r\n')
            await asyncio.sleep(0.05)
            gateway.server.is_stopping = True
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            async with asyncio.timeout(1):
                await read_to_end(caller)
            await draining

    async def test_answer_in_progress_with_requests_behind_it(self) -> None:
        """The request was accepted before the drain began."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].fixed_body = bytes(BODY_BYTES)
            system.targets[0].faults.service_time = 0.2
            caller = connect(gateway, window=4096)
            caller.sendall(request('a1'))
            await asyncio.sleep(0.1)
            gateway.server.is_stopping = True
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            await read_until(caller, b'\r\n\r\n')
            body = await read_slowly_and_send(caller)
            await draining
        self.assertEqual(len(body), BODY_BYTES)

    async def test_drain_without_descriptors_answers_what_waits(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            caller = connect(gateway)
            caller.sendall(request('a1'))
            gateway.server.is_stopping = True
            listening = gateway.server._callers._socket
            assert listening is not None
            failing = mock.Mock(wraps=listening)
            failing.accept.side_effect = [
                OSError(24, 'Too many open files'),
                *[mock.DEFAULT] * 10,
            ]
            failing.fileno.return_value = listening.fileno()
            gateway.server._callers._socket = failing
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            answer = await read_to_end(caller)
            await draining
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """The server of the project's own interface."""

    async def asyncSetUp(self) -> None:
        settings = mock.Mock()
        settings.instance.address = '127.0.0.1'
        settings.instance.caller_port = 0
        self.server = CallerServer(
            settings, mock.Mock(), mock.Mock(), SystemClock()
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def connect(self, window: int = 0) -> socket.socket:
        caller = socket.socket()
        if window:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        port = self.server.url.rsplit(':', 1)[1]
        caller.connect(('127.0.0.1', int(port)))
        caller.sendall(request('a1'))
        return caller

    async def stop(self) -> None:
        await self.server.drain(DRAIN_TIMEOUT)
        await self.server.stop()

    async def test_long_answer_with_requests_behind_it_is_whole(self) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            await asyncio.sleep(0.2)
            return web.Response(body=bytes(BODY_BYTES))

        with mock.patch.object(self.server, '_answer', respond):
            caller = self.connect(window=4096)
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(self.stop())
            await read_until(caller, b'\r\n\r\n')
            body = await read_slowly_and_send(caller)
            await stopping
        self.assertEqual(len(body), BODY_BYTES)

    async def test_request_in_the_listening_queue_is_answered(self) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            return web.Response()

        with mock.patch.object(self.server, '_answer', respond):
            caller = self.connect()
            stopping = asyncio.create_task(self.stop())
            answer = await read_to_end(caller)
            await stopping
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])


if __name__ == '__main__':
    unittest.main()
