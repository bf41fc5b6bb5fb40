"""A bounded log of this daemon's decisions and the entries that caused them."""

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
    """Why slices were moved to another owner."""

    balance = 'balance'
    hot_key = 'hot_key'
    target_out = 'target_out'
    target_lost = 'target_lost'
    data_centre_out = 'data_centre_out'
    returned = 'returned'


class Decision(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The fields common to all decisions; `at` is a Unix time.

    `entry` is the catalogue entry that caused the decision, if one did.
    """

    at: Seconds
    entry: EntryRef | None = None
    service: ServiceName = ServiceName('')
    target_id: TargetId = TargetId('')
    data_centre: DataCentreId = DataCentreId('')


class Refused(Decision, frozen=True, kw_only=True, tag=True):
    """A request was refused or failed."""

    request_id: RequestId
    kind: ErrorKind
    reason: str
    caller: str = ''
    key: Key = Key('')


class Moved(Decision, frozen=True, kw_only=True, tag=True):
    """Slices were moved to the target `target_id`."""

    cause: MoveCause
    slices: int
    from_target: TargetId | None = None
    key: Key = Key('')


class Drained(Decision, frozen=True, kw_only=True, tag=True):
    """A target gets no new requests; `in_flight` ones may complete."""

    in_flight: int


class Limited(Decision, frozen=True, kw_only=True, tag=True):
    """A target's limit of concurrent requests has changed."""

    state: TargetState
    capacity: int


class DecisionQuery(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Filters for decisions; an empty field matches every decision."""

    request_id: str = ''
    key: str = ''
    target: str = ''
    data_centre: str = ''
    refusal: str = ''
    entry: str = ''


class DecisionLog:
    """The latest decisions; `decisions_kept` bounds their number."""

    def __init__(self, settings: Settings) -> None:
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=settings.telemetry.decisions_kept,
        )

    def add(self, decision: Decision) -> None:
        """Add a decision; a full log discards its oldest one."""
        self._decisions.append(decision)

    def matching(self, query: DecisionQuery) -> Iterator[Decision]:
        """Yield the decisions that match a query, newest first."""
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
    """Return an entry's kind and name, such as `target/registry-01`."""
    return f'{entry.kind.value}/{entry.name}'
