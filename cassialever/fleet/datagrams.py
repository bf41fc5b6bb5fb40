"""Datagrams between daemons and the socket that carries them.

A datagram may be lost, and its sender is not authenticated. Without one a
daemon chooses targets less well or leaves a cold or limited target out; no
guarantee to a caller depends on it.
"""

import asyncio
import select
import socket
from collections.abc import Callable
from typing import Annotated, Any, ClassVar, Final, TypeAlias

import msgspec

from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.fleet.crash_reports import MAX_READ_REPORTS, CrashReport
from cassialever.fleet.limit_reports import LimitReport
from cassialever.fleet.message_version import (
    CRASHES_VERSION,
    FIRST_VERSION,
    MESSAGE_VERSION,
    PLACES_VERSION,
    MessageVersion,
)
from cassialever.fleet.unknown_types import (
    MessageDecoder,
    SkipLog,
    UnknownMessage,
)
from cassialever.listening import PortUse, listen
from cassialever.policy.peer_reports import MAX_LISTED_TARGETS
from cassialever.policy.permits import MAX_BATCH
from cassialever.policy.slot_keeper import MAX_PLACE_ID, MAX_WANTED
from cassialever.policy.contention import MAX_REPORTED
from cassialever.types import PlaceId, RowVersion, Seconds, TargetId


#: Longest delay of a permit, and between two: at the lowest rate of a target.
MAX_DELAY: Final[Seconds] = 3600.0
#: Most requests that a daemon can say to have open, or to have room for.
MAX_REQUESTS: Final = 100_000
#: Shortest time between two reads of the socket. Permits may wait that long
#: twice, of the half second in which they are used.
READ_INTERVAL: Final[Seconds] = 0.04
#: Datagrams read at a time; other work is done before any more are.
MAX_READ: Final = 256
MAX_DATAGRAM_BYTES: Final = 65536
#: Most peers whose version is kept.
MAX_PEERS: Final = 1000
#: Longest id of an instance, a data centre or a target.
MAX_ID_LENGTH: Final = 255
#: Most tables whose newest version is in a report.
MAX_TABLES: Final = 8
# Numbers and lengths out of range are rejected with the datagram.
_Delay: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY)]
_Moment: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
_Requests: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_REQUESTS)]
_Id: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_ID_LENGTH)]
_NewestByTable: TypeAlias = Annotated[
    dict[_Id, Annotated[RowVersion, msgspec.Meta(ge=0)]],
    msgspec.Meta(max_length=MAX_TABLES),
]
_ListedTargets: TypeAlias = Annotated[
    tuple[_Id, ...], msgspec.Meta(max_length=MAX_LISTED_TARGETS)
]
#: Most places that are given back at once.
MAX_RELEASED: Final = 64
_Place: TypeAlias = Annotated[PlaceId, msgspec.Meta(ge=0, le=MAX_PLACE_ID)]


class _Versioned(msgspec.Struct, frozen=True, array_like=True):
    """Base class of datagrams; daemons from `since` on read the type."""

    since: ClassVar[MessageVersion] = FIRST_VERSION


class OpenRequests(_Versioned, frozen=True, array_like=True, tag=1):
    """The number of open requests of one daemon at each target.

    The other fields tell whether it can pass requests on for others: its room
    is the number that it can carry now, and `unreachable` lists targets that
    it can't reach. `newest_by_table` has the version of the latest row that it
    knows of each table of other writers. An older build sends none of them and
    so has no room. `reached` lists targets that it has reached since others
    list them as unreachable; `None` is of a build that doesn't say.
    `contended` names services and owners of keys that get requests with a
    place only.
    """

    instance_id: _Id
    open_by_target: dict[_Id, _Requests]
    data_centre: _Id = ''
    room: _Requests = 0
    is_cut_off: bool = False
    is_stopping: bool = False
    unreachable: _ListedTargets = ()
    message_version: MessageVersion = FIRST_VERSION
    newest_by_table: _NewestByTable = {}
    reached: _ListedTargets | None = None
    contended: Annotated[
        tuple[_Id, ...], msgspec.Meta(max_length=MAX_REPORTED)
    ] = ()


class PermitRequest(_Versioned, frozen=True, array_like=True, tag=4):
    """Asks the keeper of a target for up to `wanted` permits for requests.

    It tells whether its sender knows the target as cold, and of a limit, and
    when it was sent, by the sender's clock.
    """

    target_id: TargetId
    wanted: int
    is_cold: bool
    limit: LimitReport | None
    message_version: MessageVersion = FIRST_VERSION
    asked_at: _Moment = 0


class Permits(_Versioned, frozen=True, array_like=True, tag=5):
    """A keeper's answer, with what it knows of a limit.

    The first of `count` permits starts `delay` after the arrival, and each
    other one `interval` later. Without permits, none is to be had until then.
    `asked_at` is that of the request; an earlier build sends none.
    """

    target_id: TargetId
    delay: _Delay
    count: Annotated[int, msgspec.Meta(ge=0, le=MAX_BATCH)]
    interval: _Delay
    limit: LimitReport | None
    message_version: MessageVersion = FIRST_VERSION
    asked_at: _Moment = 0


class CrashReports(_Versioned, frozen=True, array_like=True, tag=6):
    """What a daemon knows of requests that crash targets."""

    since: ClassVar[MessageVersion] = CRASHES_VERSION

    instance_id: _Id
    reports: Annotated[
        tuple[CrashReport, ...], msgspec.Meta(max_length=MAX_READ_REPORTS)
    ]
    message_version: MessageVersion = FIRST_VERSION


class PlaceRequest(_Versioned, frozen=True, array_like=True, tag=9):
    """Gives places at a target back to its keeper, and asks for `wanted`.

    `latency` and `requests` are of the last answer: its time in seconds, 0
    without one, and the requests running and queued that the target named,
    -1 if none.
    """

    since: ClassVar[MessageVersion] = PLACES_VERSION

    target_id: _Id
    wanted: Annotated[int, msgspec.Meta(ge=0, le=MAX_WANTED)] = 0
    released: Annotated[
        tuple[_Place, ...], msgspec.Meta(max_length=MAX_RELEASED)
    ] = ()
    latency: _Delay = 0
    requests: Annotated[int, msgspec.Meta(ge=-1, le=MAX_REQUESTS)] = -1
    message_version: MessageVersion = FIRST_VERSION


class Places(_Versioned, frozen=True, array_like=True, tag=10):
    """A keeper's answer; without places, none is usually free for `delay`."""

    since: ClassVar[MessageVersion] = PLACES_VERSION

    target_id: _Id
    places: Annotated[
        tuple[_Place, ...], msgspec.Meta(max_length=MAX_WANTED)
    ] = ()
    delay: _Delay = 0
    message_version: MessageVersion = FIRST_VERSION


Datagram: TypeAlias = (
    OpenRequests
    | PermitRequest
    | Permits
    | CrashReports
    | PlaceRequest
    | Places
)
#: Called with a datagram and the address of its sender.
DatagramHandler: TypeAlias = Callable[[Any, str], None]

_decoder: Final = MessageDecoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram, with the version of this build's messages."""
    versioned = msgspec.structs.replace(
        datagram, message_version=MESSAGE_VERSION
    )
    return msgspec.msgpack.encode(versioned)


class DatagramSocket:
    """The socket for datagrams; handlers are set by type of datagram.

    Datagrams of a large fleet arrive one by one. They are read together once
    in READ_INTERVAL, since waking up costs more than reading one.
    """

    def __init__(self) -> None:
        """Start without a socket and without handlers."""
        self.handler_by_type: dict[type[Any], DatagramHandler] = {}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        #: Datagrams that could not be sent, or that a peer refused.
        self.unsent_count = 0
        self._skip_log = SkipLog()
        self._message_version_by_address: dict[str, MessageVersion] = {}
        #: Until when datagrams are read as they arrive, by the loop's time.
        self._expected_until: Seconds = 0

    async def start(self, address: str) -> None:
        """Listen on the address at which other daemons reach this one."""
        self._socket = await listen(
            PortUse.datagrams, address, lambda: _bind(address)
        )
        self._await_datagrams()

    def stop(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, address: str, datagram: bytes) -> None:
        """Send an encoded datagram; drop it if that is not possible now."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, split_address(address))
        except (OSError, ValueError, OverflowError):
            # The link is full, the peer has ended, or the leader has announced
            # it with an address that is none: as if it were lost.
            self.unsent_count += 1

    def expect_answer(self, max_wait: Seconds) -> None:
        """Read datagrams as they arrive for a time, since callers wait."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        self._expected_until = loop.time() + max_wait
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._await_datagrams()

    def can_read(self, address: str, kind: type[_Versioned]) -> bool:
        """Return whether the daemon at an address knows a type of datagram.

        One that has sent nothing yet counts as of the first version.
        """
        version = self._message_version_by_address.get(address, FIRST_VERSION)
        return kind.since <= version

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on to the handler of its type."""
        sender = f'{addr[0]}:{addr[1]}'
        try:
            datagram = _decoder.decode(data)
        except msgspec.DecodeError as error:
            record(Event.link_rubbish, reason=repr(error), peer=sender)
            return
        if isinstance(datagram, UnknownMessage):
            self._skip_log.note(sender, datagram)
            return
        self._note_version(sender, datagram.message_version)
        handle = self.handler_by_type.get(type(datagram))
        if handle is not None:
            handle(datagram, sender)

    def _await_datagrams(self) -> None:
        """Have the loop read as soon as there is a datagram."""
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(
                self._socket, self._read_first
            )

    def _read_first(self) -> None:
        """Read after a time without datagrams."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        self._read_all()

    def _read_all(self) -> None:
        """Read what has arrived; look again later if there was anything.

        A handler that fails ends this look only.
        """
        try:
            for _ in range(MAX_READ):
                if not self._read_one():
                    break
        finally:
            self._look_again()

    def _look_again(self) -> None:
        """Read again after READ_INTERVAL, or at once if callers wait."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._expected_until:
            self._await_datagrams()
            return
        self._timer = loop.call_later(READ_INTERVAL, self._read_later)

    def _read_later(self) -> None:
        """Read what has arrived since, or wait until something arrives."""
        self._timer = None
        if self._socket is None:
            return
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if poller.poll(0):
            self._read_all()
        else:
            self._await_datagrams()

    def _read_one(self) -> bool:
        """Read a datagram; return false if there is none."""
        if self._socket is None:
            return False
        try:
            received, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            # A peer that has ended refuses datagrams; others may follow.
            self.unsent_count += 1
            return True
        self.datagram_received(received, sender)
        return True

    def _note_version(self, sender: str, version: MessageVersion) -> None:
        """Keep a peer's version; log it if it is new and not the own one."""
        known = self._message_version_by_address.get(sender)
        if version == known:
            return
        if len(self._message_version_by_address) >= MAX_PEERS:
            # Datagrams are not authenticated.
            self._message_version_by_address.clear()
        self._message_version_by_address[sender] = version
        if known is None and version == MESSAGE_VERSION:
            return
        record(
            Event.peer_version_changed,
            peer=sender,
            version=version,
            own_version=MESSAGE_VERSION,
        )


async def _bind(address: str) -> socket.socket:
    """Return a socket for datagrams at an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    try:
        bound.bind(split_address(address))
    except OSError:
        bound.close()
        raise
    return bound
