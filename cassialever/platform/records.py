"""Decode the rows that operators and targets write to the store."""

import ipaddress
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.decoding import attempt, decode_json, shortened
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.connecting import is_address
from cassialever.fleet.model import (
    CallerLimits,
    Configuration,
    ConfigurationVersion,
    WeightedService,
    RequestKind,
    Route,
    RouteName,
    Service,
    StartedAt,
    Target,
    TargetState,
)
from cassialever.platform.configuration_limits import (
    Attempts,
    ByteCount,
    Connections,
    HostName,
    Milliseconds,
    Rank,
    RequestRate,
    WarmUpSeconds,
    Weight,
)
from cassialever.platform.customer_records import decode_customers
from cassialever.platform.entry_limits import (
    ColdMilliseconds,
    Slots,
    UnixMilliseconds,
    is_name,
    is_target_name,
)
from cassialever.types import (
    MS_PER_SECOND,
    DataCentreId,
    ServiceName,
    TargetId,
)

OPERATOR_TABLE: Final = 'op'
TARGET_TABLE: Final = 'servers'
CONFIGURATION_ROW: Final = 'config'
#: Prefix of rows of the operators' table, each of which names a data centre
#: that must get no new work.
EVACUATION_PREFIX: Final = 'evacuate/'

_VERSION: Final = re.compile(r'r(\d{1,18})')

_DEFAULT_LIMITS: Final = CallerLimits()

_KIND_BY_ROUTE_TYPE: Final[Mapping[str, RequestKind]] = MappingProxyType(
    {kind.value: kind for kind in RequestKind},
)


class _Split(msgspec.Struct):
    upstream: str
    weight: Weight


class _Route(msgspec.Struct):
    hostname: HostName
    path_prefix: str
    route_type: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds
    priority: Rank = 0
    attempts: Attempts = 1
    # A route names either one service or a weighted list of them.
    upstream: str | None = None
    traffic_split: list[_Split] | None = None
    anonymous: bool = False


class _Service(msgspec.Struct):
    max_connections: Connections = 100
    warmup_s: WarmUpSeconds = 0
    warmup_per_s: RequestRate = 0
    # Whether the service is divided by key.
    sharded: bool = False


class _Limits(msgspec.Struct):
    max_body_bytes: ByteCount
    max_header_bytes: ByteCount = _DEFAULT_LIMITS.max_header_bytes
    header_timeout_ms: Milliseconds = (
        _DEFAULT_LIMITS.header_timeout * MS_PER_SECOND
    )
    idle_timeout_ms: Milliseconds = _DEFAULT_LIMITS.idle_timeout * MS_PER_SECOND

    def decoded(self) -> CallerLimits:
        """Return the limits with times in seconds."""
        return CallerLimits(
            max_header_bytes=self.max_header_bytes,
            max_body_bytes=self.max_body_bytes,
            header_timeout=self.header_timeout_ms / MS_PER_SECOND,
            idle_timeout=self.idle_timeout_ms / MS_PER_SECOND,
        )


class _Configuration(msgspec.Struct):
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits
    # Missing unless the callers are admitted by key.
    tenants: dict[str, msgspec.Raw] | None = None


class _TargetInfo(msgspec.Struct):
    # The service's name. The `version` beside it is the software's.
    upstream: str
    zone: str
    capacity: Slots


class _TargetStatus(msgspec.Struct):
    state: str
    warmup_left_ms: ColdMilliseconds = 0


class _Target(msgspec.Struct):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    # Start of the target's process, in Unix milliseconds.
    born: UnixMilliseconds = 0


def decode_configuration(content: bytes) -> Configuration | Failure:
    """Decode the operators' configuration; one fault rejects it whole."""
    wire = decode_json(content, _Configuration)
    if isinstance(wire, Failure):
        return wire
    version = _VERSION.fullmatch(wire.version)
    if version is None:
        text = shortened(wire.version)
        return _invalid(f'version {text!r} is not "r" and 1 to 18 digits')
    routes = attempt(
        lambda: tuple(
            _decode_route(name, wire.routes[name]) for name in wire.routes
        )
    )
    if isinstance(routes, Failure):
        return routes
    customers = decode_customers(wire.tenants or {})
    if isinstance(customers, Failure):
        return customers
    return Configuration(
        version=ConfigurationVersion(int(version.group(1))),
        routes=routes,
        service_by_name={
            ServiceName(name): _decode_service(name, service)
            for name, service in wire.services.items()
        },
        max_body_bytes=wire.limits.max_body_bytes,
        limits=wire.limits.decoded(),
        customer_by_credential=customers,
        has_customers=bool(wire.tenants),
    )


def decode_target(
    target_id: str, content: bytes, host: str = ''
) -> Target | Failure:
    """Decode the entry that a target writes about itself.

    Unless `host` is empty, it replaces the host in the entry's address.
    """
    if not is_target_name(target_id):
        return _invalid('no header can carry the name')
    wire = decode_json(content, _Target)
    if isinstance(wire, Failure):
        return wire
    if not _is_address(wire.address):
        return _invalid('the address is not IPv4:port')
    if not is_name(wire.info.upstream) or not is_name(wire.info.zone):
        return _invalid('the service or the zone is no name')
    port = wire.address.rpartition(':')[2]
    state = attempt(lambda: TargetState(wire.status.state))
    if isinstance(state, Failure):
        return state
    return Target(
        target_id=TargetId(target_id),
        service=ServiceName(wire.info.upstream),
        address=f'{host}:{port}' if host else wire.address,
        data_centre=DataCentreId(wire.info.zone),
        slots=wire.info.capacity,
        state=state,
        started_at=StartedAt(wire.born),
        cold_for=max(wire.status.warmup_left_ms, 0) / MS_PER_SECOND,
        listed_address=wire.address if host else '',
    )


def evacuated_data_centre(name: str) -> DataCentreId | None:
    """Return the data centre that a row evacuates; `None` for other rows."""
    if not name.startswith(EVACUATION_PREFIX):
        return None
    return DataCentreId(name.removeprefix(EVACUATION_PREFIX))


def _is_address(text: str) -> bool:
    """Return whether a text is IPv4:port, to which one can connect.

    Any other one would fail each request that is sent to it.
    """
    try:
        ipaddress.IPv4Address(text.rpartition(':')[0])
    except ValueError:
        return False
    return is_address(text)


def _decode_route(name: str, wire: _Route) -> Route:
    kind = _KIND_BY_ROUTE_TYPE.get(wire.route_type)
    if kind is None:
        raise ValueError(f'route {name}: unknown type {wire.route_type!r}')
    return Route(
        name=RouteName(name),
        host=wire.hostname.lower(),
        path_prefix=wire.path_prefix,
        kind=kind,
        time_limit=wire.timeout_ms / MS_PER_SECOND,
        objective=wire.target_latency_ms / MS_PER_SECOND,
        rank=wire.priority,
        attempts=wire.attempts,
        parts=_decode_parts(name, wire),
        is_anonymous=wire.anonymous,
    )


def _decode_parts(name: str, wire: _Route) -> tuple[WeightedService, ...]:
    if wire.upstream is not None:
        return (WeightedService(ServiceName(wire.upstream), 1),)
    if not wire.traffic_split:
        raise ValueError(f'route {name} has no service')
    return tuple(
        WeightedService(ServiceName(split.upstream), split.weight)
        for split in wire.traffic_split
    )


def _decode_service(name: str, wire: _Service) -> Service:
    return Service(
        name=ServiceName(name),
        is_keyed=wire.sharded,
        warm_up=wire.warmup_s,
        cold_rate=wire.warmup_per_s,
        connection_limit=wire.max_connections,
    )


def _invalid(reason: str) -> Failure:
    return Failure(ErrorKind.catalogue_invalid, reason)
