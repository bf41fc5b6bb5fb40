"""The types that a daemon's view of its deployment is made of."""

import enum
import math
from collections.abc import Mapping
from typing import Final, NewType

import msgspec

from cassialever.types import (
    DataCentreId,
    Fence,
    RowVersion,
    Seconds,
    ServiceName,
    TargetId,
)

RouteName = NewType('RouteName', str)
ConfigurationVersion = NewType('ConfigurationVersion', int)
#: The start of one life of a target, in Unix milliseconds.
StartedAt = NewType('StartedAt', int)
#: A key of a keyed service.
KeyNumber = NewType('KeyNumber', int)

#: Keys are whole numbers from 0 to one less than this.
KEY_COUNT: Final = 65536
#: Stands where a request has no key.
NO_KEY: Final = -1


class RequestKind(enum.Enum):
    """What may be done with a request of a route."""

    safe = 'safe'
    download = 'download'
    unsafe = 'unsafe'

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is not RequestKind.unsafe


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    ready = 'ready'
    draining = 'draining'


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route and the weight of its share."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A rule that sends requests of a host and path to services.

    `time_limit` is the longest that a request may be kept; `objective` is
    the time within which an answer is of full worth. Rank 0 is the highest.
    `longest_attempt` bounds what one target may take of the limit.
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


class Service(msgspec.Struct, frozen=True):
    """A group of targets that do the same work.

    A cold target stays cold for `warm_up` and takes `cold_rate` requests a
    second meanwhile. A keyed service runs a request only at the key's owner.
    `repeat_share` is how many repeats each fresh request allows, where the
    service has a share of its own.
    """

    name: ServiceName
    is_keyed: bool
    warm_up: Seconds
    cold_rate: float
    connection_limit: int
    repeat_share: float | None = None
    #: Requests that may wait for one target at most.
    queue_length: float = math.inf


class Configuration(msgspec.Struct, frozen=True):
    """Everything that operators have set, at one version."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    service_by_name: Mapping[ServiceName, Service]
    max_body_bytes: int


class Target(msgspec.Struct, frozen=True):
    """What one target says of itself.

    `cold_for` is how long it stays cold, counted from its entry's arrival.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    state: TargetState
    started_at: StartedAt
    cold_for: Seconds


class StoreRow(msgspec.Struct, frozen=True, array_like=True):
    """One row of the platform's store; no content marks a removed row."""

    table: str
    name: str
    content: bytes | None
    version: RowVersion


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A run of keys, both ends included, and the target that owns them.

    The fence rises each time the keys go to another target or another life
    of the same one. The handover is what their last owner gave for them.
    """

    first: int
    last: int
    owner: TargetId
    owner_started_at: StartedAt
    fence: Fence
    handover: str = ''


class KeyMap(msgspec.Struct, frozen=True, array_like=True):
    """The owners of a service's keys, ascending and without overlap."""

    service: ServiceName
    ranges: tuple[KeyRange, ...]
