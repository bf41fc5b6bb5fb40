"""Ids, states and aliases that every module shares."""

import enum
from typing import Final, NewType, TypeAlias

InstanceId = NewType('InstanceId', str)
DataCentreId = NewType('DataCentreId', str)
TargetId = NewType('TargetId', str)
ServiceName = NewType('ServiceName', str)
CallerId = NewType('CallerId', str)
RequestId = NewType('RequestId', str)
ChangeId = NewType('ChangeId', str)
RowName = NewType('RowName', str)
Key = NewType('Key', str)

SliceIndex = NewType('SliceIndex', int)
Fence = NewType('Fence', int)
CatalogueVersion = NewType('CatalogueVersion', int)
RowVersion = NewType('RowVersion', int)

# Durations and monotonic instants are seconds, as in the standard library.
Seconds: TypeAlias = float
Headers: TypeAlias = tuple[tuple[str, str], ...]

#: Milliseconds in a second, for the whole milliseconds of wire and entries.
MS_PER_SECOND: Final = 1000


class RoutingClass(enum.Enum):
    """How a service's requests find their target."""

    keyed = 'keyed'
    any_target = 'any'


class CutOffPolicy(enum.Enum):
    """What becomes of a data centre's keys while it is cut off or lost."""

    stay = 'stay'
    move = 'move'


class AdminState(enum.Enum):
    """Whether operators want a target or data centre to take new work."""

    in_service = 'in_service'
    out = 'out'


class TargetState(enum.Enum):
    """How much work a target can carry, as a daemon judges it."""

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
