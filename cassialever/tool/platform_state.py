"""Read the state of a deployment from the platform's store."""

import msgspec

from cassialever.clock import SystemClock
from cassialever.errors import Failure
from cassialever.fleet.model import Configuration, KeyRange, Target
from cassialever.fleet.view import FleetView
from cassialever.platform.store import StoreClient
from cassialever.types import DataCentreId, RowVersion, ServiceName, TargetId


class PlatformState(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration, targets, leader and key owners in the store."""

    configuration: Configuration | None
    evacuated: tuple[DataCentreId, ...]
    targets: tuple[Target, ...]
    cold: frozenset[TargetId]
    leader: str
    owners_by_service: dict[ServiceName, tuple[KeyRange, ...]]
    version_by_table: dict[str, RowVersion]
    rejected: int


async def read_platform(address: str) -> PlatformState | Failure:
    """Read a snapshot of every table that daemons follow."""
    client = StoreClient(address)
    view = FleetView(SystemClock())
    await client.start()
    try:
        for table in view.tables:
            snapshot = await client.read_all(table)
            if isinstance(snapshot, Failure):
                return snapshot
            view.replace(table, snapshot.rows, snapshot.version)
    finally:
        await client.stop()
    return _platform_state(view)


def _platform_state(view: FleetView) -> PlatformState:
    targets = view.targets
    return PlatformState(
        configuration=view.configuration,
        evacuated=tuple(sorted(targets.evacuated)),
        targets=tuple(targets.by_id[name] for name in sorted(targets.by_id)),
        cold=frozenset(name for name in targets.by_id if targets.is_cold(name)),
        leader=view.leader_id,
        owners_by_service=view.owners(),
        version_by_table=dict(view.rows.version_by_table),
        rejected=view.rejected_count,
    )
