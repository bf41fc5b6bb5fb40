"""Limit the rate of requests to cold targets, over all daemons together.

Load pattern handled: targets that start together and are cold, while each of
many daemons finds them idle and would send them its next request. One daemon,
the keeper, issues the permits for a target: the one whose hash with the target
is highest (rendezvous hashing, after Thaler and Ravishankar). A permit that is
lost or not used costs a request at a cold target, never one too many.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import Final, TypeAlias

import xxhash

from cassialever.types import Seconds, TargetId

#: How long a permit is valid from its start on. With it, at most 1.5 times the
#: rate and one are used in any second, which is what the platform allows.
PERMIT_LIFETIME: Final[Seconds] = 0.5
#: How far ahead permits are issued; requests wait about as long for a target.
MAX_BOOKING_DELAY: Final[Seconds] = 0.5
#: Minimum time between two permit requests of a daemon for a target.
MIN_REQUEST_INTERVAL: Final[Seconds] = 0.02
#: Bounds the requests of all daemons for a target: at 50 microseconds each,
#: they take 1.3% of a core of its keeper.
MAX_REQUESTS_PER_SECOND: Final = 260
#: How long permits of a former keeper may still be valid.
KEEPER_CHANGE_DELAY: Final[Seconds] = MAX_BOOKING_DELAY + PERMIT_LIFETIME


_FormerList: TypeAlias = tuple[frozenset[str], Seconds]


class PermitIssuer:
    """Issues permits for cold targets, as their keeper."""

    def __init__(self) -> None:
        #: Start of the next permit for each target.
        self._next_by_id: dict[TargetId, Seconds] = {}

    def issue(
        self,
        target_id: TargetId,
        rate: float,
        now: Seconds,
    ) -> Seconds | None:
        """Return the delay until a permit's start, or None if there is none.

        `rate` is the number of requests per second that the target takes.
        """
        if rate <= 0:
            return None
        start = max(self._next_by_id.get(target_id, now), now)
        if start - now > MAX_BOOKING_DELAY:
            return None
        self._next_by_id[target_id] = start + 1 / rate
        return start - now

    def prune(self, now: Seconds) -> None:
        """Forget targets for which no issued permit restricts the next."""
        self._next_by_id = {
            target_id: start
            for target_id, start in self._next_by_id.items()
            if start > now
        }


class KeeperDirectory:
    """Determines which daemon is the keeper of a target."""

    def __init__(self) -> None:
        self._daemons: frozenset[str] = frozenset()
        #: Former lists of daemons, and until when permits by them are valid.
        self._former: deque[_FormerList] = deque()
        self._keeper_by_id: dict[TargetId, str | None] = {}

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
        self._daemons = frozenset(daemons)
        self._keeper_by_id.clear()

    def keeper_of(self, target_id: TargetId) -> str | None:
        """Return a target's keeper; None if unknown or changed just now."""
        if target_id not in self._keeper_by_id:
            lists = [self._daemons, *(names for names, _ in self._former)]
            keepers = {_highest(target_id, names) for names in lists}
            self._keeper_by_id[target_id] = (
                keepers.pop() if len(keepers) == 1 else None
            )
        return self._keeper_by_id[target_id]


class WarmUpLimiter:
    """The permits of this daemon for requests to cold targets."""

    def __init__(self) -> None:
        """Start without permits and without a way to request them."""
        #: Start of the latest permit for each target.
        self._start_by_id: dict[TargetId, Seconds] = {}
        self._request_at_by_id: dict[TargetId, Seconds] = {}
        #: Requests a permit, and returns the number of daemons that do so.
        self.request_permit: Callable[[TargetId], int] = _request_nothing

    def allows(self, target_id: TargetId, now: Seconds) -> bool:
        """Return whether a cold target may get a request now."""
        start = self._start_by_id.get(target_id)
        return start is not None and start <= now < start + PERMIT_LIFETIME

    def request(self, target_id: TargetId, now: Seconds) -> None:
        """Request a permit unless there is one or it was requested before."""
        start = self._start_by_id.get(target_id)
        if start is not None and now < start + PERMIT_LIFETIME:
            return
        if now < self._request_at_by_id.get(target_id, now):
            return
        daemons = self.request_permit(target_id)
        self._request_at_by_id[target_id] = now + max(
            MIN_REQUEST_INTERVAL,
            daemons / MAX_REQUESTS_PER_SECOND,
        )

    def add_permit(self, target_id: TargetId, start: Seconds) -> None:
        """Add a permit that is valid from `start` on."""
        self._start_by_id[target_id] = start

    def use_permit(self, target_id: TargetId) -> None:
        """Use up the permit for a target."""
        self._start_by_id.pop(target_id, None)
        self._request_at_by_id.pop(target_id, None)

    def prune(self, now: Seconds) -> None:
        """Forget permits that have expired, and requests that may be made."""
        self._start_by_id = {
            target_id: start
            for target_id, start in self._start_by_id.items()
            if now < start + PERMIT_LIFETIME
        }
        self._request_at_by_id = {
            target_id: at
            for target_id, at in self._request_at_by_id.items()
            if now < at
        }


def _highest(target_id: TargetId, daemons: Collection[str]) -> str | None:
    """Return the daemon whose hash with the target is highest."""
    return max(
        daemons,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{name}\0{target_id}'.encode()
        ),
        default=None,
    )


def _request_nothing(_: TargetId) -> int:
    """Request no permit; the default until a way to do so is set."""
    return 0
