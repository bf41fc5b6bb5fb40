"""Spread routing maps: those that this daemon makes and those it hears."""

import asyncio
from typing import Final

from cassialever.interfaces import Clock
from cassialever.map_messages import MapAnnounced, pack_map, unpack_map
from cassialever.misc import BackgroundTasks
from cassialever.peers import Peers
from cassialever.placement import Placement
from cassialever.routing import RoutingMap
from cassialever.types import DataCentreId, Incarnation, InstanceId, Seconds

#: Between two announcements of an unchanged map, in seconds: what a lost
#: message costs at most.
ANNOUNCE_INTERVAL: Final[Seconds] = 0.5


class MapAnnouncer:
    """Tell every daemon of the own map, and take those of others."""

    def __init__(
        self,
        placement: Placement,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Take the placement that is kept up to date."""
        self._clock = clock
        self._heard_at: dict[DataCentreId, Seconds] = {}
        self.peer_ids: tuple[InstanceId, ...] = ()
        self._placement = placement
        self._peers = peers
        self._tasks = BackgroundTasks()
        self._own: MapAnnounced | None = None
        self._heard_by_data_centre: dict[DataCentreId, MapAnnounced] = {}

    async def start(self) -> None:
        """Hear maps, and announce the own one again and again."""
        self._peers.on_control(MapAnnounced, self._received)
        self._tasks.add(self._keep_announcing())

    async def stop(self) -> None:
        """Stop announcing."""
        self._tasks.cancel()

    def announce(self, routing_map: RoutingMap) -> None:
        """Take a map that this daemon made as coordinator."""
        self._own = pack_map(self._placement.data_centre, routing_map)
        self._take(self._own)
        self._tell()

    def withdraw(self) -> None:
        """Announce no more: another daemon coordinates."""
        self._own = None

    def live_since(self, since: Seconds) -> set[DataCentreId]:
        """Return the data centres whose coordinators were heard since."""
        return {
            data_centre
            for data_centre, heard_at in self._heard_at.items()
            if heard_at >= since
        }

    def _tell(self) -> None:
        if self._own is None:
            return
        for peer_id in self.peer_ids:
            self._tasks.add(self._peers.send_control(peer_id, self._own))

    def _received(
        self,
        sender: InstanceId,
        incarnation: Incarnation,
        message: MapAnnounced,
    ) -> None:
        self._heard_at[message.data_centre] = self._clock.monotonic()
        self._take(message)

    def _take(self, message: MapAnnounced) -> None:
        # An unchanged map comes again and again; it is unpacked only once.
        if self._heard_by_data_centre.get(message.data_centre) == message:
            return
        routing_map = unpack_map(message)
        if self._placement.adopt_map(message.data_centre, routing_map):
            self._heard_by_data_centre[message.data_centre] = message

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL)
            self._tell()
