"""Read the log lines of daemons.

They are the output of `telemetry.structured_log` of any number of daemons.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeAlias

import msgspec

from cassialever.decoding import decode_json
from cassialever.errors import Failure
from cassialever.types import Seconds

Fields: TypeAlias = Mapping[str, Any]


class EventLine(msgspec.Struct, frozen=True):
    """A line of a daemon's log, with the name of its event."""

    time: Seconds
    instance: str
    name: str
    fields: Fields


class TimelineStep(msgspec.Struct, frozen=True):
    """An event, described in a sentence."""

    time: Seconds
    instance: str
    sentence: str


def read_lines(log_lines: Iterable[str]) -> Iterator[EventLine | None]:
    """Parse log lines; yield `None` for each one that is not JSON."""
    for line in log_lines:
        # Log collectors put a prefix before the JSON object.
        start = line.find('{')
        text = line[max(start, 0) :]
        fields = decode_json(text, dict)
        header = decode_json(text, _LineHeader)
        if isinstance(fields, Failure) or isinstance(header, Failure):
            yield None
            continue
        if header.name:
            yield EventLine(header.time, header.instance, header.name, fields)


def line_time(line: EventLine) -> Seconds:
    """Return the time of a line, to sort by it."""
    return line.time


def fill_in(template: str, fields: Fields) -> str:
    """Fill fields into a template; a missing one reads as a question mark."""
    return template.format_map(_LineFields(fields))


class _LineHeader(msgspec.Struct):
    time: Seconds = 0
    instance: str = ''
    name: str = ''


class _LineFields(dict[str, Any]):
    """The fields of a line; a missing one reads as a question mark."""

    def __missing__(self, name: str) -> str:
        return '?'
