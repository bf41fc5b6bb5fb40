"""A small deployment of real daemon processes, for the scripts of cases 6 to 10.

The store is the project's own stand-in. Targets and callers are written here on
bare sockets, so that each byte on the wire is known.
"""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / 'target' / 'deps'), str(ROOT)]

from standins.listening import free_ports  # noqa: E402
from standins.rowstore import RowStoreServer  # noqa: E402

HOST = '127.0.0.1'
ZONE = 'astana-a'
#: Exit status of a case: the rule held, was broken, or the case could not run.
#: `run.sh` makes 1 of BROKEN: Python itself exits with 1 after any error.
HELD, BROKEN, NOT_RUN = 0, 11, 2


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begin the record of a case."""
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started = time.monotonic()

    def note(self, *words: object) -> None:
        """Write one line with the time since the start."""
        since = time.monotonic() - self._started
        line = f'{since:7.3f} ' + ' '.join(map(str, words))
        self._file.write(line + '\n')
        self._file.flush()
        sys.stdout.write(line + '\n')
        sys.stdout.flush()


class Request:
    """A request as a target has read it."""

    def __init__(self, method: str, path: str, headers: dict[str, str]) -> None:
        """Take the parts of its head; the names are in lower case."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = b''

    @property
    def attempt_id(self) -> str:
        """Return the id of the attempt."""
        return self.headers.get('attempt-id', '')


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read the head of a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *fields = head.decode('latin-1').split('\r\n')
    method, path, _ = first.split(' ', 2)
    headers = {}
    for field in fields:
        name, colon, text = field.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    return Request(method, path, headers)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body that has a length or is in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Target:
    """A worker of a service without keys, as `PROTOCOL.md` describes it."""

    def __init__(
        self,
        target_id: str,
        service: str,
        record: Record,
        work_s: float = 0.01,
        slots: int = 6,
    ) -> None:
        """Create a worker that answers with 200 after its work."""
        self.target_id = target_id
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.born = time.time_ns() // 10**6
        self.sequence = 0
        self.state = 'ready'
        #: The attempts that ran, in order, with path and body.
        self.ran: list[tuple[str, str, bytes]] = []
        self.address = ''
        self._server: asyncio.Server | None = None
        #: Serves a request in place of `serve`, if set.
        self.serve_otherwise: Callable[..., Awaitable[bool | None]] | None = (
            None
        )
        #: Added to the head of every answer.
        self.extra_head = b''

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._connected, HOST, free_ports(1)[0], limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'

    def entry(self) -> dict[str, Any]:
        """Return the next report of the worker."""
        self.sequence += 1
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'upstream': self.service,
                'version': 'v1',
                'zone': ZONE,
                'capacity': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmup_left_ms': 0,
            },
        }

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                if request.headers.get('expect-instance') != self.target_id:
                    request.body = await read_body(reader, request.headers)
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n'
                        b'Instance-Id: %s\r\nContent-Length: 0\r\n\r\n'
                        % (request.attempt_id.encode(), self.target_id.encode())
                    )
                    continue
                goes_on = await self.serve(request, reader, writer)
                await writer.drain()
                if goes_on is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Read a request whole, run and answer it."""
        if self.serve_otherwise is not None:
            return await self.serve_otherwise(self, request, reader, writer)
        request.body = await read_body(reader, request.headers)
        await self.run(request)
        self.answer(request, writer)
        return None

    async def run(self, request: Request) -> None:
        """Run a request."""
        self.note_run(request)
        await asyncio.sleep(self.work_s)

    def note_run(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.ran.append((request.attempt_id, request.path, request.body))
        self.record.note(
            self.target_id,
            'runs',
            request.attempt_id,
            request.method,
            request.path,
            f'body of {len(request.body)} bytes',
        )

    def answer(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        status: bytes = b'200 OK',
        body: bytes | None = None,
    ) -> None:
        """Write a whole answer."""
        if body is None:
            body = f'{self.target_id} ran {request.attempt_id}'.encode()
        writer.write(
            b'HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\n'
            b'Instance-Load: 1,0,%d,100\r\n%sContent-Length: %d\r\n\r\n%s'
            % (
                status,
                request.attempt_id.encode(),
                request.attempt_id.encode(),
                self.slots,
                self.extra_head,
                len(body),
                body,
            )
        )


class Daemon:
    """One process with the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path, store: str) -> None:
        """Choose free ports."""
        self.name = name
        self.ports = free_ports(3)
        self.internal = free_ports(3)[0]
        self.settings = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        self.store = store
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list[str]) -> None:
        """Start the process, with settings like those of the site file."""
        self.settings.write_text(
            json.dumps(
                {
                    'instance': {
                        'instance_id': self.name,
                        'data_centre': ZONE,
                        'address': HOST,
                        'memory_mb': 300,
                        'link_mbps': 1000.0,
                        'cores': 0.86,
                        'max_descriptors': 4100,
                    },
                    'listen': {
                        'callers': f'{HOST}:{self.ports[0]}',
                        'readiness': f'{HOST}:{self.ports[1]}',
                        'internal_port': self.internal,
                    },
                    'seeds': seeds,
                    'store': self.store,
                    'store_row_bytes': 65536,
                    'bounds': {
                        'grace_s': 6,
                        'retry_ratio': 0.2,
                        'retry_window_s': 10,
                        'retry_allowance': 60,
                        'hold_max_ms': 10000,
                    },
                }
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles']['router']['run'])
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CASSIALEVER_SETTINGS': str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports[1])
            writer.write(b'GET /cassialever/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Rig:
    """A store, workers and daemons."""

    def __init__(self, case: str) -> None:
        """Prepare a case; `case` is the path of its script."""
        self.folder = pathlib.Path(case).resolve().parent
        self.record = Record(self.folder)
        #: Whether the disruption is played; `run.sh` passes TROUBLE on.
        self.has_trouble = sys.argv[1:] != ['0']
        self.store = RowStoreServer()
        self.targets: list[Target] = []
        self.daemons: list[Daemon] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._temporary = tempfile.TemporaryDirectory()

    async def start(
        self,
        configuration: dict[str, Any],
        targets: list[Target],
        daemons: int = 1,
    ) -> None:
        """Start everything and wait until each daemon is ready."""
        await self.store.start()
        self.store.put('op', 'config', configuration)
        self.targets = targets
        for target in targets:
            await target.start()
            self.store.put('servers', target.target_id, target.entry())
        self._tasks.append(asyncio.create_task(self._beat()))
        folder = pathlib.Path(self._temporary.name)
        self.daemons = [
            Daemon(f'edge-{ZONE}-{number}', folder, self.store.address)
            for number in range(1, daemons + 1)
        ]
        seeds = [f'{HOST}:{daemon.internal}' for daemon in self.daemons][:3]
        for daemon in self.daemons:
            await daemon.start(seeds)
        ends_at = time.monotonic() + 30
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > ends_at:
                    raise TimeoutError(daemon.log.read_text()[-2000:])
                await asyncio.sleep(0.1)
        self.record.note(len(self.daemons), 'daemons are ready')
        await asyncio.sleep(4)

    async def stop(self) -> None:
        """End every process and server."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.end()
        if os.environ.get('KEEP_LOGS'):
            for daemon in self.daemons:
                sys.stderr.write(daemon.log.read_text())
        await self.store.stop()
        self._temporary.cleanup()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(0.87)
            for target in self.targets:
                self.store.put('servers', target.target_id, target.entry())


def service(**fields: Any) -> dict[str, Any]:
    """Return a service of a configuration."""
    return {
        'health_check': '/healthz',
        'max_connections': 120,
        'warmup_s': 3.0,
        'warmup_per_s': 12.0,
        **fields,
    }


def route(name: str, upstream: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration, with the prefix of its name."""
    return {
        'hostname': 'gateway.example',
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 500,
        'priority': 2,
        'upstream': upstream,
        'attempts': 2,
        **fields,
    }


def configuration(
    routes: dict[str, Any], services: dict[str, Any]
) -> dict[str, Any]:
    """Return a configuration with the limits of the site file."""
    return {
        'version': 'r7',
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def head(
    method: str,
    path: str,
    attempt_id: str,
    *fields: str,
    deadline_ms: int = 2000,
) -> bytes:
    """Return the head of a client's request."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: gateway.example',
        f'Attempt-Id: {attempt_id}',
        f'Deadline-Ms: {deadline_ms}',
        *fields,
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class Answer:
    """An answer that a client has read."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Take its parts."""
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(
    reader: asyncio.StreamReader, *, has_body: bool = True
) -> Answer | None:
    """Read an answer; None if the connection ends before its end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
        first, *fields = raw.decode('latin-1').split('\r\n')
        headers = {}
        for field in fields:
            name, colon, text = field.partition(':')
            if colon:
                headers[name.lower()] = text.strip()
        body = b''
        if has_body:
            body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Answer(int(first.split(' ')[1]), headers, body)


async def play(
    case: str, main: Callable[[Rig], Awaitable[int]], limit_s: float = 100
) -> int:
    """Run a case within its time and end all processes."""
    rig = Rig(case)
    try:
        async with asyncio.timeout(limit_s):
            status = await main(rig)
    except (TimeoutError, OSError) as error:
        rig.record.note('the case could not run:', repr(error))
        status = NOT_RUN
    finally:
        await rig.stop()
    rig.record.note('exit status', status)
    return status
