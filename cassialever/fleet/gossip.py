"""Exchange open requests and paths to targets between daemons.

Datagrams are only hints: a lost one may lead to a worse choice of target for
a moment, but never to an incorrect one. The rate at which a daemon receives
them is bounded, so daemons of a larger fleet send less often.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import DatagramSocket, OpenRequests, encode
from cassialever.fleet.path_reports import PathReporter
from cassialever.policy.loads import LoadTracker
from cassialever.types import RowVersion, Seconds

#: Minimum time between two datagrams to a peer; a target starts and ends few
#: requests within it.
MIN_SEND_INTERVAL: Final[Seconds] = 0.1
#: Bounds what a daemon receives: at 50 microseconds per datagram, 0.5% of a
#: core.
MAX_DATAGRAMS_PER_SECOND: Final = 100
#: Bounds what a daemon sends when its paths to targets change, which it doesn't
#: wait a period for: at 50 microseconds per datagram, 5% of a core.
MAX_URGENT_DATAGRAMS_PER_SECOND: Final = 1000
#: A peer silent for this many sending periods counts as having no requests.
PERIODS_UNTIL_IDLE: Final = 4

#: Called with a peer's id and the newest version that it knows of each table.
NewestHandler: TypeAlias = Callable[[str, Mapping[str, RowVersion]], None]


class LoadGossip:
    """Sends this daemon's load and paths to its peers and receives theirs."""

    def __init__(
        self,
        reporter: PathReporter,
        loads: LoadTracker,
        clock: SystemClock,
        addresses_by_peer: Callable[[], Mapping[str, str]],
        socket: DatagramSocket,
    ) -> None:
        """Receive over a socket; addresses are by instance id."""
        self._reporter = reporter
        self._loads = loads
        self._clock = clock
        self._addresses_by_peer = addresses_by_peer
        self._socket = socket
        self._received_at_by_peer: dict[str, Seconds] = {}
        #: The peers at the last report, and the time between two.
        self._known_by_peer: Mapping[str, str] = {}
        self._period: Seconds = MIN_SEND_INTERVAL
        self._is_urgent = asyncio.Event()
        #: Returns the newest versions of tables that this daemon knows, and
        #: takes those that a peer knows.
        self.newest_by_table: Callable[[], dict[str, RowVersion]] = dict
        self.on_newest: NewestHandler = _ignore_newest
        #: Called with what a peer has met as contended.
        self.on_contended: Callable[[tuple[str, ...]], None] = _ignore_contended
        #: Returns the digest of the list of daemons by which this daemon
        #: chooses keepers of customers, and takes that of a peer.
        self.list_digest: Callable[[], int] = int
        self.on_digest: Callable[[str, int], None] = _ignore_digest
        socket.handler_by_type[OpenRequests] = self._handle_report

    async def run(self) -> None:
        """Send to all peers periodically until cancelled."""
        while True:
            addresses_by_peer = self._addresses_by_peer()
            self._known_by_peer = addresses_by_peer
            self._period = max(
                MIN_SEND_INTERVAL,
                len(addresses_by_peer) / MAX_DATAGRAMS_PER_SECOND,
            )
            await self._wait_for_period()
            self._clear_silent_peers(self._period * PERIODS_UNTIL_IDLE)
            self._send(addresses_by_peer)

    def report_now(self) -> None:
        """Send the next report without waiting for its period to end."""
        self._is_urgent.set()

    async def _wait_for_period(self) -> None:
        """Wait until the next report is due, or urgent."""
        try:
            async with asyncio.timeout(self._period):
                await self._is_urgent.wait()
        except asyncio.TimeoutError:
            return
        self._is_urgent.clear()
        # Changes that come together are reported together.
        await asyncio.sleep(
            len(self._known_by_peer) / MAX_URGENT_DATAGRAMS_PER_SECOND
        )

    def _send(self, addresses_by_peer: Mapping[str, str]) -> None:
        report = self._reporter.describe(self._loads.open_by_target())
        datagram = encode(
            msgspec.structs.replace(
                report,
                newest_by_table=self.newest_by_table(),
                list_digest=self.list_digest(),
            )
        )
        for peer, address in addresses_by_peer.items():
            if peer == report.instance_id:
                continue
            self._socket.send(address, datagram)

    def _handle_report(self, report: OpenRequests, _: str) -> None:
        self._received_at_by_peer[report.instance_id] = self._clock.monotonic()
        self._loads.set_peer_load(report.instance_id, report.open_by_target)
        if report.contended:
            self.on_contended(report.contended)
        self.on_digest(report.instance_id, report.list_digest)
        address = self._known_by_peer.get(report.instance_id)
        if address is not None:
            self._reporter.accept(
                report, address, self._period * PERIODS_UNTIL_IDLE
            )
            self.on_newest(report.instance_id, report.newest_by_table)

    def _clear_silent_peers(self, max_age: Seconds) -> None:
        now = self._clock.monotonic()
        for peer, received_at in list(self._received_at_by_peer.items()):
            if now - received_at > max_age:
                self._received_at_by_peer.pop(peer)
                self._loads.set_peer_load(peer, {})


def _ignore_newest(
    peer: str, newest_by_table: Mapping[str, RowVersion]
) -> None:
    """Ignore versions; the default until a handler is set."""


def _ignore_contended(names: tuple[str, ...]) -> None:
    """Ignore contention; the default until a handler is set."""


def _ignore_digest(peer: str, digest: int) -> None:
    """Ignore the list of a peer; the default until a handler is set."""
