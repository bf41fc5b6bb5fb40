"""Write events to standard output, one JSON object a line.

A line is never waited for: the stream is set not to block, and a line that
does not fit is dropped and counted. Lines about single requests are held to
a rate, so that the volume stays bounded under overload.
"""

import os
import sys
import time
from typing import Any, Final

import logbook
import msgspec

#: Lines a second about single requests; with 200 bytes a line this stays
#: under the 11 KB/s that the stated target allows a daemon for control.
REQUEST_LINES_PER_SECOND: Final = 40
#: Events with these numbers are about single requests.
FIRST_REQUEST_EVENT: Final = 200
LAST_REQUEST_EVENT: Final = 299


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Write records as JSON lines without ever blocking."""

    def __init__(self, instance_id: str) -> None:
        """Take the name that each line bears."""
        super().__init__(level=logbook.INFO)
        self._instance_id = instance_id
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def emit(self, record: Any) -> None:
        """Write one record."""
        event_number = record.extra.get('event') or 0
        if _is_request_event(event_number) and not self._is_within_rate():
            self.dropped += 1
            return
        self._write(self._encode_line(record, event_number))

    def _is_within_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return self._lines_this_second <= REQUEST_LINES_PER_SECOND

    def _encode_line(self, record: Any, event_number: int) -> bytes:
        fields: dict[str, Any] = {
            'time': round(time.time(), 3),
            'instance': self._instance_id,
            'event': event_number,
            'name': record.extra.get('name') or record.message,
            **(record.extra.get('fields') or {}),
        }
        if self.dropped:
            fields['dropped_before'] = self.dropped
            self.dropped = 0
        return b'%s\n' % msgspec.json.encode(fields, enc_hook=str)

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except (BlockingIOError, BrokenPipeError):
            # The next line that is written tells how many are missing.
            self.dropped += 1


def _is_request_event(event_number: int) -> bool:
    return FIRST_REQUEST_EVENT <= event_number <= LAST_REQUEST_EVENT
