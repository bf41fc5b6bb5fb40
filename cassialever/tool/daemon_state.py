"""The state of a daemon at the time of a request, from its log."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

from cassialever.tool.log_lines import EventLine, Fields, fill_in

#: Events about the leader of a daemon.
TEMPLATE_BY_EVENT: Final[Mapping[str, str]] = MappingProxyType(
    {
        'leader_taken': 'this daemon became leader',
        'leader_lost': 'this daemon lost leadership',
        'terms_short': (
            'terms of this daemon as leader ended soon, {count} in a row;'
            ' {advice}; the last one ended after {lasted} s: {reason}'
        ),
        'authority_lost': 'this daemon lost the lease',
        'leader_silent': (
            'this daemon could not follow {leader}: {reason} (activity'
            ' {activity}, {count} times; no leader for {without_leader} s)'
        ),
        'leader_missing': (
            'this daemon had no leader for {lasted} s; the store named'
            ' {named}; way of its tables: {tables_way}, complete {tables_age} s'
            ' before'
        ),
        'leader_missing_long': (
            'this daemon had no leader for {lasted} s, in {passes} passes; the'
            ' store named {named}; way of its tables: {tables_way}, complete'
            ' {tables_age} s before'
        ),
        'leader_found': (
            'this daemon had a leader again ({leader}), after {lasted} s'
            ' without one and {passes} passes'
        ),
        'store_followed': 'this daemon read the store itself: {reason}',
        'election_failed': (
            'this daemon did not become leader: {reason} ({details}; {count}'
            ' times)'
        ),
        'election_hindered': (
            'this daemon did not become leader, {count} times: {reason}'
            ' ({details}); {advice}'
        ),
    },
)
#: Events that don't show whether the daemon has a leader.
_ACTS: Final = frozenset(
    ('store_followed', 'election_failed', 'election_hindered', 'terms_short')
)
#: What the lines of earlier builds lack.
_TERM_CLAUSE: Final = ' of term {term} after {lasted} s: {reason}'
_LEADERS_CLAUSE: Final = (
    '; leaders seen since one lasted: {leaders_seen}, replaced soon:'
    ' {leaders_short}'
)


def leader_clause(name: str, fields: Fields) -> str:
    """Return why a term has ended, or which leaders were seen."""
    clauses = []
    if name == 'leader_lost' and 'reason' in fields:
        clauses.append(fill_in(_TERM_CLAUSE, fields))
    if name in {'leader_lost', 'terms_short'} and fields.get('details'):
        clauses.append(fill_in(' ({details})', fields))
    if 'leaders_seen' in fields:
        clauses.append(fill_in(_LEADERS_CLAUSE, fields))
    return ''.join(clauses)


def state_clause(fields: Fields) -> str:
    """Return the state of a daemon that a line about a request tells."""
    if 'tables_from' not in fields:
        return ''
    without = fields.get('without_leader')
    leader = f'no leader for {without} s' if without else 'a leader'
    tables = fill_in(
        'tables of configuration {configuration}, complete {tables_age} s'
        ' before, last changed by {tables_from}',
        fields,
    )
    return f'; this daemon had {leader}, and {tables}'


def last_states(
    events: Iterable[EventLine], until: float
) -> dict[str, EventLine]:
    """Return each daemon's last line about its leader, by instance.

    It may be long before the first line about a request.
    """
    last_by_instance: dict[str, EventLine] = {}
    for event in events:
        is_state = event.name in TEMPLATE_BY_EVENT and event.name not in _ACTS
        if not is_state or event.time > until:
            continue
        last = last_by_instance.get(event.instance, event)
        if event.time >= last.time:
            last_by_instance[event.instance] = event
    return last_by_instance
