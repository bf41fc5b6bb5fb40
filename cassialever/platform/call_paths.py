"""Tell whether a request may be taken for a call about keys."""

from typing import Final
from urllib.parse import unquote

from cassialever.platform.wire import GRANT_PATH, RELEASE_PATH

#: The paths of calls about keys, in segments; the first one names the platform.
_CALL_SEGMENTS: Final = tuple(
    path.strip('/').split('/') for path in (GRANT_PATH, RELEASE_PATH)
)
_PLATFORM_SEGMENT: Final = _CALL_SEGMENTS[0][0]


def is_call_path(path: str) -> bool:
    """Return whether a target may take a request for a call about keys.

    The path may be spelled otherwise, and have a query.
    """
    decoded = unquote(path.partition('?')[0]).lower()
    if _PLATFORM_SEGMENT not in decoded:
        return False
    segments: list[str] = []
    for segment in decoded.split('/'):
        if segment == '..':
            segments = segments[:-1]
        elif segment not in {'', '.'}:
            segments.append(segment)
    return segments in _CALL_SEGMENTS
