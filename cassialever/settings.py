"""The settings of a daemon, read from JSON with comments."""

import enum
from collections.abc import Iterator
from typing import Annotated, TypeAlias
from urllib.parse import urlsplit

import msgspec

from cassialever.documents.decoding import DecodedDocument, decode
from cassialever.documents.document import Fault
from cassialever.documents.formats import (
    NAME,
    BaseUrl,
    IpAddress,
    IpAndPort,
    NonNegativeInt,
    NonNegativeSeconds,
    OptionalUrl,
    Port,
    Secret,
)
from cassialever.documents.nodes import Path
from cassialever.types import DataCentreId, InstanceId


class LogLevel(enum.Enum):
    """The lowest level that is logged."""

    debug = 'DEBUG'
    info = 'INFO'
    notice = 'NOTICE'
    warning = 'WARNING'
    error = 'ERROR'
    critical = 'CRITICAL'


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections; unknown fields are errors."""


class InstanceSettings(_Section, frozen=True, kw_only=True):
    """The daemon's identity and listeners; `address` is an IP address."""

    instance_id: Annotated[InstanceId, NAME] = msgspec.field(name='id')
    data_centre: Annotated[DataCentreId, NAME]
    address: IpAddress
    rack: str = ''
    caller_port: Port = 8080
    peer_port: Port = 8081
    operator_port: Port = 8082


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """The platform's store, and peers to ask while it is unreachable.

    `seeds` are the IP addresses and peer ports of other daemons.
    """

    table_url: BaseUrl
    seeds: tuple[IpAndPort, ...] = ()


class SecuritySettings(_Section, frozen=True, kw_only=True):
    """Secrets, which are never printed."""

    fleet_key: Secret
    operator_credential: Secret


class StopSettings(_Section, frozen=True):
    """Bounds of a graceful stop, in seconds.

    `unready_for` is how long the daemon reports that it is not ready before
    it refuses new requests; `longest` bounds the wait for requests in
    progress.
    """

    unready_for: NonNegativeSeconds = 1
    longest: NonNegativeSeconds = 30


class TelemetrySettings(_Section, frozen=True):
    """OTLP export, logging and the size of the decision log.

    An empty `otlp_url` disables the export of metrics and traces.
    """

    otlp_url: OptionalUrl = ''
    log_level: LogLevel = LogLevel.notice
    log_json: bool = False
    decisions_kept: NonNegativeInt = 4096


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one daemon."""

    instance: InstanceSettings
    platform: PlatformSettings
    security: SecuritySettings
    stop: StopSettings = StopSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    random_seed: int | None = None


def store_address(settings: Settings) -> str:
    """Return the host and port of the platform's store."""
    return urlsplit(settings.platform.table_url).netloc


#: Where a value violates a rule, and the message.
_PathFault: TypeAlias = tuple[Path, str]


def decode_settings(text: str) -> DecodedDocument[Settings] | list[Fault]:
    """Decode settings and keep the document, to locate each value."""
    decoding = decode(text, Settings)
    if isinstance(decoding, list):
        return decoding
    document = decoding.document
    faults = [
        document.fault_at_path(path, sentence)
        for path, sentence in _cross_field_faults(decoding.content)
    ]
    return sorted(faults) if faults else decoding


def load_settings(text: str) -> Settings | list[Fault]:
    """Decode settings, or return all their faults."""
    decoding = decode_settings(text)
    if isinstance(decoding, list):
        return decoding
    return decoding.content


def _cross_field_faults(settings: Settings) -> Iterator[_PathFault]:
    yield from _port_faults(settings.instance)
    if settings.stop.unready_for > settings.stop.longest:
        yield (
            ('stop', 'unready_for'),
            'This must not exceed "longest", the limit of the whole stop.',
        )


def _port_faults(instance: InstanceSettings) -> Iterator[_PathFault]:
    name_by_port: dict[int, str] = {}
    for name in ('caller_port', 'peer_port', 'operator_port'):
        port: int = getattr(instance, name)
        if port and port in name_by_port:
            yield (
                ('instance', name),
                f'This is the same port as "{name_by_port[port]}".',
            )
        name_by_port[port] = name
