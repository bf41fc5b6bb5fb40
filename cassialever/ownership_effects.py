"""What the ownership core asks to be done."""

from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from cassialever.control_messages import ControlMessage
from cassialever.events import Event
from cassialever.interfaces import Transaction
from cassialever.routing import RoutingMap
from cassialever.types import (
    Fence,
    Incarnation,
    InstanceId,
    RowName,
    Seconds,
    SliceIndex,
    TargetId,
)


class SendControl(msgspec.Struct, frozen=True):
    """Send a message to a daemon, which may be this one; it may be lost."""

    recipient: InstanceId
    message: ControlMessage


class ReadRows(msgspec.Struct, frozen=True):
    """Read rows by name; answered by `RowsRead`."""

    token: int
    names: tuple[RowName, ...]


class ScanRows(msgspec.Struct, frozen=True):
    """Read rows by prefix; answered by `RowsRead`."""

    token: int
    prefix: str


class CommitRows(msgspec.Struct, frozen=True):
    """Write rows; answered by `RowsCommitted`."""

    token: int
    transaction: Transaction


class GrantTarget(msgspec.Struct, frozen=True):
    """Tell a target until when it may take work, and under which fence.

    `ends` is an instant of the target's own clock, as its last answer told
    it, and counts only in that `incarnation` of the target. An `ends` of 0
    grants nothing and only asks for the clock. `slices` are those owned.
    """

    token: int
    target_id: TargetId
    fence: Fence
    incarnation: Incarnation
    ends: Seconds
    slices: frozenset[SliceIndex] = frozenset()


class Drain(msgspec.Struct, frozen=True):
    """Wait for requests under lower fences; answered by `Drained`.

    `kept` are the slices that go on; `None` stops the whole target. Nothing
    new is let through meanwhile, since the lease has changed already.
    """

    target_id: TargetId
    fence: Fence
    kept: frozenset[SliceIndex] | None = None


class AnnounceMap(msgspec.Struct, frozen=True):
    """Spread a routing map to the routers of this data centre."""

    routing_map: RoutingMap


class LogEvent(msgspec.Struct, frozen=True):
    """Write a numbered log event."""

    event: Event
    fields: Mapping[str, str | int | float] = {}


Effect: TypeAlias = (
    SendControl
    | ReadRows
    | ScanRows
    | CommitRows
    | GrantTarget
    | Drain
    | AnnounceMap
    | LogEvent
)
