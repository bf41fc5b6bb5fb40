"""Decode what a target says of itself in its answers."""

from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import wire
from cassialever.platform.named_limit import NamedLimit, parse_named_limit
from cassialever.platform.retry_after import parse_pause
from cassialever.types import Seconds

#: The only value by which a target says that it leaves.
_LEAVING: Final = '1'


class TargetStatements(msgspec.Struct, frozen=True):
    """What an answer says of its target.

    `limit` is a failure if it can't be read, and `is_leaving` tells whether
    the target is about to end and wants no more requests. For `pause`
    seconds it wants none from the daemon that it answered.
    """

    limit: NamedLimit | Failure
    is_leaving: bool = False
    pause: Seconds = 0


def parse_statements(
    status: int,
    headers: Mapping[str, str],
    now: Seconds,
) -> TargetStatements | Failure:
    """Parse all statements; fail if the answer tells nothing of its target.

    `now` is the time of the wall clock.
    """
    limit = parse_named_limit(status, headers)
    if isinstance(limit, Failure) and limit.kind is ErrorKind.target_failed:
        return limit
    leaving = headers.get(wire.LEAVING_HEADER, '')
    return TargetStatements(
        limit,
        leaving.strip() == _LEAVING,
        parse_pause(status, headers, now),
    )
