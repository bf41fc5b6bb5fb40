"""What a daemon knew at a moment, by its log."""

import pathlib
import time
from collections.abc import Iterator
from typing import Any

import msgspec

LEADER_LOST_EVENTS = ('leader_silent', 'leader_lost', 'authority_lost')
#: How the log names the sender of what the leader has relayed.
FROM_LEADER = 'the leader at '
#: A peer may relay changes before it says that it does not lead, in seconds.
REFUSAL_TIME = 0.1


def describe(log: pathlib.Path, age: float, target_id: str = '') -> str:
    """Tell which tables a daemon had, from whom, and since when no leader.

    It is what the log tells of the time `age` seconds ago; `target_id` names
    the target to which a request was sent.
    """
    at = time.time() - age
    adopted = target = 'none'
    leaderless_since: float | None = None
    relayed_at: float | None = None
    silent_count = 0
    way = ''
    for fields in _lines_until(log, at):
        name, source = fields.get('name'), fields.get('learned_from', '')
        since = f'{at - fields["time"]:.2f} s before'
        if name == 'catalogue_adopted':
            adopted = f'r{fields["version"]} from {source} {since}'
        if target_id and fields.get('target') == target_id and source:
            state = fields.get('state', name)
            target = f'{state} from {source} {since}'
        if name in ('store_followed', 'table_unavailable', 'started'):
            way = f', {name} {fields.get("reason", "")} {since}'
        has_led = name == 'leader_taken' or (
            relayed_at is not None
            and fields['time'] > relayed_at + REFUSAL_TIME
        )
        if has_led:
            leaderless_since, relayed_at, silent_count = None, None, 0
        if source.startswith(FROM_LEADER):
            relayed_at = relayed_at or fields['time']
        if name in LEADER_LOST_EVENTS:
            silent_count += 1
            relayed_at = None
            leaderless_since = leaderless_since or fields['time']
    parts = [f'its configuration: {adopted}']
    if target_id:
        parts.append(f'{target_id}: {target}')
    has_led = relayed_at is not None and at > relayed_at + REFUSAL_TIME
    if leaderless_since is not None and not has_led:
        parts.append(
            f'no leader for {at - leaderless_since:.2f} s, {silent_count} lines'
        )
    return '; '.join(parts) + way


def lines_of(log: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log that are whole."""
    for line in log.read_bytes().splitlines():
        try:
            yield msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError:
            # A traceback, or a line that a kill has cut.
            continue


def _lines_until(log: pathlib.Path, at: float) -> Iterator[dict[str, Any]]:
    for fields in lines_of(log):
        if fields.get('time', at) >= at:
            return
        yield fields
