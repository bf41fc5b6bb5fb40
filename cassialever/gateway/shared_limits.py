"""The limits that all daemons keep together: of targets and of customers."""

from cassialever.fleet.peers import SharedPeers
from cassialever.fleet.permits import PermitExchange
from cassialever.fleet.quotas import QuotaExchange
from cassialever.fleet.view import FleetView
from cassialever.gateway.forwarder import Forwarder
from cassialever.gateway.metrics import Reading
from cassialever.gateway.quota_gate import QuotaGate
from cassialever.gateway.reachability import Reachability
from cassialever.gateway.settings import GatewaySettings
from cassialever.interfaces import RandomSource


class SharedLimits:
    """The exchanges with other daemons by which limits are kept."""

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        forwarder: Forwarder,
        reachability: Reachability,
        peers: SharedPeers,
        random_source: RandomSource,
    ) -> None:
        """Have a forwarder keep the limits."""
        clock = view.targets.clock
        self.permits = PermitExchange(
            settings.instance.instance_id,
            view,
            forwarder.limiter,
            clock,
            peers,
            reachability.socket,
        )
        exchange = QuotaExchange(
            settings.instance.instance_id,
            view,
            settings.bounds.quota_terms,
            clock,
            peers,
            reachability.socket,
        )
        self.quotas = QuotaGate(exchange, clock, random_source)
        forwarder.router.quotas = self.quotas
        keeping = exchange.keeping
        reachability.show_list(keeping.list_digest, keeping.hear)

    def readings(self) -> list[Reading]:
        """Return readings of what was issued, and to whom."""
        issuer = self.permits.issuer
        return [
            Reading('permits_issued', issuer.issued_count),
            Reading('permits_denied', issuer.denied_count),
            *self.quotas.readings(),
        ]

    def prune(self) -> None:
        """Forget what no longer limits anything."""
        self.permits.prune()
        self.quotas.exchange.prune()
