"""Relay the leader's tables and their changes to the other daemons."""

import asyncio
import math
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

import msgspec

from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.activity import Activity, unknown_activity
from cassialever.fleet.connecting import is_address, split_address
from cassialever.fleet.greeters import Greeters
from cassialever.fleet.key_changes import KeyMapHistory
from cassialever.fleet.limit_reports import LimitReport, ignore_reports
from cassialever.fleet.lost_writes import LostWrites
from cassialever.fleet.message_version import MESSAGE_VERSION
from cassialever.fleet.model import StoreRow
from cassialever.fleet.proof import prove_as_acceptor
from cassialever.fleet.row_replica import latest_version
from cassialever.fleet.unknown_types import SkipLog, UnknownMessage
from cassialever.fleet.view import FleetView
from cassialever.listening import PortUse, listen, stop_listening
from cassialever.types import RowVersion, Seconds

HEARTBEAT_INTERVAL: Final[Seconds] = 0.25
#: Time limit for the first message after the proof.
HELLO_TIMEOUT: Final[Seconds] = 1.0
#: Longest first message: it has the versions of a few tables.
MAX_HELLO_BYTES: Final = 65536
#: Links that have not been greeted on, unless the settings allow fewer.
MAX_GREETINGS: Final = 1024
#: How long the followers of a former leader take to find a new one, which they
#: seek before its lease may be taken over. Until then its list of daemons is
#: not complete.
RECONNECT_PERIOD: Final[Seconds] = 1.5
#: A leader that has not heard from the store for this long may have been
#: replaced, and its successor may have a complete list: the age at which a
#: lease is stale, and RECONNECT_PERIOD.
MAX_CONFIRMED_AGE: Final[Seconds] = 3.0
#: Followers leave a leader that they don't hear for longer than this. One that
#: loses the store with them still knows them then.
MAX_COMPLETE_AGE: Final[Seconds] = 0.8
#: A follower from which nothing arrives for this long does not count as alive:
#: eight reports.
FOLLOWER_TIMEOUT: Final[Seconds] = 2.0
#: Unsent data for one follower above which it is disconnected; it then has to
#: reconnect and catch up.
MAX_BACKLOG_BYTES: Final = 4 * 1024 * 1024
#: Encoded messages kept for followers that reconnect.
MAX_CATCH_UP_FRAMES: Final = 32


class LeaderAges(NamedTuple):
    """How long ago a leader was confirmed, and its tables were complete.

    `told_at` is the sender's clock at that moment; 0 if it is of an earlier
    build and does not lead.
    """

    store_age: Seconds = 0
    tables_age: Seconds = 0
    told_at: Seconds = 0


class Announcement(NamedTuple):
    """The members that followers were told of.

    They were the present ones at the time `seen_at`, in boot time.
    """

    members: messages.Members
    seen_at: Seconds


CatchUpKey: TypeAlias = tuple[str, RowVersion | None, RowVersion]


class Follower:
    """A daemon that follows this one, and the connection to it."""

    def __init__(
        self,
        hello: messages.Hello,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap a connection whose daemon greeted with `hello`."""
        self.hello = hello
        self._writer = writer
        #: When it was last heard, in the loop's time.
        self.heard_at: Seconds = asyncio.get_running_loop().time()

    def send(self, frame: bytes) -> None:
        """Send a frame; disconnect a follower that does not read."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            transport.abort()
            return
        self._writer.write(frame)

    def can_read(self, message: messages.Message) -> bool:
        """Return whether its build knows the type of a message."""
        return message.since <= self.hello.message_version

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class _MemberConfirmation:
    """The members when the store last confirmed that this daemon leads."""

    def __init__(self) -> None:
        self._members: frozenset[str] = frozenset()
        #: Their addresses before any of them left a leader without the store.
        self.addresses_by_id: dict[str, str] = {}

    def is_latest(
        self, addresses_by_id: dict[str, str], store_age: Seconds
    ) -> bool:
        """Return whether no other leader can have a later list of daemons.

        While the store is down for all, every daemon goes on following. One
        that does not may follow another leader by now.
        """
        if store_age < MAX_CONFIRMED_AGE:
            self._members = frozenset(addresses_by_id)
        if store_age < MAX_COMPLETE_AGE:
            self.addresses_by_id = addresses_by_id
        return addresses_by_id.keys() >= self._members


class Relay:
    """Accepts links of followers and sends them the tables of the view."""

    def __init__(
        self,
        view: FleetView,
        own_hello: messages.Hello,
        fleet_key: str = '',
        activity: Callable[[], Activity] = unknown_activity,
        max_greetings: int = MAX_GREETINGS,
    ) -> None:
        """Start without followers; an empty key disables authentication.

        `activity` returns what this daemon does about the leadership.
        """
        self._activity = activity
        self._fleet_key = fleet_key
        self._view = view
        self._own_hello = own_hello
        self._server: asyncio.Server | None = None
        self.follower_by_id: dict[str, Follower] = {}
        self._greeters = Greeters()
        self._max_greetings = max_greetings
        #: Connections that have not been greeted on, the oldest first.
        self._greeting: dict[asyncio.StreamWriter, None] = {}
        self.is_leader = False
        self._leads_since: Seconds = 0
        #: The members that followers were last told of.
        self.announced = Announcement(
            messages.Members({}, is_complete=False), -math.inf
        )
        self._confirmation = _MemberConfirmation()
        #: Returns the ages that this daemon's heartbeats report.
        self.ages: Callable[[], LeaderAges] = LeaderAges
        self.on_hello: Callable[[messages.Hello], None] = _ignore
        self.on_deposed: Callable[[RowVersion], None] = _ignore_term
        self.on_keys_asked: Callable[[messages.KeysAsked], None] = _ignore
        self.on_limits: Callable[[list[LimitReport]], None] = ignore_reports
        #: Returns the limits in force, for new followers.
        self.limit_reports: Callable[[], list[LimitReport]] = list
        self._key_history = KeyMapHistory()
        self._skip_log = SkipLog()
        #: Encoded tables or changes, by table, the follower's version and the
        #: own one.
        self._catch_up_frames: dict[CatchUpKey, bytes] = {}
        #: The last announcement for each service; sent to new followers too.
        self.announced_moving_by_service: dict[str, messages.Moving] = {}

    async def start(self) -> None:
        """Listen for other daemons."""
        address = self._own_hello.address
        host, port = split_address(address)
        self._server = await listen(
            PortUse.links,
            address,
            lambda: asyncio.start_server(self._accept, host, port),
        )

    async def stop(self) -> None:
        """Stop accepting followers and disconnect the present ones."""
        if self._server is not None:
            await stop_listening(self._server)
        self.disconnect_followers()

    def begin_term(self) -> None:
        """Accept followers as the leader."""
        self.is_leader = True
        self._leads_since = asyncio.get_running_loop().time()
        self.announced = Announcement(
            messages.Members(self.members(), is_complete=False),
            self._view.targets.clock.boot(),
        )
        self._greeters = Greeters()
        self._key_history = KeyMapHistory()
        self._catch_up_frames.clear()
        self.announced_moving_by_service.clear()

    def disconnect_followers(self, leader_address: str = '') -> None:
        """Stop acting as leader and refer all followers to another one."""
        self.is_leader = False
        activity = self._activity()
        if activity is Activity.leading:
            activity = Activity.deposed
        self.broadcast(messages.Farewell(leader_address, activity))
        for follower in self.follower_by_id.values():
            follower.close()
        self.follower_by_id.clear()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every follower that can read it."""
        frame = messages.encode(message)
        for follower in list(self.follower_by_id.values()):
            if follower.can_read(message):
                follower.send(frame)

    def relay_changes(
        self,
        table: str,
        rows: list[StoreRow],
        version: RowVersion,
    ) -> None:
        """Send changed rows to every follower."""
        self._catch_up_frames.clear()
        whole_rows = []
        for row in rows:
            keys_changed = self._key_history.changes(row, self._view)
            if keys_changed is None:
                whole_rows.append(row)
                continue
            self.broadcast(keys_changed)
        if whole_rows and self.follower_by_id:
            self.broadcast(messages.Changed(table, whole_rows, version))

    def announce_moving(self, moving: messages.Moving) -> None:
        """Announce which keys of a service are being moved."""
        if self.announced_moving_by_service.get(moving.service) == moving:
            return
        self.announced_moving_by_service[moving.service] = moving
        self._view.set_moving(moving.service, moving.ranges)
        self.broadcast(moving)

    def peers(self) -> dict[str, str]:
        """Return the addresses of the daemons that this one can ask.

        Followers that have left a leader without the store have another one.
        Others have sought a leader here since this one's last term began.
        """
        return {
            **self._greeters.address_by_id,
            **self._confirmation.addresses_by_id,
            **self.members(),
        }

    def members(self) -> dict[str, str]:
        """Return the addresses of this daemon and its live followers."""
        addresses = {self._own_hello.instance_id: self._own_hello.address}
        if not self.follower_by_id:
            return addresses
        heard_since = asyncio.get_running_loop().time() - FOLLOWER_TIMEOUT
        for follower in self.follower_by_id.values():
            if follower.heard_at >= heard_since:
                addresses[follower.hello.instance_id] = follower.hello.address
        return addresses

    async def send_heartbeats(self) -> None:
        """Send heartbeats, and changes of the members, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            ages = self.ages()
            lost_writes = self._view.rows.lost_writes
            self.broadcast(_pulse(self.is_leader, ages, lost_writes))
            # Followers that join together are announced together: each change
            # goes to every follower.
            addresses = self.members()
            members = messages.Members(
                addresses,
                loop.time() >= self._leads_since + RECONNECT_PERIOD,
                self._confirmation.is_latest(addresses, ages.store_age),
            )
            known = self.announced.members
            self.announced = Announcement(
                members, self._view.targets.clock.boot()
            )
            if members != known:
                self.broadcast(members)
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._greeting[writer] = None
        if len(self._greeting) > self._max_greetings:
            # Its peer has had most time to say who it is.
            oldest = next(iter(self._greeting))
            self._greeting.pop(oldest)
            oldest.transport.abort()
        try:
            await self._serve_link(reader, writer)
        except (msgspec.DecodeError, asyncio.TimeoutError) as error:
            record(Event.link_rubbish, reason=repr(error))
        except (asyncio.IncompleteReadError, OSError):
            # The follower has gone; `_listen` has removed it.
            return
        finally:
            self._greeting.pop(writer, None)
            writer.close()

    async def _serve_link(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fleet_key:
            failure = await prove_as_acceptor(
                (reader, writer),
                self._fleet_key,
            )
            if failure is not None:
                record(Event.link_refused, reason=failure.reason)
                return
        async with asyncio.timeout(HELLO_TIMEOUT):
            hello = await messages.receive(reader, MAX_HELLO_BYTES)
        self._greeting.pop(writer, None)
        if isinstance(hello, messages.Deposed):
            self.on_deposed(hello.term)
            return
        if not isinstance(hello, messages.Hello):
            raise msgspec.DecodeError('the first message is not a Hello')
        if not is_address(hello.address):
            # All daemons would send to it.
            raise msgspec.DecodeError(f'no address: {hello.address!r}')
        follower = Follower(hello, writer)
        self._send_tables(follower)
        is_followed = self.is_leader and not hello.reads_once
        if not is_followed:
            self._greeters.note(hello)
            farewell = _farewell(self._view, self._activity())
            await _dismiss(follower, farewell, writer)
            return
        # Only a leader moves keys.
        for moving in self.announced_moving_by_service.values():
            follower.send(messages.encode(moving))
        self.on_hello(hello)
        await self._listen(follower, reader)

    async def _listen(
        self,
        follower: Follower,
        reader: asyncio.StreamReader,
    ) -> None:
        instance_id = follower.hello.instance_id
        self.follower_by_id[instance_id] = follower
        follower.send(messages.encode(self.announced.members))
        try:
            while self.is_leader:
                message = await messages.receive(reader)
                follower.heard_at = asyncio.get_running_loop().time()
                if isinstance(message, messages.KeysAsked):
                    self.on_keys_asked(message)
                if isinstance(message, messages.Limits):
                    self.on_limits(message.reports)
                if isinstance(message, UnknownMessage):
                    self._skip_log.note(instance_id, message)
        finally:
            if self.follower_by_id.get(instance_id) is follower:
                self.follower_by_id.pop(instance_id)

    def _catch_up_frame(self, table: str, known: RowVersion | None) -> bytes:
        """Return what a follower lacks of a table: changes if possible.

        After a takeover all followers reconnect at once, and most of them
        lack only a few rows, the same ones.
        """
        rows = self._view.rows
        version = rows.version_by_table[table]
        frame = self._catch_up_frames.get((table, known, version))
        if frame is not None:
            return frame
        changed = None if known is None else rows.changes_since(table, known)
        if changed is None:
            message: messages.Message = messages.Whole(
                table, rows.rows_of(table), version
            )
        else:
            message = messages.Changed(table, changed, version)
        frame = messages.encode(message)
        # A daemon that does not lead is not notified of changes, so its
        # frames could be outdated.
        is_kept = len(self._catch_up_frames) < MAX_CATCH_UP_FRAMES
        if self.is_leader and is_kept:
            self._catch_up_frames[table, known, version] = frame
        return frame

    def _send_tables(self, follower: Follower) -> None:
        """Send the rows that are newer than the follower's."""
        hello = follower.hello
        for table in self._view.rows.version_by_table:
            version = latest_version(self._view.rows, table)
            known = hello.version_by_table.get(table)
            # The version of a follower that is ahead may be false: an empty
            # change has it ask the store.
            is_followed = self.is_leader and not hello.reads_once
            is_ahead = is_followed and (known or 0) > version
            if is_ahead or _wants(hello, table, version):
                follower.send(
                    self._catch_up_frame(
                        table, None if known is None else RowVersion(known)
                    )
                )
        limit_reports = self.limit_reports()
        if limit_reports:
            follower.send(messages.encode(messages.Limits(limit_reports)))
        lost_writes = self._view.rows.lost_writes
        pulse = _pulse(self.is_leader, self.ages(), lost_writes)
        follower.send(messages.encode(pulse))


def _farewell(view: FleetView, activity: Activity) -> messages.Farewell:
    """Return the last message to a daemon that does not follow this one."""
    address = view.leader[0].address if view.leader else ''
    return messages.Farewell(address, activity)


async def _dismiss(
    follower: Follower,
    farewell: messages.Farewell,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a daemon that does not follow this one its last message."""
    follower.send(messages.encode(farewell))
    await writer.drain()


def _wants(hello: messages.Hello, table: str, version: RowVersion) -> bool:
    """Return whether a daemon wants what is new in a table."""
    known = hello.version_by_table.get(table)
    if known is None:
        return not hello.reads_once
    return version > known


def _pulse(
    is_leader: bool, ages: LeaderAges, lost_writes: LostWrites
) -> messages.Pulse:
    return messages.Pulse(
        is_leader,
        ages.store_age,
        ages.tables_age,
        MESSAGE_VERSION,
        ages.told_at,
        lost_writes.recent(),
    )


def _ignore(_: messages.Message) -> None:
    """Ignore a message; the default until a handler is set."""


def _ignore_term(term: RowVersion) -> None:
    """Ignore a term; the default until a handler is set."""
