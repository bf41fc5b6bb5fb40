"""Configure logging as plain text or, by setting, as JSON lines.

No secret from the settings can reach the log: secrets are redacted in each
formatted line, whichever library logged it.
"""

import sys
from typing import Any, Final, TextIO

import logbook
import msgspec

from cassialever.settings import Settings
from cassialever.telemetry.stdlib_log import LibraryLogHandler
from cassialever.telemetry.structured_log import encode_json

REDACTED: Final = '[secret]'
_LINE_PREFIX: Final = '{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name}'


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of JSON output."""

    time: str
    level: str
    message: str
    instance: str
    event: int = 0
    fields: dict[str, Any] = {}


class Log:
    """The log of one process."""

    def __init__(self, settings: Settings, stream: TextIO = sys.stderr) -> None:
        """Create the handler; `start` installs it."""
        telemetry = settings.telemetry
        self._settings = settings
        self._stream_handler = logbook.StreamHandler(
            stream,
            level=logbook.lookup_level(telemetry.log_level.value),
        )
        self._stream_handler.formatter = self._format
        self._library_handler = LibraryLogHandler()

    def start(self) -> None:
        """Handle events and the records of other libraries."""
        self._stream_handler.push_application()
        self._library_handler.install()

    def stop(self) -> None:
        """Uninstall the handler."""
        self._library_handler.uninstall()
        self._stream_handler.pop_application()

    def _format(self, record: Any, _: logbook.Handler) -> str:
        if self._settings.telemetry.log_json:
            line = self._json_line(record)
        else:
            prefix = _LINE_PREFIX.format(record=record)
            line = f'{prefix} {record.message}'
        return redact_secrets(line, self._settings)

    def _json_line(self, record: Any) -> str:
        logged_at = record.time.isoformat()
        line = LogLine(
            time=logged_at,
            level=record.level_name,
            message=record.message,
            instance=self._settings.instance.instance_id,
            event=record.extra.get('event') or 0,
            fields=record.extra.get('fields') or {},
        )
        return encode_json(line).decode()


def redact_secrets(text: str, settings: Settings) -> str:
    """Replace the secrets of the settings in a text."""
    security = settings.security
    for secret in (security.fleet_key, security.operator_credential):
        if secret:
            text = text.replace(secret, REDACTED)
    return text
