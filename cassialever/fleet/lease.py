"""The leader's lease: a row in the store that the leader keeps renewing.

A takeover is safe at any time, because a new leader at first only grants
keys to their present owners. It must not move keys until earlier leaders can
no longer renew grants; see `LeaderTerm.earlier_leaders_expired`.
"""

import enum
from typing import Annotated, Final, TypeAlias

import msgspec

from cassialever.decoding import decode_msgpack
from cassialever.errors import Failure
from cassialever.fleet.model import StoreRow, SuspectedMove
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.keys.assignments import MAX_FIRST_FENCE, MAX_GRANT_DURATION
from cassialever.platform import rows
from cassialever.types import (
    MS_PER_SECOND,
    Fence,
    RowVersion,
    Seconds,
    ServiceName,
)

LEASE_TABLE: Final = 'cassialever-lease'
LEASE_ROW: Final = 'lease'
RENEWAL_INTERVAL: Final[Seconds] = 0.5
#: A lease not renewed for this long may be taken over: three missed renewals.
STALE_AFTER: Final[Seconds] = 1.5
#: How long a leader may keep renewing grants after the store last confirmed
#: its lease; longer than outages of the store, which last up to 9 s.
AUTHORITY_TERM: Final[Seconds] = 12.0

#: The id of leaders that are not named, as of a lease that can't be read; no
#: daemon has it.
UNKNOWN_ID: Final = ''
#: Earlier leaders that a lease names; the rest count as one.
MAX_EARLIER_LEADERS: Final = 64

#: Latest time of the store's clock, as in its answers.
MAX_STORE_TIME: Final[Seconds] = rows.MAX_CLOCK_MS / MS_PER_SECOND

#: When leaders that named no target ended, if no grant of theirs is left.
NO_UNNAMED: Final[Seconds] = -MAX_STORE_TIME
#: The same of a lease whose holder may be one of them.
HOLDER_UNNAMED: Final[Seconds] = MAX_STORE_TIME

#: A transaction that only renews the lease.
EMPTY_TRANSACTION: Final = rows.Transaction((), ())


#: A time that compares with others, which NaN does not.
_StoreTime: TypeAlias = Annotated[
    Seconds, msgspec.Meta(ge=-MAX_STORE_TIME, le=MAX_STORE_TIME)
]


#: A fence that leaves room for higher ones.
_Fence: TypeAlias = Annotated[Fence, msgspec.Meta(ge=0, le=MAX_FIRST_FENCE)]


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The content of the lease row; times are by the store's clock.

    `authority_until_by_id` holds earlier leaders that may still renew grants,
    `suspected_moves` what this leader and earlier ones moved. Until
    `unnamed_until` earlier leaders may renew grants by calls that name no
    target; its default is that of builds without the field. The key maps of
    `mapped_services` may be stored; without the field any may be. While
    `are_owners_in_doubt` is set, grants may be in force that no stored key map
    names. Fences from `min_fence` on are above those of earlier terms, and of
    this one at its last renewal. The last such doubt began at `doubted_at`;
    `is_doubt_dated` tells that no lease of a build without the field was
    between, which counts from its own takeover.
    """

    instance_id: str
    incarnation: int
    renewed_at: _StoreTime
    is_resigned: bool = False
    authority_until_by_id: dict[str, _StoreTime] = {}
    suspected_moves: tuple[SuspectedMove, ...] = ()
    unnamed_until: _StoreTime = HOLDER_UNNAMED
    mapped_services: tuple[ServiceName, ...] | None = None
    are_owners_in_doubt: bool = False
    min_fence: _Fence = Fence(0)
    doubted_at: _StoreTime = NO_UNNAMED
    is_doubt_dated: bool = False


class LeaseState(enum.Enum):
    """The state of a lease that a daemon takes over."""

    absent = 'absent'
    resigned = 'resigned'
    #: That of an earlier process of the same daemon.
    earlier_process = 'earlier process'
    lapsed = 'lapsed'


def state_of(lease: Lease | None, own_id: str) -> LeaseState:
    """Return the state of a lease that a daemon takes over.

    One that can't be read counts as absent.
    """
    if lease is None:
        return LeaseState.absent
    if lease.is_resigned:
        return LeaseState.resigned
    if lease.instance_id == own_id:
        return LeaseState.earlier_process
    return LeaseState.lapsed


def find_lease(
    store_rows: tuple[StoreRow, ...],
) -> tuple[Lease | None, RowVersion]:
    """Return the lease found in the rows, and its row version."""
    row = _find(store_rows, LEASE_TABLE, LEASE_ROW)
    if row is None or row.content is None:
        return None, RowVersion(0)
    lease = decode_msgpack(row.content, Lease)
    # An unreadable lease is treated as not held.
    return None if isinstance(lease, Failure) else lease, row.version


def leader_version(store_rows: tuple[StoreRow, ...]) -> RowVersion:
    """Return the version of the leader's row; 0 if it does not exist."""
    row = _find(store_rows, OWN_TABLE, LEADER_ROW)
    if row is None or row.content is None:
        return RowVersion(0)
    return row.version


def find_leadership(
    store_rows: tuple[StoreRow, ...],
) -> tuple[Leadership | None, RowVersion]:
    """Return what the leader's row names, if it can be read, and its version.

    The version is 0 if the row does not exist.
    """
    row = _find(store_rows, OWN_TABLE, LEADER_ROW)
    if row is None or row.content is None:
        return None, RowVersion(0)
    leadership = decode_msgpack(row.content, Leadership)
    return None if isinstance(leadership, Failure) else leadership, row.version


def opens_in(
    lease: Lease | None,
    store_time: Seconds,
    unchanged_for: Seconds,
) -> Seconds:
    """Return when a daemon without a link to the leader may replace it.

    That is in so many seconds, or since then if negative. A row that has not
    changed for `unchanged_for` was not renewed meanwhile, whatever renewal
    time it has.
    """
    if lease is None:
        return -STALE_AFTER
    age = max(store_time - lease.renewed_at, unchanged_for)
    return -age if lease.is_resigned else STALE_AFTER - age


def earlier_leaders(
    lease: Lease | None,
    version: RowVersion,
    own_id: str,
    store_time: Seconds,
) -> dict[str, Seconds]:
    """Return until when each earlier leader may still renew grants.

    The daemon that takes over is left out: its earlier process has ended. A
    lease that can't be read may be that of a leader; `version` is its row's.
    """
    latest = store_time + AUTHORITY_TERM
    if lease is None:
        return {UNKNOWN_ID: latest} if version else {}
    until_by_id = dict(lease.authority_until_by_id)
    until_by_id[lease.instance_id] = store_time
    if not lease.is_resigned:
        until_by_id[lease.instance_id] = lease.renewed_at + AUTHORITY_TERM
    until_by_id.pop(own_id, None)
    return _limit_leaders(
        {
            # The store confirmed each of them before this time.
            instance_id: min(until, latest)
            for instance_id, until in until_by_id.items()
            if until + MAX_GRANT_DURATION > store_time
        }
    )


def unnamed_until(
    lease: Lease | None,
    version: RowVersion,
    own_id: str,
    store_time: Seconds,
) -> Seconds:
    """Return until when leaders that name no target may renew grants.

    A holder of another build may be one, and so may all leaders before it.
    """
    if lease is None or lease.unnamed_until == HOLDER_UNNAMED:
        if lease is None and not version:
            return NO_UNNAMED
        earlier = earlier_leaders(lease, version, own_id, store_time)
        return max((store_time, *earlier.values()))
    if lease.unnamed_until + MAX_GRANT_DURATION <= store_time:
        return NO_UNNAMED
    return min(lease.unnamed_until, store_time + AUTHORITY_TERM)


def mapped_services(
    lease: Lease | None, version: RowVersion
) -> tuple[ServiceName, ...] | None:
    """Return the services whose key maps may be stored; None if any may be."""
    if lease is None:
        return None if version else ()
    return lease.mapped_services


def takeover_transaction(
    leadership: Leadership,
    lease: Lease,
    leader_version: RowVersion,
    lease_version: RowVersion,
) -> rows.Transaction:
    """Return the transaction that makes a daemon the leader."""
    return rows.Transaction(
        preconditions=(
            rows.Precondition(OWN_TABLE, LEADER_ROW, leader_version),
            rows.Precondition(LEASE_TABLE, LEASE_ROW, lease_version),
        ),
        writes=(
            rows.Write(
                OWN_TABLE, LEADER_ROW, msgspec.msgpack.encode(leadership)
            ),
            rows.Write(LEASE_TABLE, LEASE_ROW, msgspec.msgpack.encode(lease)),
        ),
    )


def with_renewal(
    transaction: rows.Transaction,
    lease: Lease,
    version: RowVersion,
) -> rows.Transaction:
    """Return the transaction extended by a renewal or release of the lease."""
    return rows.Transaction(
        preconditions=(
            *transaction.preconditions,
            rows.Precondition(LEASE_TABLE, LEASE_ROW, version),
        ),
        writes=(
            *transaction.writes,
            rows.Write(LEASE_TABLE, LEASE_ROW, msgspec.msgpack.encode(lease)),
        ),
    )


def release_transaction(
    lease: Lease, version: RowVersion, store_time: Seconds
) -> rows.Transaction:
    """Return the transaction that gives up a lease under which none led."""
    released = msgspec.structs.replace(
        lease, renewed_at=store_time, is_resigned=True
    )
    return with_renewal(EMPTY_TRANSACTION, released, version)


def _find(
    store_rows: tuple[StoreRow, ...], table: str, name: str
) -> StoreRow | None:
    for row in store_rows:
        if row.table == table and row.name == name:
            return row
    return None


def _limit_leaders(until_by_id: dict[str, Seconds]) -> dict[str, Seconds]:
    """Return the leaders, of which those that expire first count as one."""
    if len(until_by_id) <= MAX_EARLIER_LEADERS:
        return until_by_id
    ordered = sorted(until_by_id, key=until_by_id.__getitem__, reverse=True)
    limited = {
        instance_id: until_by_id[instance_id]
        for instance_id in ordered[:MAX_EARLIER_LEADERS]
    }
    latest_left_out = until_by_id[ordered[MAX_EARLIER_LEADERS]]
    limited.setdefault(UNKNOWN_ID, latest_left_out)
    return limited
