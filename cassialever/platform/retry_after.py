"""Decode the time for which a target wants no more requests."""

import re
from collections.abc import Mapping
from datetime import datetime, timezone
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from typing import Final

from cassialever.types import Seconds

_HEADER: Final = 'Retry-After'
_DATE: Final = 'Date'
#: Longer texts are no date.
_MAX_DATE_LENGTH: Final = 64
# Ten digits are centuries; Python fails on very long numbers.
_SECONDS: Final = re.compile(r'0*([0-9]{1,10})[0-9]*(\.[0-9]{1,9})?', re.ASCII)


def parse_pause(
    status: int, headers: Mapping[str, str], now: Seconds
) -> Seconds:
    """Return for how long a target wants nothing; 0 if it does not say.

    `now` is the time of the wall clock. A date counts from the `Date` of the
    answer, since the clock of the target may be another.
    """
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    text = headers.get(_HEADER, '').strip()
    seconds = _SECONDS.fullmatch(text)
    if seconds is not None:
        return float(seconds[1] + (seconds[2] or ''))
    until = _parse_date(text)
    if until is None:
        return 0
    since = _parse_date(headers.get(_DATE, ''))
    if since is None:
        since = now
    return max(until - since, 0)


def _parse_date(text: str) -> Seconds | None:
    """Parse a date in one of the three forms of RFC 9110."""
    if len(text) > _MAX_DATE_LENGTH:
        return None
    try:
        date: datetime = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=timezone.utc)
    return date.timestamp()
