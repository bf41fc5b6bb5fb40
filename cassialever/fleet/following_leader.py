"""Follow the leader over a connection to it."""

import asyncio
import enum
import functools
import math
from collections.abc import Callable
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.connecting import (
    Streams,
    connect,
    time_since_arrival,
)
from cassialever.fleet.key_changes import apply_key_changes
from cassialever.fleet.limit_reports import LimitReport, ignore_reports
from cassialever.fleet.message_version import FIRST_VERSION, MESSAGE_VERSION
from cassialever.fleet.proof import prove_as_connector
from cassialever.fleet.unknown_types import SkipLog, UnknownMessage
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, FleetView
from cassialever.types import RowVersion, Seconds

#: Unsent reports to a leader above which further ones are dropped.
MAX_REPORT_BACKLOG_BYTES: Final = 1_048_576
#: A leader from which no byte arrives for this long has failed: three
#: heartbeats and a margin for a slow machine.
LEADER_TIMEOUT: Final[Seconds] = 0.9
#: A leader that has not heard from the store for this long does not count as
#: reaching it, and its followers follow the store directly.
MAX_STORE_AGE: Final[Seconds] = 1.5
#: A leader whose tables are older than this does not relay the store's changes,
#: and its followers read them themselves. Their age reaches LONG_POLL_WAIT, and
#: a follower learns a heartbeat later that they are new again. The rest of the
#: 2.5 s for a change is for reading it (docs/design/bounds.md).
MAX_TABLES_AGE: Final[Seconds] = 1.5
#: Heartbeats are compared with the fastest one of this time, and of as long
#: before. In it clocks drift apart by 6 ms at 100 parts in a million.
TRANSIT_PERIOD: Final[Seconds] = 60.0


class LinkEnd(enum.Enum):
    """Why a link to a leader ended or could not be made."""

    refused = 'connection refused'
    unreachable = 'no connection could be made'
    timed_out = 'nothing received within the timeout'
    proof_failed = 'the peer has another fleet key'
    closed = 'connection closed'
    not_leader = 'the peer is not the leader'


class TransitTimes:
    """How much longer than the fastest one each heartbeat was under way.

    The clocks of both ends differ by an unknown time, and run on while a
    machine is suspended. The least difference is that of the fastest heartbeat
    of late; older ones are forgotten, since clocks drift apart.
    """

    def __init__(self) -> None:
        """Start without a heartbeat."""
        self._former_least: Seconds = math.inf
        self._least: Seconds = math.inf
        self._began_at: Seconds = -math.inf

    def excess(self, pulse: messages.Pulse, now: Seconds) -> Seconds:
        """Return how long a heartbeat was under way beyond the fastest one.

        It is 0 for a sender that doesn't send its clock.
        """
        if not pulse.sent_at:
            return 0
        if now - self._began_at > TRANSIT_PERIOD:
            self._began_at = now
            self._former_least = self._least
            self._least = math.inf
        difference = now - pulse.sent_at
        self._least = min(self._least, difference)
        return difference - min(self._least, self._former_least)


class _LatestList:
    """The last list of daemons than which no other leader had a later one."""

    def __init__(self) -> None:
        self.addresses_by_id: dict[str, str] = {}
        #: When the leader sent what last confirmed it, in boot time.
        self.confirmed_at: Seconds = -math.inf
        #: Whether the present leader has sent it.
        self._is_latest = False

    def note_leader_changed(self) -> None:
        """Wait for a list of the next leader."""
        self._is_latest = False

    def note_members(self, members: messages.Members, sent_at: Seconds) -> None:
        """Adopt the list that the leader announces if it is the latest one."""
        self._is_latest = members.is_complete and members.is_confirmed
        if self._is_latest:
            self.addresses_by_id = members.addresses_by_id
        self.note_heard(sent_at)

    def note_heard(self, sent_at: Seconds) -> None:
        """Note that the leader, which has sent no other list, was heard."""
        if self._is_latest:
            self.confirmed_at = sent_at


class LeaderLink:
    """A connection to the leader and the state received over it."""

    def __init__(
        self,
        view: FleetView,
        own_hello: messages.Hello,
        fleet_key: str = '',
    ) -> None:
        """Start without a connection; `own_hello` greets the leader."""
        self._fleet_key = fleet_key
        self.view = view
        self.own_hello = own_hello
        self._writer: asyncio.StreamWriter | None = None
        #: Time since the leader heard from the store, as it last reported.
        self.store_age: Seconds = 0
        #: The age of the leader's tables, as it last reported, and when.
        self._tables_age: Seconds = 0
        self._reported_at: Seconds = -math.inf
        self._transit = TransitTimes()
        #: How long ago at least the message arrived that is handled now. The
        #: first heartbeat has no faster one to be compared with.
        self._unread_for: Seconds = 0
        self._leader_message_version = FIRST_VERSION
        #: Whether the peer's last heartbeat on this link said that it leads.
        self.is_open = False
        #: When a peer last said that it leads, in the loop's time.
        self._leader_heard_at: Seconds = -math.inf
        #: What a peer that does not lead has said last; it may name a leader.
        self.farewell = messages.Farewell()
        #: Address of the daemon that is being followed.
        self.address = ''
        self._skip_log = SkipLog()
        #: Counts the connections; each may be to another leader.
        self.number = 0
        self.on_limits: Callable[[list[LimitReport]], None] = ignore_reports
        #: Addresses of the daemons that the leader knows.
        self.addresses_by_id: dict[str, str] = {}
        #: The last complete list of them; empty if there was none yet.
        self.complete_addresses_by_id: dict[str, str] = {}
        self._latest_list = _LatestList()

    @property
    def confirmed_addresses_by_id(self) -> dict[str, str]:
        """Return the last list of daemons that was the latest one of all."""
        return self._latest_list.addresses_by_id

    async def follow(
        self, address: str, patience: Seconds | None = None
    ) -> LinkEnd:
        """Follow the daemon at an address until the link ends.

        `patience` limits its proof, and then the wait for its first bytes.
        """
        self.farewell = messages.Farewell()
        self.address = address
        self._transit = TransitTimes()
        self._latest_list.note_leader_changed()
        connected = await connect(address)
        if isinstance(connected, Failure):
            if connected.kind is ErrorKind.target_unreachable:
                return LinkEnd.refused
            return LinkEnd.unreachable
        reader, writer = connected
        self._writer = writer
        self.number += 1
        try:
            async with asyncio.timeout(patience):
                is_proved = await _authenticate(connected, self._fleet_key)
            if not is_proved:
                return LinkEnd.proof_failed
            return await self._listen(reader, writer, patience)
        except TimeoutError:
            return LinkEnd.timed_out
        finally:
            self._close(writer)

    async def read_once(
        self, address: str, version_by_table: dict[str, RowVersion]
    ) -> messages.Pulse | None:
        """Get the changes of tables that another daemon knows.

        Return what it says of their age; `None` if it says nothing.
        """
        connected = await connect(address)
        if isinstance(connected, Failure):
            return None
        reader, writer = connected
        hello = msgspec.structs.replace(
            self.own_hello,
            version_by_table=version_by_table,
            message_version=MESSAGE_VERSION,
            reads_once=True,
        )
        try:
            if not await _authenticate(connected, self._fleet_key):
                return None
            writer.write(messages.encode(hello))
            return await _adopt_tables(
                reader, self.view, f'daemon at {address}'
            )
        finally:
            writer.close()

    def tables_age(self) -> Seconds:
        """Return the time since the leader's tables were complete."""
        return self._tables_age + self._silence()

    def is_relaying(self) -> bool:
        """Return whether the leader relays the store's changes in time."""
        return (
            self.is_open
            and self.store_age + self._silence() < MAX_STORE_AGE
            and self.tables_age() < MAX_TABLES_AGE
        )

    def note_heartbeat(self, pulse: messages.Pulse) -> None:
        """Adopt the state that the leader reports.

        A daemon that does not lead says nothing of a leader's tables.
        """
        self.is_open = pulse.is_leader
        if not pulse.is_leader:
            return
        self.store_age = pulse.store_age
        self._tables_age = pulse.tables_age
        self._leader_message_version = pulse.message_version
        # Ages count the time in which the machine is suspended.
        now = self.view.targets.clock.boot()
        excess = self._transit.excess(pulse, now)
        self._reported_at = now - max(excess, self._unread_for)
        self._leader_heard_at = asyncio.get_running_loop().time()
        self._latest_list.note_heard(self._reported_at)

    def adopt_members(self, members: messages.Members) -> None:
        """Adopt the list of daemons that the leader announces."""
        self.addresses_by_id = members.addresses_by_id
        if members.is_complete:
            self.complete_addresses_by_id = members.addresses_by_id
        self._latest_list.note_members(members, self._reported_at)

    def has_led_since(self, moment: Seconds) -> bool:
        """Return whether a peer said that it leads since then."""
        return self._leader_heard_at >= moment

    def list_age(self) -> Seconds:
        """Return the time since the complete list was last confirmed.

        What was sent while this daemon stood still confirms nothing later.
        """
        return self.view.targets.clock.boot() - self._latest_list.confirmed_at

    def disconnect(self) -> None:
        """Close the link so that another leader can be followed."""
        if self._writer is not None:
            self._writer.close()

    def report(self, report: messages.KeysAsked | messages.Limits) -> None:
        """Report to the leader if it reads that; else drop the report.

        A later report replaces one that was dropped.
        """
        if report.since > self._leader_message_version:
            return
        if self._writer is None or not self.is_open:
            return
        backlog = self._writer.transport.get_write_buffer_size()
        if backlog <= MAX_REPORT_BACKLOG_BYTES:
            self._writer.write(messages.encode(report))

    async def notify_deposed(self, address: str, term: RowVersion) -> None:
        """Inform an earlier leader of the takeover, if it can be reached."""
        connected = await connect(address)
        if isinstance(connected, Failure):
            # Its authority ends AUTHORITY_TERM after its last renewal.
            reason = connected.reason
            record(Event.peer_unreachable, peer=address, reason=reason)
            return
        writer = connected[1]
        if await _authenticate(connected, self._fleet_key):
            writer.write(messages.encode(messages.Deposed(term)))
        writer.close()

    def _silence(self) -> Seconds:
        return self.view.targets.clock.boot() - self._reported_at

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.is_open = False
        self._writer = None
        writer.close()

    async def _listen(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        patience: Seconds | None,
    ) -> LinkEnd:
        hello = msgspec.structs.replace(
            self.own_hello,
            version_by_table=dict(self.view.rows.version_by_table),
            message_version=MESSAGE_VERSION,
        )
        writer.write(messages.encode(hello))
        max_silence = LEADER_TIMEOUT if patience is None else patience
        while True:
            message = await _receive(reader, max_silence)
            max_silence = LEADER_TIMEOUT
            if isinstance(message, LinkEnd):
                return message
            if isinstance(message, messages.Farewell):
                self.farewell = message
                return LinkEnd.not_leader
            if isinstance(message, UnknownMessage):
                self._skip_log.note(self.address, message)
                continue
            self._unread_for = time_since_arrival(writer.transport)
            handle(message, self)


async def _authenticate(streams: Streams, fleet_key: str) -> bool:
    """Prove this daemon to its peer and the reverse, if a key is set."""
    if not fleet_key:
        return True
    failure = await prove_as_connector(streams, fleet_key)
    if failure is not None:
        record(Event.link_refused, reason=failure.reason)
    return failure is None


async def _receive(
    reader: asyncio.StreamReader,
    max_silence: Seconds = LEADER_TIMEOUT,
) -> messages.Received | LinkEnd:
    """Return the next message, or why the link has ended."""
    try:
        return await messages.receive(reader, max_silence=max_silence)
    except asyncio.TimeoutError:
        return LinkEnd.timed_out
    except (OSError, asyncio.IncompleteReadError):
        return LinkEnd.closed
    except msgspec.DecodeError as error:
        record(Event.link_rubbish, reason=repr(error))
        return LinkEnd.closed


async def _adopt_tables(
    reader: asyncio.StreamReader, view: FleetView, source: str
) -> messages.Pulse | None:
    """Adopt the tables and changes that a daemon sends until it ends.

    Return its heartbeat, which follows them.
    """
    pulse = None
    while True:
        message = await _receive(reader)
        if isinstance(message, messages.Whole):
            view.replace(message.table, message.rows, message.version, source)
        if isinstance(message, messages.Changed):
            view.apply(message.table, message.rows, message.version, source)
        if isinstance(message, messages.Pulse):
            pulse = message
            view.rows.lost_writes.note_told(message.losses)
        if isinstance(message, (LinkEnd, messages.Farewell)):
            return pulse


def _source(link: LeaderLink) -> str:
    """Return where the rows that come over a link are from."""
    return f'the leader at {link.address}'


@functools.singledispatch
def handle(message: object, link: LeaderLink) -> None:
    """Handle a message of the leader; log a type that has no handler."""
    record(Event.link_rubbish, reason=type(message).__name__)


@handle.register
def _handle_whole(message: messages.Whole, link: LeaderLink) -> None:
    link.view.replace(
        message.table, message.rows, message.version, _source(link)
    )


@handle.register
def _handle_changed(message: messages.Changed, link: LeaderLink) -> None:
    link.view.apply(message.table, message.rows, message.version, _source(link))


@handle.register
def _handle_keys_changed(
    message: messages.KeysChanged, link: LeaderLink
) -> None:
    if not apply_key_changes(message, link.view):
        record(Event.link_out_of_step, row=message.row_name)
        link.disconnect()


@handle.register
def _handle_moving(message: messages.Moving, link: LeaderLink) -> None:
    link.view.set_moving(message.service, message.ranges)


@handle.register
def _handle_members(message: messages.Members, link: LeaderLink) -> None:
    link.adopt_members(message)


@handle.register
def _handle_limits(message: messages.Limits, link: LeaderLink) -> None:
    link.on_limits(message.reports)


@handle.register
def _handle_pulse(message: messages.Pulse, link: LeaderLink) -> None:
    link.view.rows.lost_writes.note_told(message.losses)
    link.note_heartbeat(message)
    told_losses = link.view.rows.false_versions.told_losses
    if message.is_leader and told_losses.note(OWN_TABLE, message.losses):
        # A daemon that joins without a version is sent the whole table.
        link.view.rows.version_by_table.pop(OWN_TABLE, None)
        record(Event.link_out_of_step, row=LEADER_ROW)
        link.disconnect()
