"""Why attempts to lead fail, and which of them are logged."""

import enum
import math
from typing import Final

import msgspec

from cassialever.events import Event, record
from cassialever.fleet.lease import STALE_AFTER
from cassialever.types import Seconds

#: Failures for one reason after which operators are informed.
FAILURES_TO_WARN: Final = 3
#: Further failures are logged when their number is a power of this.
LOG_FACTOR: Final = 10


class Hindrance(enum.Enum):
    """Why an attempt to lead has failed, and what would help."""

    yielding = (
        'other daemons reach more targets',
        'see which targets this daemon misses, and why',
    )
    lease_unread = (
        'the lease could not be read',
        'see whether the store answers reads of this machine',
    )
    lease_held = (
        'another daemon holds the lease',
        'see what its holder logs; if it does not lead, restart it',
    )
    refused = (
        'the store refused the takeover',
        'see why it refuses writes of this machine: rates, size or an outage',
    )
    conflict = (
        'the rows were not as expected',
        'see which daemon changes them, if the versions differ',
    )
    unanswered = (
        'the store did not answer the takeover, which may be performed',
        'see why answers to writes are lost between the store and this machine',
    )
    given_up = (
        'an earlier takeover was performed and led to no term',
        'see why answers to writes are lost between the store and this machine',
    )
    tables_unread = (
        'the owners of keys could not be read after the takeover',
        "see whether the store's versions went back, or its reads fail",
    )

    def __init__(self, reason: str, advice: str) -> None:
        """Set the attributes from the member's value."""
        self.reason = reason
        self.advice = advice


#: What passes by itself: attempts in one such time count once.
_PASSING: Final = frozenset((Hindrance.yielding, Hindrance.lease_held))


class Attempt(msgspec.Struct, frozen=True):
    """An attempt to lead that has failed."""

    hindrance: Hindrance
    details: str = ''


class AttemptLog:
    """Logs each reason once, and how often it recurs, until a leader is found.

    Attempts recur several times a second for as long as no daemon can lead.
    """

    def __init__(self) -> None:
        """Start without a failed attempt."""
        #: All failures since the start of the process.
        self.total_by_hindrance: dict[Hindrance, int] = {}
        self._count_by_hindrance: dict[Hindrance, int] = {}
        self._noted_at_by_hindrance: dict[Hindrance, Seconds] = {}

    def clear(self) -> None:
        """Begin again, since a leader was found."""
        self._count_by_hindrance.clear()
        self._noted_at_by_hindrance.clear()

    def note(self, attempt: Attempt, now: Seconds) -> None:
        """Count an attempt, and log it if it is due."""
        hindrance = attempt.hindrance
        total = self.total_by_hindrance.get(hindrance, 0)
        self.total_by_hindrance[hindrance] = total + 1
        noted_at = self._noted_at_by_hindrance.get(hindrance, -math.inf)
        if hindrance in _PASSING and now - noted_at < STALE_AFTER:
            return
        self._noted_at_by_hindrance[hindrance] = now
        count = self._count_by_hindrance.get(hindrance, 0) + 1
        self._count_by_hindrance[hindrance] = count
        if _is_power(count):
            record(
                Event.election_failed,
                reason=hindrance.reason,
                details=attempt.details,
                count=count,
            )
        if count == FAILURES_TO_WARN:
            record(
                Event.election_hindered,
                reason=hindrance.reason,
                details=attempt.details,
                count=count,
                advice=hindrance.advice,
            )


def _is_power(count: int) -> bool:
    """Return whether a number is a power of LOG_FACTOR."""
    while count % LOG_FACTOR == 0:
        count //= LOG_FACTOR
    return count == 1
