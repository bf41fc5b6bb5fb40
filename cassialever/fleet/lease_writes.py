"""Write transactions that hold the lease, and read back unanswered ones.

The store may perform a transaction and lose its answer. The lease is part of
the transaction and differs each time, so that its row tells.
"""

import asyncio
from typing import Final, TypeAlias

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import lease as leases
from cassialever.platform import rows
from cassialever.platform.store import StoreClient
from cassialever.types import Seconds

#: Time without an answer after which the lease is read; a slow store answers
#: sooner.
READ_BACK_DELAY: Final[Seconds] = 0.5

#: Times that a release is sent, if a late renewal comes before it.
MAX_RELEASES: Final = 3

_Outcome: TypeAlias = rows.Committed | rows.Conflict | Failure


async def commit_lease(
    store: StoreClient, transaction: rows.Transaction, lease: leases.Lease
) -> _Outcome:
    """Commit a transaction that writes a lease.

    It counts as committed if it was answered, or if the store has the lease.
    One that fails with `table_answer_lost` may still be performed.
    """
    call = asyncio.create_task(store.commit(transaction))
    try:
        answer = await _answer_or_none(call)
        if answer is None:
            answer = await _read_meanwhile(store, lease, call) or await call
    finally:
        call.cancel()
    if not isinstance(answer, Failure):
        return answer
    if answer.kind is not ErrorKind.table_answer_lost:
        return answer
    return await _read_back(store, lease) or answer


async def release_lease(store: StoreClient, lease: leases.Lease) -> None:
    """Release a lease if its process still holds it, in any renewal.

    It is read first, so that the release expects the row as it is and leaves
    the lease of another daemon alone.
    """
    for _ in range(MAX_RELEASES):
        table = await store.read(leases.LEASE_TABLE)
        if isinstance(table, Failure):
            return
        stored, version = leases.find_lease(table.rows)
        if stored is None or stored.is_resigned:
            return
        holder = (stored.instance_id, stored.incarnation)
        if holder != (lease.instance_id, lease.incarnation):
            return
        answer = await store.commit(
            leases.release_transaction(stored, version, table.store_time)
        )
        if not isinstance(answer, rows.Conflict):
            return


async def _answer_or_none(call: asyncio.Task[_Outcome]) -> _Outcome | None:
    """Return the answer to a call, or `None` if it does not come soon."""
    done, _ = await asyncio.wait((call,), timeout=READ_BACK_DELAY)
    return call.result() if done else None


async def _read_meanwhile(
    store: StoreClient, lease: leases.Lease, call: asyncio.Task[_Outcome]
) -> rows.Committed | None:
    """Read the lease back, unless the call is answered before."""
    reading = asyncio.create_task(_read_back(store, lease))
    try:
        await asyncio.wait((call, reading), return_when=asyncio.FIRST_COMPLETED)
        return None if call.done() else reading.result()
    finally:
        reading.cancel()


async def _read_back(
    store: StoreClient, lease: leases.Lease
) -> rows.Committed | None:
    """Return the version with which the store has a lease, if it has it."""
    table = await store.read(leases.LEASE_TABLE)
    if isinstance(table, Failure):
        return None
    stored, version = leases.find_lease(table.rows)
    if stored != lease:
        return None
    return rows.Committed(version, table.store_time)
