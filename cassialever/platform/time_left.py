"""The time that a target has for a request, in the platform's headers."""

from collections.abc import MutableMapping

from cassialever.platform.wire import DEADLINE_HEADER
from cassialever.types import MS_PER_SECOND, Seconds


def set_time_left(
    headers: MutableMapping[str, str], time_left: Seconds
) -> None:
    """Set the time limit of a request to a target; at least 1 ms."""
    limit = max(1, int(time_left * MS_PER_SECOND))
    headers[DEADLINE_HEADER] = str(limit)
