"""Settings of one daemon: typed, read from JSON with comments."""

import enum
from collections.abc import Iterator
from typing import Annotated, TypeAlias

import msgspec

from cassialever.decoding import Decoding, decode
from cassialever.documents import Fault
from cassialever.formats import (
    NAME,
    Amount,
    BaseUrl,
    ByteCount,
    Count,
    Delay,
    Duration,
    IpAddress,
    OptionalUrl,
    Port,
    Secret,
    Share,
)
from cassialever.nodes import Path
from cassialever.types import DataCentreId, InstanceId


class LogLevel(enum.Enum):
    """The lowest level of event that is logged."""

    debug = 'DEBUG'
    info = 'INFO'
    notice = 'NOTICE'
    warning = 'WARNING'
    error = 'ERROR'
    critical = 'CRITICAL'


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What each part of the settings has in common."""


class InstanceSettings(_Section, frozen=True, kw_only=True):
    """Who this daemon is and where it listens; `address` is an IP number."""

    instance_id: Annotated[InstanceId, NAME] = msgspec.field(name='id')
    data_centre: Annotated[DataCentreId, NAME]
    address: IpAddress
    rack: str = ''
    caller_port: Port = 8080
    peer_port: Port = 8081
    operator_port: Port = 8082


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """Where the platform's services are, as base URLs by IP number."""

    table_url: BaseUrl
    instances_url: BaseUrl
    timeout_seconds: Duration = 1
    reads_per_second: Count = 50
    writes_per_second: Count = 20
    resolve_seconds: Duration = 3
    shortest_backoff_seconds: Duration = 0.1
    longest_backoff_seconds: Duration = 2
    unresolved_changes: Count = 1_000


class SecuritySettings(_Section, frozen=True, kw_only=True):
    """Secrets; none of them is ever printed."""

    fleet_key: Secret
    operator_credential: Secret


class LeaseSettings(_Section, frozen=True):
    """Terms of leases, in seconds; their sum is in docs/design/ownership.

    `table_renewal` is how often a coordinator writes its row while its
    successor's promises hold; `third_wait` how long the row has to be seen
    unchanged before a daemon that it does not name may take over.
    """

    coordinator_term: Duration = 0.5
    coordinator_renewal: Duration = 0.15
    table_renewal: Duration = 0.6
    third_wait: Duration = 1.1
    target_term: Duration = 0.9
    heartbeat: Duration = 0.25
    grant_term: Duration = 0.9
    drift_share: Share = 0.02


class LinkSettings(_Section, frozen=True):
    """Links between daemons: times in seconds, sizes in bytes."""

    ping_interval: Duration = 0.25
    silent_after: Duration = 0.75
    connect_timeout: Duration = 0.5
    window_bytes: ByteCount = 262_144
    frame_bytes: ByteCount = 65_536
    message_bytes: ByteCount = 4_194_304
    reconnect_first: Duration = 0.05
    reconnect_longest: Duration = 1


class StopSettings(_Section, frozen=True):
    """How long a graceful stop may take, in seconds."""

    unready_for: Delay = 1
    longest: Delay = 30


class TelemetrySettings(_Section, frozen=True):
    """Exporters, all off by default; an empty URL is off."""

    otlp_url: OptionalUrl = ''
    log_level: LogLevel = LogLevel.notice
    log_json: bool = False
    decisions_kept: Amount = 4096


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one daemon."""

    instance: InstanceSettings
    platform: PlatformSettings
    security: SecuritySettings
    leases: LeaseSettings = LeaseSettings()
    links: LinkSettings = LinkSettings()
    stop: StopSettings = StopSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    random_seed: int | None = None


#: What one part of a check found wrong, and where.
_Finding: TypeAlias = tuple[Path, str]


def read_settings(text: str) -> Decoding[Settings] | list[Fault]:
    """Read settings and keep the document, to say where a value is from."""
    decoding = decode(text, Settings)
    if isinstance(decoding, list):
        return decoding
    document = decoding.document
    faults = [
        document.fault_at(path, sentence)
        for path, sentence in _findings(decoding.content)
    ]
    return sorted(faults) if faults else decoding


def load_settings(text: str) -> Settings | list[Fault]:
    """Read settings, or return every fault at once."""
    decoding = read_settings(text)
    if isinstance(decoding, list):
        return decoding
    return decoding.content


def _findings(settings: Settings) -> Iterator[_Finding]:
    yield from _port_findings(settings.instance)
    yield from _lease_findings(settings.leases)
    yield from _link_findings(settings.links)
    if settings.stop.unready_for > settings.stop.longest:
        yield (
            ('stop', 'unready_for'),
            'This is longer than "longest", the bound of the whole stop.',
        )


def _port_findings(instance: InstanceSettings) -> Iterator[_Finding]:
    name_by_port: dict[int, str] = {}
    for name in ('caller_port', 'peer_port', 'operator_port'):
        port: int = getattr(instance, name)
        if port and port in name_by_port:
            yield (
                ('instance', name),
                f'This is the same port as "{name_by_port[port]}".',
            )
        name_by_port[port] = name


def _lease_findings(leases: LeaseSettings) -> Iterator[_Finding]:
    if leases.coordinator_renewal >= leases.coordinator_term:
        yield (
            ('leases', 'coordinator_renewal'),
            'A lease has to be renewed before "coordinator_term" is over.',
        )
    if leases.heartbeat >= leases.target_term:
        yield (
            ('leases', 'heartbeat'),
            'A heartbeat has to come before "target_term" is over.',
        )


def _link_findings(links: LinkSettings) -> Iterator[_Finding]:
    if links.ping_interval >= links.silent_after:
        yield (
            ('links', 'ping_interval'),
            'A ping has to come before "silent_after" is over.',
        )
    if links.frame_bytes > links.window_bytes:
        yield (
            ('links', 'frame_bytes'),
            'One frame has to fit in "window_bytes".',
        )
