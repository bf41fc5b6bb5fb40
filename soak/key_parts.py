"""Who has been given which keys, as targets see it."""

import bisect
import math
from collections.abc import Iterator

import msgspec

from standins.key_watch import Life

#: Grants don't count within this time after their sender was thawed or a link
#: healed (`thaw_ms`), in seconds.
THAW_TIME = 0.3


class TakenKeys(msgspec.Struct, frozen=True):
    """A grant that a target has accepted."""

    life: Life
    first: int
    last: int
    fence: int
    at: float
    until: float
    sender: str
    #: The time in the logs.
    logged_at: float
    #: Whether its sender was thawed or a link healed shortly before.
    is_after_thaw: bool = False
    #: Whether a cut or a late process may have delayed it.
    is_held_up: bool = False

    @property
    def is_prompt(self) -> bool:
        """Return whether it counts in the time for which keys are shared."""
        return not self.is_after_thaw and not self.is_held_up


class Holding(msgspec.Struct):
    """The time for which one target holds some keys."""

    since: float = math.inf
    until: float = -math.inf

    def prolong(self, at: float, until: float) -> None:
        """Add a grant, which may come after the end of the last one."""
        if at >= self.until:
            self.since = at
        self.until = until

    def is_held(self, at: float) -> bool:
        """Return whether the keys are held at a moment."""
        return self.since <= at < self.until


class Ownership(msgspec.Struct):
    """What one life of a target has been given of some keys."""

    #: The last grant that counts with the highest fence, and the last of all.
    highest: TakenKeys | None = None
    last: TakenKeys | None = None
    #: By the grants that count for requests, and by those that were prompt.
    held: Holding = msgspec.field(default_factory=Holding)
    promptly_held: Holding = msgspec.field(default_factory=Holding)
    #: When the last prompt grant runs out, released or not.
    runs_out_at: float = -math.inf

    def take(self, taken: TakenKeys) -> None:
        """Add a grant."""
        self.last = taken
        if not taken.is_after_thaw:
            self.highest = taken
            self.held.prolong(taken.at, taken.until)
        if taken.is_prompt:
            self.promptly_held.prolong(taken.at, taken.until)
            self.runs_out_at = taken.until

    def copied(self) -> 'Ownership':
        """Return the same for other keys."""
        return msgspec.structs.replace(
            self,
            held=msgspec.structs.replace(self.held),
            promptly_held=msgspec.structs.replace(self.promptly_held),
        )

    def release(self, at: float) -> None:
        """End the time for which the keys are held."""
        for holding in (self.held, self.promptly_held):
            holding.until = min(holding.until, at)


class KeyPart(msgspec.Struct):
    """Keys from one on, up to the next part, all granted alike."""

    first: int
    owner_by_life: dict[Life, Ownership] = msgspec.field(default_factory=dict)
    #: Until when the time that owners share has been judged.
    judged_until: float = -math.inf
    #: No two owners hold the keys later than this.
    shared_until: float = -math.inf

    def take(self, taken: TakenKeys) -> None:
        """Add a grant."""
        self.owner_by_life.setdefault(taken.life, Ownership()).take(taken)
        ends = [one.promptly_held.until for one in self.owner_by_life.values()]
        if len(ends) > 1:
            self.shared_until = sorted(ends)[-2]

    def others(self, life: Life) -> Iterator[tuple[Life, Ownership]]:
        """Return what other targets have been given."""
        for other, owner in self.owner_by_life.items():
            if other.target_id != life.target_id:
                yield other, owner


class KeyParts:
    """All keys, divided where grants have begun or ended."""

    def __init__(self) -> None:
        """Start without grants."""
        self.all = [KeyPart(0)]

    def part_of(self, key: int) -> KeyPart:
        """Return the part with a key."""
        return self.all[self._index_of(key)]

    def last_of(self, part: KeyPart) -> float:
        """Return the last key of a part."""
        following = self._index_of(part.first) + 1
        if following == len(self.all):
            return math.inf
        return self.all[following].first - 1

    def split(self, first: int, last: int) -> list[KeyPart]:
        """Return the parts of a range, of which none goes beyond it."""
        for start in (first, last + 1):
            index = self._index_of(start)
            part = self.all[index]
            if part.first == start:
                continue
            copied = {
                life: owner.copied()
                for life, owner in part.owner_by_life.items()
            }
            following = msgspec.structs.replace(
                part, first=start, owner_by_life=copied
            )
            self.all.insert(index + 1, following)
        return self.all[self._index_of(first) : self._index_of(last) + 1]

    def _index_of(self, key: int) -> int:
        return bisect.bisect_right(self.all, key, key=lambda one: one.first) - 1
