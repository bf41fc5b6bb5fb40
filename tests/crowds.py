"""A daemon process with little memory, and crowds of callers that misbehave."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterable

import aiohttp
import msgspec

from standins.keyed_target import TargetServer
from standins.listening import free_ports
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import CONFIGURATION, settings_text

#: Memory of the daemon's machine. Its peak may not pass it.
MEMORY_MB = 160
MEMORY_BYTES = MEMORY_MB * 1_000_000
#: Descriptors that the daemon may open, and those that it keeps for itself.
DESCRIPTORS = 300
OWN_DESCRIPTORS = 60
#: Longest body that the operators allow, and longest head, in bytes.
BODY_BYTES = 1_048_576
HEAD_BYTES = 16_384
#: Memory at which a crowd leaves, since its test has failed by then.
ENOUGH_BYTES = 3 * MEMORY_BYTES
#: How long a crowd goes on, in seconds; it stays open until it is asked to go.
CROWD_TIME = 2.0
POLL_INTERVAL = 0.05
#: Longest time until the daemon serves, in seconds.
TIMEOUT = 20.0

LOOKUP = 'GET /lookup/7 HTTP/1.1\r\nHost: registry.example\r\n'
ISSUE = 'POST /issue/7 HTTP/1.1\r\nHost: issuance.example\r\n'
NO_ROUTE = 'POST /nowhere/7 HTTP/1.1\r\nHost: elsewhere.example\r\n'
READYZ = 'POST /cassialever/readyz HTTP/1.1\r\nHost: edge\r\n'
METRICS = 'POST /metrics HTTP/1.1\r\nHost: edge\r\n'
HOP = 'POST /lookup/7 HTTP/1.1\r\nHost: registry.example\r\n'
DEADLINE = 'Deadline-Ms: 2000\r\n'


class CrowdMember:
    """A connection to the daemon, on which bytes are read only if asked."""

    def __init__(self, number: int, port: int) -> None:
        self.number = number
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def connect(self) -> None:
        await self._loop.sock_connect(self._socket, ('127.0.0.1', self._port))

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def receive(self, size: int = 65536) -> bytes:
        return await self._loop.sock_recv(self._socket, size)

    def narrow(self) -> None:
        """Let the system hold few received bytes; call before connecting."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def close(self) -> None:
        self._socket.close()


Behaviour = Callable[[CrowdMember], Awaitable[None]]


class Crowd(msgspec.Struct, frozen=True):
    """Connections that all behave in one way, and then stay open."""

    size: int
    behave: Behaviour
    is_narrow: bool = False


class Measured(msgspec.Struct):
    """The most that a daemon held while a crowd was there."""

    peak_bytes: int = 0
    base_bytes: int = 0
    descriptors: int = 0


class CrowdedDaemon:
    """A daemon process, its store and two targets."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.ports = free_ports(3)
        self.store = RowStoreServer()
        self.keyed = TargetServer('k0')
        self.unkeyed = TargetServer('i0', 'issuance', is_keyed=False)
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        assert self._process is not None
        return self._process.returncode

    async def start(self) -> None:
        limits = {**CONFIGURATION['limits'], 'max_body_bytes': BODY_BYTES}
        await self.store.start()
        self.store.put('op', 'config', {**CONFIGURATION, 'limits': limits})
        for target in (self.keyed, self.unkeyed):
            await target.start()
            self.store.put('servers', target.target_id, target.entry())
        callers, readiness, internal = self.ports
        text = settings_text(
            self.store.address, (callers, readiness, internal)
        ).replace(
            '"target_host": "",',
            f'"memory_mb": {MEMORY_MB}, "max_descriptors": {DESCRIPTORS},',
        )
        settings = self._folder / 'edge-1.jsonc'
        settings.write_text(text)
        with (self._folder / 'edge-1.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cassialever',
                env={**os.environ, 'CASSIALEVER_SETTINGS': str(settings)},
                stdout=log,
                stderr=log,
            )
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limit)
        await self.wait_until_served()

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        for target in (self.keyed, self.unkeyed):
            await target.stop()
        await self.store.stop()

    def log(self) -> str:
        return (self._folder / 'edge-1.log').read_text()

    def memory(self, field: str = 'VmHWM') -> int:
        """Return the peak of the process's memory, or another field."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f'/proc/{self.pid}/status').open():
                if line.startswith(f'{field}:'):
                    return int(line.split()[1]) * 1024
        return 0

    def descriptors(self) -> int:
        with contextlib.suppress(OSError):
            return len(os.listdir(f'/proc/{self.pid}/fd'))
        return 0

    async def wait_until_served(self) -> None:
        """Repeat an ordinary request until it is served."""
        async with asyncio.timeout(TIMEOUT):
            while not await self._is_served():
                await asyncio.sleep(POLL_INTERVAL)

    async def wait_until_ready(self) -> None:
        """Repeat the balancer's question until the answer is 200."""
        url = f'http://127.0.0.1:{self.ports[1]}/cassialever/readyz'
        async with asyncio.timeout(TIMEOUT):
            while await _status_of(url, {}) != 200:
                await asyncio.sleep(POLL_INTERVAL)

    async def wait_for_metrics(self) -> None:
        """Repeat the question for the metrics until they come."""
        url = f'http://127.0.0.1:{self.ports[2] + 1}/metrics'
        async with asyncio.timeout(TIMEOUT):
            while await _status_of(url, {}) != 200:
                await asyncio.sleep(POLL_INTERVAL)

    async def _is_served(self) -> bool:
        headers = {
            'Host': 'registry.example',
            'Shard-Key': '7',
            'Attempt-Id': 'ordinary',
            'Deadline-Ms': '2000',
        }
        url = f'http://127.0.0.1:{self.ports[0]}/lookup/7'
        return await _status_of(url, headers) == 200


async def _status_of(url: str, headers: dict[str, str]) -> int | None:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with (
            asyncio.timeout(2),
            aiohttp.request('GET', url, headers=headers) as response,
        ):
            await response.read()
            return response.status
    return None


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Sends a crowd to a daemon and checks that it outlasts it."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.daemon = CrowdedDaemon(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.daemon.stop)
        await self.daemon.start()

    async def check(self, port: int, crowd: Crowd) -> None:
        """Check that the daemon stays within its bounds, and serves."""
        measured = Measured(base_bytes=self.daemon.memory('VmRSS'))
        tasks, members = self._send(port, crowd)
        try:
            await self._watch(measured)
            if measured.peak_bytes < ENOUGH_BYTES:
                # The crowd is still there.
                await self.daemon.wait_until_served()
                await self.daemon.wait_until_ready()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for member in members:
                member.close()
            self._note(measured)
            print(self._sentence(measured))
        self.assertIsNone(self.daemon.exit_status, self.daemon.log()[-2000:])
        self.assertLess(measured.peak_bytes, MEMORY_BYTES)
        self.assertLessEqual(
            measured.descriptors, DESCRIPTORS - OWN_DESCRIPTORS
        )
        await self.daemon.wait_until_served()
        self.assertNotIn('Traceback', self.daemon.log())

    def _send(
        self, port: int, crowd: Crowd
    ) -> tuple[list[asyncio.Task[None]], list[CrowdMember]]:
        members = [CrowdMember(number, port) for number in range(crowd.size)]
        return [
            asyncio.create_task(_run(member, crowd)) for member in members
        ], members

    async def _watch(self, measured: Measured) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CROWD_TIME
        while loop.time() < ends_at and self.daemon.exit_status is None:
            self._note(measured)
            if measured.peak_bytes > ENOUGH_BYTES:
                return
            await asyncio.sleep(POLL_INTERVAL)

    def _sentence(self, measured: Measured) -> str:
        return (
            f'measured {".".join(self.id().split(".")[-2:])}:'
            f' peak {measured.peak_bytes / 1e6:.0f} MB of {MEMORY_MB},'
            f' before {measured.base_bytes / 1e6:.0f} MB,'
            f' {measured.descriptors} descriptors'
        )

    def _note(self, measured: Measured) -> None:
        measured.peak_bytes = max(measured.peak_bytes, self.daemon.memory())
        measured.descriptors = max(
            measured.descriptors, self.daemon.descriptors()
        )


async def _run(member: CrowdMember, crowd: Crowd) -> None:
    with contextlib.suppress(OSError):
        if crowd.is_narrow:
            member.narrow()
        await member.connect()
        await crowd.behave(member)
        # It stays open.
        await asyncio.Event().wait()


def named_head(start: str, fields: str) -> bytes:
    return f'{start}Attempt-Id: c\r\n{fields}\r\n'.encode()


def field_head(start: str, size: int = HEAD_BYTES - 300) -> bytes:
    """Return a head of legal size that is made of very many short fields."""
    return named_head(start + DEADLINE, 'a:\r\n' * (size // len('a:\r\n')))


def length_head(start: str, length: int) -> bytes:
    return named_head(start + DEADLINE, f'Content-Length: {length}\r\n')


def chunked_head(start: str) -> bytes:
    return named_head(start + DEADLINE, 'Transfer-Encoding: chunked\r\n')


def all_but_the_last_byte(start: str) -> Behaviour:
    """Send a body of the longest legal size in one piece, but one byte."""

    async def behave(member: CrowdMember) -> None:
        await member.send(length_head(start, BODY_BYTES))
        await member.send(b'x' * (BODY_BYTES - 1))

    return behave


def small_pieces(start: str) -> Behaviour:
    """Send such a body in small pieces, but one byte."""

    async def behave(member: CrowdMember) -> None:
        await member.send(length_head(start, BODY_BYTES))
        for sent in range(0, BODY_BYTES - 1, 1024):
            await member.send(b'x' * min(1024, BODY_BYTES - 1 - sent))
            await asyncio.sleep(0)

    return behave


def tiny_chunks(start: str) -> Behaviour:
    """Send chunks of two bytes up to the legal size, without the end."""

    async def behave(member: CrowdMember) -> None:
        await member.send(chunked_head(start))
        for _ in range(BODY_BYTES // 2 // 4096):
            await member.send(b'2\r\nxy\r\n' * 4096)

    return behave


def far_over_the_limit(start: str, *, has_length: bool) -> Behaviour:
    """Send a body of many times the legal size."""

    async def behave(member: CrowdMember) -> None:
        part = b'x' * 65536
        if has_length:
            await member.send(length_head(start, 64 * BODY_BYTES))
        else:
            await member.send(chunked_head(start))
            part = b'10000\r\n%s\r\n' % part
        for _ in range(64 * BODY_BYTES // 65536):
            await member.send(part)

    return behave


def ahead(heads: Iterable[bytes]) -> Behaviour:
    """Send requests ahead and read no answer."""
    sent = b''.join(heads)

    async def behave(member: CrowdMember) -> None:
        await member.send(sent)

    return behave


def unfinished(head: bytes) -> Behaviour:
    """Send a head but its last byte."""

    async def behave(member: CrowdMember) -> None:
        await member.send(head[:-1])

    return behave


def dripped(sent: bytes, pause: float = 0.2) -> Behaviour:
    """Send bytes one by one."""

    async def behave(member: CrowdMember) -> None:
        for place in range(len(sent)):
            await member.send(sent[place : place + 1])
            await asyncio.sleep(pause)

    return behave


def slow_reader(sent: bytes) -> Behaviour:
    """Send requests and read their answers a few bytes at a time."""

    async def behave(member: CrowdMember) -> None:
        await member.send(sent)
        while await member.receive(16):
            await asyncio.sleep(0.2)

    return behave


def leaver(sent: bytes, received: int = 0) -> Behaviour:
    """Send and receive so many bytes again and again; leave in between."""

    async def behave(member: CrowdMember) -> None:
        while True:
            one = CrowdMember(member.number, member._port)
            try:
                await one.connect()
                await one.send(sent)
                if received:
                    await one.receive(received)
            finally:
                one.close()
            await asyncio.sleep(0.05)

    return behave


async def idle(_: CrowdMember) -> None:
    """Send nothing."""
