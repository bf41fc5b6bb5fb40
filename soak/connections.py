"""Callers that keep their connections for as long as the daemon does."""

import asyncio
import random
from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from soak.callers import REQUEST_TIMEOUT, Callers
from soak.fleet import DaemonProcess

#: Range of the pause between answers and the next requests, in seconds.
PAUSES = (0.02, 0.3)
#: Pause before a connection is opened again, in seconds.
RECONNECT_INTERVAL = 0.1
#: A request that gets nothing may have crossed the close of its idle
#: connection if the close is seen within this time, in seconds.
CROSSING_TIME = 0.1
#: Missing answers are violations once a daemon was neither killed nor suspended
#: for this long, in seconds.
HARM_GRACE = 1.0


class _Answer(msgspec.Struct):
    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_last(self) -> bool:
        """Return whether the daemon closes the connection after it."""
        return self.headers.get('Connection', '').lower() == 'close'


class _Request(msgspec.Struct):
    """A request on its way; `arrived` counts the bytes of its answer."""

    request_id: str
    sent_at: float
    arrived: int = 0


class ConnectionCallers:
    """Opens a connection only once the daemon has closed the last one."""

    def __init__(self, callers: Callers, seed: int) -> None:
        """Add to the results of `callers`; `run` sends the requests."""
        self._callers = callers
        self._random = random.Random(seed)

    async def run(self, daemons: list[DaemonProcess]) -> None:
        """Send requests, singly and pipelined, until cancelled."""
        await asyncio.gather(
            *(
                self._keep_connected(daemon, depth)
                for daemon in daemons
                for depth in (1, 2)
            ),
        )

    async def _keep_connected(self, daemon: DaemonProcess, depth: int) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', daemon.ports[0]
                )
            except OSError:
                # The daemon is not running.
                await asyncio.sleep(RECONNECT_INTERVAL)
                continue
            try:
                await self._use(daemon, depth, reader, writer)
            finally:
                writer.transport.abort()

    async def _use(
        self,
        daemon: DaemonProcess,
        depth: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send requests until the daemon closes the connection."""
        while True:
            is_safe = depth > 1 or self._random.random() < 0.7
            if reader.at_eof():
                return
            waiting = [
                self._send(writer, is_safe=is_safe) for _ in range(depth)
            ]
            while waiting:
                answer = await self._read(reader, waiting[0])
                if answer is None:
                    self._record_missing(daemon, waiting, depth)
                    return
                self._callers.record_answer(
                    waiting.pop(0).request_id,
                    answer.status,
                    answer.headers,
                    answer.body,
                )
                if answer.is_last:
                    # What was sent behind the last answer has to be repeated.
                    return
            pause = self._random.uniform(*PAUSES)
            await asyncio.sleep(self._callers.fleet.pause(pause))

    def _send(self, writer: asyncio.StreamWriter, *, is_safe: bool) -> _Request:
        method, path = ('GET', 'lookup') if is_safe else ('POST', 'issue')
        request_id = self._callers.next_request_id(is_safe=is_safe)
        lines = (
            f'{method} /{path}/{request_id} HTTP/1.1',
            f'Host: {"registry" if is_safe else "issuance"}.example',
            f'Shard-Key: {self._random.randrange(65536)}',
            f'Attempt-Id: {request_id}',
            'Deadline-Ms: 2000',
            'Content-Length: 0',
        )
        writer.write('\r\n'.join((*lines, '', '')).encode())
        return _Request(request_id, asyncio.get_running_loop().time())

    async def _read(
        self, reader: asyncio.StreamReader, request: _Request
    ) -> _Answer | None:
        """Read an answer; return None if the connection ends before it."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                return await _read_answer(reader, request)
        except (OSError, EOFError, TimeoutError):
            return None

    def _record_missing(
        self, daemon: DaemonProcess, waiting: list[_Request], depth: int
    ) -> None:
        """Record requests whose answers did not arrive whole."""
        now = asyncio.get_running_loop().time()
        was_idle = len(waiting) == depth and not waiting[0].arrived
        answered = depth - len(waiting)
        for place, request in enumerate(waiting, answered + 1):
            self._callers.outcome_counts['closed'] += 1
            if daemon.harmed_at > request.sent_at - HARM_GRACE:
                continue
            has_crossed = (
                was_idle
                and now - request.sent_at < CROSSING_TIME
                and not self._callers.was_run(request.request_id)
            )
            if not has_crossed:
                self._callers.violations.append(
                    f'{now:.2f} {request.request_id} at {daemon.name},'
                    f' {place} of {depth}: {request.arrived} bytes of an answer'
                    f' in {now - request.sent_at:.2f} s, then the end'
                )


async def _read_answer(
    reader: asyncio.StreamReader, request: _Request
) -> _Answer:
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        line = await reader.readline()
        request.arrived += len(line)
        head += line
        if not line.endswith(b'\n'):
            raise EOFError('the connection ended in a head')
    first, *lines = head.decode().rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.title(): content.strip() for name, _, content in pairs}
    body = await reader.readexactly(int(headers['Content-Length']))
    return _Answer(HTTPStatus(int(first.split()[1])), headers, body)
