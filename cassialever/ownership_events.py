"""What the ownership core is told; see `ownership_effects` for the rest."""

from collections.abc import Mapping, Sequence
from typing import TypeAlias

import msgspec

from cassialever.catalogue import CatalogueIndex
from cassialever.control_messages import ControlMessage
from cassialever.errors import Failure
from cassialever.interfaces import Committed, Row
from cassialever.types import (
    DataCentreId,
    Fence,
    Incarnation,
    InstanceId,
    RowName,
    Seconds,
    SliceIndex,
    TargetId,
)


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; due every `TICK` seconds."""


#: How often the shell sends a `Tick`, in seconds.
TICK = 0.05


class ControlReceived(msgspec.Struct, frozen=True):
    """A message came from another daemon, or from this one to itself."""

    sender: InstanceId
    incarnation: Incarnation
    message: ControlMessage


class RowsRead(msgspec.Struct, frozen=True):
    """The answer to a `ReadRows` or `ScanRows` of the same token."""

    token: int
    outcome: Mapping[RowName, Row] | Failure


class RowsCommitted(msgspec.Struct, frozen=True):
    """The answer to a `CommitRows` of the same token."""

    token: int
    outcome: Committed | Failure


class GrantAnswer(msgspec.Struct, frozen=True):
    """What a target answers to a grant.

    `clock` is the target's own monotonic clock as it answered, in seconds.
    """

    accepted: bool
    incarnation: Incarnation
    clock: Seconds
    highest_fence: Fence = Fence(0)


class TargetGrantResult(msgspec.Struct, frozen=True):
    """The answer to a `GrantTarget` of the same token."""

    token: int
    target_id: TargetId
    outcome: GrantAnswer | Failure


class Drained(msgspec.Struct, frozen=True):
    """The request path has done what a `Drain` asked.

    `unknown_until` is the monotonic instant of the latest deadline among
    requests whose outcome is unknown; 0 where there is none.
    """

    target_id: TargetId
    fence: Fence
    unknown_until: Seconds = 0


class LoadsCounted(msgspec.Struct, frozen=True):
    """The request path has counted the load of a held target's slices."""

    target_id: TargetId
    load_by_slice: Mapping[SliceIndex, float]


class CatalogueAdopted(msgspec.Struct, frozen=True):
    """Another version of the catalogue is in force."""

    index: CatalogueIndex


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance in the platform's list, which lags."""

    instance_id: InstanceId
    data_centre: DataCentreId
    rack: str = ''
    leaving: bool = False


class InstancesListed(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving instances was read."""

    instances: Sequence[ListedInstance]


class InstancesDeclaredLost(msgspec.Struct, frozen=True):
    """An operator's edit says that these instances run no more.

    It settles what no daemon can tell by itself, so it has to be true.
    """

    instances: frozenset[InstanceId]


class StopWanted(msgspec.Struct, frozen=True):
    """This daemon is stopping: hand over every lease and the authority."""


OwnershipEvent: TypeAlias = (
    Tick
    | ControlReceived
    | RowsRead
    | RowsCommitted
    | TargetGrantResult
    | Drained
    | LoadsCounted
    | CatalogueAdopted
    | InstancesListed
    | InstancesDeclaredLost
    | StopWanted
)
