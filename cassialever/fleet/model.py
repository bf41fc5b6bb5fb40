"""Data types of the deployment as a daemon sees it."""

import enum
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final, NewType, TypeAlias

import msgspec

from cassialever.platform.entry_limits import (
    MAX_HANDOVER_LENGTH,
    MAX_INTEGER,
    MAX_NAME_LENGTH,
)
from cassialever.types import (
    CustomerName,
    DataCentreId,
    Fence,
    RowVersion,
    Seconds,
    ServiceName,
    TargetId,
)

RouteName = NewType('RouteName', str)
ConfigurationVersion = NewType('ConfigurationVersion', int)
#: When the target's process started, in Unix milliseconds.
StartedAt = NewType('StartedAt', int)
#: A key of a keyed service.
KeyNumber = NewType('KeyNumber', int)
#: A hash of the key by which the callers of a customer are admitted.
CredentialHash = NewType('CredentialHash', bytes)

#: Keys are whole numbers from 0 to one less than this.
KEY_COUNT: Final = 65536
#: The key of a request that has none.
NO_KEY: Final = -1


class RequestKind(enum.Enum):
    """Whether a route's requests are safe to retry."""

    safe = 'safe'
    download = 'download'
    unsafe = 'unsafe'
    #: Requests with long bodies, which may run once.
    upload = 'upload'

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self not in {RequestKind.unsafe, RequestKind.upload}


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    ready = 'ready'
    draining = 'draining'


class WeightedService(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, and its weight."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A rule that sends requests for a host and path prefix to services.

    `time_limit` bounds a request from arrival to answer; `objective` is the
    latency that answers should stay within. Rank 0 is the highest.
    `longest_attempt` bounds a single attempt within the time limit. Callers of
    an anonymous route need no key.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RequestKind
    time_limit: Seconds
    objective: Seconds
    rank: int
    attempts: int
    parts: tuple[WeightedService, ...]
    longest_attempt: Seconds = math.inf
    is_anonymous: bool = False


class Service(msgspec.Struct, frozen=True):
    """A group of interchangeable targets.

    A cold target takes `cold_rate` requests per second. `warm_up` is the
    configured length of a cold start; each target reports how much of it is
    left. A request of a keyed service runs only on the owner of its key.
    `repeat_share` is the number of retries that each new request adds to the
    retry budget; if it is None, the ratio in the settings applies.
    """

    name: ServiceName
    is_keyed: bool
    warm_up: Seconds
    cold_rate: float
    connection_limit: int
    repeat_share: float | None = None
    #: Maximum number of requests queued for one target.
    queue_length: float = math.inf


class Customer(msgspec.Struct, frozen=True):
    """A customer of the deployment, whose callers are admitted by key.

    All daemons together admit `rate` requests per second and `burst` more; a
    rate of 0 is no limit. `rank` replaces that of the route unless it is None.
    """

    name: CustomerName
    rank: int | None = None
    rate: float = 0
    burst: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take or stay idle.

    The header limit is for all fields together. Times are in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 0
    header_timeout: Seconds = 10.0
    idle_timeout: Seconds = 75.0


class Configuration(msgspec.Struct, frozen=True):
    """Everything that operators have configured, at one version.

    Without customers no request needs a key.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    service_by_name: Mapping[ServiceName, Service]
    max_body_bytes: int
    limits: CallerLimits = CallerLimits()
    customer_by_credential: Mapping[CredentialHash, Customer] = (
        MappingProxyType({})
    )
    has_customers: bool = False


def version_of(configuration: Configuration | None) -> int:
    """Return a configuration's version; 0 if none is known."""
    return configuration.version if configuration else 0


class Target(msgspec.Struct, frozen=True):
    """A target as it reports itself in the store.

    It stays cold for `cold_for` after its entry was received. A daemon that
    reaches targets at a host of its own has the entry's address in
    `listed_address`.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    state: TargetState
    started_at: StartedAt
    cold_for: Seconds
    listed_address: str = ''

    @property
    def shared_address(self) -> str:
        """Return the address by which all daemons know the target."""
        return self.listed_address or self.address


class StoreRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the platform's store; content `None` marks a removed row."""

    table: str
    name: str
    content: bytes | None
    version: RowVersion


_Key: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=KEY_COUNT)]
_INTEGER: Final = msgspec.Meta(ge=0, le=MAX_INTEGER)


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A range of keys, both ends included, and the target that owns it.

    The fence rises whenever the keys move to another target or the owner
    restarts. `handover` is what the last owner returned on release.
    """

    first: _Key
    last: _Key
    owner: Annotated[TargetId, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    owner_started_at: Annotated[StartedAt, _INTEGER]
    fence: Annotated[Fence, _INTEGER]
    handover: Annotated[str, msgspec.Meta(max_length=MAX_HANDOVER_LENGTH)] = ''


class SuspectedMove(msgspec.Struct, frozen=True, array_like=True):
    """Keys that left an owner which the leader alone could not reach.

    `moved_at` is when the last of them did, by the store's clock.
    """

    service: ServiceName
    owner: TargetId
    key_count: int
    moved_at: Seconds


class KeyMap(msgspec.Struct, frozen=True, array_like=True):
    """The owners of a service's keys, in ascending, disjoint ranges."""

    service: ServiceName
    ranges: tuple[KeyRange, ...]

    @property
    def is_ordered(self) -> bool:
        """Return whether the ranges are ascending and disjoint."""
        earlier = -1
        for keys in self.ranges:
            if not earlier < keys.first <= keys.last:
                return False
            earlier = keys.last
        return True
