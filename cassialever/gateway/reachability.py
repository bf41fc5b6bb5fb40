"""Know which targets this daemon reaches, and which ones others reach."""

import asyncio
from collections.abc import Callable, Mapping

from cassialever.clock import SystemClock
from cassialever.fleet.catching_up import CatchUp
from cassialever.fleet.connecting import can_connect
from cassialever.fleet.datagrams import DatagramSocket
from cassialever.fleet.gossip import LoadGossip
from cassialever.fleet.membership import Membership
from cassialever.fleet.path_reports import PathReporter
from cassialever.fleet.permits import PeerList
from cassialever.fleet.places import PlaceExchange
from cassialever.fleet.view import FleetView
from cassialever.gateway.path_probe import PathProber
from cassialever.gateway.settings import GatewaySettings
from cassialever.interfaces import RandomSource
from cassialever.platform.store import StoreClient
from cassialever.policy.loads import LoadTracker
from cassialever.policy.paths import TargetPaths
from cassialever.policy.peer_reports import Helper
from cassialever.policy.room import request_capacity
from cassialever.policy.slot_shares import SlotShares


class Reachability:
    """The paths to targets, and their exchange with other daemons."""

    #: Compares the tables with those of others; set by `compare_tables`.
    catch_up: CatchUp
    #: Places at targets; set by `share_places`.
    places: PlaceExchange

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        loads: LoadTracker,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        """Create every part without starting any."""
        instance = settings.instance
        self._settings = settings
        self._view = view
        self._clock = clock
        self.paths = TargetPaths(instance.data_centre, random_source)
        self.reporter = PathReporter(
            Helper(
                instance.instance_id,
                settings.internal_address,
                instance.data_centre,
            ),
            request_capacity(instance.cores, instance.link_mbps),
            self.paths,
            clock,
        )
        #: Returns the addresses of all daemons, by instance id.
        self.peers: Callable[[], Mapping[str, str]] = dict
        #: The socket for all datagrams between daemons.
        self.socket = DatagramSocket()
        self.prober = PathProber(self.paths, view.targets, loads, clock)
        self._gossip = LoadGossip(
            self.reporter,
            loads,
            clock,
            lambda: self.peers(),  # noqa: WPS506
            self.socket,
        )
        self.prober.on_change = self._gossip.report_now
        self.prober.can_connect = self._can_connect
        view.targets.limits.on_replaced.append(self.prune)

    async def run(self) -> None:
        """Probe paths and exchange reports until cancelled.

        The socket must be open.
        """
        await asyncio.gather(self.prober.run(), self._gossip.run())

    def unreachable_count(self) -> int:
        """Return the number of targets that can't be reached directly."""
        return len(self.paths.direct.down(self._clock.monotonic()))

    def is_cut_off(self) -> bool:
        """Return whether this daemon reaches no target, of several tried."""
        return self.paths.is_cut_off(self._clock.monotonic())

    async def start(self) -> None:
        """Open the socket."""
        await self.socket.start(self._settings.internal_address)

    async def stop(self) -> None:
        """Close the socket."""
        self.socket.stop()

    def announce_stop(self) -> None:
        """Tell the other daemons to pass no requests on to this one."""
        self.reporter.is_stopping = True
        self._gossip.report_now()

    def compare_tables(
        self,
        store: StoreClient,
        membership: Membership,
        random_source: RandomSource,
    ) -> None:
        """Compare the tables with those of other daemons, and catch up."""
        catch_up = CatchUp(store, self._view, membership, random_source)
        self.catch_up = catch_up
        self._gossip.newest_by_table = catch_up.newest_by_table
        self._gossip.on_newest = catch_up.note
        catch_up.report_now = self._gossip.report_now
        membership.own_ages = catch_up.confirmation.ages

    def share_places(
        self,
        shares: SlotShares,
        peers: PeerList,
        random_source: RandomSource,
    ) -> None:
        """Exchange places at targets, and what is contended."""
        self.places = PlaceExchange(
            self._settings.instance.instance_id,
            self._view,
            shares,
            peers,
            self.socket,
            random_source,
        )
        shares.is_enabled = self._settings.share_slots
        if not shares.is_enabled:
            return
        self.reporter.contended = shares.contention.reported
        self._gossip.on_contended = lambda names: (
            shares.contention.record_heard(names, self._clock.monotonic())
        )

    def show_list(
        self, digest: Callable[[], int], on_digest: Callable[[str, int], None]
    ) -> None:
        """Tell by which list of daemons keepers of customers are chosen."""
        self._gossip.list_digest = digest
        self._gossip.on_digest = on_digest

    def prune(self) -> None:
        """Forget targets that are gone and reports that have expired.

        The path to one whose address another target has leads to that one.
        """
        self.places.update()
        targets = self._view.targets
        known = {
            target_id
            for target_id, target in targets.by_id.items()
            if not targets.limits.is_replaced(target)
        }
        self.paths.prune(known, self._clock.monotonic())

    async def _can_connect(self, address: str) -> bool:
        """Return whether a target accepts a connection in time."""
        return await can_connect(address, self.paths.connect_times.timeout)
