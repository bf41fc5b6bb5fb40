"""Issue the tokens by which the requests of customers are admitted."""

from collections.abc import Mapping
from typing import Final

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet.datagrams import (
    DatagramSocket,
    QuotaRequest,
    QuotaTokens,
    encode,
)
from cassialever.fleet.model import Configuration, Customer
from cassialever.fleet.permits import PeerList
from cassialever.fleet.view import FleetView
from cassialever.policy.permits import KEEPER_CHANGE_DELAY, KeeperDirectory
from cassialever.policy.quotas import (
    FleetShare,
    LaneId,
    Quota,
    QuotaAsk,
    QuotaKeeper,
    QuotaPortion,
    QuotaTerms,
    lanes_of,
)
from cassialever.types import CustomerName, Seconds, TargetId

#: How old the known list of daemons may be where callers wait for nothing.
LIST_CHECK_INTERVAL: Final[Seconds] = 0.05


class LimitedCustomers:
    """The customers with a limit, of the configuration in force."""

    def __init__(self, view: FleetView, terms: QuotaTerms) -> None:
        """Read the configuration of a view."""
        self._view = view
        self._terms = terms
        self._configuration: Configuration | None = None
        self._by_name: dict[CustomerName, Customer] = {}
        self._names: frozenset[CustomerName] = frozenset()

    def is_unlimited(self, name: CustomerName) -> bool:
        """Return whether a customer is known to have no limit."""
        return name not in self.by_name and name in self._names

    @property
    def by_name(self) -> Mapping[CustomerName, Customer]:
        """Return the customers by name."""
        configuration = self._view.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            customers = (
                configuration.customer_by_credential.values()
                if configuration
                else ()
            )
            self._by_name = {one.name: one for one in customers if one.rate}
            self._names = frozenset(one.name for one in customers)
        return self._by_name

    def quota_of(self, customer: Customer) -> Quota:
        """Return the limit of a customer with the bounds of all."""
        return Quota(customer.rate, customer.burst, self._terms)


class QuotaKeeping:
    """The lanes that this daemon keeps, and which daemon keeps the others."""

    def __init__(
        self,
        instance_id: str,
        customers: LimitedCustomers,
        clock: SystemClock,
        peers: PeerList,
        socket: DatagramSocket,
    ) -> None:
        """Answer the daemons that ask for tokens."""
        self.instance_id = instance_id
        self._customers = customers
        self._clock = clock
        self._peers = peers
        self._socket = socket
        self.keeper = QuotaKeeper()
        self.fleet = FleetShare(instance_id)
        self._directory = KeeperDirectory()
        self._checked_at: Seconds = 0
        socket.handler_by_type[QuotaRequest] = self._handle_request

    def keeper_of(self, lane_id: LaneId) -> str | None:
        """Return a lane's keeper; None if unknown or changed just now."""
        return self._directory.keeper_of(TargetId(lane_id))

    def issue(
        self, lane_id: LaneId, asker: str, ask: QuotaAsk, quota: Quota
    ) -> QuotaPortion:
        """Issue tokens of a lane that this daemon keeps."""
        now = self._clock.monotonic()
        since = now
        if self._directory.is_settled(now):
            since = self.fleet.changed_at + KEEPER_CHANGE_DELAY
        self.keeper.fill(lane_id, quota, since, self.share(now), now)
        return self.keeper.answer(lane_id, asker, ask, quota, now)

    def share(self, now: Seconds) -> float:
        """Return the share of a rate that this daemon issues as a keeper."""
        return self.fleet.factor(
            now, is_settled=self._directory.is_settled(now)
        )

    def own_share(self, now: Seconds) -> float:
        """Return the share of a rate that this daemon uses by itself."""
        if now - self._checked_at > LIST_CHECK_INTERVAL:
            self.check_list()
        return self.fleet.own_factor(now)

    def check_list(self) -> Mapping[str, str]:
        """Take over the present list of daemons; return their addresses."""
        now = self._clock.monotonic()
        self._checked_at = now
        addresses = self._peers.complete_peers()
        digest = self.fleet.digest
        self._directory.update(addresses.keys(), now)
        self.fleet.update(
            addresses.keys(), now, is_current=self._peers.has_current_peers()
        )
        if digest != self.fleet.digest:
            record(
                Event.quota_keepers_changed,
                daemons=len(addresses),
                parts=self.fleet.daemon_count,
                is_current=self.fleet.is_current,
            )
        return addresses

    def list_digest(self) -> int:
        """Return the digest of the list of daemons; 0 without customers."""
        if not self._customers.by_name:
            return 0
        self.check_list()
        return self.fleet.digest

    def hear(self, peer: str, digest: int) -> None:
        """Note the list of another daemon; 0 if it does not tell."""
        if digest:
            self.fleet.hear(peer, digest, self._clock.monotonic())

    def prune(self) -> None:
        """Forget lanes that this daemon does not keep any more."""
        lane_ids = self.keeper.lane_ids
        kept: set[LaneId] = set()
        for name in self._customers.by_name if lane_ids else ():
            kept.update(lane_ids.intersection(lanes_of(name)))
        kept = {
            lane_id
            for lane_id in kept
            if self.keeper_of(lane_id) == self.instance_id
        }
        self.keeper.prune(kept, self._clock.monotonic())

    def _handle_request(self, request: QuotaRequest, sender: str) -> None:
        self.check_list()
        self.hear(request.instance_id, request.list_digest)
        ask = QuotaAsk(
            request.needed,
            request.ahead,
            request.used,
            request.held,
            request.serial,
        )
        portion = self._portion_of(request, ask)
        if portion is None or not ask.wants_tokens:
            return
        tokens = QuotaTokens(
            request.customer,
            request.lane,
            portion.needed,
            portion.ahead,
            portion.serial,
            portion.pause,
            request.asked_at,
        )
        self._socket.send(sender, encode(tokens))

    def _portion_of(
        self, request: QuotaRequest, ask: QuotaAsk
    ) -> QuotaPortion | None:
        """Issue tokens for a question; None if this daemon can't answer it."""
        lane_id = lanes_of(request.customer)[request.lane]
        if self.keeper_of(lane_id) != self.instance_id:
            # Its list of daemons is another one; in a moment they agree.
            return None
        if self._customers.is_unlimited(request.customer):
            # One of both daemons knows an older configuration.
            return QuotaPortion(ask.needed, ask.ahead, ask.serial)
        customer = self._customers.by_name.get(request.customer)
        if customer is None:
            return None
        quota = self._customers.quota_of(customer)
        return self.issue(lane_id, request.instance_id, ask, quota)
