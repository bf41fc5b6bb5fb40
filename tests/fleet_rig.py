"""A fleet on machines of unequal links and processors, in virtual time.

Links between daemons and to the store have a bandwidth, and each received byte
costs processor time, so that daemons fall behind as on small machines.
"""

import asyncio
import base64
import contextlib
import contextvars
import functools
import heapq
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any
from unittest import mock

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event
from cassialever.fleet import (
    catching_up,
    connecting,
    following_leader,
    messages,
    view,
)
from cassialever.fleet.catching_up import CatchUp
from cassialever.fleet.datagrams import (
    READ_INTERVAL,
    DatagramSocket,
    OpenRequests,
)
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.gossip import LoadGossip
from cassialever.fleet.membership import (
    Membership,
    MemberState,
    daemons_to_inform,
    election_delay,
)
from cassialever.fleet.model import StoreRow
from cassialever.fleet.path_reports import PathReporter
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import FleetView
from cassialever.keys.heat import HEAT_UPDATE_INTERVAL
from cassialever.platform import records, rows, store
from cassialever.platform.newest_version import NewestVersion
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from cassialever.policy.peer_reports import Helper
from cassialever.types import DataCentreId, RowVersion
from standins.call_faults import COMMIT_PATH, FEED_PATH, READ_PATH
from standins.rowstore import RowStore, StoredRow
from standins.store_pace import StorePace
from tests.fleet_helpers import (
    CONFIGURATION,
    ROUTES,
    LoopClock,
    VirtualLoop,
    target_entry,
)

#: Delay of a packet between two machines, in seconds.
PACKET_DELAY = 0.0005
#: Time that the store takes for a call, in seconds.
STORE_DELAY = 0.004
#: Bytes that one sender puts on a link before others get their turn.
CHUNK_BYTES = 8192
#: Processor time of a whole core, for each chunk received and each byte of it
#: from a daemon (compressed) and from the store, in seconds.
CHUNK_COST = 0.0001
RELAYED_BYTE_COST = 2e-7
STORE_BYTE_COST = 3e-8
#: Bytes of a datagram's headers, and processor time of a whole core for one.
DATAGRAM_OVERHEAD = 42
DATAGRAM_COST = 0.00005
#: Bytes that the store adds to a row, whose content it sends as base64.
ROW_OVERHEAD = 120
#: Link and processor of the smallest machines, in Mbit/s and cores.
THIN_LINK = 5
SMALL_CORE = 0.43
#: Time in which other work uses its share of a machine once, in seconds.
LOAD_PERIOD = 0.02
TARGETS = 152
ROUTE_COUNT = 1280
#: Time between two checks of what is in force, in seconds.
CHECK_INTERVAL = 0.01

#: The machine on which the present task runs.
CURRENT: contextvars.ContextVar['Machine'] = contextvars.ContextVar('machine')


class Machine:
    """A machine's link and processor."""

    def __init__(
        self, loop: VirtualLoop, name: str, link_mbps: float, cores: float
    ) -> None:
        self.loop = loop
        self.name = name
        self.link_mbps = link_mbps
        self.bytes_per_second = link_mbps * 1e6 / 8
        self.cores = cores
        self.is_alive = True
        #: Names of the machines whose packets do not arrive here.
        self.deaf_to: set[str] = set()
        self._free_at_by_part: dict[str, float] = {}

    def occupy(self, part: str, duration: float) -> float:
        """Use a part from when it is free; return when that ends."""
        starts_at = max(self.loop.time(), self._free_at_by_part.get(part, 0))
        self._free_at_by_part[part] = starts_at + duration
        return starts_at + duration

    def is_small(self) -> bool:
        """Return whether it is one of those with the thinnest links."""
        return self.link_mbps == THIN_LINK

    def fill_link(self, delay: float) -> None:
        """Let other traffic hold up what is sent from now on by a delay."""
        self._free_at_by_part['up'] = self.loop.time() + delay

    def send(self, size: int) -> float:
        return self.occupy('up', size / self.bytes_per_second)

    def receive(self, size: int) -> float:
        return self.occupy('down', size / self.bytes_per_second)

    def process(self, cost: float) -> float:
        return self.occupy('processor', cost / self.cores)


class RigWriter:
    """One end's writer of a connection between two machines."""

    def __init__(
        self, sender: Machine, receiver: Machine, reader: asyncio.StreamReader
    ) -> None:
        self._sender = sender
        self._receiver = receiver
        self._reader = reader
        #: The other direction, which ends with this one.
        self.other: RigWriter | None = None
        self._unsent = 0
        self._is_closed = False

    @property
    def transport(self) -> 'RigWriter':
        return self

    def get_extra_info(self, name: str) -> None:
        """Return nothing: it has no socket."""

    def get_write_buffer_size(self) -> int:
        return self._unsent

    def write(self, frame: bytes) -> None:
        if self._is_closed:
            return
        for start in range(0, len(frame), CHUNK_BYTES):
            chunk = frame[start : start + CHUNK_BYTES]
            self._unsent += len(chunk)
            self._at(self._sender.send(len(chunk)), self._leave, chunk)

    async def drain(self) -> None:
        return

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._at(self._sender.send(1), self._leave, b'')
        if self.other is not None:
            self.other.end()

    def abort(self) -> None:
        self.close()

    def end(self) -> None:
        """End the stream at the receiver at once."""
        self._is_closed = True
        if not self._reader.at_eof():
            self._reader.feed_eof()

    def _at(self, moment: float, step: Callable[..., None], *args: Any) -> None:
        self._sender.loop.call_at(moment, step, *args)

    def _leave(self, chunk: bytes) -> None:
        if self._sender.name in self._receiver.deaf_to:
            return
        self._unsent -= len(chunk)
        self._at(self._sender.loop.time() + PACKET_DELAY, self._arrive, chunk)

    def _arrive(self, chunk: bytes) -> None:
        arrived_at = self._receiver.receive(max(len(chunk), 1))
        self._at(arrived_at, self._handle, chunk)

    def _handle(self, chunk: bytes) -> None:
        cost = CHUNK_COST + len(chunk) * RELAYED_BYTE_COST
        self._at(self._receiver.process(cost), self._deliver, chunk)

    def _deliver(self, chunk: bytes) -> None:
        if self._reader._eof:
            return
        if chunk:
            self._reader.feed_data(chunk)
        else:
            self._reader.feed_eof()
            if self.other is not None:
                self.other._is_closed = True


class RigSocket(DatagramSocket):
    """One daemon's datagrams; a full link holds them up as other packets.

    As from a real socket, those that arrive within an interval are read
    together.
    """

    def __init__(self, rig: 'Rig', machine: Machine) -> None:
        super().__init__()
        self._rig = rig
        self._machine = machine
        self._arriving: list[tuple[float, str, bytes]] = []
        self._read_at = 0.0
        self._next_read: asyncio.TimerHandle | None = None

    def send(self, address: str, datagram: bytes) -> None:
        left_at = self._machine.send(len(datagram) + DATAGRAM_OVERHEAD)
        peer = self._rig.by_address[address]
        if self._machine.name not in peer.machine.deaf_to:
            peer.socket.expect(
                left_at + PACKET_DELAY, self._machine.name, datagram
            )

    def expect(self, arrives_at: float, sender: str, datagram: bytes) -> None:
        """Read a datagram when it has arrived."""
        heapq.heappush(self._arriving, (arrives_at, sender, datagram))
        read_at = max(arrives_at, self._read_at + READ_INTERVAL)
        if self._next_read is not None:
            if self._next_read.when() <= read_at:
                return
            self._next_read.cancel()
        self._next_read = self._machine.loop.call_at(
            read_at, self._read_arrived
        )

    def _read_arrived(self) -> None:
        loop = self._machine.loop
        self._read_at = loop.time()
        self._next_read = None
        datagrams = []
        while self._arriving and self._arriving[0][0] <= self._read_at:
            _, sender, datagram = heapq.heappop(self._arriving)
            datagrams.append(datagram)
            self._machine.receive(len(datagram) + DATAGRAM_OVERHEAD)
        if self._arriving:
            self.expect(*heapq.heappop(self._arriving))
        if self._machine.is_alive and datagrams:
            cost = DATAGRAM_COST * len(datagrams)
            loop.call_at(self._machine.process(cost), self._deliver, datagrams)

    def _deliver(self, datagrams: list[bytes]) -> None:
        """Handle datagrams, which are decoded once for all receivers."""
        for datagram in datagrams:
            report = decode_report(datagram)
            self.handler_by_type[OpenRequests](report, '')


@functools.lru_cache(maxsize=256)
def decode_report(datagram: bytes) -> OpenRequests:
    """Return a report as the socket decodes it."""
    return msgspec.msgpack.decode(datagram, type=OpenRequests)


class RigStore:
    """One daemon's client of the store that all daemons share."""

    def __init__(self, rig: 'Rig', machine: Machine) -> None:
        self._rig = rig
        self._machine = machine
        #: Whether no call is answered, or none that waits for changes.
        self.is_cut = False
        self.loses_polls = False
        #: Whether commits are performed and not answered, and the delay after
        #: which they are performed.
        self.loses_commits = False
        self.commit_delay = 0.0
        #: Tables whose reads are refused, and those whose reads are not
        #: answered, while other calls work.
        self.refused_tables: set[str] = set()
        self.silent_tables: set[str] = set()
        self.calls = 0
        #: The newest version that an answer has told.
        self._newest = NewestVersion()
        #: Commits that go on though their callers have gone.
        self._performing: set[asyncio.Task[Any]] = set()

    async def commit(self, transaction: rows.Transaction) -> Any:
        self.calls += 1
        pace = self._rig.pace
        if not pace.write_rate.takes():
            return refused_call()
        before, after = pace.slowness.draw(COMMIT_PATH, self._machine.name)
        before += self.commit_delay
        at_least = RowVersion(self._newest.told + 1)
        if not before + after and not pace.standstill.is_on:
            return self._note(await self._commit(transaction, at_least))
        task = asyncio.create_task(
            self._commit_late(
                self._commit(transaction, at_least), before, after
            )
        )
        self._performing.add(task)
        task.add_done_callback(self._performing.discard)
        done, _ = await asyncio.wait((task,), timeout=store.CALL_TIMEOUT)
        return self._note(task.result()) if done else lost_answer()

    async def read(self, table: str, start: str = '') -> Any:
        return await self.read_all(table)

    async def read_all(self, table: str) -> Any:
        self.calls += 1
        told_before = self._newest.told
        answer = await self._paced(
            self._read(table), READ_PATH, store.CALL_TIMEOUT
        )
        if not isinstance(answer, Failure):
            self._newest.note_read(answer.version, told_before)
        return answer

    async def wait_for_changes(
        self, table: str, after: int, wait: float = store.LONG_POLL_WAIT
    ) -> Any:
        self.calls += 1
        limit = wait + store.POLL_ANSWER_TIMEOUT
        return self._note(
            await self._paced(self._wait(table, after, wait), FEED_PATH, limit)
        )

    async def _commit_late(
        self, call: Coroutine[Any, Any, Any], before: float, after: float
    ) -> Any:
        answer = await self._read_late(call, before, after)
        if after and isinstance(answer, rows.Committed):
            # The newest version is that at the time of the answer.
            return msgspec.structs.replace(
                answer,
                version=RowVersion(self._rig.rows.version),
                store_time=self._machine.loop.time(),
            )
        return answer

    async def _paced(
        self, call: Coroutine[Any, Any, Any], path: str, limit: float
    ) -> Any:
        """Answer a read at the store's pace, or not within its limit."""
        pace = self._rig.pace
        if not pace.read_rate.takes():
            call.close()
            return refused_call()
        delays = pace.slowness.draw(path, self._machine.name)
        if not any(delays) and not pace.standstill.is_on:
            return await call
        late = asyncio.create_task(self._read_late(call, *delays))
        try:
            done, _ = await asyncio.wait((late,), timeout=limit)
        finally:
            late.cancel()
        return late.result() if done else lost_answer()

    async def _read_late(
        self, call: Coroutine[Any, Any, Any], before: float, after: float
    ) -> Any:
        try:
            await self._rig.pace.standstill.wait()
            await asyncio.sleep(before)
        except asyncio.CancelledError:
            call.close()
            raise
        answer = await call
        await asyncio.sleep(after)
        return answer

    async def _commit(
        self, transaction: rows.Transaction, at_least: RowVersion
    ) -> Any:
        await asyncio.sleep(STORE_DELAY)
        if self.is_cut:
            return await self._fail(store.CALL_TIMEOUT)
        body = rows.encode_transaction(transaction)
        outcome = self._rig.rows.transact(msgspec.json.decode(body))
        now = self._machine.loop.time()
        if isinstance(outcome, int):
            self._rig.pace.other_writers.follow(body)
            self._rig.wake()
        if self.loses_commits:
            return await self._fail(store.CALL_TIMEOUT)
        version = RowVersion(self._rig.rows.version)
        if isinstance(outcome, int):
            # The client takes a lower version for an answer that was lost.
            if version < at_least:
                return lost_answer()
            return rows.Committed(version, now, at_least)
        return rows.Conflict(decode(outcome), now, version)

    async def _read(self, table: str) -> Any:
        await asyncio.sleep(STORE_DELAY)
        if table in self.refused_tables:
            return refused_call()
        if self.is_cut or table in self.silent_tables:
            return await self._fail(store.CALL_TIMEOUT)
        shown = self._shown(table, is_feed=False)
        version = shown.version
        stored = shown.read_page(table, '')
        await self._transfer(stored)
        return rows.Rows(
            decode(stored), RowVersion(version), self._machine.loop.time()
        )

    async def _wait(self, table: str, after: int, wait: float) -> Any:
        await asyncio.sleep(STORE_DELAY)
        if table in self.refused_tables:
            return refused_call()
        ends_at = self._machine.loop.time() + wait
        shown = self._shown(table, is_feed=True)
        changed = shown.changes_after(table, after)
        if changed is None:
            return Failure(ErrorKind.table_conflict, 'no longer available')
        while not changed and self._machine.loop.time() < ends_at:
            remaining = ends_at - self._machine.loop.time()
            pause = self._rig.pace.lag.until_shown(remaining)
            looks_at = ends_at
            if pause < remaining:
                looks_at = self._machine.loop.time() + pause
            await self._rig.wait_for_change(looks_at)
            shown = self._shown(table, is_feed=True)
            changed = shown.changes_after(table, after)
        if self.is_cut or self.loses_polls or table in self.silent_tables:
            silent_until = ends_at + store.POLL_ANSWER_TIMEOUT
            return await self._fail(silent_until - self._machine.loop.time())
        version = RowVersion(shown.version)
        await self._transfer(changed or [])
        return rows.Rows(
            decode(changed or []),
            version,
            self._machine.loop.time(),
        )

    def _shown(self, table: str, *, is_feed: bool) -> RowStore:
        """Return the rows as a read shows them."""
        stored = self._rig.rows
        lag = self._rig.pace.lag
        return stored.as_of(
            lag.version_for(
                table, self._machine.name, stored.version, is_feed=is_feed
            )
        )

    def _note(self, answer: Any) -> Any:
        """Note the version that an answer tells, as the client does."""
        if not isinstance(answer, Failure):
            self._newest.note(answer.version)
        return answer

    async def _fail(self, delay: float) -> Failure:
        await asyncio.sleep(delay)
        return lost_answer()

    async def _transfer(self, stored: list[StoredRow]) -> None:
        size = sum(len(row.value or '') + ROW_OVERHEAD for row in stored)
        loop = self._machine.loop
        for start in range(0, size, CHUNK_BYTES):
            chunk = min(CHUNK_BYTES, size - start)
            await asyncio.sleep(self._machine.receive(chunk) - loop.time())
        done_at = self._machine.process(CHUNK_COST + size * STORE_BYTE_COST)
        await asyncio.sleep(done_at - loop.time())


def lost_answer() -> Failure:
    """Return the failure of a call that was not answered."""
    return Failure(ErrorKind.table_answer_lost, 'no answer')


def refused_call() -> Failure:
    """Return the failure of a call that was refused."""
    return Failure(ErrorKind.table_unavailable, 'the store refused')


@functools.cache
def decode_row(table: str, key: str, value: str | None, ver: int) -> StoreRow:
    """Return a row as the client decodes it."""
    content = None if value is None else base64.b64decode(value)
    return StoreRow(table, key, content, RowVersion(ver))


def decode(stored: list[StoredRow]) -> tuple[StoreRow, ...]:
    """Return rows as the client decodes them."""
    return tuple(
        decode_row(row.table, row.key, row.value, row.ver) for row in stored
    )


class RigDaemon:
    """One daemon: its view, its links and its part in the fleet."""

    def __init__(
        self, rig: 'Rig', machine: Machine, number: int, incarnation: int = 1
    ) -> None:
        self.machine = machine
        self.store = RigStore(rig, machine)
        clock = LoopClock(rig.loop)
        self.view = FleetView(clock)
        own = messages.Hello(machine.name, incarnation, f'{machine.name}:7', {})
        self.relay = Relay(self.view, own)
        self.link = LeaderLink(self.view, own)
        self.member = Membership(
            self.store,  # type: ignore[arg-type]
            self.view,
            self.relay,
            self.link,
            clock,
            random.Random(rig.random.random()),
        )
        self.member.election_delay = election_delay(machine.link_mbps)
        self.catch_up = CatchUp(
            self.store,  # type: ignore[arg-type]
            self.view,
            self.member,
            random.Random(rig.random.random()),
        )
        self.socket = RigSocket(rig, machine)
        self.gossip = LoadGossip(
            PathReporter(
                Helper(machine.name, f'{machine.name}:7', DataCentreId('dc')),
                50,
                TargetPaths(DataCentreId('dc'), random.Random(number)),
                clock,
            ),
            LoadTracker(),
            clock,
            functools.partial(daemons_to_inform, self.member),
            self.socket,
        )
        self.gossip.newest_by_table = self.catch_up.newest_by_table
        self.gossip.on_newest = self.catch_up.note
        self.catch_up.report_now = self.gossip.report_now
        self.member.own_ages = self.catch_up.confirmation.ages
        self._context = contextvars.copy_context()
        self._context.run(CURRENT.set, machine)
        self.tasks: list[asyncio.Task[Any]] = []
        self.writers: list[RigWriter] = []

    def start(self) -> None:
        self.spawn(self.member.run())
        self.spawn(self.catch_up.run())
        self.spawn(self.gossip.run())
        self.spawn(self._report())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work on this daemon's machine."""
        task = self._context.run(asyncio.get_running_loop().create_task, work)
        self.tasks.append(task)

    def kill(self) -> None:
        """End the process; its machine resets all connections."""
        self.machine.is_alive = False
        for task in self.tasks:
            task.cancel()
        self.member._direct_follower.stop()
        for writer in self.writers:
            writer.end()

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(HEAT_UPDATE_INTERVAL)
            self.link.report(messages.KeysAsked({}, {}))


class Rig:
    """The daemons, the store, and when a change is in force."""

    def __init__(self, loop: VirtualLoop, seed: int, count: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.rows = RowStore()
        #: Faults of many calls at once, and rows of other writers.
        self.pace = StorePace(
            self.rows.put, lambda: self.rows.version, loop.time
        )
        self._changed = asyncio.Event()
        self._put_tables()
        machines = [self._draw_machine(number) for number in range(count)]
        self.daemons = [
            RigDaemon(self, machine, number)
            for number, machine in enumerate(machines)
        ]
        self.by_address = {f'{one.machine.name}:7': one for one in self.daemons}

    async def settle(self) -> None:
        """Start all daemons and wait until all follow one leader."""
        for daemon in self.daemons:
            for table in daemon.view.tables:
                known = decode(self.rows.read_page(table, ''))
                daemon.view.replace(table, known, RowVersion(self.rows.version))
            daemon.start()
        await asyncio.sleep(4)
        assert len(self.leader().relay.follower_by_id) == len(self.daemons) - 1

    def leader(self) -> RigDaemon:
        """Return the daemon that leads."""
        leader = self.find_leader()
        assert leader is not None
        return leader

    def add_daemon(self) -> RigDaemon:
        """Start a daemon that knows nothing, on a machine with a thin link."""
        number = len(self.daemons)
        machine = Machine(self.loop, f'edge-{number}', THIN_LINK, SMALL_CORE)
        daemon = RigDaemon(self, machine, number)
        self.daemons.append(daemon)
        self.by_address[f'{machine.name}:7'] = daemon
        daemon.start()
        return daemon

    def restart(self, daemon: RigDaemon) -> RigDaemon:
        """Start the next process of a daemon that was killed."""
        number = self.daemons.index(daemon)
        daemon.machine.is_alive = True
        again = RigDaemon(self, daemon.machine, number, incarnation=2)
        self.daemons[number] = again
        self.by_address[f'{daemon.machine.name}:7'] = again
        again.start()
        return again

    def find_leader(self) -> RigDaemon | None:
        """Return the daemon that leads, if one does."""
        for daemon in self.daemons:
            is_leading = daemon.member.state is MemberState.leading
            if daemon.machine.is_alive and is_leading:
                return daemon
        return None

    async def wait_for_fresh_tables(self) -> None:
        """Wait until the leader has just begun to wait for changes.

        A fault counts from its tables' last completion, so this is the moment
        at which one is noticed last.
        """
        while self.leader().relay.ages().tables_age > 2 * CHECK_INTERVAL:
            await asyncio.sleep(CHECK_INTERVAL)

    def configure(self, number: int) -> None:
        """Acknowledge a version of the configuration."""
        routes = {
            f'r-{one:08x}': {
                **ROUTES['r-lookup'],
                'hostname': f'{self.random.getrandbits(64):016x}.example',
            }
            for one in range(ROUTE_COUNT)
        }
        self.put(
            'op',
            'config',
            {**CONFIGURATION, 'version': f'r{number}', 'routes': routes},
        )

    def put_target(self, number: int, state: str = 'ready') -> None:
        """Acknowledge the state of a target."""
        address = f'10.1.64.{number}:8707'
        entry = target_entry(state=state, address=address)
        self.put('servers', f't{number}', entry)

    def put(self, table: str, key: str, document: object) -> None:
        self.rows.put(table, key, msgspec.json.encode(document))
        self.wake()

    def lose_writes(self, seconds: float) -> list[tuple[str, str]]:
        """Lose what was written in the last seconds; return which rows."""
        lost = self.rows.go_back(self.pace.lag.go_back(seconds))
        self.wake()
        return list(dict.fromkeys((row.table, row.key) for row in lost))

    def wake(self) -> None:
        self.pace.lag.note(self.rows.version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, until: float) -> None:
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout_at(until):
                await self._changed.wait()

    async def load_small_machines(self, share: float) -> None:
        """Use a share of the link and the processor of the thinnest links."""
        small = [one.machine for one in self.daemons if one.machine.is_small()]
        while True:
            for machine in small:
                duration = LOAD_PERIOD * share
                machine.occupy('down', duration)
                machine.occupy('up', duration)
                machine.occupy('processor', duration)
            await asyncio.sleep(LOAD_PERIOD)

    async def release(self) -> None:
        """Change targets one after the other, as a release does."""
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.25))
            self.put_target(self.random.randrange(1, TARGETS))

    async def measure(
        self,
        is_in_force: Callable[[RigDaemon], bool],
        limit: float,
        without: RigDaemon | None = None,
    ) -> list[float]:
        """Return, in order, when each daemon has a change in force.

        Times are from now on and at most `limit`. Daemons that have ended,
        that get no changes from the store, and the one named are left out.
        """
        start = self.loop.time()
        times: list[float] = []
        waiting = [one for one in self.daemons if one is not without]
        while waiting and self.loop.time() - start < limit:
            await asyncio.sleep(CHECK_INTERVAL)
            remaining = []
            for daemon in waiting:
                if not daemon.machine.is_alive or daemon.store.loses_polls:
                    continue
                if is_in_force(daemon):
                    times.append(self.loop.time() - start)
                    continue
                remaining.append(daemon)
            waiting = remaining
        return times + [limit] * len(waiting)

    async def connect(self, address: str) -> Any:
        """Connect the present machine to the daemon at an address."""
        own = CURRENT.get()
        peer = self.by_address[address]
        if peer.machine.name in own.deaf_to:
            await asyncio.sleep(connecting.CONNECT_TIMEOUT)
            return Failure(ErrorKind.target_unreachable, 'silent')
        await asyncio.sleep(2 * PACKET_DELAY)
        if not peer.machine.is_alive:
            return Failure(ErrorKind.target_unreachable, 'refused')
        own_reader, peer_reader = asyncio.StreamReader(), asyncio.StreamReader()
        to_peer = RigWriter(own, peer.machine, peer_reader)
        to_own = RigWriter(peer.machine, own, own_reader)
        to_peer.other, to_own.other = to_own, to_peer
        peer.writers += [to_peer, to_own]
        self.by_address[f'{own.name}:7'].writers += [to_peer, to_own]
        accept: Any = peer.relay._accept
        peer.spawn(accept(peer_reader, to_own))
        return own_reader, to_peer

    def _draw_machine(self, number: int) -> Machine:
        """Return one in six as a fast machine, and all others as small."""
        name = f'edge-{number}'
        if number % 6 == 0:
            return Machine(self.loop, name, 100, 2.15)
        link_mbps = self.random.choice((5, 10, 10, 20))
        return Machine(self.loop, name, link_mbps, self.random.uniform(0.43, 1))

    def _put_tables(self) -> None:
        self.configure(7)
        for number in range(TARGETS):
            self.put_target(number)


def ignore_event(event: Event, **fields: Any) -> None:
    """Log nothing."""


@contextlib.contextmanager
def simulated_links(rig: Rig) -> Iterator[None]:
    """Let daemons connect through the rig, and log nothing."""
    with (
        mock.patch.object(following_leader, 'connect', rig.connect),
        mock.patch.object(view, 'record', ignore_event),
        mock.patch.object(catching_up, 'record', ignore_event),
        # All daemons decode the same few configurations.
        mock.patch.object(
            records,
            'decode_configuration',
            functools.cache(records.decode_configuration),
        ),
    ):
        yield


async def run_scenario(
    loop: VirtualLoop,
    seed: int,
    scenario: Callable[[Rig], Awaitable[None]],
    count: int,
    load: float = 0,
    make_rig: Callable[..., Any] | None = None,
) -> None:
    """Play a scenario on a fleet that has settled, beside a release.

    `load` is the share of the smallest machines that other work uses.
    """
    rig = (make_rig or Rig)(loop, seed, count)
    with simulated_links(rig):
        await rig.settle()
        await rig.wait_for_fresh_tables()
        beside = [
            asyncio.create_task(rig.release()),
            asyncio.create_task(rig.load_small_machines(load)),
        ]
        try:
            await scenario(rig)
        finally:
            for task in beside:
                task.cancel()
