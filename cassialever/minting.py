"""Request ids: minting them and reading when one was minted."""

import uuid
from typing import Final

from cassialever.interfaces import RandomSource
from cassialever.types import MILLISECONDS, RequestId, Seconds

TIME_SHIFT: Final = 80
VERSION: Final = 7
VERSION_SHIFT: Final = 76
VARIANT: Final = 0b10
VARIANT_SHIFT: Final = 62
HIGH_SHIFT: Final = 64
HIGH_RANGE: Final = 4096


def mint(wall: Seconds, source: RandomSource) -> RequestId:
    """Return a fresh UUIDv7 for an instant in seconds since 1970."""
    bits = int(wall * MILLISECONDS) << TIME_SHIFT
    bits |= VERSION << VERSION_SHIFT
    bits |= source.randrange(HIGH_RANGE) << HIGH_SHIFT
    bits |= VARIANT << VARIANT_SHIFT
    bits |= source.randrange(1 << VARIANT_SHIFT)
    return RequestId(str(uuid.UUID(int=bits)))


def minted_at(request_id: RequestId) -> Seconds | None:
    """Return when an id was minted, in seconds since 1970.

    Only a UUIDv7 tells; for any other id the answer is `None`.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122:
        return None
    if parsed.version != VERSION:
        return None
    return (parsed.int >> TIME_SHIFT) / MILLISECONDS
