"""Log what happens to keys, so that their owners can be found later.

Plain renewals are not logged: there are as many as ranges in each second.
"""

import enum
from collections import Counter
from typing import Any

from cassialever.events import Event, record
from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import StoreRow, Target
from cassialever.keys.assignments import Assignment
from cassialever.platform.processes import TargetProcess
from cassialever.platform.targets import CallOutcome, CallResult
from cassialever.types import Fence, RowVersion, Seconds, ServiceName


class FreeingFact(enum.Enum):
    """Why keys have no owner any more."""

    expired = 'the last grant ran out'
    released = 'the owner released them'
    owner_ended = 'another target answered at the address of the owner'


class MapSource(enum.Enum):
    """What a leader knows of a service's keys when its term begins."""

    row = 'row'
    #: The row has been read before, and its later version can't be.
    earlier_row = 'earlier row'
    missing = 'missing'
    unreadable = 'unreadable'


class KeyCounters:
    """What a daemon did with keys as leader, since its start."""

    def __init__(self) -> None:
        """Start with nothing done."""
        self.freed_by_fact: Counter[str] = Counter()
        #: Failed grants and releases, by `CallOutcome`.
        self.failed_by_outcome: Counter[str] = Counter()


class KeyLog:
    """Logs and counts what happens to keys during one term."""

    def __init__(self, term: RowVersion, counters: KeyCounters) -> None:
        """Log for a term."""
        self._term = term
        self._counters = counters

    def granted(
        self,
        called: Target,
        assignment: Assignment,
        result: CallResult,
        duration: Seconds,
    ) -> None:
        """Log the first grant with a fence that a process has accepted."""
        record(
            Event.keys_granted,
            **_call_fields(called, assignment, result),
            term=self._term,
            duration=round(duration, 3),
        )

    def grant_failed(
        self,
        called: Target,
        assignment: Assignment,
        result: CallResult,
        now: Seconds,
    ) -> None:
        """Log a grant or a renewal that failed."""
        self._counters.failed_by_outcome[result.outcome.value] += 1
        record(
            Event.grant_failed,
            **_call_fields(called, assignment, result),
            term=self._term,
            free_in=_time_left(assignment, now),
        )

    def released(
        self,
        called: Target,
        assignment: Assignment,
        result: CallResult,
        now: Seconds,
    ) -> None:
        """Log the outcome of a release."""
        is_done = result.outcome is CallOutcome.done
        if not is_done:
            self._counters.failed_by_outcome[result.outcome.value] += 1
        record(
            Event.keys_released if is_done else Event.release_failed,
            **_call_fields(called, assignment, result),
            term=self._term,
            free_in=_time_left(assignment, now),
        )

    def freed(
        self,
        service: ServiceName,
        assignment: Assignment,
        fact: FreeingFact,
        now: Seconds,
    ) -> None:
        """Log that keys may have another owner, and by which fact.

        `held_for` is how long a grant may still be in force, if the fact is
        wrong.
        """
        self._counters.freed_by_fact[fact.name] += 1
        record(
            Event.keys_freed,
            service=service,
            target=assignment.owner,
            started_at=assignment.owner_started_at,
            **_range_fields(assignment),
            term=self._term,
            fact=fact.name,
            held_for=_time_left(assignment, now),
        )

    def inherited(
        self,
        service: ServiceName,
        row: StoreRow | None,
        index: KeyIndex | None,
        least_fence: Fence,
    ) -> None:
        """Log with which map of a service's keys the term begins.

        `row` is the newest that is known, and `index` has the newest map that
        could be read. The term grants no fence below `least_fence`.
        """
        ranges = () if index is None else index.key_map.ranges
        record(
            Event.keys_inherited,
            service=service,
            term=self._term,
            map=_map_source(row, index).value,
            version=None if row is None else row.version,
            highest_fence=max((keys.fence for keys in ranges), default=0),
            least_fence=least_fence,
            ranges=len(ranges),
        )


def _map_source(row: StoreRow | None, index: KeyIndex | None) -> MapSource:
    if row is None or row.content is None:
        return MapSource.missing
    if index is None:
        return MapSource.unreadable
    return (
        MapSource.row if index.version == row.version else MapSource.earlier_row
    )


def _call_fields(
    called: Target,
    assignment: Assignment,
    result: CallResult,
) -> dict[str, Any]:
    """Return the fields of a call about keys.

    `started_at` is the start of the process that owns the keys, and
    `called_started_at` that in the entry by which it was called. `process`
    numbers the one that answered, and `known_process` the one that has accepted
    the fence.
    """
    return {
        'service': called.service,
        'target': assignment.owner,
        'address': called.address,
        'started_at': assignment.owner_started_at,
        'called_started_at': called.started_at,
        'process': _number(result.process),
        'known_process': _number(assignment.process_with_fence()),
        'connection': result.connection.value,
        **_range_fields(assignment),
        'end': result.outcome.value,
        'reason': result.reason,
    }


def _range_fields(assignment: Assignment) -> dict[str, int]:
    return {
        'first': assignment.first,
        'last': assignment.last,
        'fence': assignment.fence,
    }


def _time_left(assignment: Assignment, now: Seconds) -> Seconds:
    return round(max(assignment.may_be_held_until - now, 0), 3)


def _number(process: TargetProcess | None) -> int | None:
    return None if process is None else process.number
