"""Keep the rate of each customer's requests, over all daemons together.

Load pattern handled: a customer that sends many times its limit, by callers
that come to few daemons or to all, while daemons end or are cut off.

The limit of a customer is divided into lanes. Each lane has a keeper among the
daemons (rendezvous hashing), which holds a bucket of tokens and issues them to
daemons by their demand. A token admits one request. Tokens that are not used
expire, or go back. `docs/design/tenants.md` has the sum of what may be used in
a window.
"""

import math
from collections import deque
from collections.abc import Collection
from typing import Final, NewType

import msgspec
import xxhash

from cassialever.types import CustomerName, Seconds

#: One of the parts into which the limit of a customer is divided.
LaneId = NewType('LaneId', str)

#: Lanes of a customer, so that the end of one keeper costs a third.
LANE_COUNT: Final = 3
#: How long tokens are valid that requests wait for, and those issued ahead,
#: both from the time when they were asked for.
NEEDED_LIFETIME: Final[Seconds] = 0.3
AHEAD_LIFETIME: Final[Seconds] = 1.0
#: How long after its end a token may be given back.
RETURN_TIME: Final[Seconds] = 0.5
#: Shares of the overshoot and allowance together: for tokens in the bucket
#: beyond the burst, and for tokens that may be used after the window began in
#: which they were issued. The rest is for changes of keepers and for clocks.
DEPTH_SHARE: Final = 0.1
ISSUED_SHARE: Final = 0.5
#: Share of the burst that counts as issued where the bounds allow too little.
MIN_ISSUED_SHARE: Final = 0.25
#: Share of what may be issued that tokens issued ahead may take.
AHEAD_SHARE: Final = 0.6
#: Tokens in the lane of a new keeper.
START_TOKENS: Final = 1.0
#: Most tokens in one answer.
MAX_PORTION: Final = 10_000
#: Shortest and longest time before a daemon that was denied asks again.
MIN_PAUSE: Final[Seconds] = 0.02
MAX_PAUSE: Final[Seconds] = 10.0
#: Bounds the requests of all daemons for a lane that has no token: at 50
#: microseconds each, they take 0.5% of a core of its keeper.
MAX_ASKS_PER_SECOND: Final = 100
#: How long a daemon that was dropped from the list may go on by itself. So long
#: its part of the rate is left to it.
DROPPED_TIME: Final[Seconds] = 20.0
#: The part of it after which a daemon without a current list issues and uses
#: nothing: its clock may be slower, and it learns late that it is cut off.
ALONE_SHARE: Final = 0.8
#: How long a daemon counts as heard.
HEARD_TIME: Final[Seconds] = 1.0
#: Parts of the rate of a daemon whose list of daemons is not current: what it
#: lends to keepers that have the same list, and what it uses by itself.
LENT_SHARE: Final = 0.7
OWN_SHARE: Final = 0.25
#: How long a token of the own share is valid.
OWN_LIFETIME: Final[Seconds] = 0.5


_HASH_BITS: Final = 32


class QuotaTerms(msgspec.Struct, frozen=True):
    """By how much the requests of a customer may pass its limit in a window."""

    window: Seconds = 5.0
    overshoot: float = 0
    allowance: float = 0


class Quota(msgspec.Struct, frozen=True):
    """The limit of a customer, in requests per second and requests."""

    rate: float
    burst: float
    terms: QuotaTerms = QuotaTerms()

    @property
    def slack(self) -> float:
        """Return how many requests may pass the limit in a window."""
        terms = self.terms
        limit = self.rate * terms.window + self.burst
        return limit * terms.overshoot + terms.allowance

    @property
    def lane_rate(self) -> float:
        """Return the tokens per second of one lane."""
        return self.rate / LANE_COUNT

    @property
    def lane_issued(self) -> float:
        """Return how many tokens of a lane may be issued and not used."""
        issued = max(self.slack * ISSUED_SHARE, self.burst * MIN_ISSUED_SHARE)
        return max(issued / LANE_COUNT, 1)

    @property
    def lane_depth(self) -> float:
        """Return how many tokens a lane collects."""
        slack = self.slack
        borrowed = self.lane_issued * LANE_COUNT - slack * ISSUED_SHARE
        depth = self.burst + slack * DEPTH_SHARE - max(borrowed, 0)
        return max(depth / LANE_COUNT, 1)


class QuotaAsk(msgspec.Struct, frozen=True):
    """Asks for tokens that requests wait for, and for tokens ahead.

    Of those that came with the answer of number `serial` and before, `used`
    have been used since the last answer, and `held` may be still.
    """

    needed: int
    ahead: int = 0
    used: int = 0
    held: int = 0
    serial: int = 0

    @property
    def wants_tokens(self) -> bool:
        """Return whether it asks for any, rather than gives some back."""
        return bool(self.needed or self.ahead)


class QuotaPortion(msgspec.Struct, frozen=True):
    """The tokens of one answer; `pause` is the time until the next question."""

    needed: int = 0
    ahead: int = 0
    serial: int = 0
    pause: Seconds = 0


class _Grant(msgspec.Struct):
    """Tokens that a daemon may still use or give back until `ends_at`."""

    ends_at: Seconds
    count: int


class _Asker(msgspec.Struct):
    """What is known of one daemon that asks for tokens of a lane."""

    serial: int = 0
    asked_at: Seconds = 0
    grants: list[_Grant] = []


class _Lane:
    """The tokens of one lane, at its keeper."""

    def __init__(self, level: float, now: Seconds) -> None:
        self.level = level
        self._filled_at = now
        self._issued = 0
        self._needed: deque[_Grant] = deque()
        self._ahead: deque[_Grant] = deque()
        self._by_asker: dict[str, _Asker] = {}

    def fill(self, quota: Quota, share: float, now: Seconds) -> None:
        """Add the tokens since the last time, and forget expired ones."""
        passed = max(now - self._filled_at, 0)
        self._filled_at = now
        self.level += passed * quota.lane_rate * share
        self.level = min(self.level, quota.lane_depth)
        for grants in (self._needed, self._ahead):
            while grants and grants[0].ends_at <= now:
                self._issued -= grants.popleft().count

    def answer(
        self, asker: str, ask: QuotaAsk, quota: Quota, now: Seconds
    ) -> QuotaPortion:
        """Issue tokens that there are; the lane must be filled."""
        known = self._by_asker.setdefault(asker, _Asker())
        known.asked_at = now
        known.grants = [one for one in known.grants if one.ends_at > now]
        if ask.serial == known.serial:
            self._settle(known, ask, quota)
        needed = self._issue(ask.needed, quota.lane_issued, 1)
        ahead = 0
        if needed >= ask.needed:
            ahead = self._issue(
                ask.ahead, quota.lane_issued * AHEAD_SHARE, AHEAD_SHARE
            )
        self._note(known, needed, now + NEEDED_LIFETIME, self._needed)
        ends_at = now + AHEAD_LIFETIME + RETURN_TIME
        self._note(known, ahead, ends_at, self._ahead)
        known.serial += 1
        pause = self._pause(ask.needed - needed, quota)
        return QuotaPortion(needed, ahead, known.serial, pause)

    def settle(self, asker: str, ask: QuotaAsk, quota: Quota) -> None:
        """Take back the tokens that a daemon has not used."""
        known = self._by_asker.get(asker)
        if known is not None and ask.serial == known.serial:
            self._settle(known, ask, quota)

    def prune(self, now: Seconds) -> None:
        """Forget daemons that no longer ask."""
        self._by_asker = {
            asker: known
            for asker, known in self._by_asker.items()
            if now - known.asked_at < AHEAD_LIFETIME + 2 * RETURN_TIME
        }

    def _pause(self, missing: int, quota: Quota) -> Seconds:
        """Return how long a daemon that lacks tokens has to wait."""
        if self.level >= 1 or not quota.rate:
            # So many are issued that these have to be used first.
            return MIN_PAUSE if missing else 0
        next_token = (1 - self.level) / quota.lane_rate
        of_all = len(self._by_asker) / MAX_ASKS_PER_SECOND
        return min(max(next_token, of_all, MIN_PAUSE), MAX_PAUSE)

    def _issue(self, wanted: int, limit: float, level_share: float) -> int:
        room = min(self.level * level_share, limit - self._issued, MAX_PORTION)
        count = min(max(wanted, 0), max(int(room), 0))
        self.level -= count
        return count

    def _note(
        self,
        known: _Asker,
        count: int,
        ends_at: Seconds,
        grants: deque[_Grant],
    ) -> None:
        if not count:
            return
        grant = _Grant(ends_at, count)
        grants.append(grant)
        known.grants.append(grant)
        self._issued += count

    def _settle(self, known: _Asker, ask: QuotaAsk, quota: Quota) -> None:
        """Count as issued what a daemon holds, and take back the rest."""
        issued = sum(grant.count for grant in known.grants)
        held = min(ask.held, issued)
        left = held
        for grant in reversed(known.grants):
            grant.count = min(grant.count, left)
            left -= grant.count
        self._issued -= issued - held
        returned = max(issued - ask.used - held, 0)
        self.level = min(self.level + returned, quota.lane_depth)


class QuotaKeeper:
    """Issues the tokens of the lanes that this daemon keeps."""

    def __init__(self) -> None:
        """Start without lanes."""
        self._lane_by_id: dict[LaneId, _Lane] = {}
        self.issued_count = 0
        self.denied_count = 0

    def fill(
        self,
        lane_id: LaneId,
        quota: Quota,
        since: Seconds,
        share: float,
        now: Seconds,
    ) -> None:
        """Add the tokens of a lane up to now, at a share of its rate.

        A lane that is new collects them since this daemon keeps it.
        """
        lane = self._lane_by_id.get(lane_id)
        if lane is None:
            lane = _Lane(START_TOKENS, min(since, now))
            self._lane_by_id[lane_id] = lane
        lane.fill(quota, share, now)

    def answer(
        self,
        lane_id: LaneId,
        asker: str,
        ask: QuotaAsk,
        quota: Quota,
        now: Seconds,
    ) -> QuotaPortion:
        """Return tokens of a lane that is filled up to now.

        A daemon that needs none only gives back what it has not used.
        """
        lane = self._lane_by_id[lane_id]
        if not ask.wants_tokens:
            lane.settle(asker, ask, quota)
            return QuotaPortion()
        portion = lane.answer(asker, ask, quota, now)
        self.issued_count += portion.needed + portion.ahead
        self.denied_count += ask.needed - portion.needed
        return portion

    def level_of(self, lane_id: LaneId) -> float | None:
        """Return the tokens that a lane had last; None if it isn't kept."""
        lane = self._lane_by_id.get(lane_id)
        return None if lane is None else lane.level

    def prune(self, kept: Collection[LaneId], now: Seconds) -> None:
        """Forget lanes that this daemon doesn't keep any more."""
        for lane_id, lane in list(self._lane_by_id.items()):
            lane.prune(now)
            if lane_id not in kept:
                self._lane_by_id.pop(lane_id)

    @property
    def lane_ids(self) -> frozenset[LaneId]:
        """Return the lanes that were asked for."""
        return frozenset(self._lane_by_id)


class FleetShare:
    """The part of each rate that daemons with the same list may issue.

    Each daemon has an equal part of each rate. It lends the part to the keepers
    by its list of daemons, and shows by a digest of the list which these are.
    """

    def __init__(self, instance_id: str) -> None:
        """Start without a list."""
        self._instance_id = instance_id
        self._names: frozenset[str] = frozenset()
        self._dropped_by_name: dict[str, Seconds] = {}
        self._heard: dict[str, tuple[int, Seconds]] = {}
        self._is_current = False
        self._current_at: Seconds = -math.inf
        #: The digest of the list; 0 without one.
        self.digest = 0
        self.changed_at: Seconds = 0

    @property
    def daemon_count(self) -> int:
        """Return how many daemons may use a part of a rate."""
        return len(self._names) + len(self._dropped_by_name)

    @property
    def is_current(self) -> bool:
        """Return whether this daemon is on a list that is the latest."""
        return self._is_current and self._instance_id in self._names

    def update(
        self, names: Collection[str], now: Seconds, *, is_current: bool
    ) -> None:
        """Set the list of daemons, and whether no later one can be known."""
        self._is_current = is_current
        if self.is_current or math.isinf(self._current_at):
            self._current_at = now
        self._drop(now)
        if self._names == names:
            return
        for name in self._names.difference(names):
            self._dropped_by_name[name] = now + DROPPED_TIME
        for known in names:
            self._dropped_by_name.pop(known, None)
        self._names = frozenset(names)
        self._heard = {
            peer: heard
            for peer, heard in self._heard.items()
            if peer in self._names
        }
        self.changed_at = now
        self.digest = list_digest(names)

    def hear(self, peer: str, digest: int, now: Seconds) -> None:
        """Note the list by which a daemon chooses keepers."""
        if peer in self._names:
            self._heard[peer] = (digest, now)

    def factor(self, now: Seconds, *, is_settled: bool = True) -> float:
        """Return the part of a lane's rate that its keeper may issue now.

        A daemon that has just started may not know of keepers by an earlier
        list: it is not settled.
        """
        if not self.daemon_count:
            return 0
        if self.is_current and is_settled:
            return len(self._names) / self.daemon_count
        if self._is_too_old(now):
            return 0
        return self._count_alike(now) * LENT_SHARE / self.daemon_count

    def phase_of(self, customer: CustomerName) -> float:
        """Return where between 0 and 1 this daemon's own tokens begin."""
        named = f'{customer}\0{self._instance_id}'.encode()
        return xxhash.xxh32_intdigest(named) / (1 << _HASH_BITS)

    def own_factor(self, now: Seconds) -> float:
        """Return the part of a rate that this daemon may use by itself."""
        if self.is_current or not self.daemon_count:
            return 0
        if self._is_too_old(now):
            return 0
        return OWN_SHARE / self.daemon_count

    def _count_alike(self, now: Seconds) -> int:
        """Return how many daemons, with this one, have the same list."""
        return 1 + sum(
            digest == self.digest and now - heard_at < self._heard_time
            for digest, heard_at in self._heard.values()
        )

    def _is_too_old(self, now: Seconds) -> bool:
        """Return whether others may issue this daemon's part by now.

        They don't as long as all daemons have the same list.
        """
        if now - self._current_at < DROPPED_TIME * ALONE_SHARE:
            return False
        return self._count_alike(now) < len(self._names)

    @property
    def _heard_time(self) -> Seconds:
        """Return how long a report counts: they come rarely in large fleets."""
        return max(HEARD_TIME, len(self._names) * 3 / MAX_ASKS_PER_SECOND)

    def _drop(self, now: Seconds) -> None:
        for name, ends_at in list(self._dropped_by_name.items()):
            if ends_at <= now:
                self._dropped_by_name.pop(name)


def list_digest(names: Collection[str]) -> int:
    """Return a number that tells two lists of daemons apart; never 0."""
    return xxhash.xxh32_intdigest('\0'.join(sorted(names)).encode()) | 1


def lanes_of(customer: CustomerName) -> tuple[LaneId, ...]:
    """Return the ids of a customer's lanes."""
    return tuple(LaneId(f'{customer}\0{lane}') for lane in range(LANE_COUNT))
