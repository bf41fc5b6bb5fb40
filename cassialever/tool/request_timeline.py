"""Tell from the daemons' logs what became of a request, and why.

The lines are those that `telemetry.structured_log` writes, of any number of
daemons. Beside the lines about the request itself, the story has what the
leader did with its key and what was seen of its targets shortly before.
"""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import msgspec

from cassialever.types import Seconds

#: How far back a cause is looked for: a leader that is cut off may hold keys
#: back for about this long.
LOOKBACK: Final[Seconds] = 15.0
#: Lines of a request's end may stand this much later than its first.
LOOKAHEAD: Final[Seconds] = 2.0

_Fields: TypeAlias = Mapping[str, Any]


class LogLine(msgspec.Struct, frozen=True):
    """One line of a daemon's log."""

    time: Seconds
    instance: str
    name: str
    fields: _Fields


class TimelineStep(msgspec.Struct, frozen=True):
    """One event in words."""

    time: Seconds
    instance: str
    sentence: str


class RequestTimeline(msgspec.Struct, frozen=True):
    """What happened, in order; `skipped` counts lines that are no events."""

    steps: tuple[TimelineStep, ...]
    skipped: int = 0


def read_lines(text: Iterable[str]) -> Iterator[LogLine | None]:
    """Read log lines; `None` stands for one that can't be used."""
    for line in text:
        # Collectors put words of their own before the object.
        start = line.find('{')
        try:
            fields = msgspec.json.decode(line[max(start, 0) :], type=dict)
        except msgspec.DecodeError:
            yield None
            continue
        header = msgspec.convert(fields, _LineHeader)
        if header.name:
            yield LogLine(header.time, header.instance, header.name, fields)


def build_timeline(
    lines: Iterable[LogLine | None], request_id: str
) -> RequestTimeline:
    """Tell the story of a request."""
    parsed = list(lines)
    events = [line for line in parsed if line is not None]
    request_lines = [
        line for line in events if line.fields.get('request') == request_id
    ]
    if not request_lines:
        return RequestTimeline((), parsed.count(None))
    times = [line.time for line in request_lines]
    span = (min(times) - LOOKBACK, max(times) + LOOKAHEAD)
    key = next((line.fields.get('key', -1) for line in request_lines), -1)
    targets = {line.fields.get('target') for line in request_lines} - {None}
    relevant = [
        line
        for line in events
        if line.fields.get('request') == request_id
        or (
            span[0] <= line.time <= span[1]
            and _may_be_cause(line, key, targets)
        )
    ]
    steps = tuple(
        TimelineStep(line.time, line.instance, describe(line))
        for line in sorted(relevant, key=_time)
    )
    return RequestTimeline(steps, parsed.count(None))


def describe(line: LogLine) -> str:
    """Say what a line means."""
    template = _TEMPLATE_BY_EVENT.get(line.name)
    if template is None:
        return line.name.replace('_', ' ')
    return template.format_map(_LineFields(line.fields))


class _LineHeader(msgspec.Struct):
    time: Seconds = 0
    instance: str = ''
    name: str = ''


class _LineFields(dict[str, Any]):
    """Fields of a line; those that it lacks read as a question mark."""

    def __missing__(self, name: str) -> str:
        return '?'


_TEMPLATE_BY_EVENT: Final[Mapping[str, str]] = MappingProxyType(
    {
        'request_refused': (
            'request {request} was answered {status}: {reason} (waited'
            ' {waited} s, told to come back in {retry_after} s, configuration'
            ' {configuration})'
        ),
        'attempt_failed': (
            'target {target} did not serve request {request} ({end}:'
            ' {reason}), {after} s after it came'
        ),
        'keys_leaving': (
            'keys {first} to {last} were taken back from {target}: {reason}'
        ),
        'keys_released': 'target {target} gave keys {first} to {last} back',
        'release_failed': (
            'target {target} did not give keys {first} to {last} back'
            ' ({reason}); free in {free_in} s'
        ),
        'grant_failed': (
            'target {target} did not take keys {first} to {last} ({reason});'
            ' free in {free_in} s'
        ),
        'keys_assigned': 'keys of {service} were given out (row {version})',
        'target_gone': 'target {target} left',
        'target_seen': (
            'target {target} told that it is {state}, cold for {cold_for} s'
        ),
        'leader_taken': 'this daemon assigns keys from here on',
        'leader_lost': 'this daemon assigns keys no more',
        'table_unavailable': 'table {table} of the store did not answer',
        'table_answers_again': 'table {table} of the store answered again',
        'data_centre_changed': 'data centres out of service: {taken_out}',
    },
)
#: Events that concern everybody.
_GLOBAL_EVENTS: Final = frozenset(
    (
        'leader_taken',
        'leader_lost',
        'table_unavailable',
        'table_answers_again',
        'data_centre_changed',
    ),
)


def _ranges_contain_key(runs: Any, key: int) -> bool:
    """Look in runs of keys, each as first, last, owner and fence."""
    if not isinstance(runs, list):
        return False
    return any(run[0] <= key <= run[1] for run in runs)


def _may_be_cause(line: LogLine, key: int, targets: set[Any]) -> bool:
    """Tell whether an event may have led to what became of a request."""
    if line.name in _GLOBAL_EVENTS:
        return True
    if line.name in {'target_gone', 'target_seen'}:
        return line.fields.get('target') in targets
    first, last = line.fields.get('first'), line.fields.get('last')
    if isinstance(first, int) and isinstance(last, int):
        return first <= key <= last
    return _ranges_contain_key(line.fields.get('keys'), key)


def _time(line: LogLine) -> Seconds:
    return line.time
