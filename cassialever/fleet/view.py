"""A daemon's view of its deployment, built from the store's rows.

Rows come from the store itself or from another daemon that follows it. A row
older than the current one is ignored, so the view never goes back in time,
unless a whole read of the store shows that the current one is not in it.
"""

import functools
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import msgspec

from cassialever.clock import SystemClock
from cassialever.decoding import decode_msgpack
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.connecting import is_address
from cassialever.fleet.entry_faults import EntryFaults
from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import (
    Configuration,
    KeyMap,
    KeyRange,
    Service,
    StoreRow,
)
from cassialever.fleet.operator_rows import (
    OperatorRowHandler,
    PlatformRowHandler,
    apply_newest,
)
from cassialever.fleet.row_replica import (
    NOT_WHOLE,
    UNCONFIRMED,
    RowReplica,
    WholeTable,
    removals_of_missing,
)
from cassialever.fleet.target_registry import TargetRegistry
from cassialever.gateway.routes import RouteTable
from cassialever.platform import records
from cassialever.types import RowVersion, Seconds, ServiceName, TargetId

#: The table with this project's own rows.
OWN_TABLE: Final = 'cassialever'
#: Prefix of the rows in that table that hold the owners of a service's keys.
KEY_MAP_PREFIX: Final = 'keys/'
#: Where rows come from that no other daemon has sent.
STORE: Final = 'the store'
#: The row that names the leader.
LEADER_ROW: Final = 'leader'

#: Key ranges as (first, last), both included.
KeySpans: TypeAlias = list[tuple[int, int]]
#: Called with a table, its rows that have changed, and its version.
ChangeHandler: TypeAlias = Callable[[str, list[StoreRow], RowVersion], None]


class Leadership(msgspec.Struct, frozen=True):
    """The daemon that leads; the row's version increases with each term."""

    instance_id: str
    address: str
    incarnation: int


class FleetView:
    """The configuration, targets and key owners that this daemon knows."""

    def __init__(
        self,
        clock: SystemClock,
        row_handler: OperatorRowHandler | None = None,
        target_host: str = '',
    ) -> None:
        """Start empty; by default operators' rows are the platform's.

        Unless `target_host` is empty, it replaces the host of all targets.
        """
        self._target_host = target_host
        self._row_handler = row_handler or PlatformRowHandler()
        #: All tables that are followed, the configuration's first.
        self.tables = (
            self._row_handler.table,
            records.TARGET_TABLE,
            OWN_TABLE,
        )
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.targets = TargetRegistry(clock)
        self.rows = RowReplica(clock, (OWN_TABLE,))
        self.rows.on_lost = functools.partial(_note_lost, self)
        self.leader: tuple[Leadership, RowVersion] | None = None
        self.keys_by_service: dict[ServiceName, KeyIndex] = {}
        #: Key ranges that are being moved to another owner.
        self.moving_by_service: dict[ServiceName, KeySpans] = {}
        self.on_change: ChangeHandler = ignore_changes
        #: Counts the entries that can't be used.
        self.faults = EntryFaults(clock)
        #: Where the rows that are being applied came from.
        self._source = STORE

    def replace(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
        source: str = STORE,
        began_at: Seconds | None = None,
    ) -> bool:
        """Replace a whole table; rows that are missing count as removed.

        What the store has goes before what is known of the same versions from
        elsewhere, unless that was learnt after the read `began_at` a time.
        Return False and change nothing if the table is older than the known
        one, unless such a read proves that false.
        """
        table_rows = list(rows)
        false_versions = self.rows.false_versions
        is_confirmed = source == STORE and (
            began_at is None or false_versions.is_conclusive(table, began_at)
        )
        confirmed = version if is_confirmed else UNCONFIRMED
        known = self.rows.version_by_table.get(table, UNCONFIRMED)
        if is_confirmed and began_at is not None:
            # What was known before it began has no later version.
            known = self.rows.highest_version(table)
        since = version
        if version < known:
            if source != STORE:
                self.rows.note_relayed(table, version)
                _note_lacking(self, table_rows)
            if not _disproves(self.rows, table, (version, known), began_at):
                return False
            # Rows may get the known versions once more.
            since = RowVersion(known + 1)
            # All of them were known before the read began.
            confirmed = known
        elif source == STORE:
            false_versions.note_confirmed(table)
        self.rows.forget_removals_of(table, table_rows, version)
        removals = removals_of_missing(self.rows, table, table_rows, version)
        lost = false_versions.told_losses.take(table)
        whole = WholeTable(removals, max(confirmed, lost))
        self.apply(table, table_rows, version, source, whole)
        self.rows.restart_history(table, version, since)
        return True

    def apply(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: RowVersion,
        source: str = STORE,
        whole: WholeTable = NOT_WHOLE,
    ) -> None:
        """Apply changed rows, or all, ignoring those that are not newer.

        The log names their `source`: the store or another daemon.
        """
        self._source = source
        if source != STORE:
            self.rows.note_relayed(table, version)
        changed = self.rows.apply(table, rows, version, whole)
        if changed:
            self.rows.newest_from = source
        if table == self._row_handler.table:
            changed = apply_newest(changed, self._apply_or_log)
        else:
            for row in changed:
                self._apply_or_log(row)
        if table == records.TARGET_TABLE:
            self.targets.regroup()
        self.on_change(table, changed, version)

    @property
    def tables_of_other_writers(self) -> tuple[str, ...]:
        """Return the tables that are not written by the leader."""
        return tuple(table for table in self.tables if table != OWN_TABLE)

    @property
    def rejected_count(self) -> int:
        """Return the number of entries that were invalid."""
        return self.faults.rejected_count

    @property
    def leader_id(self) -> str:
        """Return the leader's instance id; empty if no leader is known."""
        return self.leader[0].instance_id if self.leader else ''

    def owners(self) -> dict[ServiceName, tuple[KeyRange, ...]]:
        """Return every key range and its owner, by service."""
        return {
            service: index.key_map.ranges
            for service, index in self.keys_by_service.items()
        }

    def service(self, name: ServiceName) -> Service | None:
        """Return a service of the current configuration."""
        if self.configuration is None:
            return None
        return self.configuration.service_by_name.get(name)

    def set_moving(
        self,
        service: ServiceName,
        ranges: list[tuple[int, int]],
    ) -> None:
        """Record which keys of a service are being moved."""
        self.moving_by_service[service] = ranges

    def is_moving(self, service: ServiceName, key: int) -> bool:
        """Return whether a key is being moved to another owner."""
        return any(
            first <= key <= last
            for first, last in self.moving_by_service.get(service, ())
        )

    def has_moving_keys(self) -> bool:
        """Return whether any key is being moved to another owner."""
        return any(self.moving_by_service.values())

    def apply_configuration(
        self, configuration: Configuration, *, is_later: bool = False
    ) -> bool:
        """Apply a configuration unless a later one is in force.

        Its version tells that, unless it `is_later` whatever its version is.
        """
        current = self.configuration
        is_lower = current and configuration.version < current.version
        if is_lower and not is_later:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        record(
            Event.catalogue_adopted,
            version=configuration.version,
            learned_from=self._source,
        )
        return True

    def reject(self, entry: str, reason: str) -> None:
        """Count and log an entry that can't be used."""
        self.faults.note_rejected(entry, reason)

    def _apply_or_log(self, row: StoreRow) -> bool:
        """Apply a row; a fault of the program costs no other row.

        A target whose entry meets one gets no requests.
        """
        try:
            return self._apply_row(row)
        except Exception as error:
            self.faults.note_failed(row.name, error)
            if row.table == records.TARGET_TABLE:
                self.targets.remove(TargetId(row.name))
            return False

    def _apply_row(self, row: StoreRow) -> bool:
        if row.table == self._row_handler.table:
            return self._row_handler.apply_row(row, self)
        if row.table == records.TARGET_TABLE:
            self._apply_target(row)
        elif row.table == OWN_TABLE:
            _apply_own_row(row, self)
        return True

    def _apply_target(self, row: StoreRow) -> None:
        target_id = TargetId(row.name)
        if row.content is None:
            if self.targets.remove(target_id):
                record(
                    Event.target_gone,
                    target=target_id,
                    version=row.version,
                    learned_from=self._source,
                )
            return
        target = records.decode_target(row.name, row.content, self._target_host)
        if isinstance(target, Failure):
            self.reject(row.name, target.reason)
            self.targets.remove(target_id)
            return
        self.targets.put(target)
        record(
            Event.target_seen,
            target=target_id,
            service=target.service,
            address=target.address,
            state=target.state.value,
            started_at=target.started_at,
            cold_for=target.cold_for,
            version=row.version,
            learned_from=self._source,
        )


def key_map_service(row: StoreRow) -> ServiceName | None:
    """Return the service whose key map a row contains, if it contains one."""
    is_key_map = row.table == OWN_TABLE and row.name.startswith(KEY_MAP_PREFIX)
    if row.content is None or not is_key_map:
        return None
    return ServiceName(row.name.removeprefix(KEY_MAP_PREFIX))


def ignore_changes(
    table: str, rows: list[StoreRow], version: RowVersion
) -> None:
    """Ignore changes; the default until a handler is set."""


def _note_lost(view: FleetView, lost: StoreRow, version: RowVersion) -> None:
    """Note that the store has lost a row of leaders, and what it has."""
    leader_id = ''
    if lost.name == LEADER_ROW and lost.content is not None:
        leadership = _decode_leadership(lost.content)
        if not isinstance(leadership, Failure):
            leader_id = leadership.instance_id
    view.rows.lost_writes.note(lost, version, leader_id)


def _note_lacking(view: FleetView, rows: Iterable[StoreRow]) -> None:
    """Note the rows of an older table that a newer one has earlier."""
    for row in rows:
        known = view.rows.by_table_and_name.get((row.table, row.name))
        if row.table != OWN_TABLE or known is None:
            continue
        if known.version <= row.version and known.content != row.content:
            _note_lost(view, row, known.version)


def _disproves(
    replica: RowReplica,
    table: str,
    versions: tuple[RowVersion, RowVersion],
    began_at: Seconds | None,
) -> bool:
    """Forget the known version of a table if an older read denies it.

    `versions` are that of the read and the known one.
    """
    version, known = versions
    if began_at is None or not replica.false_versions.disproves(
        table, version, began_at
    ):
        return False
    record(
        Event.version_disproved,
        table=table,
        version=version,
        known=known,
        learned_from=replica.newest_from,
    )
    replica.forget_version(table)
    return True


def _apply_own_row(row: StoreRow, view: FleetView) -> None:
    if row.content is None:
        return
    service = key_map_service(row)
    if row.name == LEADER_ROW:
        leadership = _decode_leadership(row.content)
        if isinstance(leadership, Failure):
            view.reject(row.name, leadership.reason)
            return
        view.leader = (leadership, row.version)
    if service is not None:
        key_map = _decode_key_map(row.content, service)
        if isinstance(key_map, Failure):
            view.reject(row.name, key_map.reason)
            return
        view.keys_by_service[service] = KeyIndex(key_map, row.version)


def _decode_leadership(content: bytes) -> Leadership | Failure:
    leadership = decode_msgpack(content, Leadership)
    if isinstance(leadership, Failure) or is_address(leadership.address):
        return leadership
    return Failure(ErrorKind.catalogue_invalid, 'the leader has no address')


def _decode_key_map(content: bytes, service: ServiceName) -> KeyMap | Failure:
    key_map = decode_msgpack(content, KeyMap)
    if isinstance(key_map, Failure):
        return key_map
    if key_map.service != service or not key_map.is_ordered:
        return Failure(
            ErrorKind.catalogue_invalid,
            'the keys are of another service, or not in order',
        )
    return key_map
