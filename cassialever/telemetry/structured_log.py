"""Write events to standard output as JSON lines.

Writing never blocks the daemon: standard output is set to non-blocking, and a
line that does not fit is dropped and counted. Lines about single requests are
rate limited, so that the volume stays bounded under overload.
"""

import json
import os
import sys
import time
from typing import Any, Final

import logbook
import msgspec

#: Limit of lines about single requests. At 200 bytes each they stay under
#: 11 KB/s, the stated goal for the control traffic of a daemon.
REQUEST_LINES_PER_SECOND: Final = 40
#: Longest text of a field, in characters. A reason may hold what a peer sent,
#: such as the head of its answer.
MAX_TEXT_LENGTH: Final = 4096
#: Range of the numbers of events about single requests.
FIRST_REQUEST_EVENT: Final = 200
LAST_REQUEST_EVENT: Final = 299


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Write log records as JSON lines without blocking."""

    def __init__(self, instance_id: str) -> None:
        """Set standard output to non-blocking."""
        super().__init__(level=logbook.INFO)
        self._instance_id = instance_id
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def emit(self, record: Any) -> None:
        """Write one record, or drop it if it is over the rate limit."""
        event_number = record.extra.get('event') or 0
        if _is_request_event(event_number) and not self._is_within_rate():
            self.dropped += 1
            return
        self._write(self._encode_line(record, event_number))

    def _is_within_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return self._lines_this_second <= REQUEST_LINES_PER_SECOND

    def _encode_line(self, record: Any, event_number: int) -> bytes:
        fields: dict[str, Any] = {
            'time': round(time.time(), 3),
            'instance': self._instance_id,
            'event': event_number,
            'name': record.extra.get('name') or record.message,
            **_shortened(record.extra.get('fields') or {}),
        }
        if self.dropped:
            fields['dropped_before'] = self.dropped
            self.dropped = 0
        return b'%s\n' % encode_json(fields)

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except (BlockingIOError, BrokenPipeError):
            # The next line written has the count in `dropped_before`.
            self.dropped += 1


def encode_json(fields: Any) -> bytes:
    """Encode the fields of a line; other types are written as texts.

    Headers whose bytes are no text hold surrogates, which JSON can't have.
    """
    try:
        return msgspec.json.encode(fields, enc_hook=str)
    except UnicodeEncodeError:
        plain = msgspec.to_builtins(fields, enc_hook=str, str_keys=True)
        text = json.dumps(plain, ensure_ascii=False)
        return text.encode(errors='replace')


def _is_request_event(event_number: int) -> bool:
    return FIRST_REQUEST_EVENT <= event_number <= LAST_REQUEST_EVENT


def _shortened(fields: dict[str, Any]) -> dict[str, Any]:
    """Return fields whose texts are cut at MAX_TEXT_LENGTH."""
    return {
        name: field[:MAX_TEXT_LENGTH] if isinstance(field, str) else field
        for name, field in fields.items()
    }
