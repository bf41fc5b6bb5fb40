"""The lines of daemons' logs about the owners of a key."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias

import msgspec

from cassialever.tool.log_lines import EventLine
from cassialever.types import Seconds

#: Events about ranges of keys of one service.
RANGE_EVENTS: Final = frozenset(
    (
        'grant_failed',
        'keys_leaving',
        'keys_released',
        'release_failed',
        'keys_granted',
        'keys_freed',
    )
)
#: Events about a target, which matter for the keys that it has.
TARGET_EVENTS: Final = frozenset(
    ('owner_ended', 'target_gone', 'target_seen', 'target_replaced')
)
#: Events that may affect all keys.
COMMON_EVENTS: Final = frozenset(
    (
        'leader_taken',
        'leader_lost',
        'terms_short',
        'leader_handed_over',
        'leader_missing_long',
        'authority_lost',
        'entry_rejected',
        'table_unavailable',
        'table_answers_again',
    )
)
#: Events at which a process of a daemon begins or ends.
RUN_EVENTS: Final = frozenset(('started', 'stopped', 'start_failed'))
#: Events that are about the keys of one service.
SERVICE_EVENTS: Final = frozenset(
    (
        *RANGE_EVENTS,
        'keys_assigned',
        'keys_inherited',
        'owners_unknown',
        'keys_unserved',
        'keys_unserved_changed',
        'keys_served_again',
    )
)
#: Those about all of its keys.
_WHOLE_SERVICE_EVENTS: Final = SERVICE_EVENTS - {
    *RANGE_EVENTS,
    'keys_assigned',
}
#: Events in which a target has answered a call about keys as was asked.
ACCEPTING_EVENTS: Final = frozenset(('keys_granted', 'keys_released'))

#: A process by its daemon, the count of that daemon's starts, and its number.
NumberedProcess: TypeAlias = tuple[str, int, int]


class KeyFields(msgspec.Struct, frozen=True):
    """The fields of a line about keys, as far as it has them."""

    service: str = ''
    target: str = ''
    address: str = ''
    started_at: int = 0
    process: int | None = None
    first: int = -1
    last: int = -1
    fence: int = 0
    term: int = 0
    end: str = ''
    free_in: Seconds = 0
    held_for: Seconds = 0
    fact: str = ''
    map: str = ''
    highest_fence: int = 0
    keys: tuple[tuple[int, int, str, int], ...] = ()


class KeyLine(msgspec.Struct, frozen=True):
    """A line about keys and its fields."""

    line: EventLine
    fields: KeyFields

    @property
    def time(self) -> Seconds:
        """Return when it was logged."""
        return self.line.time

    @property
    def name(self) -> str:
        """Return the name of its event."""
        return self.line.name

    @property
    def instance(self) -> str:
        """Return the daemon that logged it."""
        return self.line.instance

    @property
    def life(self) -> tuple[str, int]:
        """Return the target of the line and the start of its process."""
        return self.fields.target, self.fields.started_at

    def is_about(self, service: str, key: int) -> bool:
        """Return whether the line is about a range with a key."""
        # Lines of earlier builds don't name the service.
        if self.fields.service not in {'', service}:
            return False
        if self.name in _WHOLE_SERVICE_EVENTS:
            return True
        if self.name == 'keys_assigned':
            return self.assigned(key) is not None
        is_range = self.name in RANGE_EVENTS
        return is_range and self.fields.first <= key <= self.fields.last

    def assigned(self, key: int) -> tuple[int, int, str, int] | None:
        """Return the range with a key, among those that were assigned."""
        return next(
            (keys for keys in self.fields.keys if keys[0] <= key <= keys[1]),
            None,
        )


def key_lines(events: Iterable[EventLine]) -> list[KeyLine]:
    """Return the lines that may be about keys, by time.

    Those whose fields have other types are left out.
    """
    found = []
    for line in sorted(events, key=_time):
        try:
            fields = msgspec.convert(line.fields, KeyFields)
        except msgspec.ValidationError:
            continue
        found.append(KeyLine(line, fields))
    return found


def accepted_calls(
    lines: Iterable[KeyLine],
) -> Iterator[tuple[NumberedProcess, KeyLine]]:
    """Return the calls that processes have accepted, and which process.

    Each daemon numbers the processes for itself, anew after each start.
    """
    starts: Counter[str] = Counter()
    for line in lines:
        if line.name in RUN_EVENTS:
            starts[line.instance] += 1
        number = line.fields.process
        if line.name in ACCEPTING_EVENTS and number is not None:
            yield (line.instance, starts[line.instance], number), line


def _time(line: EventLine) -> Seconds:
    return line.time
