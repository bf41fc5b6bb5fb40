"""Hold back requests for keys that their owner has said not to hold.

Load patterns handled: an owner whose grant has lapsed, or tables that are out
of step with it, while each request for the keys would be refused in turn. After
such an answer none is sent for a time, and then single ones, each of which may
show that the owner holds the keys again. An owner that has given back a part of
a range goes on serving the rest. That ends, too, once the keys have another
owner, life of it or fence.
"""

import bisect
from collections.abc import Collection, Iterator
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
#: Refused keys of a range from which on all of it counts as refused, unless the
#: owner has run a request for one of its keys since the first refusal.
MIN_KEYS_OF_RANGE: Final = 3
#: How much later keys among these try again than the others of the range, of
#: which the owner holds more if it has given back a part.
INNER_DELAY: Final[Seconds] = 0.05
#: Refusals without a success after which earlier successes don't count.
MAX_REFUSALS_IN_A_ROW: Final = 8
#: Refused keys of a span, spans, and keys held that are kept of one holding.
MAX_KEYS: Final = 32

#: Who holds keys by the tables, and by which grant.
Grant: TypeAlias = tuple[ServiceName, TargetId, StartedAt, Fence]


class _Span(msgspec.Struct):
    """Keys that an owner has refused, with those between them.

    `refused` is never empty. All rest together.
    """

    refused: list[int]
    refused_at: Seconds
    rest: Seconds
    try_at: Seconds

    def refused_in(self, keys: KeyRange) -> list[int]:
        """Return the refused keys that are within a range."""
        start = bisect.bisect_left(self.refused, keys.first)
        return self.refused[
            start : bisect.bisect_right(self.refused, keys.last)
        ]

    def contains(self, held: 'HeldKey') -> bool:
        """Return whether a key is in the part within its present range."""
        refused = self.refused_in(held.keys)
        return bool(refused) and refused[0] <= held.key <= refused[-1]

    def surrounds(self, held: 'HeldKey') -> bool:
        """Return whether a key is among several refused ones."""
        several = len(self.refused) >= MIN_KEYS_OF_RANGE
        return several and self.contains(held)

    def add(self, key: int) -> None:
        """Add a refused key; the outermost ones are kept."""
        self.refused = sorted({*self.refused, key})
        while len(self.refused) > MAX_KEYS:
            self.refused.pop(MAX_KEYS // 2)

    def renew(self, sent_at: Seconds, now: Seconds) -> None:
        """Lengthen the rest, unless a request was sent before it began."""
        if sent_at < self.refused_at:
            return
        self.refused_at = now
        self.rest = min(2 * self.rest, MAX_REST)
        self.try_at = now + self.rest

    def without(self, key: int) -> Iterator['_Span']:
        """Return the refused keys but for one, each of which rests alone."""
        for one in self.refused:
            if one != key:
                yield msgspec.structs.replace(self, refused=[one])


class HeldKey(msgspec.Struct, frozen=True):
    """A request's key, with its range as the tables have it."""

    service: ServiceName
    key: int
    keys: KeyRange

    @property
    def grant(self) -> Grant:
        """Return who holds the key, and by which grant."""
        keys = self.keys
        return (self.service, keys.owner, keys.owner_started_at, keys.fence)


def held_key(
    service: ServiceName, key: int, keys: KeyRange | None
) -> HeldKey | None:
    """Return a request's key with its range, if that is known."""
    return None if keys is None else HeldKey(service, key, keys)


class _Holding:
    """What an owner has refused and run under one grant."""

    def __init__(self, since: Seconds) -> None:
        """Start without refusals; the owner refuses first at `since`."""
        self.spans: list[_Span] = []
        self._since = since
        #: Keys of which it has run a request since, the latest last.
        self.held: list[int] = []
        self._refusals_in_a_row = 0

    def find(self, held: HeldKey) -> _Span | None:
        """Return what rests with a key."""
        for span in self.spans:
            if span.contains(held):
                return span
        return self._find_of_range(held.keys)

    def record_refused(
        self, held: HeldKey, sent_at: Seconds, now: Seconds
    ) -> None:
        """Record that the owner has refused a request for a key."""
        self._refusals_in_a_row += 1
        if held.key in self.held:
            self.held.remove(held.key)
        if self._refusals_in_a_row >= MAX_REFUSALS_IN_A_ROW:
            self.held.clear()
        span = self._join_neighbours(held.key)
        if span is None:
            self.spans.append(
                _Span([held.key], now, MIN_REST, now + MIN_REST),
            )
            self.spans = self.spans[-MAX_KEYS:]
            return
        span.add(held.key)
        span.renew(sent_at, now)

    def record_held(self, held: HeldKey, sent_at: Seconds) -> None:
        """Record that the owner has run a request for a key.

        Of the keys that rested with it, those that were refused still do.
        """
        span = self.find(held)
        refused_at = self._since if span is None else span.refused_at
        if sent_at < refused_at:
            return
        self._refusals_in_a_row = 0
        if span is not None:
            self.spans.remove(span)
            self.spans.extend(span.without(held.key))
            self.spans = self.spans[-MAX_KEYS:]
        if held.key in self.held:
            self.held.remove(held.key)
        self.held.append(held.key)
        self.held = self.held[-MAX_KEYS:]

    def _find_of_range(self, keys: KeyRange) -> _Span | None:
        """Return the latest span of a range of which no key is held."""
        if any(keys.first <= one <= keys.last for one in self.held):
            return None
        spans = [span for span in self.spans if span.refused_in(keys)]
        count = sum(len(span.refused_in(keys)) for span in spans)
        if count < MIN_KEYS_OF_RANGE:
            return None
        return max(spans, key=_refused_at)

    def _join_neighbours(self, key: int) -> _Span | None:
        """Join the spans between which and a key no key is held."""
        joined = None
        for span in tuple(self.spans):
            low = min(key, span.refused[0])
            high = max(key, span.refused[-1])
            if any(low < one < high for one in self.held):
                continue
            if joined is None:
                joined = span
                continue
            self.spans.remove(span)
            joined.refused = sorted({*joined.refused, *span.refused})
            joined.refused_at = max(joined.refused_at, span.refused_at)
            joined.rest = max(joined.rest, span.rest)
            joined.try_at = max(joined.try_at, span.try_at)
        return joined


class UnheldKeys:
    """Which owners have refused requests since they don't hold the keys.

    Keys are compared one by one, so that a range which is divided or joined
    meanwhile keeps what is known of each of its keys.
    """

    def __init__(self) -> None:
        """Start without any refusal."""
        self._holding_by_grant: dict[Grant, _Holding] = {}

    def record_refused(
        self, held: HeldKey, sent_at: Seconds, now: Seconds
    ) -> None:
        """Record that an owner has refused a request for a key.

        Requests that were sent before the owner's first refusal was known
        don't lengthen the rest.
        """
        holding = self._holding_by_grant.setdefault(held.grant, _Holding(now))
        holding.record_refused(held, sent_at, now)

    def record_held(self, held: HeldKey, sent_at: Seconds) -> None:
        """Record that an owner has run a request for a key.

        One that was sent before a refusal tells nothing of the time after it.
        """
        holding = self._holding_by_grant.get(held.grant)
        if holding is not None:
            holding.record_held(held, sent_at)

    def record_tried(self, held: HeldKey, now: Seconds) -> None:
        """Record that a request for a key is sent; others rest meanwhile."""
        known = self._find(held)
        if known is not None:
            known.try_at = now + known.rest

    def may_send(
        self, held: HeldKey, now: Seconds, refused_by: Collection[Grant] = ()
    ) -> bool:
        """Return whether a request may be sent to the owner of its key.

        It does not try the grants again by which it was refused.
        """
        if held.grant in refused_by:
            return False
        known = self._find(held)
        if known is None:
            return True
        delay = INNER_DELAY if known.surrounds(held) else 0
        return now >= known.try_at + delay

    def is_refused_since(self, held: HeldKey, since: Seconds) -> bool:
        """Return whether an owner has refused a key since a moment."""
        known = self._find(held)
        return known is not None and known.refused_at > since

    def prune(self, now: Seconds) -> None:
        """Forget refusals that are old, as those of earlier fences become."""
        for grant, holding in list(self._holding_by_grant.items()):
            holding.spans = [
                one for one in holding.spans if now < one.refused_at + MAX_AGE
            ]
            if not holding.spans:
                self._holding_by_grant.pop(grant)

    def _find(self, held: HeldKey) -> _Span | None:
        if not self._holding_by_grant:
            return None
        holding = self._holding_by_grant.get(held.grant)
        return None if holding is None else holding.find(held)


def _refused_at(span: _Span) -> Seconds:
    return span.refused_at
