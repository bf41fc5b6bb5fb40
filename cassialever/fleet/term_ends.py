"""Why the terms of a leader end, and which of the ends are alerts."""

import enum
from typing import Final

import msgspec

from cassialever.events import Event, record
from cassialever.types import RowVersion, Seconds

#: A term that ends sooner serves no one: its grants have hardly been renewed.
SHORT_TERM: Final[Seconds] = 5.0
#: Short terms in a row after which operators are informed.
SHORT_TERMS_TO_WARN: Final = 3
#: Further ones are logged when their number is a power of this.
LOG_FACTOR: Final = 10


class TermEnd(enum.Enum):
    """Why a term has ended, and what would help if it ends so again."""

    resigned = (
        'this daemon resigned',
        'see why it was asked to stop, or gave way (444)',
    )
    lease_lost = (
        'another daemon has taken over the lease',
        'see why renewals did not reach the store in time',
    )
    later_term = (
        'another daemon leads in a later term',
        'see why renewals did not reach the store in time',
    )
    leader_row_changed = (
        "the leader's row has another version than the term",
        "see whether the store's versions went back, or who writes the row",
    )
    key_map_changed = (
        'the stored owners of keys are not those that this daemon knew',
        "see whether the store's versions went back, or who writes the row",
    )
    failed = (
        "a part of the leader's work has failed",
        'see the failure that follows (104)',
    )
    aborted = (
        'the process ends',
        'see why it did not stop in time',
    )

    def __init__(self, reason: str, advice: str) -> None:
        """Set the attributes from the member's value."""
        self.reason = reason
        self.advice = advice


#: Ends after which this daemon has no lease that it could release.
WITHOUT_LEASE: Final = frozenset(
    (TermEnd.resigned, TermEnd.lease_lost, TermEnd.aborted)
)


class TermResult(msgspec.Struct, frozen=True):
    """A term that has ended."""

    term: RowVersion
    lasted: Seconds
    end: TermEnd
    details: str = ''


class TermLog:
    """Logs the end of each term, and terms that are short in a row."""

    def __init__(self) -> None:
        """Start without a term."""
        self.count_by_end: dict[TermEnd, int] = {}
        #: Short terms in a row that did not end by a resignation.
        self.short_count = 0

    def note(self, ended: TermResult) -> None:
        """Log the end of a term."""
        count = self.count_by_end.get(ended.end, 0)
        self.count_by_end[ended.end] = count + 1
        record(
            Event.leader_lost,
            term=ended.term,
            lasted=round(ended.lasted, 3),
            reason=ended.end.reason,
            details=ended.details or None,
        )
        if ended.end is TermEnd.resigned or ended.lasted >= SHORT_TERM:
            self.short_count = 0
            return
        self.short_count += 1
        if not _is_due(self.short_count):
            return
        record(
            Event.terms_short,
            count=self.short_count,
            lasted=round(ended.lasted, 3),
            reason=ended.end.reason,
            details=ended.details or None,
            advice=ended.end.advice,
        )


def _is_due(count: int) -> bool:
    """Return whether a number of short terms is logged."""
    if count % SHORT_TERMS_TO_WARN:
        return False
    series = count // SHORT_TERMS_TO_WARN
    while series % LOG_FACTOR == 0:
        series //= LOG_FACTOR
    return series == 1
