"""Hold back requests for keys that their owner has said not to hold.

Load patterns handled: an owner whose grant has lapsed, or tables that are out
of step with it, while each request for the keys would be refused in turn. After
such an answer none is sent for a time, and then single ones, each of which may
show that the owner holds the keys again. That ends, too, once the keys have
another owner, life of it or fence.
"""

from typing import Final, TypeAlias

import msgspec

from cassialever.fleet.model import KeyRange, StartedAt
from cassialever.types import Fence, Seconds, ServiceName, TargetId

#: How long no request is sent after the first refusal. The leader changes an
#: owner within about as long.
MIN_REST: Final[Seconds] = 0.1
#: Longest time between two requests that try. It doubles up to this.
MAX_REST: Final[Seconds] = 0.4
#: How long a refusal is remembered, longer than a request waits for an owner.
MAX_AGE: Final[Seconds] = 10.0

#: Who holds keys by the tables, and by which grant.
_Holding: TypeAlias = tuple[ServiceName, TargetId, StartedAt, Fence]


class _Refusal(msgspec.Struct):
    """Keys that an owner did not hold, and when that may be tried again."""

    first: int
    last: int
    refused_at: Seconds
    rest: Seconds
    try_at: Seconds

    def contains(self, key: int) -> bool:
        """Return whether it concerns a key."""
        return self.first <= key <= self.last


class HeldKey(msgspec.Struct, frozen=True):
    """A request's key, with its range as the tables have it."""

    service: ServiceName
    key: int
    keys: KeyRange

    @property
    def holding(self) -> _Holding:
        """Return who holds the key."""
        keys = self.keys
        return (self.service, keys.owner, keys.owner_started_at, keys.fence)


def held_key(
    service: ServiceName, key: int, keys: KeyRange | None
) -> HeldKey | None:
    """Return a request's key with its range, if that is known."""
    return None if keys is None else HeldKey(service, key, keys)


class UnheldKeys:
    """Which owners have refused requests since they don't hold the keys.

    Keys are compared one by one, so that a range which is divided or joined
    meanwhile keeps what is known of each of its keys.
    """

    def __init__(self) -> None:
        """Start without any refusal."""
        self._refusals_by_holding: dict[_Holding, list[_Refusal]] = {}

    def record_refused(
        self, held: HeldKey, sent_at: Seconds, now: Seconds
    ) -> None:
        """Record that an owner has refused a request for a key.

        Requests that were sent before the owner's first refusal was known
        don't lengthen the rest.
        """
        known = self._find(held)
        if known is None:
            self._add(held, now)
            return
        if sent_at < known.refused_at:
            return
        known.refused_at = now
        known.rest = min(2 * known.rest, MAX_REST)
        known.try_at = now + known.rest

    def record_held(self, held: HeldKey, sent_at: Seconds) -> None:
        """Record that an owner has run a request for a key.

        One that was sent before a refusal tells nothing of the time after it.
        """
        known = self._find(held)
        if known is None or sent_at < known.refused_at:
            return
        self._refusals_by_holding[held.holding].remove(known)

    def record_tried(self, held: HeldKey, now: Seconds) -> None:
        """Record that a request for a key is sent; others rest meanwhile."""
        known = self._find(held)
        if known is not None:
            known.try_at = now + known.rest

    def may_send(
        self, held: HeldKey, now: Seconds, *, was_refused: bool
    ) -> bool:
        """Return whether a request may be sent to the owner of its key.

        One that `was_refused` since its key was not held does not try again.
        """
        known = self._find(held)
        if known is None:
            return True
        return not was_refused and now >= known.try_at

    def is_refused_since(self, held: HeldKey, since: Seconds) -> bool:
        """Return whether an owner has refused a key since a moment."""
        known = self._find(held)
        return known is not None and known.refused_at > since

    def prune(self, now: Seconds) -> None:
        """Forget refusals that are old, as those of earlier fences become."""
        for holding, refusals in list(self._refusals_by_holding.items()):
            recent = [one for one in refusals if now < one.refused_at + MAX_AGE]
            self._refusals_by_holding[holding] = recent
            if not recent:
                self._refusals_by_holding.pop(holding)

    def _find(self, held: HeldKey) -> _Refusal | None:
        if not self._refusals_by_holding:
            return None
        for one in self._refusals_by_holding.get(held.holding, ()):
            if one.contains(held.key):
                return one
        return None

    def _add(self, held: HeldKey, now: Seconds) -> None:
        keys = held.keys
        refusal = _Refusal(keys.first, keys.last, now, MIN_REST, now + MIN_REST)
        # Those of parts that were joined are within it.
        others = [
            one
            for one in self._refusals_by_holding.get(held.holding, ())
            if one.first < keys.first or one.last > keys.last
        ]
        self._refusals_by_holding[held.holding] = [*others, refusal]
