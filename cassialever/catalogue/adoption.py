"""Take in the catalogue of operators, as the rows of the store have it."""

import functools
from typing import Final

import msgspec
from reactivex.subject import Subject

from cassialever.catalogue.entries import (
    Catalogue,
    CatalogueIndex,
    ServiceEntry,
    TargetEntry,
)
from cassialever.catalogue.table import CATALOGUE_TABLE, CURRENT_ROW
from cassialever.events import Event, record
from cassialever.fleet.model import (
    Configuration,
    ConfigurationVersion,
    WeightedService,
    RequestKind,
    Route,
    RouteName,
    Service,
    StoreRow,
)
from cassialever.fleet.operator_rows import ConfigurationSink
from cassialever.types import MILLISECONDS, RoutingClass, ServiceState

#: Attempts at targets for one request; the budget of repeats binds first.
MAX_ATTEMPTS: Final = 4


class CatalogueRowHandler:
    """The table of the project's own catalogue."""

    table = CATALOGUE_TABLE

    def __init__(self) -> None:
        """Start without a catalogue; parts subscribe to those that come."""
        #: Each catalogue that comes into force here.
        self.adopted: Subject[CatalogueIndex] = Subject()

    def apply_row(self, row: StoreRow, sink: ConfigurationSink) -> None:
        """Take in a version of the catalogue."""
        if row.name != CURRENT_ROW or row.content is None:
            return
        try:
            catalogue = msgspec.json.decode(row.content, type=Catalogue)
        except msgspec.DecodeError as error:
            sink.reject(row.name, str(error))
            return
        index = CatalogueIndex(catalogue)
        if not sink.apply_configuration(build_configuration(catalogue)):
            return
        _update_targets(index, sink)
        self.adopted.on_next(index)


def build_configuration(catalogue: Catalogue) -> Configuration:
    """Return what a catalogue says of services, as the request path has it."""
    return Configuration(
        version=ConfigurationVersion(catalogue.version),
        routes=(),
        service_by_name={
            entry.name: _build_service(entry, catalogue)
            for entry in catalogue.services
        },
        max_body_bytes=max(
            (entry.limits.body_bytes for entry in catalogue.services),
            default=0,
        ),
    )


@functools.lru_cache(maxsize=1024)
def build_route(entry: ServiceEntry, *, is_retryable: bool) -> Route:
    """Return the route of a service's requests of one kind."""
    limits = entry.limits
    kind = RequestKind.safe if is_retryable else RequestKind.unsafe
    return Route(
        name=RouteName(entry.name),
        host='',
        path_prefix=f'/{entry.name}/',
        kind=kind,
        time_limit=limits.longest_timeout_ms / MILLISECONDS,
        objective=limits.default_timeout_ms / MILLISECONDS,
        rank=0,
        attempts=MAX_ATTEMPTS,
        parts=(WeightedService(entry.name, 1),),
        longest_attempt=limits.attempt_timeout_ms / MILLISECONDS,
    )


def _build_service(entry: ServiceEntry, catalogue: Catalogue) -> Service:
    targets = [
        target for target in catalogue.targets if target.service == entry.name
    ]
    return Service(
        name=entry.name,
        is_keyed=entry.routing is RoutingClass.keyed,
        # Targets say themselves how long they stay cold.
        warm_up=0,
        cold_rate=_cold_rate(entry, targets),
        connection_limit=min(
            (target.limits.connections for target in targets),
            default=0,
        ),
        repeat_share=entry.limits.retry_share,
        queue_length=entry.limits.queue_length,
    )


def _cold_rate(entry: ServiceEntry, targets: list[TargetEntry]) -> float:
    """Return the requests a second that no cold target is over its slots by.

    A request holds a slot for one attempt at most.
    """
    slots = min((target.limits.cold_slots for target in targets), default=0)
    return slots * MILLISECONDS / entry.limits.attempt_timeout_ms


def _update_targets(index: CatalogueIndex, sink: ConfigurationSink) -> None:
    targets = sink.targets
    targets.limit_slots(
        {
            entry.target_id: entry.limits.slots
            for entry in index.catalogue.targets
        },
    )
    targets.taken_out = {
        entry.target_id
        for entry in index.catalogue.targets
        if entry.state is ServiceState.out
    }
    evacuated = {
        entry.data_centre_id
        for entry in index.catalogue.data_centres
        if entry.state is ServiceState.out
    }
    for returned in targets.evacuated - evacuated:
        entry = index.data_centre_by_id.get(returned)
        if entry is not None:
            ramp = entry.limits.return_ramp_ms / MILLISECONDS
            targets.mark_cold(returned, ramp)
    if evacuated != targets.evacuated:
        targets.evacuated = evacuated
        record(
            Event.data_centre_changed,
            taken_out=sorted(evacuated),
            version=index.version,
        )
