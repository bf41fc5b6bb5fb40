"""The plainest rule for which target owns which slice: an even number each."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from cassialever.types import (
    RowName,
    RowVersion,
    ServiceName,
    SliceIndex,
    TargetId,
)


class Assign(Protocol):
    """Say which target should own each slice of one service."""

    def __call__(
        self,
        service: ServiceName,
        current: Sequence[TargetId | None],
        targets: Sequence[TargetId],
        loads: Mapping[SliceIndex, float],
    ) -> Sequence[TargetId | None]:
        """Return the owner wanted for each slice.

        `targets` are those that can own slices; `loads` is in any one unit.
        No owner is wanted for a slice that this data centre is to let go.
        """

    def checks(
        self,
        services: Iterable[ServiceName],
    ) -> Mapping[RowName, RowVersion]:
        """Return the rows that the wanted owners were worked out from.

        A write of owners counts only while these rows stand unchanged.
        """


class EvenAssignment:
    """Give each target an even number of slices, whatever their home."""

    def __call__(
        self,
        service: ServiceName,
        current: Sequence[TargetId | None],
        targets: Sequence[TargetId],
        loads: Mapping[SliceIndex, float],
    ) -> Sequence[TargetId | None]:
        """Return the owner wanted for each slice."""
        return assign_evenly(current, targets, loads)

    def checks(
        self,
        services: Iterable[ServiceName],
    ) -> Mapping[RowName, RowVersion]:
        """Return no rows, since the owners follow from none."""
        return {}


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
