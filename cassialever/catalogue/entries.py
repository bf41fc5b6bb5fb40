"""The catalogue: the configuration that operators edit.

Every entry has an owner, a class, limits, and the version of the catalogue
that last changed it. Durations are whole milliseconds with the unit in their
names, since operators write them by hand.
"""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from cassialever.documents.formats import (
    HEADER,
    NAME,
    ByteCount,
    Fraction,
    IpAndPort,
    Milliseconds,
    NonEmptyString,
    NonNegativeInt,
    PositiveInt,
)
from cassialever.errors import EntryRef
from cassialever.types import (
    AdminState,
    CallerId,
    CatalogueVersion,
    ChangeId,
    CutOffPolicy,
    DataCentreId,
    EntryKind,
    RoutingClass,
    ServiceName,
    TargetId,
)


class Entry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Common fields; `version` is set when a change is accepted."""

    owner: NonEmptyString
    version: CatalogueVersion = CatalogueVersion(0)
    reason: str = ''

    def ref(self) -> EntryRef:
        """Return a reference to this entry; implemented by each kind."""
        raise NotImplementedError


class ServiceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one service; `retry_share` is retries allowed per request."""

    key_bytes: ByteCount = 256
    body_bytes: ByteCount = 1_048_576
    default_timeout_ms: Milliseconds = 2_000
    longest_timeout_ms: Milliseconds = 30_000
    attempt_timeout_ms: Milliseconds = 1_000
    queue_length: NonNegativeInt = 64
    retry_share: Fraction = 0.1


class KeyRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a request carries its key.

    Either a header or a path segment, which is counted from 0 after the
    service's prefix. The header takes precedence if a request has both.
    """

    header: Annotated[str, HEADER] = 'X-Cassialever-Key'
    path_segment: NonNegativeInt | None = None


class ServiceEntry(Entry, frozen=True, kw_only=True):
    """A service; the first segment of a request's path is its name."""

    name: Annotated[ServiceName, NAME]
    routing: RoutingClass = msgspec.field(name='class')
    key_rule: KeyRule = KeyRule()
    slices: PositiveInt = 1024
    when_cut_off: CutOffPolicy = CutOffPolicy.stay
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD')
    limits: ServiceLimits = ServiceLimits()

    def ref(self) -> EntryRef:
        """Return a reference to this entry."""
        return EntryRef(EntryKind.service, self.name, self.version)


class TargetLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Concurrency limits of one target, warm (`slots`) and cold."""

    slots: PositiveInt = 4
    connections: PositiveInt = 100
    cold_slots: PositiveInt = 1


class TargetEntry(Entry, frozen=True, kw_only=True):
    """A target: one backend server, with its IP address and port."""

    target_id: Annotated[TargetId, NAME] = msgspec.field(name='name')
    target_class: str = msgspec.field(name='class', default='worker')
    service: ServiceName
    data_centre: DataCentreId
    address: IpAndPort
    state: AdminState = AdminState.in_service
    limits: TargetLimits = TargetLimits()

    def ref(self) -> EntryRef:
        """Return a reference to this entry."""
        return EntryRef(EntryKind.target, self.target_id, self.version)


class DataCentreLimits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """For how long targets count as cold after their data centre returns."""

    return_ramp_ms: Milliseconds = 1_000


class DataCentreEntry(Entry, frozen=True, kw_only=True):
    """A data centre that is in service or taken out."""

    data_centre_id: Annotated[DataCentreId, NAME] = msgspec.field(name='name')
    data_centre_class: str = msgspec.field(name='class', default='standard')
    state: AdminState = AdminState.in_service
    limits: DataCentreLimits = DataCentreLimits()

    def ref(self) -> EntryRef:
        """Return a reference to this entry."""
        return EntryRef(
            EntryKind.data_centre,
            self.data_centre_id,
            self.version,
        )


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one caller on each instance."""

    requests_at_once: PositiveInt = 64
    requests_per_second: PositiveInt = 1_000


class CallerEntry(Entry, frozen=True, kw_only=True):
    """A caller; the `default` entry applies to callers without their own."""

    caller_id: Annotated[CallerId, NAME] = msgspec.field(name='name')
    caller_class: str = msgspec.field(name='class', default='standard')
    limits: CallerLimits = CallerLimits()

    def ref(self) -> EntryRef:
        """Return a reference to this entry."""
        return EntryRef(EntryKind.caller, self.caller_id, self.version)


DEFAULT_CALLER = CallerId('default')


class Catalogue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version of the whole catalogue, with its author and reason."""

    services: tuple[ServiceEntry, ...]
    targets: tuple[TargetEntry, ...]
    data_centres: tuple[DataCentreEntry, ...]
    callers: tuple[CallerEntry, ...]
    version: CatalogueVersion = CatalogueVersion(0)
    author: str = ''
    reason: str = ''
    change_id: ChangeId = ChangeId('')


EMPTY_CATALOGUE = Catalogue((), (), (), ())


class CatalogueIndex:
    """Look-up tables over the entries of one catalogue."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Index a catalogue; names must be unique within each kind."""
        self.catalogue = catalogue
        self.service_by_name: Mapping[ServiceName, ServiceEntry] = {
            entry.name: entry for entry in catalogue.services
        }
        self.target_by_id: Mapping[TargetId, TargetEntry] = {
            entry.target_id: entry for entry in catalogue.targets
        }
        self.data_centre_by_id: Mapping[DataCentreId, DataCentreEntry] = {
            entry.data_centre_id: entry for entry in catalogue.data_centres
        }
        self.caller_by_id: Mapping[CallerId, CallerEntry] = {
            entry.caller_id: entry for entry in catalogue.callers
        }
        self.targets_by_service: dict[ServiceName, list[TargetEntry]] = {}
        for target in catalogue.targets:
            self.targets_by_service.setdefault(target.service, []).append(
                target,
            )

    @property
    def version(self) -> CatalogueVersion:
        """Return the version of the catalogue."""
        return self.catalogue.version

    def caller_entry(self, caller_id: CallerId) -> CallerEntry | None:
        """Return the entry of a caller, or else the default entry."""
        entry = self.caller_by_id.get(caller_id)
        return entry or self.caller_by_id.get(DEFAULT_CALLER)

    def out_of_service_entry(self, target: TargetEntry) -> EntryRef | None:
        """Return the entry that takes a target out of service, if any."""
        if target.state is AdminState.out:
            return target.ref()
        data_centre = self.data_centre_by_id.get(target.data_centre)
        if data_centre and data_centre.state is AdminState.out:
            return data_centre.ref()
        return None
