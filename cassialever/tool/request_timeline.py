"""Reconstruct from daemons' logs what happened to a request, and why.

Besides the lines about the request itself, the timeline includes recent events
about its key, its targets, the leader and the store.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

from cassialever.tool.daemon_state import (
    TEMPLATE_BY_EVENT,
    last_states,
    leader_clause,
    state_clause,
)
from cassialever.tool.log_lines import (
    EventLine,
    Fields,
    TimelineStep,
    fill_in,
    line_time,
)
from cassialever.types import Seconds

#: How far back to look for causes: keys can be unavailable for about this
#: long if the leader is partitioned.
LOOKBACK: Final[Seconds] = 15.0
#: How far past a request's last line to include events: events around its end
#: may be logged this much later.
LOOKAHEAD: Final[Seconds] = 2.0


class RequestTimeline(msgspec.Struct, frozen=True):
    """Events by time; `skipped` counts the lines that were unreadable."""

    steps: tuple[TimelineStep, ...]
    skipped: int = 0


def build_timeline(
    lines: Iterable[EventLine | None], request_id: str
) -> RequestTimeline:
    """Return the timeline of a request."""
    parsed = list(lines)
    events = [line for line in parsed if line is not None]
    request_lines = [
        line for line in events if line.fields.get('request') == request_id
    ]
    if not request_lines:
        return RequestTimeline((), parsed.count(None))
    fingerprints = {line.fields.get('fingerprint') for line in request_lines}
    fingerprints.discard(None)
    causes = _Causes(request_lines, events)
    relevant = [
        line
        for line in events
        if line.fields.get('request') == request_id
        or line.fields.get('fingerprint') in fingerprints
        or causes.contain(line)
    ]
    steps = tuple(
        TimelineStep(line.time, line.instance, describe(line))
        for line in sorted(relevant, key=line_time)
    )
    return RequestTimeline(steps, parsed.count(None))


class _Causes:
    """What may have affected a request, and the state of each daemon."""

    def __init__(
        self, request_lines: list[EventLine], events: list[EventLine]
    ) -> None:
        lines = request_lines
        self._span = _span_of(lines)
        keys = [line.fields['key'] for line in lines if 'key' in line.fields]
        self._key = keys[0] if keys else -1
        self._targets = {line.fields.get('target') for line in lines} - {None}
        self._instances = {line.instance for line in lines}
        began_at = min(lines, key=line_time).time
        self._state_by_instance = last_states(events, began_at)

    def contain(self, line: EventLine) -> bool:
        """Return whether an event may have affected the request."""
        if self._state_by_instance.get(line.instance) is line:
            return True
        if not self._span[0] <= line.time <= self._span[1]:
            return False
        if line.name in _DAEMON_EVENTS and line.instance in self._instances:
            return True
        return _may_be_cause(line, self._key, self._targets)


def _span_of(request_lines: list[EventLine]) -> tuple[Seconds, Seconds]:
    """Return the time in which other events may have affected a request."""
    times = [line.time for line in request_lines]
    return min(times) - LOOKBACK, max(times) + LOOKAHEAD


def describe(line: EventLine) -> str:
    """Return a description of a line."""
    template = _TEMPLATE_BY_EVENT.get(line.name)
    if template is None:
        return line.name.replace('_', ' ')
    sentence = fill_in(template, line.fields)
    if line.name == 'attempt_failed':
        sentence = f'{sentence}{_attempt_clause(line.fields)}'
    leader = leader_clause(line.name, line.fields)
    return f'{sentence}{leader}{state_clause(line.fields)}'


def _attempt_clause(fields: Fields) -> str:
    """Return which way a failed attempt took, and what followed it."""
    clauses = []
    helper = fields.get('helper')
    if helper:
        clauses.append(f', passed on through daemon {helper}')
    template = _REFUSAL_TEMPLATES.get(fields.get('refusal'))
    if template:
        clauses.append(fill_in(template, fields))
    goes_on = fields.get('goes_on')
    if goes_on is not None:
        next_step = 'looked for a target again' if goes_on else 'gave up'
        clauses.append(f'; this daemon {next_step}')
    return ''.join(clauses)


_TEMPLATE_BY_EVENT: Final[Mapping[str, str]] = MappingProxyType(
    {
        **TEMPLATE_BY_EVENT,
        'request_refused': (
            'request {request} was answered {status}: {reason} (waited'
            ' {waited} s, Retry-After {retry_after} s, configuration'
            ' {configuration})'
        ),
        'key_refused': (
            'request {request} was answered {status}: {reason} (one of {count}'
            ' in the second before)'
        ),
        'attempt_failed': (
            'target {target} did not serve request {request} ({end}:'
            ' {reason}), {after} s after arrival'
        ),
        'helper_failed': (
            'daemon {helper} did not pass request {request} on to target'
            ' {target} ({end}: {reason})'
        ),
        'request_duplicated': (
            'request {request} is also passed on to target {target}, since'
            ' its path is down; its first try stays open'
        ),
        'carrying_refused': (
            'request {request} of daemon {origin} for target {target} was'
            ' refused here: {reason}'
        ),
        'carrying_failed': (
            'target {target} did not answer request {request}, which was'
            ' carried for daemon {origin} ({end}: {reason})'
        ),
        'cut_off_from_targets': (
            'this daemon reached no target of {targets}; daemons that did:'
            ' {daemons_reaching}'
        ),
        'targets_reached_again': (
            'this daemon reached targets again, after {cut_off_for} s'
        ),
        'keys_leaving': (
            'keys {first} to {last} were moved away from {target}: {reason}'
        ),
        'keys_released': 'target {target} released keys {first} to {last}',
        'release_failed': (
            'target {target} did not release keys {first} to {last}'
            ' ({reason}); free in {free_in} s'
        ),
        'grant_failed': (
            'target {target} did not accept keys {first} to {last} ({reason});'
            ' free in {free_in} s'
        ),
        'keys_granted': (
            'target {target} accepted keys {first} to {last} with fence {fence}'
        ),
        'keys_freed': 'keys {first} to {last} of {target} became free',
        'keys_assigned': 'keys of {service} were assigned (row {version})',
        'target_gone': 'target {target} was removed',
        'target_seen': (
            'target {target} reported {state}, cold for {cold_for} s'
        ),
        'target_limit_changed': (
            'target {target} was known to take {rate} requests a second from'
            ' all daemons (learned from {learned_from})'
        ),
        'target_leaving': (
            'target {target} was known to leave (learned from {learned_from})'
        ),
        'target_paused': (
            'target {target} asked this daemon for a pause of {seconds} s'
        ),
        'request_suspected': (
            'target {target} crashed while request content {fingerprint} was at'
            ' work there: {reason}'
        ),
        'request_quarantined': (
            'request content {fingerprint} was at work at several crashes, and'
            ' is sent to no target (learned from {learned_from})'
        ),
        'request_released': (
            'request content {fingerprint} may be sent again: {reason}'
        ),
        'request_sent_late': (
            'request {request} was sent to target {target} {sent_after} s after'
            ' arrival; the target was chosen {decided_after} s after arrival'
        ),
        'keys_unserved': (
            'no key of {service} had been served here for {lasted} s'
            ' ({requests} requests): {reason}'
        ),
        'keys_unserved_changed': (
            'no key of {service} had been served here for {lasted} s'
            ' ({requests} requests), now most often since: {reason}'
        ),
        'keys_served_again': (
            'keys of {service} were served here again, after {lasted} s'
            ' ({requests} requests were not); served: {is_served}'
        ),
        'target_replaced': (
            'target {target} was known to have ended, since another answered'
            ' at {address} (learned from {learned_from})'
        ),
        'owner_ended': (
            'target {target} was taken for ended: another target answered a'
            ' call about keys at {address}'
        ),
        'table_unavailable': 'table {table} of the store did not answer',
        'table_answers_again': 'table {table} of the store answered again',
        'data_centre_changed': 'data centres out of service: {taken_out}',
    },
)
_REFUSAL_TEMPLATES: Final[Mapping[Any, str]] = MappingProxyType(
    {
        'shed': '; refused ({refusal}): it took no more requests',
        'key_not_held': (
            '; refused ({refusal}): {target} answered itself, and does not hold'
            ' the key'
        ),
        'replaced': (
            '; refused ({refusal}): {answered_by} answered at the address of'
            ' {target}'
        ),
    }
)
#: Events that may affect the requests for a target.
_TARGET_EVENTS: Final = frozenset(
    (
        'target_gone',
        'target_seen',
        'target_limit_changed',
        'target_leaving',
        'target_paused',
        'target_replaced',
        'owner_ended',
        'request_suspected',
    ),
)
#: Events that may affect the requests of the daemon that logs them.
_DAEMON_EVENTS: Final = frozenset(
    (
        *TEMPLATE_BY_EVENT,
        'keys_unserved',
        'keys_unserved_changed',
        'keys_served_again',
    )
)
#: Events that may affect any request.
_GLOBAL_EVENTS: Final = frozenset(
    (
        'leader_taken',
        'leader_lost',
        'authority_lost',
        'election_hindered',
        'terms_short',
        'table_unavailable',
        'table_answers_again',
        'data_centre_changed',
        'cut_off_from_targets',
        'targets_reached_again',
    ),
)


def _ranges_contain_key(ranges: Any, key: int) -> bool:
    """Search key ranges, each a list of first, last, owner and fence."""
    if not isinstance(ranges, list):
        return False
    return any(keys[0] <= key <= keys[1] for keys in ranges)


def _may_be_cause(line: EventLine, key: int, targets: set[Any]) -> bool:
    """Return whether an event may have affected a request."""
    if line.name in _GLOBAL_EVENTS:
        return True
    if line.name in _TARGET_EVENTS:
        return line.fields.get('target') in targets
    first, last = line.fields.get('first'), line.fields.get('last')
    if isinstance(first, int) and isinstance(last, int):
        return first <= key <= last
    return _ranges_contain_key(line.fields.get('keys'), key)
