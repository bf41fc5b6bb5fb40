"""Tests of bodies that don't fit into a daemon's memory, over sockets."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator
from unittest import mock

import aiohttp
import msgspec

from cassialever.gateway import bodies
from cassialever.gateway.application import Gateway
from cassialever.policy.memory import (
    READ_AHEAD_BYTES,
    READ_BYTES,
    MemoryBudget,
    MemoryClaim,
)
from tests.fleet_helpers import CONFIGURATION, Deployment, deployment, until
from tests.gateway_helpers import ISSUE_HEADERS, send_request
from tests.hop_helpers import raw_server, readdress

#: Memory of the daemon, by which its bodies may have 4 MB.
MEMORY_MB = 10
SIGNED = 'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n'
PART = b'x' * 65536
#: Bytes after which a target that answers without end gives up.
ENDLESS_BYTES = 64_000_000
#: What the endless target may have sent to a daemon that reads 4 MB: what
#: sockets hold comes on top.
READ_AT_MOST = 24_000_000


def set_memory(gateway: Gateway, memory_mb: float) -> MemoryBudget:
    """Give a daemon that runs the budget of a process of that size."""
    memory = gateway.core.exchanges.memory
    memory.__init__(memory_mb)  # type: ignore[misc]
    return memory


@contextlib.asynccontextmanager
async def one_daemon() -> AsyncIterator[tuple[Deployment, Gateway]]:
    """Run a daemon with little memory."""
    async with deployment(keyed=0) as system:
        gateway = system.gateways[0]
        await until(lambda: gateway.server.is_ready)
        set_memory(gateway, MEMORY_MB)
        yield system, gateway


class EndlessTarget:
    """Answers without end."""

    def __init__(self, head: str, part: bytes = PART) -> None:
        self.head = head
        self.part = part
        self.sent_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{SIGNED}{self.head}\r\n'.encode())
        while self.sent_bytes < ENDLESS_BYTES:
            writer.write(self.part)
            await writer.drain()
            self.sent_bytes += len(self.part)


class ReadingTarget:
    """Reads whole requests, and answers each after a while."""

    def __init__(self) -> None:
        self.executed = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.splitlines()[1:]
                if line
            )
            await reader.readexactly(int(fields['content-length']))
            self.executed += 1
            await asyncio.sleep(0.1)
            request_id = fields['attempt-id']
            writer.write(
                f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n'
                'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'.encode()
            )


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A target that answers without end."""

    async def check(self, target: EndlessTarget) -> None:
        async with (
            one_daemon() as (_, gateway),
            raw_server(target.serve) as address,
        ):
            readdress(gateway, 'i0', address)
            with contextlib.suppress(aiohttp.ClientPayloadError):
                response = await send_request(
                    gateway, '/issue/1', ISSUE_HEADERS, method='POST'
                )
                self.assertEqual(response.status, 502)
                self.assertNotIn('Retry-After', response.headers)
            self.assertLess(target.sent_bytes, READ_AT_MOST)
            memory = gateway.core.exchanges.memory
            await until(lambda: memory.held == 0)

    async def test_endless_answer_without_length_ends(self) -> None:
        # Answers were read whole without a limit.
        await self.check(EndlessTarget(''))

    async def test_endless_answer_in_chunks_ends(self) -> None:
        # Answers were read whole without a limit.
        await self.check(
            EndlessTarget(
                'Transfer-Encoding: chunked\r\n',
                b'10000\r\n' + PART + b'\r\n',
            )
        )

    async def test_answer_of_100_gb_ends(self) -> None:
        # Answers were read whole without a limit.
        await self.check(EndlessTarget('Content-Length: 99999999999\r\n'))


class _Content:
    """The body of an answer, whose parts come one by one."""

    def __init__(self) -> None:
        self.parts: asyncio.Queue[bytes] = asyncio.Queue()

    async def readany(self) -> bytes:
        return await self.parts.get()

    def at_eof(self) -> bool:
        return False


class _Response:
    """An answer that is being received."""

    def __init__(self) -> None:
        self.content = _Content()


class TwoTriesTest(unittest.IsolatedAsyncioTestCase):
    """A request with two tries at once, which share its claim."""

    async def test_cancelled_try_gives_back_only_its_own_bytes(self) -> None:
        # It gave back what the other try held, too.
        budget = MemoryBudget(100)
        memory = bodies.RequestMemory(budget)
        first, second = _Response(), _Response()
        reading = [
            asyncio.create_task(bodies.read_answer(one, memory))
            for one in (first, second)
        ]
        await asyncio.sleep(0)
        first.content.parts.put_nowait(bytes(3_000_000))
        second.content.parts.put_nowait(bytes(5_000_000))
        await until(lambda: memory.held == 8_000_000)
        reading[0].cancel()
        await asyncio.wait(reading[:1])
        held = budget.held
        reading[1].cancel()
        await asyncio.wait(reading[1:])
        self.assertEqual((held, budget.held), (5_000_000, 0))


class LongAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Callers that read long answers at their own speed."""

    #: Memory of the daemon, the length of an answer in bytes, and how long a
    #: caller may receive nothing, in seconds.
    MEMORY_MB = 100
    LENGTH = 20_000_000
    STALL_TIMEOUT = 0.3

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'{SIGNED}Content-Length: {self.LENGTH}\r\n\r\n'
        writer.write(head.encode())
        for start in range(0, self.LENGTH, len(PART)):
            writer.write(PART[: self.LENGTH - start])
            await writer.drain()

    @contextlib.asynccontextmanager
    async def request(
        self,
    ) -> AsyncIterator[tuple[MemoryBudget, asyncio.StreamReader]]:
        """Send a request whose answer is long."""
        async with (
            one_daemon() as (_, gateway),
            raw_server(self.serve) as address,
        ):
            memory = set_memory(gateway, self.MEMORY_MB)
            readdress(gateway, 'i0', address)
            host, port = gateway.settings.listen.callers.split(':')
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            caller.connect((host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=caller, limit=1024
            )
            writer.write(
                b'POST /issue/1 HTTP/1.1\r\nHost: issuance.example\r\n'
                b'Attempt-Id: a1\r\nDeadline-Ms: 5000\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            with mock.patch.object(bodies, 'STALL_TIMEOUT', self.STALL_TIMEOUT):
                yield memory, reader
            writer.close()

    async def test_caller_that_reads_nothing_holds_no_memory(self) -> None:
        # Its answer was kept for as long as the connection was open.
        async with self.request() as (memory, _):
            await until(lambda: memory.held >= self.LENGTH)
            await until(lambda: memory.held == 0)

    async def test_caller_that_reads_slowly_gets_its_answer(self) -> None:
        async with self.request() as (_, reader):
            await reader.readuntil(b'\r\n\r\n')
            received = 0
            for _ in range(4):
                received += len(await reader.readexactly(400_000))
                # Shorter than the interval, and longer in all.
                await asyncio.sleep(0.8 * self.STALL_TIMEOUT)
            rest = await reader.readexactly(self.LENGTH - received)
            self.assertEqual(received + len(rest), self.LENGTH)


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """Callers that upload long bodies."""

    async def upload(
        self, gateway: Gateway, number: int, size: int, *, chunked: bool = False
    ) -> aiohttp.ClientResponse:
        async def parts() -> AsyncIterator[bytes]:
            for _ in range(size // len(PART)):
                yield PART

        return await send_request(
            gateway,
            f'/issue/{number}',
            ISSUE_HEADERS,
            f'u{number}',
            method='POST',
            data=parts() if chunked else bytes(size),
        )

    async def test_uploads_together_stay_within_the_budget(self) -> None:
        # Bodies of all callers were read without a limit.
        target = ReadingTarget()
        async with (
            one_daemon() as (_, gateway),
            raw_server(target.serve) as address,
        ):
            readdress(gateway, 'i0', address)
            memory = gateway.core.exchanges.memory
            peak = 0

            async def watch() -> None:
                nonlocal peak
                while True:
                    peak = max(peak, memory.held)
                    await asyncio.sleep(0)

            watching = asyncio.create_task(watch())
            answers = await asyncio.gather(
                *(
                    self.upload(gateway, number, 1_048_576, chunked=number > 3)
                    for number in range(8)
                )
            )
            watching.cancel()
            self.assertLessEqual(peak, memory.total)
            self.assertGreater(peak, 1_048_576)
            for answer in answers:
                self.assertIn(answer.status, {200, 503})
                if answer.status == 503:
                    self.assertIn('Retry-After', answer.headers)
            served = [answer for answer in answers if answer.status == 200]
            self.assertEqual(target.executed, len(served))
            self.assertGreater(len(served), 2)
            self.assertEqual(memory.held, 0)

    async def test_body_over_the_budget_is_refused_unread(self) -> None:
        # Bodies of all callers were read without a limit.
        async with one_daemon() as (system, gateway):
            for chunked in (False, True):
                answer = await self.upload(
                    gateway, 1, 6_553_600, chunked=chunked
                )
                self.assertEqual(answer.status, 503)
                self.assertIn('Retry-After', answer.headers)
                self.assertEqual(answer.headers['Connection'], 'close')
            self.assertEqual(system.targets[-1].executed_ids, [])
            self.assertEqual(gateway.core.exchanges.memory.held, 0)

    async def test_body_over_the_limit_of_operators_is_refused(self) -> None:
        # Callers' bodies had no limit.
        limits = {**CONFIGURATION['limits'], 'max_body_bytes': 70_000}
        async with one_daemon() as (system, gateway):
            configuration = gateway.view.configuration
            assert configuration is not None
            gateway.view.configuration = msgspec.structs.replace(
                configuration, max_body_bytes=limits['max_body_bytes']
            )
            for chunked in (False, True):
                answer = await self.upload(gateway, 2, 131_072, chunked=chunked)
                self.assertEqual(answer.status, 413)
            answer = await self.upload(gateway, 3, 65_536, chunked=True)
            self.assertEqual(answer.status, 200)

    async def test_waiting_upload_is_served_when_memory_is_left(self) -> None:
        async with one_daemon() as (_, gateway):
            memory = gateway.core.exchanges.memory
            other = MemoryClaim(memory)
            self.assertTrue(other.grow(3_000_000))
            asyncio.get_running_loop().call_later(0.1, other.release)
            answer = await self.upload(gateway, 4, 1_048_576)
            self.assertEqual(answer.status, 200)

    async def test_caller_that_leaves_gives_its_memory_back(self) -> None:
        async with one_daemon() as (_, gateway):
            memory = gateway.core.exchanges.memory
            host, port = gateway.settings.listen.callers.split(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /issue/5 HTTP/1.1\r\nHost: issuance.example\r\n'
                b'Attempt-Id: u5\r\nContent-Length: 1000000\r\n\r\nx'
            )
            await until(lambda: memory.held == 1_000_000)
            writer.close()
            await until(lambda: memory.held == 0)

    async def test_body_that_stops_on_its_way_is_refused(self) -> None:
        # A stalled body was waited for without end.
        async with one_daemon() as (_, gateway):
            host, port = gateway.settings.listen.callers.split(':')
            for length in (1000, 1_000_000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'POST /issue/6 HTTP/1.1\r\nHost: issuance.example\r\n'
                    b'Attempt-Id: u6\r\nDeadline-Ms: 200\r\n'
                    b'Content-Length: %d\r\n\r\nx' % length
                )
                async with asyncio.timeout(2):
                    status = await reader.readline()
                self.assertIn(b' 503 ', status)
                writer.close()
            self.assertEqual(gateway.core.exchanges.memory.held, 0)

    async def test_bodies_of_pipelined_requests_wait_unread(self) -> None:
        # Those behind the first were parsed and kept, and counted for nothing.
        pause = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                await reader.readexactly(120_000)
                await pause.wait()
                request_id = head.partition('Attempt-Id: ')[2].split()[0]
                writer.write(
                    f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n'
                    'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'.encode()
                )

        async with one_daemon() as (_, gateway), raw_server(serve) as address:
            readdress(gateway, 'i0', address)
            host, port = gateway.settings.listen.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(60):
                writer.write(
                    b'POST /issue/1 HTTP/1.1\r\nHost: issuance.example\r\n'
                    b'Attempt-Id: p%d\r\nContent-Length: 120000\r\n\r\n'
                    % number
                )
                writer.write(bytes(120_000))
            await until(lambda: gateway.core.exchanges.memory.held)
            await asyncio.sleep(0.5)
            (connection,) = gateway.server._callers.connections
            kept = sum(
                payload.total_bytes for _, payload in connection._messages
            )
            # One read more than is read ahead.
            self.assertLess(kept, READ_AHEAD_BYTES + READ_BYTES)
            pause.set()
            async with asyncio.timeout(10):
                for _ in range(60):
                    self.assertIn(b' 200 ', await reader.readline())
                    await reader.readuntil(b'\r\n\r\n')
            writer.close()

    async def test_body_that_never_begins_holds_no_memory(self) -> None:
        # Its length was claimed for the time that the caller named, an hour.
        async with one_daemon() as (_, gateway):
            host, port = gateway.settings.listen.callers.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /issue/6 HTTP/1.1\r\nHost: issuance.example\r\n'
                b'Attempt-Id: u6\r\nDeadline-Ms: 3600000\r\n'
                b'Content-Length: 1000000\r\n\r\n'
            )
            with mock.patch.object(bodies, 'STALL_TIMEOUT', 0.3):
                async with asyncio.timeout(2):
                    status = await reader.readline()
            self.assertIn(b' 503 ', status)
            writer.close()
            self.assertEqual(gateway.core.exchanges.memory.held, 0)
