"""Judge whether keys of one service have one owner, with fences that rise.

Nothing here waits: times come with what is judged, by the loop's clock.
"""

import itertools
import math
from collections import Counter

from soak.key_parts import KeyParts, KeyPart, Ownership, TakenKeys
from standins.key_watch import Life

#: Two targets may hold the same keys for this long, in seconds.
SHARING_BOUND = 0.5


class OwnershipJudge:
    """Finds keys with two owners, and fences that don't rise."""

    def __init__(self) -> None:
        """Start without grants."""
        self.violations: list[str] = []
        #: Numbers of violations by the sentence of the rule.
        self.counts: Counter[str] = Counter()
        self._told: set[tuple[object, ...]] = set()
        self._parts = KeyParts()
        #: Open requests of each life, by key.
        self._work: dict[Life, Counter[int]] = {}
        #: The last request that a life began on a key that another one held.
        self._begun: dict[tuple[Life, Life], tuple[int, float]] = {}

    def take(self, taken: TakenKeys) -> None:
        """Judge a grant that a target has accepted."""
        for part in self._parts.split(taken.first, taken.last):
            self._judge_sharing(part, taken.at)
            if not taken.is_after_thaw:
                self._judge_fence(part, taken)
            if taken.is_prompt:
                self._judge_work(part, taken)
            part.take(taken)

    def release(self, life: Life, first: int, last: int, at: float) -> None:
        """End the time for which a target holds some keys."""
        for part in self._parts.split(first, last):
            self._judge_sharing(part, at)
            if life in part.owner_by_life:
                part.owner_by_life[life].release(at)

    def begin(self, life: Life, key: int, at: float) -> None:
        """Judge a request that a target begins."""
        self._work.setdefault(life, Counter())[key] += 1
        for other, owner in self._parts.part_of(key).others(life):
            since = self._shared_since(key, life, other, at)
            if since > at:
                continue
            self._begun[life, other] = (key, at)
            earlier_key, begun_at = self._begun.get((other, life), (key, -1.0))
            since = min(since, self._shared_since(earlier_key, life, other, at))
            if begun_at >= since:
                own = self._parts.part_of(key).owner_by_life[life]
                self._tell(
                    'both began requests',
                    (frozenset((life, other)), since),
                    f'{at:.2f} OWNER {_named(own)} and {_named(owner)}, both'
                    f' since {since:.2f}; it began a request for {key}, the'
                    f' other one for {earlier_key} at {begun_at:.2f}',
                )

    def finish(self, life: Life, key: int) -> None:
        """Note that a target works on a request no more."""
        work = self._work.get(life, Counter())
        work[key] -= 1
        if work[key] <= 0:
            work.pop(key)

    def end(self, life: Life, at: float) -> None:
        """Note that the process of a target has ended."""
        self._work.pop(life, None)
        for part in self._parts.all:
            self._judge_sharing(part, at)
            if life in part.owner_by_life:
                part.owner_by_life[life].release(at)

    def check(self, at: float) -> None:
        """Judge the keys that two targets have held until now."""
        for part in self._parts.all:
            self._judge_sharing(part, at)

    def _judge_fence(self, part: KeyPart, taken: TakenKeys) -> None:
        for other, owner in part.owner_by_life.items():
            earlier = owner.highest
            if other == taken.life or earlier is None:
                continue
            if earlier.fence >= taken.fence:
                self._tell(
                    'fence not above all',
                    (taken.life, other, taken.first, taken.last, taken.fence),
                    f'{taken.at:.2f} OWNER {_told(taken)} and'
                    f' {_told(earlier)}: the fence of the first is not above',
                )

    def _judge_work(self, part: KeyPart, taken: TakenKeys) -> None:
        for other, owner in part.others(taken.life):
            if owner.runs_out_at <= taken.at or owner.last is None:
                continue
            last = self._parts.last_of(part)
            key = next(
                (
                    key
                    for key in self._work.get(other, ())
                    if part.first <= key <= last
                ),
                None,
            )
            if key is not None:
                self._tell(
                    'given while at work',
                    (taken.life, other, taken.first, taken.last, taken.fence),
                    f'{taken.at:.2f} OWNER {_told(taken)} while'
                    f' {other.target_id} was at work on {key}; {_named(owner)},'
                    f' which runs out at {owner.runs_out_at:.2f}',
                )

    def _judge_sharing(self, part: KeyPart, at: float) -> None:
        """Judge how long the keys of a part have had two owners."""
        if part.shared_until <= part.judged_until:
            return
        owners = [
            one
            for one in part.owner_by_life.items()
            if one[1].promptly_held.until > part.judged_until
        ]
        part.judged_until = at
        for (life, owner), (other, second) in itertools.combinations(owners, 2):
            if life.target_id == other.target_id:
                continue
            since = max(owner.promptly_held.since, second.promptly_held.since)
            until = min(
                at, owner.promptly_held.until, second.promptly_held.until
            )
            if until - since > SHARING_BOUND:
                self._tell(
                    'held by two for long',
                    (frozenset((life, other)), since),
                    f'{until:.2f} OWNER {_named(owner)} and {_named(second)}:'
                    f' both hold keys from {part.first} on since {since:.2f}',
                )

    def _shared_since(
        self, key: int, life: Life, other: Life, at: float
    ) -> float:
        """Return since when two targets hold a key, if both do now."""
        owners = self._parts.part_of(key).owner_by_life
        pair = [owners.get(one, Ownership()).held for one in (life, other)]
        if all(one.is_held(at) for one in pair):
            return max(one.since for one in pair)
        return math.inf

    def _tell(self, kind: str, case: tuple[object, ...], line: str) -> None:
        """Add a violation, unless it was told of other keys of its grants."""
        if (kind, *case) not in self._told:
            self._told.add((kind, *case))
            self.counts[kind] += 1
            self.violations.append(f'{line} ({kind})')


def _named(owner: Ownership) -> str:
    return '' if owner.last is None else _told(owner.last)


def _told(taken: TakenKeys) -> str:
    """Return the text on a grant."""
    late = ' late' if taken.is_held_up else ''
    return (
        f'{taken.life.target_id} (life {taken.life.born}) took{late}'
        f' {taken.first}..{taken.last} with fence {taken.fence} from'
        f' {taken.sender or "another sender"} at {taken.at:.2f}'
        f' ({taken.logged_at:.3f} in the logs)'
    )
