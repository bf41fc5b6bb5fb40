"""Limit the rate of requests to targets, over all daemons together.

Load patterns handled: targets that start together and are cold, and targets in
need that name a limit, while each of many daemons would send them its next
request. One daemon, the keeper, issues the permits for a target: the one whose
hash with the target is highest (rendezvous hashing, after Thaler and
Ravishankar). A permit that is lost or not used costs a request at its target,
never one too many.
"""

import math
from collections import deque
from collections.abc import Callable, Collection
from typing import Final, TypeAlias

import msgspec
import xxhash

from cassialever.types import Seconds, TargetId

#: How long a permit is valid from its start on. With it, at most 1.5 times the
#: rate and one are used in any second, and 1.125 times the rate and one in any
#: four seconds; the platform allows 1.5 times and five or more.
PERMIT_LIFETIME: Final[Seconds] = 0.5
#: By how much later the request that uses a permit has to be written, by this
#: daemon or by a helper. The rest of what the platform allows is for its way.
MAX_SENDING_DELAY: Final[Seconds] = 0.2
#: How far ahead permits are issued. A request waits about as long for a target;
#: a permit that starts after it was refused is lost.
MAX_BOOKING_DELAY: Final[Seconds] = 0.25
#: Maximum number of permits in one answer; those that are not used are lost.
MAX_BATCH: Final = 32
#: Minimum time between two permit requests of a daemon for a target.
MIN_REQUEST_INTERVAL: Final[Seconds] = 0.02
#: Bounds the requests of all daemons for a target: at 50 microseconds each,
#: they take 1.3% of a core of its keeper.
MAX_REQUESTS_PER_SECOND: Final = 260
#: How much later than others a daemon may learn of a change of the daemons. As
#: long its list counts as current, so that it goes on asking a former keeper,
#: and one that has not heard of it goes on issuing.
MAX_LIST_LAG: Final[Seconds] = 1.5
#: How long permits of a former keeper may still be issued, and then be valid.
KEEPER_CHANGE_DELAY: Final[Seconds] = (
    MAX_LIST_LAG + MAX_BOOKING_DELAY + PERMIT_LIFETIME
)
#: Share of a rate that a keeper issues while its list of daemons may be
#: outdated, and to itself while those of others may be from before its start.
#: Daemons that it is cut off from then have another keeper, which issues the
#: whole rate: 1.2 times the rate in all.
OUTDATED_LIST_SHARE: Final = 0.2


_FormerList: TypeAlias = tuple[frozenset[str], Seconds]


class PermitBatch(msgspec.Struct, frozen=True):
    """Permits of which the first starts after `delay`, the others in turn.

    Without permits, `delay` is the time until the next one may start. `age` is
    the time since they were asked for.
    """

    delay: Seconds
    count: int = 0
    interval: Seconds = 0
    age: Seconds = 0


class _Permit(msgspec.Struct, frozen=True):
    """When a permit that is not used is valid."""

    start: Seconds
    ends_at: Seconds


class PermitIssuer:
    """Issues permits for targets, as their keeper."""

    def __init__(self) -> None:
        """Start without any permit issued."""
        self.issued_count = 0
        self.denied_count = 0
        #: Start of the last permit for each target, and of the next one at
        #: the rate at which it was issued.
        self._starts_by_id: dict[TargetId, tuple[Seconds, Seconds]] = {}

    def issue(
        self,
        target_id: TargetId,
        rate: float,
        now: Seconds,
        wanted: int = 1,
    ) -> PermitBatch | None:
        """Return up to the wanted number of permits, or None if none ever.

        `rate` is the number of requests per second that the target takes.
        """
        if rate <= 0:
            return None
        start = now
        earlier = self._starts_by_id.get(target_id)
        if earlier is not None:
            # The rate may have changed since.
            start = max(earlier[0] + 1 / rate, now)
        spare = MAX_BOOKING_DELAY - (start - now)
        if spare < 0:
            self.denied_count += 1
            return PermitBatch(start - now)
        count = min(max(wanted, 1), MAX_BATCH, 1 + int(spare * rate))
        last = start + (count - 1) / rate
        self._starts_by_id[target_id] = (last, last + 1 / rate)
        self.issued_count += count
        return PermitBatch(start - now, count, 1 / rate)

    def prune(self, now: Seconds) -> None:
        """Forget targets for which no issued permit restricts the next."""
        self._starts_by_id = {
            target_id: starts
            for target_id, starts in self._starts_by_id.items()
            if starts[1] > now
        }


class KeeperDirectory:
    """Determines which daemon is the keeper of a target."""

    def __init__(self) -> None:
        self._daemons: frozenset[str] = frozenset()
        #: Former lists of daemons, and until when permits by them are valid.
        self._former: deque[_FormerList] = deque()
        self._keeper_by_id: dict[TargetId, str | None] = {}
        #: Until when there may be permits by a list from before this daemon's
        #: start.
        self._settles_at: Seconds = 0

    @property
    def daemon_count(self) -> int:
        """Return the number of daemons, each of which may be a keeper."""
        return len(self._daemons)

    def update(self, daemons: Collection[str], now: Seconds) -> None:
        """Set the daemons that may be keepers from now on."""
        while self._former and self._former[0][1] <= now:
            self._former.popleft()
            self._keeper_by_id.clear()
        if self._daemons == daemons:
            return
        if self._daemons:
            self._former.append((self._daemons, now + KEEPER_CHANGE_DELAY))
        elif not self._settles_at:
            self._settles_at = now + KEEPER_CHANGE_DELAY
        self._daemons = frozenset(daemons)
        self._keeper_by_id.clear()

    def is_settled(self, now: Seconds) -> bool:
        """Return whether no list from before the start is in use any more."""
        return now >= self._settles_at or len(self._daemons) == 1

    def keeper_of(self, target_id: TargetId) -> str | None:
        """Return a target's keeper; None if unknown or changed just now."""
        if target_id not in self._keeper_by_id:
            lists = [self._daemons, *(names for names, _ in self._former)]
            keepers = {highest(target_id, names) for names in lists}
            self._keeper_by_id[target_id] = (
                keepers.pop() if len(keepers) == 1 else None
            )
        return self._keeper_by_id[target_id]


class _TargetPermits:
    """The permits of this daemon for one target."""

    def __init__(self) -> None:
        #: The permits that are not used, in ascending order of their starts.
        self.unused: deque[_Permit] = deque()
        self.request_at: Seconds = 0
        #: Until when the keeper has no permit.
        self.denied_until: Seconds = 0
        #: Permits used since the last request.
        self.used = 0

    def drop_expired(self, now: Seconds) -> None:
        while self.unused and now >= self.unused[0].ends_at:
            self.unused.popleft()

    def is_idle(self, now: Seconds) -> bool:
        return not self.unused and now >= max(
            self.request_at, self.denied_until
        )


class PermitLimiter:
    """The permits of this daemon for requests to cold and limited targets."""

    def __init__(self) -> None:
        """Start without permits and without a way to request them."""
        self._permits_by_id: dict[TargetId, _TargetPermits] = {}
        #: Requests a number of permits, and returns the number of daemons that
        #: do so.
        self.request_permits: Callable[[TargetId, int], int] = _request_nothing

    def allows(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a target may get a request now."""
        permits = self._permits_by_id.get(target_id)
        if permits is None:
            return False
        permits.drop_expired(now)
        return bool(permits.unused) and permits.unused[0].start <= now

    def permit_count(self, target_id: TargetId, now: Seconds) -> int:
        """Return the number of permits that are valid or will be."""
        permits = self._permits_by_id.get(target_id)
        if permits is None:
            return 0
        permits.drop_expired(now)
        return len(permits.unused)

    def request(self, target_id: TargetId, now: Seconds) -> None:
        """Request permits unless there are some or it is too soon."""
        permits = self._of(target_id)
        permits.drop_expired(now)
        if permits.unused or now < permits.request_at:
            return
        # A daemon that has used all of its permits gets twice as many.
        wanted = min(2 * permits.used + 1, MAX_BATCH)
        permits.used = 0
        daemons = self.request_permits(target_id, wanted)
        permits.request_at = now + max(
            MIN_REQUEST_INTERVAL,
            daemons / MAX_REQUESTS_PER_SECOND,
            permits.denied_until - now - MAX_BOOKING_DELAY,
        )

    def add_permits(
        self,
        target_id: TargetId,
        batch: PermitBatch,
        now: Seconds,
    ) -> None:
        """Add the permits that the keeper has issued, or note that it denied.

        `now` is when its answer arrived. The keeper has issued them since they
        were asked for, so that none counts longer for an answer that came late.
        """
        permits = self._of(target_id)
        start = now + batch.delay
        if not batch.count:
            permits.denied_until = start
            permits.request_at = max(
                permits.request_at, start - MAX_BOOKING_DELAY
            )
            return
        for number in range(batch.count):
            begins = start + number * batch.interval
            ends_at = begins + PERMIT_LIFETIME - batch.age
            permits.unused.append(_Permit(begins, ends_at))

    def use_permit(self, target_id: TargetId) -> Seconds:
        """Use up a permit for a target, if there is one.

        Return until when its request may be written; infinity without one.
        """
        permits = self._permits_by_id.get(target_id)
        if permits is None or not permits.unused:
            return math.inf
        permits.used += 1
        return permits.unused.popleft().ends_at + MAX_SENDING_DELAY

    def available_in(self, target_id: TargetId, now: Seconds) -> Seconds:
        """Return the time until a request may be sent; 0 if not known."""
        permits = self._permits_by_id.get(target_id)
        if permits is None:
            return 0
        permits.drop_expired(now)
        start = permits.denied_until
        if permits.unused:
            start = permits.unused[0].start
        return max(start - now, 0)

    def prune(self, now: Seconds) -> None:
        """Forget targets for which there is neither a permit nor a delay."""
        for target_id, permits in list(self._permits_by_id.items()):
            permits.drop_expired(now)
            if permits.is_idle(now):
                self._permits_by_id.pop(target_id)

    def _of(self, target_id: TargetId) -> _TargetPermits:
        return self._permits_by_id.setdefault(target_id, _TargetPermits())


def highest(target_id: TargetId, daemons: Collection[str]) -> str | None:
    """Return the daemon whose hash with the target is highest."""
    return max(
        daemons,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{name}\0{target_id}'.encode()
        ),
        default=None,
    )


def _request_nothing(target_id: TargetId, wanted: int) -> int:
    """Request no permits; the default until a way to do so is set."""
    return 0
