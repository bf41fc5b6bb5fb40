"""Tell the other daemons how many requests are open at each target.

Datagrams are hints: a lost one makes a choice worse for a moment, and never
breaks a promise. The number that a daemon gets is held to a rate, so that a
larger fleet tells less often.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.policy.loads import LoadBook
from cassialever.types import Seconds

#: Shortest time between two datagrams to a peer: within it a target starts
#: and ends few requests.
MIN_SEND_INTERVAL: Final[Seconds] = 0.1
#: Datagrams a second that a daemon gets at most: at 50 microseconds each,
#: 0.5% of a core.
MAX_DATAGRAMS_PER_SECOND: Final = 100
#: A peer that is not heard for this many periods counts as idle.
PERIODS_UNTIL_IDLE: Final = 4


class OpenRequests(msgspec.Struct, frozen=True, array_like=True):
    """The open requests of one daemon, by target."""

    instance_id: str
    open_by_target: dict[str, int]


_decoder: Final = msgspec.msgpack.Decoder(OpenRequests)


class LoadGossip(asyncio.DatagramProtocol):
    """The datagrams that this daemon sends and gets."""

    def __init__(
        self,
        instance_id: str,
        loads: LoadBook,
        clock: SystemClock,
        peers: Callable[[], Mapping[str, str]],
    ) -> None:
        """Take the loads and what names the peers' addresses by id."""
        self._instance_id = instance_id
        self._loads = loads
        self._clock = clock
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._received_at_by_peer: dict[str, Seconds] = {}

    async def start(self, address: str) -> None:
        """Listen on the address that other daemons reach this one at."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=split_address(address),
        )
        self._transport = endpoint[0]

    def stop(self) -> None:
        """Send and get nothing more."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take in what a peer tells."""
        try:
            report = _decoder.decode(data)
        except msgspec.DecodeError as error:
            record(Event.link_rubbish, reason=repr(error), peer=str(addr))
            return
        self._received_at_by_peer[report.instance_id] = self._clock.monotonic()
        self._loads.hear(report.instance_id, report.open_by_target)

    def error_received(self, exc: Exception) -> None:
        """Note nothing: a peer that is gone refuses datagrams for a while."""

    async def run(self) -> None:
        """Tell all peers until cancelled."""
        while True:
            peers = self._peers()
            period = max(
                MIN_SEND_INTERVAL, len(peers) / MAX_DATAGRAMS_PER_SECOND
            )
            await asyncio.sleep(period)
            self._clear_silent_peers(period * PERIODS_UNTIL_IDLE)
            self._send(peers)

    def _send(self, peers: Mapping[str, str]) -> None:
        if self._transport is None:
            return
        report = OpenRequests(self._instance_id, self._loads.open_by_target())
        datagram = msgspec.msgpack.encode(report)
        for peer, address in peers.items():
            if peer == self._instance_id:
                continue
            self._transport.sendto(datagram, split_address(address))

    def _clear_silent_peers(self, max_age: Seconds) -> None:
        now = self._clock.monotonic()
        for peer, received_at in list(self._received_at_by_peer.items()):
            if now - received_at > max_age:
                self._received_at_by_peer.pop(peer)
                self._loads.hear(peer, {})
