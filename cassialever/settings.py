"""Settings of one daemon: typed, read from JSON with comments."""

import msgspec

from cassialever.types import DataCentreId, InstanceId, Seconds


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What each part of the settings has in common."""


class InstanceSettings(_Section, frozen=True, kw_only=True):
    """Who this daemon is and where it listens; `address` is an IP number."""

    instance_id: InstanceId = msgspec.field(name='id')
    data_centre: DataCentreId
    address: str
    rack: str = ''
    caller_port: int = 8080
    peer_port: int = 8081
    operator_port: int = 8082


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """Where the platform's services are, as base URLs by IP number."""

    table_url: str
    instances_url: str
    timeout_seconds: Seconds = 1
    reads_per_second: int = 50
    writes_per_second: int = 20


class SecuritySettings(_Section, frozen=True, kw_only=True):
    """Secrets; none of them is ever printed."""

    fleet_key: str
    operator_credential: str


class LeaseSettings(_Section, frozen=True):
    """Terms of leases, in seconds; their sum is in docs/design/ownership.

    `table_renewal` is how often a coordinator writes its row while its
    successor's promises hold; `third_wait` how long the row has to be seen
    unchanged before a daemon that it does not name may take over.
    """

    coordinator_term: Seconds = 0.5
    coordinator_renewal: Seconds = 0.15
    table_renewal: Seconds = 5
    third_wait: Seconds = 12
    target_term: Seconds = 0.9
    heartbeat: Seconds = 0.25
    grant_term: Seconds = 0.9
    drift_share: float = 0.02


class LinkSettings(_Section, frozen=True):
    """Links between daemons: times in seconds, sizes in bytes."""

    ping_interval: Seconds = 0.25
    silent_after: Seconds = 0.75
    connect_timeout: Seconds = 0.5
    window_bytes: int = 262_144
    frame_bytes: int = 65_536


class StopSettings(_Section, frozen=True):
    """How long a graceful stop may take, in seconds."""

    unready_for: Seconds = 1
    longest: Seconds = 30


class TelemetrySettings(_Section, frozen=True):
    """Exporters, all off by default; an empty URL is off."""

    otlp_url: str = ''
    log_level: str = 'NOTICE'
    log_json: bool = False


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
