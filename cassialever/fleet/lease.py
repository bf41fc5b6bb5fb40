"""The leader's lease: a row in the store that the leader keeps renewing.

A takeover is safe at any time, because a new leader at first only grants
keys to their present owners. It must not move keys until earlier leaders can
no longer renew grants; see `LeaderTerm.earlier_leaders_expired`.
"""

from typing import Annotated, Final, TypeAlias

import msgspec

from cassialever.decoding import decode_msgpack
from cassialever.errors import Failure
from cassialever.fleet.model import StoreRow, SuspectedMove
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.platform import rows
from cassialever.types import MS_PER_SECOND, RowVersion, Seconds

LEASE_TABLE: Final = 'cassialever-lease'
LEASE_ROW: Final = 'lease'
RENEWAL_INTERVAL: Final[Seconds] = 0.5
#: A lease not renewed for this long may be taken over: three missed renewals.
STALE_AFTER: Final[Seconds] = 1.5
#: How long a leader may keep renewing grants after the store last confirmed
#: its lease; longer than outages of the store, which last up to 9 s.
AUTHORITY_TERM: Final[Seconds] = 12.0

#: The id of the leader whose lease can't be read; no daemon has it.
UNKNOWN_ID: Final = ''

#: Latest time of the store's clock, as in its answers.
MAX_STORE_TIME: Final[Seconds] = rows.MAX_CLOCK_MS / MS_PER_SECOND

#: A transaction that only renews the lease.
EMPTY_TRANSACTION: Final = rows.Transaction((), ())


#: A time that compares with others, which NaN does not.
_StoreTime: TypeAlias = Annotated[
    Seconds, msgspec.Meta(ge=-MAX_STORE_TIME, le=MAX_STORE_TIME)
]


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The content of the lease row; times are by the store's clock.

    `authority_until_by_id` holds earlier leaders that may still renew grants,
    `suspected_moves` what this leader and earlier ones moved.
    """

    instance_id: str
    incarnation: int
    renewed_at: _StoreTime
    is_resigned: bool = False
    authority_until_by_id: dict[str, _StoreTime] = {}
    suspected_moves: tuple[SuspectedMove, ...] = ()


def find_lease(
    store_rows: tuple[StoreRow, ...],
) -> tuple[Lease | None, RowVersion]:
    """Return the lease found in the rows, and its row version."""
    for row in store_rows:
        if row.table != LEASE_TABLE or row.name != LEASE_ROW:
            continue
        if row.content is None:
            return None, RowVersion(0)
        lease = decode_msgpack(row.content, Lease)
        # An unreadable lease is treated as not held.
        return None if isinstance(lease, Failure) else lease, row.version
    return None, RowVersion(0)


def may_take_over(lease: Lease | None, store_time: Seconds) -> bool:
    """Return whether a daemon without a link to the leader may replace it."""
    if lease is None or lease.is_resigned:
        return True
    return store_time - lease.renewed_at > STALE_AFTER


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
    if lease is None:
        return {UNKNOWN_ID: store_time + AUTHORITY_TERM} if version else {}
    until_by_id = dict(lease.authority_until_by_id)
    until_by_id[lease.instance_id] = store_time
    if not lease.is_resigned:
        until_by_id[lease.instance_id] = lease.renewed_at + AUTHORITY_TERM
    until_by_id.pop(own_id, None)
    return until_by_id


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
