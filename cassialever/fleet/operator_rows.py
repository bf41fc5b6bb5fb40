"""Apply what operators have configured in the store."""

from collections.abc import Callable, Sequence
from typing import Protocol

from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.model import Configuration, StoreRow
from cassialever.fleet.target_registry import TargetRegistry
from cassialever.platform import records


class ConfigurationSink(Protocol):
    """Receives the configuration and the limits on targets."""

    targets: TargetRegistry

    def apply_configuration(
        self, configuration: Configuration, *, is_later: bool = False
    ) -> bool:
        """Apply a configuration unless a later one is in force.

        Its version tells that, unless it `is_later` whatever its version is.
        """

    def reject(self, entry: str, reason: str) -> None:
        """Count and log an entry that can't be used."""


class OperatorRowHandler(Protocol):
    """Applies the rows of a table in which operators configure the router."""

    table: str

    def apply_row(self, row: StoreRow, sink: ConfigurationSink) -> bool:
        """Apply a changed row unless it can't be used; return whether it is."""


class PlatformRowHandler:
    """Applies the operators' table of the platform."""

    table = records.OPERATOR_TABLE

    def apply_row(self, row: StoreRow, sink: ConfigurationSink) -> bool:
        """Apply a configuration, or the evacuation of a data centre."""
        data_centre = records.evacuated_data_centre(row.name)
        if data_centre is not None:
            evacuated = sink.targets.evacuated
            if row.content is None:
                evacuated.discard(data_centre)
            else:
                evacuated.add(data_centre)
            record(
                Event.data_centre_changed,
                taken_out=sorted(evacuated),
                version=row.version,
            )
        if row.name == records.CONFIGURATION_ROW:
            if row.content is None:
                return False
            configuration = records.decode_configuration(row.content)
            if isinstance(configuration, Failure):
                sink.reject(row.name, configuration.reason)
                return False
            return sink.apply_configuration(configuration)
        return True


def apply_newest(
    rows: Sequence[StoreRow], apply: Callable[[StoreRow], bool]
) -> list[StoreRow]:
    """Apply operators' rows, of each name only the newest that can be used.

    A configuration takes long to decode, and several may come together.
    Returns the rows that were not superseded.
    """
    applied: set[str] = set()
    kept = []
    for row in reversed(rows):
        if row.name in applied:
            continue
        kept.append(row)
        if apply(row):
            applied.add(row.name)
    kept.reverse()
    return kept
