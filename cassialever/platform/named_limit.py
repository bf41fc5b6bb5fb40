"""Decode the limit that a target names in its answers."""

import math
from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from cassialever.decoding import shortened
from cassialever.errors import ErrorKind, Failure
from cassialever.platform import wire


class NamedLimit(msgspec.Struct, frozen=True):
    """What an answer says of its target's limit.

    `rate` is the number of requests per second that the target takes from all
    daemons together; None means that it names no limit.
    """

    rate: float | None


def parse_named_limit(
    status: int,
    headers: Mapping[str, str],
) -> NamedLimit | Failure:
    """Parse the limit in an answer; fail if it tells nothing of its target.

    Another target than the expected one answers with 421. An answer that is
    neither signed nor a refusal may come from anywhere.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Failure(ErrorKind.target_failed, 'another target may answer so')
    if not wire.is_signed(headers) and not wire.reports_not_run(
        status, headers
    ):
        return Failure(ErrorKind.target_failed, 'the answer is unsigned')
    text = headers.get(wire.LIMIT_HEADER)
    if text is None:
        return NamedLimit(None)
    rate = _parse_rate(text)
    if rate is None:
        reason = f'invalid limit {shortened(text)!r}'
        return Failure(ErrorKind.bad_request, reason)
    return NamedLimit(rate)


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
