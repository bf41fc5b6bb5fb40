"""Messages about leases and authority between daemons.

All are flat, so that any codec can carry them. The sender and its
incarnation travel beside a message, not in it. Fields that are added later
need defaults, since an older daemon leaves them out.
"""

from typing import TypeAlias

import msgspec

from cassialever.types import (
    Epoch,
    Fence,
    Incarnation,
    InstanceId,
    RowVersion,
    Seconds,
    TargetId,
)


class LeaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a holder says of one of its leases.

    `live` says that the lease had not lapsed when the report was sent;
    `stopped` that the holder was told to stop, and sends nothing; `settled`
    that what an earlier fence allowed and this one does not is over: nothing
    of it runs any more, and the target refuses it. `accepted` says that the
    target has taken a grant from this holder; `reachable` is false once the
    target's grant has certainly lapsed. `loads` is packed by
    `rows.pack_loads`, and only sent where they were counted anew.
    """

    target_id: TargetId
    fence: Fence
    live: bool = True
    stopped: bool = False
    settled: bool = False
    accepted: bool = False
    reachable: bool = True
    target_incarnation: Incarnation = Incarnation(0)
    loads: bytes = b''


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the coordinator to renew every lease of the sender.

    `sequence` rises with each heartbeat of one incarnation. `epoch` also
    says that the sender serves no lower one any more.
    """

    sequence: int
    epoch: Epoch
    reports: list[LeaseReport] = []
    rack: str = ''
    stopping: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """One lease in an answer; `slices` are packed by `rows.pack_slices`.

    `slices` is sent only where the holder has not reported this fence.
    `stop` ends the lease: the holder sends nothing more and reports so.
    """

    target_id: TargetId
    fence: Fence
    stop: bool = False
    has_slices: bool = False
    slices: bytes = b''


class HeartbeatAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """All leases of the recipient, for a term from when it asked.

    A lease that is not named is over. `incarnation` is the one that asked:
    one that started since must not take the answer for its own.
    """

    sequence: int
    epoch: Epoch
    incarnation: Incarnation
    term: Seconds
    grants: list[LeaseGrant] = []


class HeartbeatWanted(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a heartbeat at once; tells who the coordinator is."""

    epoch: Epoch
    coordinator: InstanceId


class PromiseWanted(msgspec.Struct, frozen=True, kw_only=True):
    """The coordinator asks its successor not to take over for a term.

    `row_version` is the version of the coordinator's row as it stands.
    """

    sequence: int
    epoch: Epoch
    row_version: RowVersion


class Promise(msgspec.Struct, frozen=True, kw_only=True):
    """The successor won't take over for a term from now."""

    sequence: int
    epoch: Epoch


class Renounced(msgspec.Struct, frozen=True, kw_only=True):
    """The successor is stopping and will never take over in this run."""

    epoch: Epoch


class HandOver(msgspec.Struct, frozen=True, kw_only=True):
    """The coordinator has stopped; its successor may take over at once."""

    epoch: Epoch
    row_version: RowVersion


ControlMessage: TypeAlias = (
    Heartbeat
    | HeartbeatAnswer
    | HeartbeatWanted
    | PromiseWanted
    | Promise
    | Renounced
    | HandOver
)
