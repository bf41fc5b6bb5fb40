"""Exchange the number of open requests at each target between daemons.

Datagrams are only hints: a lost one may lead to a worse choice of target for
a moment, but never to an incorrect one. The rate at which a daemon receives
them is bounded, so daemons of a larger fleet send less often.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.policy.loads import LoadTracker
from cassialever.types import Seconds

#: Minimum time between two datagrams to a peer; a target starts and ends few
#: requests within it.
MIN_SEND_INTERVAL: Final[Seconds] = 0.1
#: Bounds what a daemon receives: at 50 microseconds per datagram, 0.5% of a
#: core.
MAX_DATAGRAMS_PER_SECOND: Final = 100
#: A peer silent for this many sending periods counts as having no requests.
PERIODS_UNTIL_IDLE: Final = 4


class OpenRequests(msgspec.Struct, frozen=True, array_like=True):
    """The number of open requests of one daemon at each target."""

    instance_id: str
    open_by_target: dict[str, int]


_decoder: Final = msgspec.msgpack.Decoder(OpenRequests)


class LoadGossip(asyncio.DatagramProtocol):
    """Sends this daemon's open requests to its peers and receives theirs."""

    def __init__(
        self,
        instance_id: str,
        loads: LoadTracker,
        clock: SystemClock,
        addresses_by_peer: Callable[[], Mapping[str, str]],
    ) -> None:
        """Start without a socket; addresses are by instance id."""
        self._instance_id = instance_id
        self._loads = loads
        self._clock = clock
        self._addresses_by_peer = addresses_by_peer
        self._transport: asyncio.DatagramTransport | None = None
        self._received_at_by_peer: dict[str, Seconds] = {}

    async def start(self, address: str) -> None:
        """Listen on the address at which other daemons reach this one."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=split_address(address),
        )
        self._transport = endpoint[0]

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Record the open requests that a peer reports."""
        try:
            report = _decoder.decode(data)
        except msgspec.DecodeError as error:
            record(Event.link_rubbish, reason=repr(error), peer=str(addr))
            return
        self._received_at_by_peer[report.instance_id] = self._clock.monotonic()
        self._loads.set_peer_load(report.instance_id, report.open_by_target)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors: a peer that has ended refuses datagrams."""

    async def run(self) -> None:
        """Send to all peers periodically until cancelled."""
        while True:
            addresses_by_peer = self._addresses_by_peer()
            period = max(
                MIN_SEND_INTERVAL,
                len(addresses_by_peer) / MAX_DATAGRAMS_PER_SECOND,
            )
            await asyncio.sleep(period)
            self._clear_silent_peers(period * PERIODS_UNTIL_IDLE)
            self._send(addresses_by_peer)

    def _send(self, addresses_by_peer: Mapping[str, str]) -> None:
        if self._transport is None:
            return
        report = OpenRequests(self._instance_id, self._loads.open_by_target())
        datagram = msgspec.msgpack.encode(report)
        for peer, address in addresses_by_peer.items():
            if peer == self._instance_id:
                continue
            self._transport.sendto(datagram, split_address(address))

    def _clear_silent_peers(self, max_age: Seconds) -> None:
        now = self._clock.monotonic()
        for peer, received_at in list(self._received_at_by_peer.items()):
            if now - received_at > max_age:
                self._received_at_by_peer.pop(peer)
                self._loads.set_peer_load(peer, {})
