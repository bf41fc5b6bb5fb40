"""Stand-ins for the scripts of the review: store, workers, clients, fleet."""

import asyncio
import base64
import contextlib
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'
HISTORY_S = 20.0
PAGE_ROWS = 500

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]
Handler = Callable[[str, str, Headers, bytes], Awaitable[Answer | None]]


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._begun_at

    def note(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f'{self.now():9.3f} {text}\n')

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.note(text)
        self._file.flush()
        print(f'{self.now():9.3f} {text}', flush=True)


class _Connection(asyncio.Protocol):
    """One connection of a server; requests are answered in order."""

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._buffer = b''
        self._task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if self._task is None:
            self._serve_next()

    def _serve_next(self) -> None:
        end = self._buffer.find(b'\r\n\r\n')
        if end < 0:
            return
        first, *lines = self._buffer[:end].decode('latin-1').split('\r\n')
        method, target, _ = first.split(' ', 2)
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        length = int(headers.get('content-length', 0))
        if len(self._buffer) < end + 4 + length:
            return
        body = self._buffer[end + 4 : end + 4 + length]
        self._buffer = self._buffer[end + 4 + length :]
        self._task = asyncio.ensure_future(
            self._answer(method, target, headers, body)
        )

    async def _answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        self._server.current = self
        answer = await self._server.handler(method, target, headers, body)
        self._task = None
        if self.transport is None or self.transport.is_closing():
            return
        if answer is None:
            self.transport.abort()
            return
        status, fields, content = answer
        fields = {**fields, 'Content-Length': str(len(content))}
        head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        self.transport.write(
            f'HTTP/1.1 {status} Status\r\n{head}\r\n'.encode('latin-1')
            + content
        )
        self._serve_next()


class HttpServer:
    """A small HTTP server; a handler that returns None resets."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[_Connection] = set()
        #: The connection of the request that a handler begins with.
        self.current: object = None
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self, port: int = 0, host: str = LOOPBACK) -> None:
        """Listen on a port; 0 selects any free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self, row_bytes: int = 65536) -> None:
        self.row_bytes = row_bytes
        self.version = 0
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: deque[tuple[float, dict[str, Any]]] = deque()
        self._forgotten = 0
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        #: Called with the names, sizes and status of each transaction.
        self.on_transaction: Callable[[list[tuple[str, int]], int], None] = (
            lambda sizes, status: None
        )

    @property
    def address(self) -> str:
        """Return the address of the store."""
        return self.server.address

    def content(self, table: str, key: str) -> bytes:
        """Return the value of a row; empty if there is none."""
        row = self.rows.get((table, key))
        return base64.b64decode(row['value']) if row else b''

    def put(self, table: str, key: str, document: object) -> None:
        """Write a JSON document, as operators and workers do."""
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self._apply([{'table': table, 'key': key, 'value': value}], [])

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([], [{'table': table, 'key': key}])

    def _apply(
        self, writes: list[dict[str, Any]], removes: list[dict[str, Any]]
    ) -> None:
        self.version += 1
        now = time.monotonic()
        for one in writes:
            row = {
                'table': one['table'],
                'part': '',
                'key': one['key'],
                'value': one['value'],
                'ver': self.version,
            }
            self.rows[one['table'], one['key']] = row
            self._history.append((now, row))
        for one in removes:
            if self.rows.pop((one['table'], one['key']), None) is not None:
                row = {
                    'table': one['table'],
                    'part': '',
                    'key': one['key'],
                    'ver': self.version,
                    'removed': True,
                }
                self._history.append((now, row))
        while self._history and self._history[0][0] < now - HISTORY_S:
            self._forgotten = self._history.popleft()[1]['ver']
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer | None:
        path, _, query = target.partition('?')
        if path.endswith('/rows-tx'):
            return self._transact(msgspec.json.decode(body))
        fields = dict(
            part.partition('=')[::2] for part in query.split('&') if part
        )
        if path.endswith('/rows-get'):
            return self._read(fields)
        if path.endswith('/rows-feed'):
            return await self._feed(fields)
        return 404, {}, b''

    def _transact(self, call: dict[str, Any]) -> Answer:
        sizes = [
            (row['key'], len(base64.b64decode(row['value'])))
            for row in call['writes']
        ]
        if any(size > self.row_bytes for _, size in sizes):
            self.on_transaction(sizes, 400)
            return 400, {}, b'{"error":"a value is over row_bytes"}'
        expected = [(row['table'], row['key']) for row in call['expect']]
        for row in call['expect']:
            known = self.rows.get((row['table'], row['key']))
            if (known['ver'] if known else 0) != row['ver']:
                rows = [self._row(*name) for name in expected]
                self.on_transaction(sizes, 412)
                return self._reply(rows, 412)
        self._apply(call['writes'], call['remove'])
        self.on_transaction(sizes, 200)
        return self._reply([])

    def _row(self, table: str, key: str) -> dict[str, Any]:
        missing = {'table': table, 'part': '', 'key': key, 'ver': 0}
        return self.rows.get((table, key)) or {**missing, 'removed': True}

    def _read(self, fields: dict[str, str]) -> Answer:
        start = fields.get('from', '')
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == fields['table'] and key >= start
        ]
        return self._reply(rows[:PAGE_ROWS], has_more=len(rows) > PAGE_ROWS)

    async def _feed(self, fields: dict[str, str]) -> Answer:
        after = int(fields['after'])
        ends_at = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            if after < self._forgotten:
                return 410, {}, b''
            newest = {
                row['key']: row
                for _, row in self._history
                if row['table'] == fields['table'] and row['ver'] > after
            }
            left = ends_at - time.monotonic()
            if newest or left <= 0:
                return self._reply(list(newest.values()))
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _reply(
        self,
        rows: list[dict[str, Any]],
        status: int = 200,
        *,
        has_more: bool = False,
    ) -> Answer:
        body = msgspec.json.encode(
            {
                'rows': rows,
                'has_more': has_more,
                'ver': self.version,
                'now_ms': time.monotonic() * 1000,
            }
        )
        return status, {'Content-Type': 'application/json'}, body


class Held:
    """The keys that a worker holds, and the fences that it has seen."""

    def __init__(self) -> None:
        #: Disjoint ranges with the highest fence seen, and the end of the hold.
        self._ranges: list[tuple[int, int, int, float]] = []

    def highest(self, first: int, last: int) -> int:
        """Return the highest fence seen on a range."""
        return max(
            (
                one[2]
                for one in self._ranges
                if one[0] <= last and first <= one[1]
            ),
            default=0,
        )

    def put(self, first: int, last: int, fence: int, until: float) -> None:
        """Set the hold of a range."""
        rest = []
        for low, high, known, end in self._ranges:
            if high < first or last < low:
                rest.append((low, high, known, end))
                continue
            if low < first:
                rest.append((low, first - 1, known, end))
            if last < high:
                rest.append((last + 1, high, known, end))
        rest.append((first, last, fence, until))
        self._ranges = rest

    def end(self, first: int, last: int) -> None:
        """End the hold of a range; its fences are kept."""
        for low, high, known, _ in list(self._ranges):
            if low <= last and first <= high:
                self.put(max(low, first), min(high, last), known, 0)

    def holds(self, key: int) -> bool:
        """Return whether a key is held now."""
        now = time.monotonic()
        return any(
            low <= key <= high and now < end
            for low, high, _, end in self._ranges
        )


class Worker:
    """A worker that follows the pages."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        is_keyed: bool = False,
        slots: int = 6,
        work_s: float = 0.05,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.is_keyed = is_keyed
        self.slots = slots
        self.work_s = work_s
        self.born = time.time_ns() // 1_000_000
        self.held = Held()
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self.server = HttpServer(self._handle)
        #: Called with the id of each request that begins to run.
        self.on_run: Callable[['Worker', str], None] = lambda worker, one: None
        self.calls = 0

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            'address': self.server.address,
            'born': self.born,
            'info': {
                'upstream': self.service,
                'version': 'v1',
                'zone': self.zone,
                'capacity': self.slots,
            },
            'status': {'state': state, 'sequence': 1, 'warmup_left_ms': 0},
        }

    async def _handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer | None:
        attempt = headers.get('attempt-id', '')
        echoed = {'Attempt-Id': attempt} if attempt else {}
        if headers.get('expect-instance', self.name) != self.name:
            return 421, {**echoed, 'Instance-Id': self.name}, b''
        if target == '/cassialever/grant':
            return self._grant(msgspec.json.decode(body))
        if target == '/cassialever/release':
            return self._release(msgspec.json.decode(body))
        if target == '/healthz':
            return 200, {'Instance-Id': self.name, **self._load()}, b''
        return await self._run(attempt, echoed, headers)

    def _grant(self, call: dict[str, Any]) -> Answer:
        self.calls += 1
        first, last, fence = call['from'], call['target'], call['fence']
        if self.held.highest(first, last) > fence:
            return 409, {}, b''
        until = time.monotonic() + call['hold_ms'] / 1000
        self.held.put(first, last, fence, until)
        return 200, {}, b''

    def _release(self, call: dict[str, Any]) -> Answer:
        self.held.end(call['from'], call['target'])
        return 200, {'Handover': os.urandom(8).hex()}, b''

    def _load(self) -> Headers:
        return {
            'Instance-Load': f'{self.running},{self.waiting},{self.slots},100'
        }

    async def _run(
        self, attempt: str, echoed: Headers, headers: Headers
    ) -> Answer:
        if self.is_keyed and not self.held.holds(
            int(headers.get('shard-key', -1))
        ):
            return 421, {**echoed, 'Not-Executed': '1'}, b''
        if self.waiting >= 4 * self.slots:
            return 503, {**echoed, **self._load(), 'Not-Executed': '1'}, b''
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.on_run(self, attempt)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._slots.release()
        seal = {'Response-Seal': f'seal.{attempt}'}
        content = f'{self.name} ran {attempt}'.encode()
        return 200, {**echoed, **seal, **self._load()}, content


async def request(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b'',
    timeout: float = 2.0,
) -> tuple[int, Headers, bytes]:
    """Send one request on a new connection; status 0 if none came."""
    try:
        async with asyncio.timeout(timeout):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                return await _exchange(
                    reader, writer, method, target, headers, body
                )
            finally:
                writer.transport.abort()
    except (OSError, asyncio.TimeoutError, EOFError) as error:
        return 0, {}, repr(error).encode()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
) -> tuple[int, Headers, bytes]:
    fields = dict(headers)
    if body:
        fields['Content-Length'] = str(len(body))
    head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    writer.write(f'{method} {target} HTTP/1.1\r\n{head}\r\n'.encode() + body)
    first, *lines = (
        (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    )
    answered = {}
    for line in lines:
        name, _, text = line.partition(':')
        answered[name.lower()] = text.strip()
    length = int(answered.get('content-length', 0))
    content = await reader.readexactly(length) if length else b''
    return int(first.split(' ')[1]), answered, content


class Daemon:
    """One daemon, as the platform runs it."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.host = LOOPBACK
        callers, readiness, internal = _free_ports()
        self.callers = f'{LOOPBACK}:{callers}'
        self.readiness = f'{LOOPBACK}:{readiness}'
        self.internal = internal
        self._settings = folder / f'{name}.jsonc'
        self._log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, store: str, **bounds: float) -> None:
        """Start the process with the command of the deploy file."""
        limits = {
            'grace_s': 6,
            'retry_ratio': 0.2,
            'retry_window_s': 10,
            'retry_allowance': 60,
            'hold_max_ms': 10000,
            **bounds,
        }
        settings = {
            'instance': {
                'instance_id': self.name,
                'data_centre': self.zone,
                'address': LOOPBACK,
                'memory_mb': 300,
                'link_mbps': 1000.0,
                'cores': 0.86,
            },
            'listen': {
                'callers': self.callers,
                'readiness': self.readiness,
                'internal_port': self.internal,
            },
            'seeds': [],
            'store': store,
            'bounds': limits,
        }
        self._settings.write_bytes(msgspec.json.encode(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['CASSIALEVER_SETTINGS'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'cassialever',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        status, _, _ = await request(
            self.readiness,
            'GET',
            '/cassialever/readyz',
            {'Host': 'balancer'},
            timeout=1.0,
        )
        return status == 200

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding='utf-8', errors='replace')


def _free_ports() -> tuple[int, int, int]:
    """Return ports for callers and readiness, and the first of three."""
    for _ in range(200):
        base = 12_000 + int.from_bytes(os.urandom(2)) % 18_000
        if all(_is_free(base + offset) for offset in range(5)):
            return base, base + 1, base + 2
    raise OSError('no free ports')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


async def until_ready(daemons: list[Daemon], timeout: float = 15.0) -> bool:
    """Wait until all daemons are ready."""
    ends_at = time.monotonic() + timeout
    while time.monotonic() < ends_at:
        states = [await one.is_ready() for one in daemons]
        if all(states):
            return True
        await asyncio.sleep(0.2)
    return False


async def _until_ended(work: Awaitable[int]) -> int:
    """Await a case, which a SIGTERM cancels, so that it ends its processes."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 2


def run(
    case: Callable[[Record, pathlib.Path, bool], Awaitable[int]], folder: str
) -> None:
    """Run a case in a temporary folder and exit with its result."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(case(record, pathlib.Path(temporary), trouble))
        except Exception as error:
            record.say(f'the case could not run: {error!r}')
            status = 2
    record.say(f'exit status {status}')
    sys.exit(status)
