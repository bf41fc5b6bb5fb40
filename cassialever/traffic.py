"""What this daemon keeps for each service that it routes: budget, choice."""

from cassialever.budget import RetryBudget
from cassialever.catalogue import CatalogueIndex, ServiceEntry
from cassialever.interfaces import Clock, RandomSource
from cassialever.misc import BackgroundTasks
from cassialever.once import OnceLimits
from cassialever.placement import Placement
from cassialever.request_homes import Homes
from cassialever.selection import Candidate, TargetChooser
from cassialever.types import RoutingClass, Seconds, ServiceName, TargetId


class ServiceTraffic:
    """The retry budget and the candidates of one service."""

    def __init__(
        self,
        service: ServiceEntry,
        source: RandomSource,
        now: Seconds,
    ) -> None:
        """Start with the smallest budget and no candidates."""
        self.budget = RetryBudget(service.limits.retry_share, now)
        self.chooser = TargetChooser(source)
        #: Every target of the service in the whole fleet that is in service:
        #: the same on every daemon with the same catalogue.
        self.homes = Homes(OnceLimits().retention)
        self.tasks = BackgroundTasks()


class Traffic:
    """Every service's traffic on this daemon, kept in step with placement."""

    def __init__(
        self,
        placement: Placement,
        source: RandomSource,
        clock: Clock,
    ) -> None:
        """Start with none."""
        self._clock = clock
        self._placement = placement
        self._source = source
        self._traffic_by_service: dict[ServiceName, ServiceTraffic] = {}
        self._seen_revision = 0

    def of(self, service: ServiceEntry) -> ServiceTraffic:
        """Return the traffic of a service, under the present placement."""
        if self._seen_revision != self._placement.revision:
            self._seen_revision = self._placement.revision
            self._refresh()
        traffic = self._traffic_by_service.get(service.name)
        if traffic is None:
            traffic = ServiceTraffic(
                service,
                self._source,
                self._clock.monotonic(),
            )
            self._traffic_by_service[service.name] = traffic
            self._adopt(service, traffic)
        return traffic

    def _refresh(self) -> None:
        index = self._placement.index
        if index is None:
            return
        for name, traffic in self._traffic_by_service.items():
            service = index.service_by_name.get(name)
            if service:
                self._adopt(service, traffic)

    def _adopt(self, service: ServiceEntry, traffic: ServiceTraffic) -> None:
        traffic.budget.share = service.limits.retry_share
        if service.routing is RoutingClass.keyed:
            return
        own = self._placement.data_centre
        candidates = self._placement.candidates(service.name)
        traffic.chooser.adopt(
            [
                Candidate(entry.target_id, is_local=entry.data_centre == own)
                for entry in candidates
            ]
        )
        if self._placement.index:
            traffic.homes.adopt(
                _homes(self._placement.index, service.name),
                self._clock.wall(),
            )


def _homes(
    index: CatalogueIndex,
    service: ServiceName,
) -> tuple[TargetId, ...]:
    return tuple(
        entry.target_id
        for entry in index.targets_by_service.get(service, ())
        if index.is_out(entry) is None
    )
