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
from cassialever.policy.loads import LoadTracker
from cassialever.types import Seconds

#: Shortest time between two datagrams to a peer: within it a target starts
#: and ends few requests.
TELL_EVERY: Final[Seconds] = 0.1
#: Datagrams a second that a daemon gets at most: at 50 microseconds each,
#: 0.5% of a core.
MOST_DATAGRAMS: Final = 100
#: A peer that is not heard for this many periods counts as idle.
PERIODS_HEARD: Final = 4


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
        loads: LoadTracker,
        clock: SystemClock,
        peers: Callable[[], Mapping[str, str]],
    ) -> None:
        """Take the loads and what names the peers' addresses by id."""
        self._instance_id = instance_id
        self._loads = loads
        self._clock = clock
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._heard_at_by_peer: dict[str, Seconds] = {}

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
            told = _decoder.decode(data)
        except msgspec.DecodeError as error:
            record(Event.link_rubbish, reason=repr(error), peer=str(addr))
            return
        self._heard_at_by_peer[told.instance_id] = self._clock.monotonic()
        self._loads.set_peer_load(told.instance_id, told.open_by_target)

    def error_received(self, exc: Exception) -> None:
        """Note nothing: a peer that is gone refuses datagrams for a while."""

    async def run(self) -> None:
        """Tell all peers until cancelled."""
        while True:
            peers = self._peers()
            period = max(TELL_EVERY, len(peers) / MOST_DATAGRAMS)
            await asyncio.sleep(period)
            self._forget_silent(period * PERIODS_HEARD)
            self._tell(peers)

    def _tell(self, peers: Mapping[str, str]) -> None:
        if self._transport is None:
            return
        told = OpenRequests(self._instance_id, self._loads.open_by_target())
        datagram = msgspec.msgpack.encode(told)
        for peer, address in peers.items():
            if peer == self._instance_id:
                continue
            self._transport.sendto(datagram, split_address(address))

    def _forget_silent(self, longest: Seconds) -> None:
        now = self._clock.monotonic()
        for peer, heard_at in list(self._heard_at_by_peer.items()):
            if now - heard_at > longest:
                self._heard_at_by_peer.pop(peer)
                self._loads.set_peer_load(peer, {})
