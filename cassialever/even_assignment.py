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
    room_by_target = _room(current, targets)
    wanted: list[TargetId | None] = []
    for owner in current:
        kept = owner if owner and room_by_target[owner] > 0 else None
        if kept:
            room_by_target[kept] -= 1
        wanted.append(kept)
    spare = iter(sorted(room_by_target.elements()))
    return [name or next(spare) for name in wanted]


def _room(
    current: Sequence[TargetId | None],
    targets: Sequence[TargetId],
) -> collections.Counter[TargetId]:
    """Return how many slices each target is to own; most go to the fullest."""
    count_by_owner = collections.Counter(current)
    share, rest = divmod(len(current), len(targets))
    fullest = sorted(targets, key=lambda name: (-count_by_owner[name], name))
    room_by_target = collections.Counter(dict.fromkeys(targets, share))
    room_by_target.update(fullest[:rest])
    return room_by_target
