"""Decide whether a request without a target waits or is refused.

Load patterns handled: a burst that exceeds the targets' capacity, keys that
are moving to another owner, an owner that has ended or does not hold its keys,
targets that take few requests, a service whose targets are all gone. A request
waits only while it can still be served in time. The others are refused at
once with a time to retry after, spread so that they do not return together.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.errors import ErrorKind
from cassialever.interfaces import RandomSource
from cassialever.policy.permits import MAX_BOOKING_DELAY
from cassialever.policy.placing import (
    NEEDS_LEADER,
    NoTargetReason,
    PermitDelay,
)
from cassialever.types import Seconds

#: The kind of error that is reported for each reason.
KIND_BY_REASON: Final[Mapping[NoTargetReason, ErrorKind]] = MappingProxyType(
    {
        NoTargetReason.no_service: ErrorKind.no_target,
        NoTargetReason.no_owner: ErrorKind.no_owner,
        NoTargetReason.moving: ErrorKind.no_owner,
        NoTargetReason.owner_ended: ErrorKind.no_owner,
        NoTargetReason.key_not_held: ErrorKind.no_owner,
        NoTargetReason.unreachable: ErrorKind.target_unreachable,
        NoTargetReason.cold: ErrorKind.target_busy,
        NoTargetReason.limited: ErrorKind.target_busy,
        NoTargetReason.full: ErrorKind.target_busy,
        NoTargetReason.paused: ErrorKind.target_busy,
    },
)


class Wait(msgspec.Struct, frozen=True):
    """Try to find a target again after a pause."""

    pause: Seconds


class Refuse(msgspec.Struct, frozen=True):
    """Refuse now, with the time after which a target is expected."""

    reason: NoTargetReason
    retry_after: Seconds


class RequestTiming(msgspec.Struct, frozen=True):
    """How long a request has waited, and how much time it has left.

    `expected_latency` is the usual time to its answer once it is sent;
    `objective` is the latency up to which the answer has its full worth.
    """

    waited: Seconds
    remaining: Seconds
    objective: Seconds
    expected_latency: Seconds
    #: Time until a permit for a target may be used, if one is needed.
    permit: PermitDelay = PermitDelay()
    #: Time until the end of a pause that a target has asked for.
    pause: Seconds = 0
    #: Number of requests of this daemon that wait for a target.
    waiting: int = 0
    #: Cores that this daemon may use; 0 if that is not known.
    cores: float = 0
    #: Whether this daemon leads or follows a leader, which assigns keys.
    has_leader: bool = True
    #: Time since the end of the key's owner was learned, if it has ended.
    ended_for: Seconds = 0
    #: Whether others are served first, until it would be too late.
    is_hopeless: bool = False


#: Share of the objective that a request may wait, by reason. A wait of up to
#: an eighth costs callers nothing; moving keys arrive at their new owner
#: within the time of one request.
_MAX_WAIT_SHARE: Final[Mapping[NoTargetReason, float]] = MappingProxyType(
    {
        NoTargetReason.no_service: 0,
        NoTargetReason.no_owner: 0.12,
        NoTargetReason.moving: 1,
        NoTargetReason.owner_ended: 1,
        NoTargetReason.key_not_held: 0.5,
        NoTargetReason.unreachable: 0,
        NoTargetReason.cold: 0.5,
        NoTargetReason.limited: 0.5,
        NoTargetReason.full: 0.5,
        NoTargetReason.paused: 0,
    },
)
#: Time from a refusal until a target is expected, by reason.
_RETRY_AFTER: Final[Mapping[NoTargetReason, Seconds]] = MappingProxyType(
    {
        NoTargetReason.no_service: 0.8,
        NoTargetReason.no_owner: 0.4,
        NoTargetReason.moving: 0.2,
        NoTargetReason.owner_ended: 0.2,
        NoTargetReason.key_not_held: 0.3,
        NoTargetReason.unreachable: 0.5,
        NoTargetReason.cold: 0.3,
        NoTargetReason.limited: 0.3,
        NoTargetReason.full: 0.25,
        NoTargetReason.paused: 0.3,
    },
)
#: Share of the time that they have left for which callers wait before they
#: retry.
HEEDED_SHARE: Final = 1 / 3
#: Shortest and longest time until room is expected: a caller is not back
#: sooner, and rates change before.
MIN_RETRY_AFTER: Final[Seconds] = 0.05
MAX_RETRY_AFTER: Final[Seconds] = 2.0
#: How long after the end of an owner was learned requests wait as for moving
#: keys. A leader that can write has moved them by then.
MAX_MOVE_TIME: Final[Seconds] = 0.6
#: Minimum time between two attempts of a request to find a target.
POLL_INTERVAL: Final[Seconds] = 0.015
#: Attempts a second of all requests that wait, for each core: about a tenth of
#: it, so that requests that wait leave a small daemon the time to serve others.
MAX_POLLS_PER_CORE: Final = 1000.0


def decide(
    reason: NoTargetReason,
    timing: RequestTiming,
    random_source: RandomSource,
) -> Wait | Refuse:
    """Decide whether a request that has no target now waits for one."""
    max_wait = _max_wait_share(reason, timing) * timing.objective
    if timing.permit.is_issued:
        # The permit would be lost if the request did not wait for it.
        max_wait += MAX_BOOKING_DELAY
    interval = _poll_interval(timing)
    pause = max(interval, timing.permit.delay)
    still_useful = (
        not timing.is_hopeless
        and timing.remaining - pause > timing.expected_latency
    )
    if timing.waited + pause <= max_wait and still_useful:
        return Wait(interval)
    # Spread between the expected time and twice that.
    expected = max(_RETRY_AFTER[reason], timing.permit.delay)
    retry_after = timing.pause + expected * (1 + random_source.random())
    return Refuse(reason, retry_after)


class ExpectedRoom(msgspec.Struct, frozen=True):
    """When a request that is refused now may find room.

    `places` are those a second that this daemon's requests get, for which
    `waiting` others wait. Its caller stops waiting after `time_left`.
    """

    waiting: int
    places: float
    time_left: Seconds

    @property
    def earliest(self) -> Seconds:
        """Return the time until those that wait have their places."""
        return (self.waiting + 1) / self.places

    @property
    def latest(self) -> Seconds:
        """Return up to when callers heed a time to retry after."""
        return self.time_left * HEEDED_SHARE


class ReturnTimes:
    """When the callers that one queue has refused come back.

    They return one after another at the rate of places, each after those as
    urgent or more. Where that would be too late for a caller, it returns at a
    random time until which it waits.
    """

    def __init__(self, random_source: RandomSource) -> None:
        """Start without any."""
        self._random = random_source
        #: When the last caller of a rank was told to return.
        self._booked_by_rank: dict[int, Seconds] = {}

    def book(self, rank: int, room: ExpectedRoom, now: Seconds) -> Seconds:
        """Return the time to retry after, and remember it."""
        earliest = max(min(room.earliest, MAX_RETRY_AFTER), MIN_RETRY_AFTER)
        last = max(
            (
                booked
                for other, booked in self._booked_by_rank.items()
                if other <= rank
            ),
            default=now,
        )
        interval = (1 + self._random.random()) / room.places
        delay = max(last - now, earliest) + interval
        if delay <= room.latest:
            self._booked_by_rank[rank] = now + delay
            return delay
        spare = max(room.latest - earliest, earliest)
        return earliest + spare * self._random.random()


class FixedRetryAfter(enum.Enum):
    """Times to retry after, for refusals without a `NoTargetReason`."""

    default = 0.5
    stopping = 0.1
    strained = 0.15
    outdated = 0.3


def _max_wait_share(reason: NoTargetReason, timing: RequestTiming) -> float:
    """Return the share of the objective that a request may wait.

    Where the leader alone can help, requests wait as briefly without one as
    for an owner that is not known, and so with one that moves no keys.
    """
    if reason in NEEDS_LEADER and not timing.has_leader:
        reason = NoTargetReason.no_owner
    if timing.ended_for > MAX_MOVE_TIME:
        reason = NoTargetReason.no_owner
    return _MAX_WAIT_SHARE[reason]


def _poll_interval(timing: RequestTiming) -> Seconds:
    """Return the time between two attempts of each request that waits."""
    if timing.permit.is_issued:
        # Its permit is valid for a short time only.
        return POLL_INTERVAL
    max_polls = MAX_POLLS_PER_CORE * (timing.cores or 1)
    return max(POLL_INTERVAL, timing.waiting / max_polls)
