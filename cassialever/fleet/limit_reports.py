"""Reports between daemons on the limits that targets name.

Clocks of daemons differ, so that a report carries ages in place of times.
"""

import math
from typing import Annotated, Final, TypeAlias

import msgspec

from cassialever.fleet.model import StartedAt
from cassialever.policy.limits import TargetLimit
from cassialever.types import Seconds, TargetId


#: Longest age in a report: a month, for limits that are reported to daemons
#: which begin to follow.
MAX_AGE: Final[Seconds] = 2.6e6
#: Longest address in a report.
MAX_ADDRESS_LENGTH: Final = 64
#: Highest rate in a report, in requests per second: more than any target takes.
MAX_RATE: Final = 1e9

# Numbers out of range are rejected with the message.
_Age: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE)]
_Rate: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
_Address: TypeAlias = Annotated[
    str, msgspec.Meta(max_length=MAX_ADDRESS_LENGTH)
]


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of a target's limit; ages are None if unknown.

    `rate` is in requests per second. `leaving_age` is the time since the target
    said that it leaves, if it did; an older build sends none. `replaced_at` is
    the target's address if another target has answered there.
    """

    target_id: TargetId
    started_at: StartedAt
    rate: _Rate
    named_age: _Age | None
    ended_age: _Age | None
    leaving_age: _Age | None = None
    replaced_at: _Address = ''


def make_report(limit: TargetLimit, now: Seconds) -> LimitReport:
    """Return the report on a limit; `now` is this daemon's boot clock."""
    return LimitReport(
        limit.target_id,
        limit.started_at,
        min(limit.rate, MAX_RATE),
        _age(limit.named_at, now),
        _age(limit.reported_end, now),
        _age(limit.leaving_since, now),
        limit.replaced_at,
    )


def read_report(report: LimitReport, now: Seconds) -> TargetLimit:
    """Return the limit of a report, in this daemon's boot time.

    Ages do not include the time that the report was under way. A limit that
    seems to be named later than it was ends later; one that seemed to have
    ended later would be exceeded, so that the daemon that reads of its end
    reports an earlier one.
    """
    limit = TargetLimit(report.target_id, report.started_at, report.rate)
    if report.named_age is not None:
        named_at = now - report.named_age
        limit = msgspec.structs.replace(limit, named_at=named_at)
    if report.ended_age is not None:
        ended_at = now - report.ended_age
        limit = msgspec.structs.replace(
            limit, ended_at=ended_at, reported_end=ended_at
        )
    if report.leaving_age is not None:
        leaving_since = now - report.leaving_age
        limit = msgspec.structs.replace(limit, leaving_since=leaving_since)
    return msgspec.structs.replace(limit, replaced_at=report.replaced_at)


def ignore_reports(reports: list[LimitReport]) -> None:
    """Ignore reports; the default until a handler is set."""


def _age(at: Seconds, now: Seconds) -> Seconds | None:
    if not math.isfinite(at):
        return None
    return min(max(now - at, 0), MAX_AGE)
