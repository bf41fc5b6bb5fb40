"""What this daemon believes of the catalogue, of owners and of holders."""

from collections.abc import Sequence

from cassialever.catalogue import CatalogueIndex, ServiceEntry, TargetEntry
from cassialever.errors import ErrorKind, Failure
from cassialever.routing import RoutingMap
from cassialever.slices import Place
from cassialever.types import (
    DataCentreId,
    InstanceId,
    Key,
    Seconds,
    ServiceName,
    ServiceState,
    TargetId,
)

#: When a key without an owner is likely to have one again, in seconds.
OWNER_RETRY_SECONDS = 1


class Placement:
    """Answer where a request may go; every answer is a hint."""

    def __init__(self, data_centre: DataCentreId) -> None:
        """Start with no catalogue and no maps."""
        self.data_centre = data_centre
        self.index: CatalogueIndex | None = None
        #: The monotonic instant at which the catalogue came into force.
        self.adopted_at: Seconds = 0
        #: Whether a data centre is out just now.
        self.is_moving = False
        self.map_by_data_centre: dict[DataCentreId, RoutingMap] = {}
        #: Rises with each change, so that what is derived can be renewed.
        self.revision = 0

    def adopt_catalogue(
        self,
        index: CatalogueIndex,
        now: Seconds = 0,
    ) -> bool:
        """Take a catalogue with a higher version; say whether it was."""
        if self.index and index.version <= self.index.version:
            return False
        self.index = index
        self.adopted_at = now
        self.is_moving = any(
            entry.state is ServiceState.out
            for entry in index.catalogue.data_centres
        )
        self.revision += 1
        return True

    def adopt_map(
        self,
        data_centre: DataCentreId,
        routing_map: RoutingMap,
    ) -> bool:
        """Take a map with a higher epoch; say whether it was."""
        known = self.map_by_data_centre.get(data_centre)
        if known and routing_map.epoch <= known.epoch:
            return False
        self.map_by_data_centre[data_centre] = routing_map
        self.revision += 1
        return True

    def target(self, target_id: TargetId) -> TargetEntry | None:
        """Return a target's entry."""
        return self.index.target_by_id.get(target_id) if self.index else None

    def service(self, name: ServiceName) -> ServiceEntry | None:
        """Return a service's entry."""
        return self.index.service_by_name.get(name) if self.index else None

    def holder(self, target_id: TargetId) -> InstanceId | None:
        """Return the instance that holds a target's lease, if known."""
        for routing_map in self.map_by_data_centre.values():
            holder = routing_map.holder(target_id)
            if holder is not None:
                return holder
        return None

    def place(self, service: ServiceEntry, key: Key) -> Place | Failure:
        """Return the slice of a key and the target that owns it."""
        for routing_map in self.map_by_data_centre.values():
            place = routing_map.locate(service.name, key)
            if place and place.owner is not None:
                return place
        return Failure(
            ErrorKind.no_owner,
            f'this key of {service.name} has no owner just now',
            service.ref(),
            retry_after=OWNER_RETRY_SECONDS,
        )

    def candidates(self, service: ServiceName) -> Sequence[TargetEntry]:
        """Return the targets that may take new work of a service.

        Those of this data centre alone, as long as it has any.
        """
        if self.index is None:
            return ()
        able = [
            target
            for target in self.index.targets_by_service.get(service, ())
            if self.index.is_out(target) is None
            and self.holder(target.target_id)
        ]
        local = [
            target for target in able if target.data_centre == self.data_centre
        ]
        return local or able
