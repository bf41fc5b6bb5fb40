"""Tell which owners of keys have too many or too few requests."""

import math
from typing import Final

from cassialever.keys.targetloads import OwnerLoad
from cassialever.types import Seconds, TargetId

#: A target is overloaded above this multiple of the mean usage.
OVERLOAD_RATIO: Final = 1.3
#: A target is underloaded, and gets keys of busier ones, below this multiple
#: of the mean usage.
UNDERLOAD_RATIO: Final = 0.75
#: Below this usage a target is never overloaded, whatever the others have: a
#: move makes requests for its keys wait, and gains nothing there.
MIN_OVERLOAD_USAGE: Final = 0.6
#: Above this share of the limit that it named a target is overloaded. Requests
#: do not arrive evenly, and what exceeds the limit is refused.
MAX_LIMIT_USAGE: Final = 0.8
#: A limited target that has not answered a request for this long gets some
#: keys: only an answer tells that its limit has ended.
MAX_SILENCE: Final[Seconds] = 3.0
#: Deviation of a measured load, in standard deviations, that is put down to
#: chance.
NOISE_DEVIATIONS: Final = 1.5


def mean_usage(load_by_id: dict[TargetId, OwnerLoad]) -> float:
    """Return the usage of all targets together."""
    load = sum(one.load for one in load_by_id.values())
    return load / sum(one.capacity for one in load_by_id.values())


def is_unbalanced(
    busiest: OwnerLoad,
    least_busy: OwnerLoad,
    mean: float,
) -> bool:
    """Return whether keys should move between two targets."""
    return is_overloaded(busiest, mean) or is_underloaded(least_busy, mean)


def is_silent(owner: OwnerLoad, now: Seconds) -> bool:
    """Return whether a limited target can't tell that its limit has ended."""
    return owner.is_limited and now - owner.active_at > MAX_SILENCE


def is_underloaded(owner: OwnerLoad, mean: float) -> bool:
    """Return whether a target has no load, or less than chance explains."""
    expected = mean * owner.capacity
    noise = NOISE_DEVIATIONS * math.sqrt(expected / owner.span)
    has_none = not owner.load
    return has_none or owner.load < expected * UNDERLOAD_RATIO - noise


def is_overloaded(owner: OwnerLoad, mean: float) -> bool:
    """Return whether a target has more load than chance explains."""
    if owner.is_limited and mean < MAX_LIMIT_USAGE:
        # Callers are refused what exceeds a limit, by chance or not.
        return owner.usage > MAX_LIMIT_USAGE
    noise = NOISE_DEVIATIONS * math.sqrt(owner.load / owner.span)
    limit = max(mean * OVERLOAD_RATIO, MIN_OVERLOAD_USAGE)
    return owner.usage > limit + noise / owner.capacity


def usage_of(owner: OwnerLoad) -> float:
    """Return the share of a target's capacity that is used, as a sort key."""
    return owner.usage
