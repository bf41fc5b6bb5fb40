"""The parts that every daemon has, whichever server accepts its callers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

from cassialever.clock import SystemClock, seeded_random
from cassialever.fleet import messages
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.limits import LimitExchange
from cassialever.fleet.membership import (
    Membership,
    MemberState,
    daemons_to_inform,
    election_delay,
)
from cassialever.fleet.operator_rows import OperatorRowHandler
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import FleetView
from cassialever.gateway.exchanges import TargetExchanges
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.own_state import activity_of, greeting, tables_state
from cassialever.gateway.reachability import Reachability
from cassialever.gateway.settings import GatewaySettings
from cassialever.gateway.shared_limits import SharedLimits
from cassialever.keys.assigner import KeyAssigner
from cassialever.keys.heat import HEAT_UPDATE_INTERVAL
from cassialever.platform.store import StoreClient
from cassialever.platform.targets import TargetClient
from cassialever.policy.candidacy import Candidacy
from cassialever.policy.loads import LoadTracker
from cassialever.tasks import BackgroundTasks, log_failure
from cassialever.types import MS_PER_SECOND

#: Samples of the number of daemons, of which the largest is used: those of
#: the last 10 s, the window of the retry budget.
DAEMON_COUNT_SAMPLES: Final = 40


class Core:
    """The fleet view, the request path and the assignment of keys."""

    def __init__(
        self,
        settings: GatewaySettings,
        operators: OperatorRowHandler | None = None,
        seed: int | None = None,
    ) -> None:
        """Create every part without starting any."""
        self.settings = settings
        self.clock = SystemClock()
        random_source = seeded_random(seed)
        self.view = FleetView(
            self.clock, operators, settings.instance.target_host
        )
        self.store = StoreClient(settings.store)
        self.loads = LoadTracker()
        self._reachability = Reachability(
            settings, self.view, self.loads, self.clock, random_source
        )
        self._exchanges = TargetExchanges(
            settings, self.view, self.loads, self._reachability, self.clock
        )
        self.forwarder = Forwarder(
            settings,
            self.view,
            self._exchanges.dispatcher,
            self.loads,
            self.clock,
            random_source,
        )
        self.forwarder.selector.reach = self._exchanges.reach
        self.forwarder.selector.has_connection = self._exchanges.has_connection
        max_grant_duration = settings.bounds.hold_max_ms / MS_PER_SECOND
        self._target_client = TargetClient(max_grant_duration)
        own = greeting(settings)
        self._relay = Relay(
            self.view,
            own,
            settings.fleet_key,
            lambda: activity_of(self.membership, self.clock.monotonic()),
            self._exchanges.guard.limits.greetings,
        )
        self.membership = Membership(
            self.store,
            self.view,
            self._relay,
            LeaderLink(self.view, own, settings.fleet_key),
            self.clock,
            random_source,
        )
        self.membership.candidacy = Candidacy(self._reachability.paths)
        self.membership.seeds = settings.seeds
        self.membership.election_delay = election_delay(
            settings.instance.link_mbps,
        )
        self.key_assigner = KeyAssigner(
            self.view,
            self._relay,
            self._target_client,
            self.clock,
            self._reachability.paths,
        )
        self.key_assigner.row_bytes = settings.store_row_bytes
        self._reachability.peers = lambda: daemons_to_inform(self.membership)
        self._reachability.compare_tables(
            self.store, self.membership, random_source
        )
        self.forwarder.tables = lambda: tables_state(self.membership)
        self._exchanges.tables = self.forwarder.tables
        knowledge = self._reachability.catch_up.knowledge
        self.forwarder.router.knowledge = knowledge
        self._exchanges.carrying.knowledge = knowledge
        self._limits = LimitExchange(
            self.view.targets.limits,
            self._relay,
            self.membership.link,
            self.clock,
        )
        self._shared_limits = SharedLimits(
            settings,
            self.view,
            self.forwarder,
            self._reachability,
            self.membership.shared_peers,
            random_source,
        )
        strain = self.forwarder.router.strain
        self._reachability.reporter.is_strained = strain.is_short
        shares = self.forwarder.selector.shares
        self._exchanges.dispatcher.place_ends.connect(
            shares, self.view, self.loads
        )
        self._reachability.share_places(
            shares, self.membership.shared_peers, random_source
        )
        self.membership.run_leader = self.key_assigner.run
        self._relay.on_keys_asked = self.key_assigner.add_report
        #: Set when a part has failed, so that the daemon has to exit.
        self.failed = asyncio.Event()
        self.tasks = BackgroundTasks(lambda _: self.failed.set())

    @property
    def exchanges(self) -> TargetExchanges:
        """Return the parts that exchange requests with targets."""
        return self._exchanges

    @property
    def shared_limits(self) -> SharedLimits:
        """Return the limits that all daemons keep together."""
        return self._shared_limits

    @property
    def reachability(self) -> Reachability:
        """Return what is known of the paths to targets."""
        return self._reachability

    async def start(self) -> None:
        """Open every part; `begin` has them work."""
        for part in (
            self.store,
            self._exchanges,
            self._target_client,
            self._relay,
            self._reachability,
        ):
            await part.start()

    def begin(self) -> None:
        """Look for the leader or lead, probe paths and send reports.

        Every port must be listened on, so that nothing is announced that can't
        be reached.
        """
        for work in (
            self._reachability.run(),
            self._limits.run(),
            self._exchanges.crash_exchange.run(),
            self.membership.run(),
            self._reachability.catch_up.run(),
            self._report_keys(),
        ):
            self.tasks.start(work)

    async def abort(self) -> None:
        """Close everything immediately, without notifying anyone."""
        self.tasks.stop()
        for part in (
            self._reachability,
            self._relay,
            self._target_client,
            self._exchanges,
            self.store,
        ):
            await log_failure(type(part).__name__, part.stop())

    async def hand_over(self) -> None:
        """Give up leadership, and take no more requests of other daemons."""
        self._reachability.announce_stop()
        await self.membership.resign()

    async def run_until(
        self,
        stop_requested: asyncio.Event,
        stop: Callable[[], Awaitable[None]],
    ) -> bool:
        """Wait for a stop request, then stop.

        Return false at once, without stopping, if a part fails first. One that
        fails later does not end the stop, which is limited in time.
        """
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (stop_requested, self.failed)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not stop_requested.is_set():
            return False
        await stop()
        return True

    async def _report_keys(self) -> None:
        """Report requested keys and latencies to the leader, repeatedly.

        The same loop updates the number of daemons and forgets the loads of
        targets that are gone.
        """
        daemon_counts: deque[int] = deque(maxlen=DAEMON_COUNT_SAMPLES)
        while True:
            await asyncio.sleep(HEAT_UPDATE_INTERVAL)
            daemon_counts.append(
                len(self.membership.shared_peers.complete_peers())
            )
            self.forwarder.daemon_count = max(daemon_counts)
            self._tell_daemons()
            strain = self.forwarder.router.strain
            strain.is_alone = self.forwarder.daemon_count <= 1
            self._prune()
            report = messages.KeysAsked(
                {**self.forwarder.keys_asked},
                self.loads.take_latencies(),
                self.loads.take_service_times(),
            )
            self.forwarder.keys_asked.clear()
            if self.membership.state is MemberState.leading:
                self.key_assigner.add_report(report)
                continue
            # Sent without content too, since it shows that this daemon lives.
            self.membership.link.report(report)

    def _tell_daemons(self) -> None:
        """Tell among which daemons the room for long bodies is divided."""
        own = self._reachability.reporter.own
        reports = self._reachability.paths.reports
        data_centre_by_id = {
            peer: reports.data_centre_of(peer)
            for peer in self.membership.shared_peers.complete_peers()
        }
        if data_centre_by_id:
            data_centre_by_id[own.instance_id] = own.data_centre
        self.loads.long_bodies.divide_among(own.instance_id, data_centre_by_id)

    def _prune(self) -> None:
        """Forget what is known of targets and daemons that are gone."""
        known = self.view.targets.by_id
        self.loads.prune(known)
        self.loads.note_lives(known.values())
        self._prune_selector()
        self.view.targets.limits.prune(known)
        self._shared_limits.prune()
        self._exchanges.crash_evidence.check_entries()
        self._exchanges.crashes.prune()
        self._reachability.prune()

    def _prune_selector(self) -> None:
        now = self.clock.monotonic()
        selector = self.forwarder.selector
        selector.subsets.prune(self.view.targets.by_id)
        selector.unheld.prune(now)
        selector.ended_owners.prune(now)
