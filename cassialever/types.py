"""Shared identifiers, states and type aliases."""

import enum
from typing import Final, NewType, TypeAlias

InstanceId = NewType('InstanceId', str)
DataCentreId = NewType('DataCentreId', str)
TargetId = NewType('TargetId', str)
ServiceName = NewType('ServiceName', str)
CallerId = NewType('CallerId', str)
CustomerName = NewType('CustomerName', str)
RequestId = NewType('RequestId', str)
ChangeId = NewType('ChangeId', str)
RowName = NewType('RowName', str)
Key = NewType('Key', str)

SliceIndex = NewType('SliceIndex', int)
Fence = NewType('Fence', int)
CatalogueVersion = NewType('CatalogueVersion', int)
RowVersion = NewType('RowVersion', int)
PlaceId = NewType('PlaceId', int)

# Durations and monotonic times are in seconds, as in the standard library.
Seconds: TypeAlias = float
Headers: TypeAlias = tuple[tuple[str, str], ...]

#: Wire formats and catalogue entries use integer milliseconds.
MS_PER_SECOND: Final = 1000


class RoutingClass(enum.Enum):
    """How the target of a service's requests is selected."""

    keyed = 'keyed'
    any_target = 'any'


class CutOffPolicy(enum.Enum):
    """What happens to a data centre's keys while it is unreachable or lost."""

    stay = 'stay'
    move = 'move'


class AdminState(enum.Enum):
    """Whether operators let a target or data centre receive new work."""

    in_service = 'in_service'
    out = 'out'


class TargetState(enum.Enum):
    """A target's ability to take work, as a daemon sees it."""

    cold = 'cold'
    ramping = 'ramping'
    warm = 'warm'
    draining = 'draining'
    lost = 'lost'


class EntryKind(enum.Enum):
    """The kinds of catalogue entry."""

    service = 'service'
    target = 'target'
    data_centre = 'data_centre'
    caller = 'caller'
