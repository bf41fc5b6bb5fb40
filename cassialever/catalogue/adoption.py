"""Put a catalogue that was read from the store in force in a daemon."""

import functools
from typing import Final

from reactivex.subject import Subject

from cassialever.catalogue.entries import (
    Catalogue,
    CatalogueIndex,
    ServiceEntry,
    TargetEntry,
)
from cassialever.catalogue.table import CATALOGUE_TABLE, CURRENT_ROW
from cassialever.decoding import decode_json
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.model import (
    Configuration,
    ConfigurationVersion,
    RequestKind,
    Route,
    RouteName,
    Service,
    StoreRow,
    WeightedService,
)
from cassialever.fleet.operator_rows import ConfigurationSink
from cassialever.fleet.row_replica import UNCONFIRMED
from cassialever.types import MS_PER_SECOND, AdminState, RoutingClass

#: Maximum attempts for one request; the retry budget is the tighter limit.
MAX_ATTEMPTS: Final = 4


class CatalogueRowHandler:
    """Handle changed rows of the catalogue table."""

    table = CATALOGUE_TABLE

    def __init__(self) -> None:
        #: Emits each catalogue that comes into force in this daemon.
        self.adopted: Subject[CatalogueIndex] = Subject()
        #: The version of the row with the catalogue in force.
        self._row_version = UNCONFIRMED

    def apply_row(self, row: StoreRow, sink: ConfigurationSink) -> bool:
        """Put a new version of the catalogue in force.

        A row that can't be decoded is rejected; the version in force stays. A
        change that was made after the store had lost others has one of their
        numbers, and is later all the same by the version of its row.
        """
        if row.name != CURRENT_ROW:
            return True
        if row.content is None:
            return False
        catalogue = decode_json(row.content, Catalogue)
        if isinstance(catalogue, Failure):
            sink.reject(row.name, catalogue.reason)
            return False
        index = CatalogueIndex(catalogue)
        is_later = row.version > self._row_version
        configuration = build_configuration(catalogue)
        if not sink.apply_configuration(configuration, is_later=is_later):
            return False
        self._row_version = row.version
        _update_targets(index, sink)
        self.adopted.on_next(index)
        return True


def build_configuration(catalogue: Catalogue) -> Configuration:
    """Convert a catalogue's services to the configuration of the gateway."""
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
    """Build the route for retryable or other requests of a service."""
    limits = entry.limits
    kind = RequestKind.safe if is_retryable else RequestKind.unsafe
    return Route(
        name=RouteName(entry.name),
        host='',
        path_prefix=f'/{entry.name}/',
        kind=kind,
        time_limit=limits.longest_timeout_ms / MS_PER_SECOND,
        objective=limits.default_timeout_ms / MS_PER_SECOND,
        rank=0,
        attempts=MAX_ATTEMPTS,
        parts=(WeightedService(entry.name, 1),),
        longest_attempt=limits.attempt_timeout_ms / MS_PER_SECOND,
    )


def _build_service(entry: ServiceEntry, catalogue: Catalogue) -> Service:
    targets = [
        target for target in catalogue.targets if target.service == entry.name
    ]
    return Service(
        name=entry.name,
        is_keyed=entry.routing is RoutingClass.keyed,
        # Each target reports for how long it stays cold.
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
    """Return the requests per second that every cold target can sustain.

    A request occupies one of the cold slots for the attempt timeout at most.
    """
    slots = min((target.limits.cold_slots for target in targets), default=0)
    return slots * MS_PER_SECOND / entry.limits.attempt_timeout_ms


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
        if entry.state is AdminState.out
    }
    evacuated = {
        entry.data_centre_id
        for entry in index.catalogue.data_centres
        if entry.state is AdminState.out
    }
    for data_centre_id in targets.evacuated - evacuated:
        entry = index.data_centre_by_id.get(data_centre_id)
        if entry is not None:
            ramp = entry.limits.return_ramp_ms / MS_PER_SECOND
            targets.mark_cold(data_centre_id, ramp)
    if evacuated != targets.evacuated:
        targets.evacuated = evacuated
        record(
            Event.data_centre_changed,
            taken_out=sorted(evacuated),
            version=index.version,
        )
