"""The plainest rule for which target owns which slice: an even number each."""

import collections
from collections.abc import Mapping, Sequence
from typing import Protocol

from cassialever.types import SliceIndex, TargetId


class Assign(Protocol):
    """Say which target should own each slice of one service."""

    def __call__(
        self,
        current: Sequence[TargetId | None],
        targets: Sequence[TargetId],
        loads: Mapping[SliceIndex, float],
    ) -> Sequence[TargetId | None]:
        """Return the owner wanted for each slice.

        `targets` are those that can own slices; `loads` is in any one unit.
        """


def assign_evenly(
    current: Sequence[TargetId | None],
    targets: Sequence[TargetId],
    loads: Mapping[SliceIndex, float],
) -> Sequence[TargetId | None]:
    """Move as few slices as give each target an even number."""
    if not targets:
        return current
    share, rest = divmod(len(current), len(targets))
    count_by_target: collections.Counter[TargetId] = collections.Counter()
    wanted: list[TargetId | None] = []
    known = set(targets)
    for owner in current:
        kept = owner if owner in known else None
        if kept and count_by_target[kept] > share:
            kept = None
        elif kept and count_by_target[kept] == share:
            kept = kept if rest > 0 else None
            rest -= 1 if kept else 0
        if kept:
            count_by_target[kept] += 1
        wanted.append(kept)
    return _fill(wanted, targets, count_by_target)


def _fill(
    wanted: list[TargetId | None],
    targets: Sequence[TargetId],
    count_by_target: collections.Counter[TargetId],
) -> Sequence[TargetId | None]:
    """Give what is left to those that have the least."""
    filled: list[TargetId | None] = []
    for owner in wanted:
        if owner is None:
            owner = min(targets, key=count_by_target.__getitem__)
            count_by_target[owner] += 1
        filled.append(owner)
    return filled
