"""Exchange places at targets that are contended.

A datagram may be lost. A place that is lost counts as held for a moment, and a
daemon whose requests for places are lost sends a trickle.
"""

from collections.abc import Mapping

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import (
    DatagramSocket,
    PlaceRequest,
    Places,
    encode,
)
from cassialever.fleet.gossip import MAX_DATAGRAMS_PER_SECOND
from cassialever.fleet.permits import PeerList
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.policy.permits import highest
from cassialever.policy.slot_keeper import PlaceReport, SlotKeeper
from cassialever.policy.slot_shares import ASK_TIMEOUT, SlotShares
from cassialever.types import InstanceId, TargetId


class PlaceExchange:
    """Asks keepers for places, and hands them out as a keeper."""

    def __init__(
        self,
        instance_id: InstanceId,
        view: FleetView,
        shares: SlotShares,
        peers: PeerList,
        socket: DatagramSocket,
        random_source: RandomSource,
    ) -> None:
        """Provide the shares of a daemon with places."""
        self._instance_id = instance_id
        self._view = view
        self.shares = shares
        self._peers = peers
        self._socket = socket
        self._clock: SystemClock = view.targets.clock
        self.keeper = SlotKeeper(random_source)
        #: The daemons that may be keepers, by the last list that was known.
        self._addresses: Mapping[str, str] = {}
        self._keeper_by_id: dict[TargetId, str | None] = {}
        shares.daemon_count = 0
        shares.send = self._send
        socket.handler_by_type[PlaceRequest] = self._handle_request
        socket.handler_by_type[Places] = self._handle_places

    def update(self) -> None:
        """Take the present list of daemons, and give back unused places.

        Daemons of builds that hand out no places are left out. Without a list
        the last one stays, so that a daemon that is cut off keeps to a share
        of all.
        """
        now = self._clock.monotonic()
        self.keeper.prune(now)
        self.shares.prune(self._view.targets.by_id, now)
        complete = self._peers.complete_peers()
        if not complete:
            return
        self.shares.daemon_count = len(complete)
        self.shares.staleness.report_period = (
            len(complete) / MAX_DATAGRAMS_PER_SECOND
        )
        keepers = {
            name: address
            for name, address in complete.items()
            if name == self._instance_id
            or self._socket.can_read(address, PlaceRequest)
        }
        if keepers != self._addresses:
            self._addresses = keepers
            self._keeper_by_id.clear()

    def keeper_of(self, target_id: TargetId) -> str | None:
        """Return the daemon that hands out a target's places, if known."""
        if target_id not in self._keeper_by_id:
            self._keeper_by_id[target_id] = highest(target_id, self._addresses)
        return self._keeper_by_id[target_id]

    def _send(self, target_id: TargetId, report: PlaceReport) -> None:
        """Send a report to the keeper of a target."""
        keeper = self.keeper_of(target_id)
        request = PlaceRequest(
            target_id,
            report.wanted,
            report.released,
            report.latency,
            report.requests,
        )
        if keeper == self._instance_id:
            places = self._handle(request)
            if places is not None:
                self._handle_places(places, '')
        elif keeper is not None:
            self._socket.send(self._addresses[keeper], encode(request))
            if report.wanted:
                self._socket.expect_answer(ASK_TIMEOUT)

    def _handle_request(self, request: PlaceRequest, sender: str) -> None:
        places = self._handle(request)
        if places is not None:
            self._socket.send(sender, encode(places))

    def _handle(self, request: PlaceRequest) -> Places | None:
        """Return the answer to a request; None if it wants no places."""
        target_id = TargetId(request.target_id)
        target = self._view.targets.by_id.get(target_id)
        if target is None:
            return None
        report = PlaceReport(
            request.wanted, request.released, request.latency, request.requests
        )
        objective = self._view.routes.shortest_objective(target.service)
        places = self.keeper.handle(
            target, report, objective, self._clock.monotonic()
        )
        if not request.wanted:
            return None
        return Places(target_id, places, self.keeper.next_delay(target))

    def _handle_places(self, places: Places, _: str) -> None:
        self.shares.add_places(
            TargetId(places.target_id),
            places.places,
            places.delay,
            self._clock.monotonic(),
        )
