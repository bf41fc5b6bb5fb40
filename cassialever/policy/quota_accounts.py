"""Admit the requests of one customer at one daemon, by tokens of keepers.

Load patterns handled: callers that come to a few daemons only, whose requests
must not wait for a datagram each; a customer over its limit, whose requests are
refused without asking for each; keepers that do not answer.
"""

import enum
import math
from collections import deque
from collections.abc import Sequence
from typing import Final

import msgspec

from cassialever.policy.quotas import (
    AHEAD_LIFETIME,
    LANE_COUNT,
    MAX_PORTION,
    NEEDED_LIFETIME,
    OWN_LIFETIME,
    Quota,
    QuotaAsk,
    QuotaPortion,
)
from cassialever.types import Seconds

#: How long requests wait for an answer of a keeper before another one is asked.
ANSWER_TIMEOUT: Final[Seconds] = 0.09
#: How long a keeper that has not answered twice is not asked again.
SILENT_PAUSE: Final[Seconds] = 0.5
#: How long a request waits for a token in all.
MAX_QUOTA_WAIT: Final[Seconds] = 0.28
#: Time in which demand is measured.
DEMAND_TIME: Final[Seconds] = 2.0
#: Tokens are held for this much of the demand to come; below the lower one,
#: more are asked for.
AHEAD_TIME: Final[Seconds] = 0.4
LOW_TIME: Final[Seconds] = 0.15
#: How long none are asked for ahead of a keeper that issued none.
AHEAD_PAUSE: Final[Seconds] = 1.0
#: Requests expected within the life of a token, for one to be asked ahead.
MIN_EXPECTED: Final = 0.7
#: Shortest and longest time to retry after, before it is spread.
MIN_RETRY_AFTER: Final[Seconds] = 0.25
MAX_RETRY_AFTER: Final[Seconds] = 2.0


class LaneAsk(msgspec.Struct, frozen=True):
    """A question to the keeper of a lane, by the lane's number."""

    lane: int
    ask: QuotaAsk
    asked_at: Seconds


class _HeldTokens(msgspec.Struct):
    ends_at: Seconds
    count: int


class _Question(enum.Enum):
    """What became of the last question to a keeper."""

    asked = enum.auto()
    answered = enum.auto()
    given_up = enum.auto()


class _LaneTokens:
    """The tokens of one lane that this daemon holds."""

    def __init__(self) -> None:
        self.tokens: deque[_HeldTokens] = deque()
        self.used = 0
        self.serial = 0
        self.asked_at: Seconds = -math.inf
        self.last_ask = QuotaAsk(0)
        self.question = _Question.given_up
        #: Whether the last question had no answer in time.
        self.is_silent = False
        self.ahead_after: Seconds = -math.inf
        self.paused_until: Seconds = -math.inf
        #: Tokens that the keeper counts as issued, and that were not used.
        self.unused = 0

    @property
    def is_asked(self) -> bool:
        """Return whether an answer is waited for."""
        return self.question is _Question.asked

    def held(self, now: Seconds) -> int:
        """Return the number of valid tokens, and drop the others."""
        while self.tokens and (
            self.tokens[0].ends_at <= now or not self.tokens[0].count
        ):
            self.tokens.popleft()
        return sum(one.count for one in self.tokens if one.ends_at > now)

    def waited_for(self, now: Seconds) -> int | None:
        """Return the requests that wait for an answer; None without one."""
        if self.is_asked and now - self.asked_at >= ANSWER_TIMEOUT:
            self.question = _Question.given_up
            if self.is_silent:
                self.paused_until = self.asked_at + SILENT_PAUSE
            self.is_silent = True
        return self.last_ask.needed if self.is_asked else None

    def may_ask(self, now: Seconds) -> bool:
        return self.waited_for(now) is None and now >= self.paused_until

    def is_ample(self, now: Seconds) -> bool:
        """Return whether the keeper has answered, and with all asked for."""
        return now >= self.ahead_after and not self.is_silent

    def ask(self, needed: int, ahead: int, now: Seconds) -> QuotaAsk:
        held = self.held(now)
        self.unused = held
        self.last_ask = QuotaAsk(
            needed,
            ahead,
            min(self.used, MAX_PORTION),
            min(held, MAX_PORTION),
            self.serial,
        )
        return self.last_ask

    def is_expected(self, asked_at: Seconds) -> bool:
        """Return whether an answer is of a question, and no second one."""
        if asked_at == self.asked_at:
            return self.question is not _Question.answered
        return asked_at < self.asked_at

    def add(self, portion: QuotaPortion, asked_at: Seconds) -> None:
        self.serial = max(self.serial, portion.serial)
        if asked_at == self.asked_at:
            # Another keeper counts its answers from the beginning.
            self.serial = portion.serial
            self.question = _Question.answered
            self.is_silent = False
            self.used -= self.last_ask.used
        self.unused += portion.needed + portion.ahead
        for count, lifetime in (
            (portion.needed, NEEDED_LIFETIME),
            (portion.ahead, AHEAD_LIFETIME),
        ):
            if count:
                self.tokens.append(_HeldTokens(asked_at + lifetime, count))


class OwnShare:
    """Tokens that a daemon without keepers issues to itself.

    They begin at regular times, which differ between daemons, and last for a
    moment, so that many daemons have no more than their sum in a window.
    """

    def __init__(self, phase: float) -> None:
        """Set where between 0 and 1 of an interval the tokens begin."""
        self._phase = phase
        self._used_at: Seconds = -math.inf

    def take(self, rate: float, now: Seconds) -> bool:
        """Use a token of those that a rate has; false if there is none."""
        if rate <= 0:
            return False
        interval = 1 / rate
        oldest = max(now - OWN_LIFETIME, self._used_at)
        number = math.floor(oldest / interval - self._phase) + 1
        begins = (number + self._phase) * interval
        if begins > now:
            return False
        # Past the beginning by more than a rounding error.
        self._used_at = begins + interval / 1000
        return True


class _Demand:
    """How many requests of a customer come, and how many are admitted."""

    def __init__(self) -> None:
        self.admitted: float = 0
        self.counted_at: Seconds = -math.inf
        self._requests: float = 0

    def count(self, now: Seconds) -> None:
        """Count a request that asks to be admitted."""
        decay = math.exp(-max(now - self.counted_at, 0) / DEMAND_TIME)
        self.counted_at = now
        self._requests = self._requests * decay + 1
        self.admitted *= decay

    def expected(self, now: Seconds) -> float:
        """Return the requests per second that are expected."""
        passed = max(now - self.counted_at, 0)
        # Without the last one, which would count for more than it tells.
        others = max(self._requests - 1, 0)
        return others * math.exp(-passed / DEMAND_TIME) / DEMAND_TIME

    def excess(self) -> float:
        """Return the requests that come for each that is admitted."""
        return self._requests / max(self.admitted, 1)


class QuotaAccount:
    """The tokens of one customer at this daemon."""

    def __init__(self, quota: Quota, phase: float) -> None:
        """Start without tokens; the phase differs between daemons."""
        self.quota = quota
        self._own = OwnShare(phase)
        self._first_lane = int(phase * LANE_COUNT)
        self._lanes: Sequence[_LaneTokens] = tuple(
            _LaneTokens() for _ in range(LANE_COUNT)
        )
        self._demand = _Demand()
        self.admitted_count = 0
        self.refused_count = 0

    def count_request(self, now: Seconds) -> None:
        """Count a request that asks to be admitted."""
        self._demand.count(now)

    def take(self, now: Seconds) -> Seconds | None:
        """Use a token; return until when it was valid, None without one."""
        first: _LaneTokens | None = None
        for lane in self._lanes:
            if not lane.held(now):
                continue
            if (
                first is None
                or lane.tokens[0].ends_at < first.tokens[0].ends_at
            ):
                first = lane
        if first is None:
            return None
        first.tokens[0].count -= 1
        first.used += 1
        first.unused -= 1
        self.admitted_count += 1
        self._demand.admitted += 1
        return first.tokens[0].ends_at

    def take_own(self, factor: float, now: Seconds) -> bool:
        """Use a token of the own share, of that part of the rate."""
        if not self._own.take(self.quota.rate * factor, now):
            return False
        self.admitted_count += 1
        self._demand.admitted += 1
        return True

    def give_back(self, ends_at: Seconds, now: Seconds) -> None:
        """Take back a token of a request that has not run."""
        if now >= ends_at:
            return
        for lane in self._lanes:
            if lane.used > lane.last_ask.used:
                lane.used -= 1
                lane.unused += 1
                self._demand.admitted = max(self._demand.admitted - 1, 0)
                lane.tokens.appendleft(_HeldTokens(ends_at, 1))
                return

    def held(self, now: Seconds) -> int:
        """Return the number of valid tokens."""
        return sum(lane.held(now) for lane in self._lanes)

    def plan(self, waiting: int, now: Seconds) -> LaneAsk | None:
        """Return the next question to a keeper, if one is due.

        `waiting` requests have no token.
        """
        asked = [lane.waited_for(now) for lane in self._lanes]
        missing = waiting - sum(filter(None, asked))
        ahead = self._missing_ahead(now)
        is_asking = any(one is not None for one in asked)
        if missing <= 0 and (not ahead or is_asking):
            return None
        chosen = _next_lane(self._lanes, self._first_lane, now)
        if chosen is None:
            return None
        lane = self._lanes[chosen]
        needed = max(missing, 0)
        if now < lane.ahead_after:
            ahead = 0
        if not needed and not ahead:
            return None
        ask = lane.ask(min(needed, MAX_PORTION), ahead, now)
        lane.asked_at = now
        lane.question = _Question.asked
        return LaneAsk(chosen, ask, now)

    def add(
        self,
        lane: int,
        portion: QuotaPortion,
        asked_at: Seconds,
        now: Seconds,
    ) -> None:
        """Add the answer of a keeper, which was asked at that time."""
        asked = self._lanes[lane]
        if not asked.is_expected(asked_at):
            return
        asked.add(portion, asked_at)
        if portion.pause:
            asked.paused_until = now + portion.pause
        if portion.ahead < asked.last_ask.ahead:
            asked.ahead_after = now + AHEAD_PAUSE

    def pause_lane(self, lane: int, pause: Seconds, now: Seconds) -> None:
        """Leave out a lane for a time, since its keeper can't be asked."""
        self._lanes[lane].question = _Question.given_up
        self._lanes[lane].paused_until = now + pause

    def is_waited_for(self, now: Seconds) -> bool:
        """Return whether a keeper may still answer."""
        return any(lane.waited_for(now) is not None for lane in self._lanes)

    def returns(self, now: Seconds) -> list[LaneAsk]:
        """Return what tells keepers of tokens that have expired unused."""
        told = []
        for number, lane in enumerate(self._lanes):
            if lane.is_asked or lane.held(now):
                continue
            if lane.unused <= 0:
                continue
            told.append(LaneAsk(number, lane.ask(0, 0, now), now))
        return told

    def is_idle(self, now: Seconds) -> bool:
        """Return whether nothing would be lost without this account."""
        return now - self._demand.counted_at > 10 * DEMAND_TIME

    @property
    def max_waiting(self) -> int:
        """Return how many requests may wait: all tokens that may come."""
        return LANE_COUNT + int(self.quota.rate * MAX_QUOTA_WAIT)

    def retry_after(self, now: Seconds) -> Seconds:
        """Return the shortest time after which a refused request may come."""
        excess = self._demand.excess()
        return min(
            max(MIN_RETRY_AFTER * excess, MIN_RETRY_AFTER), MAX_RETRY_AFTER
        )

    def asked_age(self, now: Seconds) -> Seconds:
        """Return the time since a keeper was last asked; infinite if never."""
        return now - max(lane.asked_at for lane in self._lanes)

    def _missing_ahead(self, now: Seconds) -> int:
        """Return how many tokens to ask for ahead; 0 if there are enough."""
        expected = self._demand.expected(now)
        if expected * AHEAD_LIFETIME < MIN_EXPECTED:
            return 0
        held = self.held(now)
        if held > expected * LOW_TIME:
            return 0
        return min(max(math.ceil(expected * AHEAD_TIME) - held, 0), MAX_PORTION)


def _next_lane(
    lanes: Sequence[_LaneTokens], first: int, now: Seconds
) -> int | None:
    """Return the lane to ask, of those that may be; daemons begin with `first`.

    Keepers learn by a question what was used, so that the same is asked until
    it has issued nothing ahead; then the one that was not for longest.
    """
    free = [number for number, lane in enumerate(lanes) if lane.may_ask(now)]
    if not free:
        return None
    ample = [number for number in free if lanes[number].is_ample(now)]
    by_time = {
        number: (lanes[number].asked_at, (number + first) % LANE_COUNT)
        for number in free
    }
    if ample:
        return max(ample, key=by_time.__getitem__)
    return min(free, key=by_time.__getitem__)
