"""The ranges of numbers and texts in entries that others write."""

import re
from typing import Annotated, Final, TypeAlias

import msgspec

from cassialever.types import MS_PER_SECOND, Seconds

#: Most requests that a target can say to work on at the same time: more than
#: any does. A larger share of the requests and keys of its service than its
#: own would go to it.
MAX_SLOTS: Final = 10_000
#: Longest cold start that a target can report.
MAX_COLD_TIME: Final[Seconds] = 3600.0
#: Bits of a whole number without its sign; no message carries larger ones.
INTEGER_BITS: Final = 63
MAX_INTEGER: Final = (1 << INTEGER_BITS) - 1
#: Longest name of a target, a service or a data centre, in characters: that
#: of the store's rows.
MAX_NAME_LENGTH: Final = 200
#: Longest handover, in characters; a target gives it when it releases keys.
MAX_HANDOVER_LENGTH: Final = 1024
#: Size of the store's rows if the settings name none, in bytes.
DEFAULT_ROW_BYTES: Final = 65536

Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
UnixMilliseconds: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
#: A target that was cold may report a little less than nothing.
ColdMilliseconds: TypeAlias = Annotated[
    float,
    msgspec.Meta(
        ge=-MAX_COLD_TIME * MS_PER_SECOND,
        le=MAX_COLD_TIME * MS_PER_SECOND,
    ),
]

_TARGET_NAME: Final = re.compile(f'[!-~]{{1,{MAX_NAME_LENGTH}}}')


def is_target_name(name: str) -> bool:
    """Return whether a header can carry a name, as requests to a target do."""
    return _TARGET_NAME.fullmatch(name) is not None


def is_name(text: str) -> bool:
    """Return whether a text can name a service or a data centre."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
