"""Reports between daemons on requests that crash targets.

Clocks of daemons differ, so that a report carries ages in place of times.
"""

from typing import Annotated, Final, TypeAlias

import msgspec

from cassialever.fleet.model import StartedAt
from cassialever.policy.crashes import (
    CrashRecord,
    Fingerprint,
    TargetLife,
)
from cassialever.types import Seconds, TargetId

#: Reports in one datagram, so that it fits into one packet.
MAX_CRASH_REPORTS: Final = 8
#: Most reports that are read in one, and most lives in a report. Another build
#: may send more than this one.
MAX_READ_REPORTS: Final = 64
MAX_LIVES: Final = 64
#: Longest id of a target in a report.
MAX_ID_LENGTH: Final = 255
#: Longest age in a report, and longest claim.
MAX_AGE: Final[Seconds] = 86400.0
MAX_CLAIM: Final[Seconds] = 60.0

# Numbers and lengths out of range are rejected with the datagram.
_Age: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE)]
_Claim: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_CLAIM)]


class LifeReport(msgspec.Struct, frozen=True, array_like=True):
    """A life that ended, with what is known of the request's part in that.

    It may be cleared of it, and it may have been sent alone then.
    """

    target_id: Annotated[str, msgspec.Meta(max_length=MAX_ID_LENGTH)]
    started_at: int
    is_cleared: bool
    was_alone: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of one request.

    `seen_age` is the time since it last came. The daemon that reports has
    claimed its trial for `claimed_for`; 0 means that it has not.
    """

    fingerprint: int
    lives: Annotated[tuple[LifeReport, ...], msgspec.Meta(max_length=MAX_LIVES)]
    seen_age: _Age
    claimed_for: _Claim = 0


def make_report(
    known: CrashRecord, claimed_for: Seconds, now: Seconds
) -> CrashReport:
    """Return the report on a request; `now` is this daemon's clock."""
    lives = tuple(
        LifeReport(
            life.target_id, life.started_at, is_cleared, life in known.alone
        )
        for life, is_cleared in known.is_cleared_by_life.items()
    )
    seen_age = min(max(now - known.seen_at, 0), MAX_AGE)
    return CrashReport(
        known.fingerprint, lives, seen_age, min(claimed_for, MAX_CLAIM)
    )


def read_report(report: CrashReport, now: Seconds) -> CrashRecord:
    """Return the record of a report, in this daemon's time."""
    lives = {}
    alone = set()
    for one in report.lives:
        life = TargetLife(StartedAt(one.started_at), TargetId(one.target_id))
        lives[life] = one.is_cleared
        if one.was_alone:
            alone.add(life)
    return CrashRecord(
        Fingerprint(report.fingerprint),
        lives,
        now - report.seen_age,
        frozenset(alone),
    )
