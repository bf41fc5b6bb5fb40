"""Tests that a stop cuts no answer and leaves no request without one."""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable

from cassialever.gateway.application import Gateway
from standins.keyed_target import TargetServer
from tests.fleet_helpers import deployment
from tests.gateway_helpers import readiness_status, wait_for_keys

#: Longer than a request takes on a busy computer, in seconds.
TIMEOUT = 20.0
#: Time limit of the drains, in seconds.
DRAIN_TIMEOUT = 6.0
#: An answer that needs many round trips of a small window.
BODY_BYTES = 4_000_000
CHUNK_BYTES = 65536


def request(request_id: str, path: str = '/lookup/x') -> bytes:
    """Return the bytes of a request for a key."""
    return (
        f'GET {path} HTTP/1.1\r\nHost: registry.example\r\n'
        f'Shard-Key: 1\r\nAttempt-Id: {request_id}\r\n'
        'Deadline-Ms: 9000\r\n\r\n'
    ).encode()


def connect(gateway: Gateway, window: int = 0) -> socket.socket:
    """Connect; the system completes this before the daemon accepts."""
    caller = socket.socket()
    if window:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    host, port = gateway.settings.listen.callers.split(':')
    caller.connect((host, int(port)))
    return caller


async def read_to_end(caller: socket.socket) -> bytes:
    """Read until the daemon closes; raises OSError after a reset."""
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(TIMEOUT):
        while chunk := await loop.sock_recv(caller, CHUNK_BYTES):
            received += chunk
    caller.close()
    return bytes(received)


async def read_and_send(caller: socket.socket) -> bytes:
    """Read until the daemon closes, and send a request with each chunk."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(TIMEOUT):
        while chunk := await loop.sock_recv(caller, CHUNK_BYTES):
            received += chunk
            if len(received) < BODY_BYTES:
                await loop.sock_sendall(caller, request(f'b{len(received)}'))
    caller.close()
    return bytes(received)


async def read_until(caller: socket.socket, end: bytes) -> bytes:
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    received = b''
    async with asyncio.timeout(TIMEOUT):
        while end not in received:
            received += await loop.sock_recv(caller, 1)
    return received


async def turn_loop(turns: int) -> None:
    """Let the event loop run a number of times."""
    for _ in range(turns):
        await asyncio.sleep(0)


class AcceptedRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests that have arrived when a drain begins are answered."""

    async def answer_at_drain(
        self, prepare: Callable[[Gateway], Awaitable[socket.socket]]
    ) -> bytes:
        """Return what a caller receives whose request comes with a drain."""
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].faults.service_time = 0.1
            gateway.server.is_stopping = True
            caller = await prepare(gateway)
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            answer = await read_to_end(caller)
            await draining
        return answer

    async def test_request_in_the_listening_queue_is_answered(self) -> None:
        async def prepare(gateway: Gateway) -> socket.socket:
            caller = connect(gateway)
            caller.sendall(request('a1'))
            return caller

        answer = await self.answer_at_drain(prepare)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])

    async def test_request_on_a_connection_just_accepted_is_answered(
        self,
    ) -> None:
        for turns in range(1, 6):

            async def prepare(gateway: Gateway) -> socket.socket:
                caller = connect(gateway)
                caller.sendall(request('a1'))
                await turn_loop(turns)
                return caller

            answer = await self.answer_at_drain(prepare)
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])

    async def test_request_in_the_socket_of_an_idle_connection_is_answered(
        self,
    ) -> None:
        for turns in range(5):

            async def prepare(gateway: Gateway) -> socket.socket:
                caller = connect(gateway)
                await asyncio.sleep(0.05)
                caller.sendall(request('a1'))
                await turn_loop(turns)
                return caller

            answer = await self.answer_at_drain(prepare)
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])

    async def test_request_received_in_part_is_answered(self) -> None:
        async def prepare(gateway: Gateway) -> socket.socket:
            caller = connect(gateway)
            whole = request('a1')
            caller.sendall(whole[:40])
            await asyncio.sleep(0.05)
            asyncio.get_running_loop().call_later(
                0.1, caller.sendall, whole[40:]
            )
            return caller

        answer = await self.answer_at_drain(prepare)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])

    async def test_connection_without_a_request_ends_at_once(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].faults.service_time = 1.0
            pending = connect(gateway)
            pending.sendall(request('a1'))
            idle = connect(gateway)
            await asyncio.sleep(0.1)
            gateway.server.is_stopping = True
            draining = asyncio.create_task(gateway.server.drain(DRAIN_TIMEOUT))
            # Not only when the other connection has its answer.
            async with asyncio.timeout(0.5):
                self.assertEqual(await read_to_end(idle), b'')
            answer = await read_to_end(pending)
            await draining
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:80])


class LongAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer is whole although its caller has sent more requests."""

    async def received(
        self, stop: Callable[[Gateway], Awaitable[None]]
    ) -> bytes:
        """Return what a caller with a small window receives.

        It sends further requests until the answer to its first one is there.
        """
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            prepare_answer(system.targets[0])
            caller = connect(gateway, window=4096)
            caller.sendall(request('a1'))
            await asyncio.sleep(0)
            gateway.server.is_stopping = True
            stopping = asyncio.create_task(stop(gateway))
            head = await read_until(caller, b'\r\n\r\n')
            body = await read_and_send(caller)
            await stopping
        return head + body

    async def check(self, stop: Callable[[Gateway], Awaitable[None]]) -> None:
        received = await self.received(stop)
        head, body = received.split(b'\r\n\r\n', 1)
        self.assertIn(b'200', head.split(b'\r\n')[0])
        self.assertEqual(len(body), BODY_BYTES)

    async def test_answer_before_the_drain_with_requests_behind_it(
        self,
    ) -> None:
        async def wait(_: Gateway) -> None:
            await asyncio.sleep(0)

        await self.check(wait)

    async def test_answer_during_the_drain_with_requests_behind_it(
        self,
    ) -> None:
        async def drain(gateway: Gateway) -> None:
            await gateway.server.drain(DRAIN_TIMEOUT)

        await self.check(drain)


class BalancerTest(unittest.IsolatedAsyncioTestCase):
    """Requests are accepted until the load balancer sends no more."""

    async def accepting_time(
        self, check_times: list[float], new_until: float = 0
    ) -> float:
        """Return how long a daemon accepts requests after SIGTERM.

        Its readiness is checked at the given times after that, and new
        connections are opened until another one, by a thread, since the
        daemon's loop may be late.
        """
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            server = gateway.server
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            server.is_stopping = True
            waiting = asyncio.create_task(server.wait_until_taken_out(3.0))
            connecting = asyncio.create_task(
                asyncio.to_thread(
                    connect_until, gateway, time.monotonic() + new_until
                )
            )
            while not waiting.done():
                elapsed = loop.time() - started_at
                if check_times and elapsed >= check_times[0]:
                    check_times.pop(0)
                    self.assertEqual(await readiness_status(gateway), 503)
                await asyncio.sleep(0.02)
            accepting = loop.time() - started_at
            self.last_use = (
                max(server._last_check_at, server._callers.accepted_at)
                - started_at
            )
            await connecting
            return accepting

    async def test_late_readiness_checks_prolong_it(self) -> None:
        self.assertGreater(await self.accepting_time([1.5, 2.5]), 2.5)

    async def test_balancer_without_other_daemons_prolongs_it(self) -> None:
        accepting = await self.accepting_time([0.1, 0.4], new_until=1.5)
        self.assertGreater(accepting, 1.5)
        self.assertLess(accepting, 2.5)
        # The last connection is accepted at 1.5 s unless the loop is late.
        self.assertLess(accepting, self.last_use + 1.0)

    async def test_two_failed_checks_end_it(self) -> None:
        accepting = await self.accepting_time([0.1, 1.1])
        self.assertGreater(accepting, 1.1)
        self.assertLess(accepting, 2.0)

    async def test_a_silent_balancer_does_not_prolong_it(self) -> None:
        self.assertLess(await self.accepting_time([]), 3.5)


class StopDeadlineTest(unittest.IsolatedAsyncioTestCase):
    """A request that a stop can't wait for gets an answer all the same."""

    async def test_request_that_outlasts_a_stop_is_answered(self) -> None:
        async with deployment(keyed=1) as system:
            gateway = system.gateways[0]
            await wait_for_keys(gateway)
            system.targets[0].faults.service_time = 30
            clock = gateway.core.clock
            gateway.server.is_stopping = True
            ends_at = clock.monotonic() + 0.5
            gateway.core.forwarder.stop_limit.begin(ends_at)
            caller = connect(gateway)
            caller.sendall(request('a1'))
            answer = await read_to_end(caller)
            # The route's time limit is 1 s.
            self.assertLess(clock.monotonic(), ends_at + 0.4)
        # It may have run.
        self.assertTrue(answer.startswith(b'HTTP/1.1 504'), answer[:80])


def connect_until(gateway: Gateway, ends_at: float) -> None:
    """Open connections until a time of the monotonic clock."""
    while time.monotonic() < ends_at:
        connect(gateway).close()
        time.sleep(0.02)


def prepare_answer(target: TargetServer) -> None:
    """Make a target give a long answer."""
    target.fixed_body = bytes(BODY_BYTES)
    target.faults.service_time = 0.05


if __name__ == '__main__':
    unittest.main()
