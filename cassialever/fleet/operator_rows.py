"""Take in what operators have set on the platform."""

from typing import Protocol

from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.model import Configuration, StoreRow
from cassialever.fleet.target_registry import TargetRegistry
from cassialever.platform import records


class ConfigurationSink(Protocol):
    """What takes a configuration and its limits of targets in force."""

    targets: TargetRegistry

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Take a configuration, unless a later one is in force."""

    def reject(self, entry: str, reason: str) -> None:
        """Count and log an entry that can't be used."""


class OperatorRows(Protocol):
    """A table in which operators say what is to be served, and how."""

    table: str

    def adopt(self, row: StoreRow, sink: ConfigurationSink) -> None:
        """Take in a row that changed."""


class PlatformRows:
    """The operators' table of the platform."""

    table = records.OPERATOR_TABLE

    def adopt(self, row: StoreRow, sink: ConfigurationSink) -> None:
        """Take in a configuration, or a data centre taken out or back."""
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
        if row.name == records.CONFIGURATION_ROW and row.content is not None:
            found = records.decode_configuration(row.content)
            if isinstance(found, Failure):
                sink.reject(row.name, found.reason)
                return
            sink.apply_configuration(found)
