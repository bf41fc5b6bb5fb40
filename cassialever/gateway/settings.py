"""The settings of one daemon on the platform, from JSON with comments."""

import os
from pathlib import Path
from typing import Annotated, Final

import json5
import msgspec

from cassialever.decoding import attempt
from cassialever.errors import Failure
from cassialever.exceptions import SettingsError
from cassialever.platform.entry_limits import DEFAULT_ROW_BYTES
from cassialever.policy.quotas import QuotaTerms
from cassialever.types import DataCentreId, InstanceId, Seconds

#: The environment variable with the path of the settings file.
PATH_VARIABLE: Final = 'CASSIALEVER_SETTINGS'
#: Smallest rows of a store that can keep what a daemon writes, in bytes.
MIN_ROW_BYTES: Final = 4096
#: The port for requests that are passed on, counted from the internal port.
HOP_PORT_OFFSET: Final = 2


class InstanceSettings(msgspec.Struct, frozen=True):
    """The identity of this daemon and the resources of its machine.

    Resources of 0 are unknown.
    """

    instance_id: InstanceId
    data_centre: DataCentreId
    address: str
    memory_mb: float = 0
    link_mbps: float = 0
    #: Host at which this daemon reaches all targets, in place of those in
    #: their entries; empty to use theirs. It gives each daemon on a test
    #: system a path of its own to the targets.
    target_host: str = ''
    cores: float = 0
    #: Descriptors that this process may open.
    max_descriptors: int = 0


class ListenSettings(msgspec.Struct, frozen=True):
    """The addresses on which this daemon listens.

    Links between daemons use `internal_port`, the metrics the port above it,
    and requests that are passed on the one above that.
    """

    callers: str
    readiness: str
    internal_port: int


class Bounds(msgspec.Struct, frozen=True):
    """The platform's limits; each name ends with the unit, if it has one."""

    grace_s: Seconds
    retry_ratio: float
    retry_window_s: Seconds
    retry_allowance: float
    hold_max_ms: float
    #: The limits of customers, over all daemons: in any window of this length
    #: the requests admitted may pass a limit by this share and this number.
    quota_window_s: Seconds = 5.0
    quota_overshoot: float = 0
    quota_allowance: float = 0

    @property
    def quota_terms(self) -> QuotaTerms:
        """Return by how much requests may pass the limit of a customer."""
        return QuotaTerms(
            self.quota_window_s, self.quota_overshoot, self.quota_allowance
        )


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    store: str
    bounds: Bounds
    seeds: tuple[str, ...] = ()
    #: Shared key with which daemons authenticate to each other; if it is
    #: empty, they don't.
    fleet_key: str = ''
    #: Size of the store's rows.
    store_row_bytes: Annotated[int, msgspec.Meta(ge=MIN_ROW_BYTES)] = (
        DEFAULT_ROW_BYTES
    )
    #: Whether daemons share the slots of contended targets by places.
    share_slots: bool = False

    @property
    def internal_address(self) -> str:
        """Return the address at which other daemons reach this one."""
        return f'{self.instance.address}:{self.listen.internal_port}'

    @property
    def hop_address(self) -> str:
        """Return the address at which other daemons pass requests on."""
        return hop_address(self.internal_address)

    @property
    def metrics_port(self) -> int:
        """Return the port that serves the metrics."""
        return self.listen.internal_port + 1


def hop_address(internal_address: str) -> str:
    """Return the address at which a daemon is passed requests on.

    `internal_address` is that of its links with other daemons.
    """
    host, port = internal_address.rsplit(':', 1)
    # Port 0 selects any free port.
    hop_port = int(port) + HOP_PORT_OFFSET if int(port) else 0
    return f'{host}:{hop_port}'


def load_settings() -> GatewaySettings:
    """Read the settings file that the environment variable points to.

    Raises SettingsError with the reason if it can't be used.
    """
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        raise SettingsError(f'{PATH_VARIABLE} is not set')
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'settings file {path}: {error}') from error
    return parse_settings(text)


def parse_settings(text: str) -> GatewaySettings:
    """Parse and validate the text of a settings file."""
    settings = attempt(
        lambda: msgspec.convert(json5.loads(text), GatewaySettings)
    )
    if isinstance(settings, Failure):
        raise SettingsError(f'invalid settings: {settings.reason}')
    return settings
