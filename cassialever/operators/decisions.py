"""A bounded record of what this daemon decided, and by which entry."""

import collections
import enum
from collections.abc import Iterator

import msgspec

from cassialever.errors import EntryRef, ErrorKind
from cassialever.settings import Settings
from cassialever.types import (
    DataCentreId,
    EntryKind,
    Key,
    RequestId,
    Seconds,
    ServiceName,
    TargetId,
    TargetState,
)


class MoveCause(enum.Enum):
    """Why slices changed their owner."""

    balance = 'balance'
    hot_key = 'hot_key'
    target_out = 'target_out'
    target_lost = 'target_lost'
    data_centre_out = 'data_centre_out'
    returned = 'returned'


class Decision(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What every decision has; `at` is in seconds since 1970.

    `entry` is the catalogue entry that led to it, where one did.
    """

    at: Seconds
    entry: EntryRef | None = None
    service: ServiceName = ServiceName('')
    target_id: TargetId = TargetId('')
    data_centre: DataCentreId = DataCentreId('')


class Refused(Decision, frozen=True, kw_only=True, tag=True):
    """A request was refused, or failed, with an error kind."""

    request_id: RequestId
    kind: ErrorKind
    reason: str
    caller: str = ''
    key: Key = Key('')


class Moved(Decision, frozen=True, kw_only=True, tag=True):
    """Slices were given to another target, which is `target_id`."""

    cause: MoveCause
    slices: int
    from_target: TargetId | None = None
    key: Key = Key('')


class Drained(Decision, frozen=True, kw_only=True, tag=True):
    """A target gets no new work; `in_flight` requests may end."""

    in_flight: int


class Limited(Decision, frozen=True, kw_only=True, tag=True):
    """A target's limit has changed, in requests at once."""

    state: TargetState
    capacity: int


class DecisionQuery(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """What to explain; an empty field does not narrow the answer."""

    request_id: str = ''
    key: str = ''
    target: str = ''
    data_centre: str = ''
    refusal: str = ''
    entry: str = ''


class DecisionLog:
    """The last decisions, as many as the settings say."""

    def __init__(self, settings: Settings) -> None:
        """Start with none."""
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=settings.telemetry.decisions_kept,
        )

    def add(self, decision: Decision) -> None:
        """Keep a decision; the oldest one makes room."""
        self._decisions.append(decision)

    def matching(self, query: DecisionQuery) -> Iterator[Decision]:
        """Yield what answers a question, the newest first."""
        for decision in reversed(self._decisions):
            if _matches(decision, query):
                yield decision


def _matches(decision: Decision, query: DecisionQuery) -> bool:
    criteria = (
        (query.request_id, _request_id(decision)),
        (query.key, _key(decision)),
        (query.refusal, _refusal(decision)),
        (query.entry, _entry(decision)),
    )
    if any(expected and expected != actual for expected, actual in criteria):
        return False
    return _is_about_target(decision, query.target) and (
        _is_about_data_centre(decision, query.data_centre)
    )


def _is_about_target(decision: Decision, target: str) -> bool:
    if not target or decision.target_id == target:
        return True
    if isinstance(decision, Moved) and decision.from_target == target:
        return True
    return _entry(decision) == f'{EntryKind.target.value}/{target}'


def _is_about_data_centre(decision: Decision, data_centre: str) -> bool:
    if not data_centre or decision.data_centre == data_centre:
        return True
    return _entry(decision) == f'{EntryKind.data_centre.value}/{data_centre}'


def _request_id(decision: Decision) -> str:
    return decision.request_id if isinstance(decision, Refused) else ''


def _key(decision: Decision) -> str:
    return decision.key if isinstance(decision, Refused | Moved) else ''


def _refusal(decision: Decision) -> str:
    return decision.kind.value if isinstance(decision, Refused) else ''


def _entry(decision: Decision) -> str:
    return entry_path(decision.entry) if decision.entry else ''


def entry_path(entry: EntryRef) -> str:
    """Name an entry as commands do, such as `target/registry-01`."""
    return f'{entry.kind.value}/{entry.name}'
