"""Choose the few targets of each service that a daemon uses in the usual case.

Load pattern handled: a fleet in which a daemon has few requests for each of
many targets. Spread over all of them, nearly every request needs a new
connection, and the idle ones of all daemons add up to what a target accepts. A
daemon that keeps to a few reuses its connections, and turns to the others only
if none of the few can take a request.

Each daemon ranks the targets by a hash of both names (rendezvous hashing, after
Thaler and Ravishankar), so that a target that comes or goes changes one place
and targets are covered evenly. Deterministic subsets are described in "Site
Reliability Engineering" (Beyer et al.), chapter 20.
"""

from collections.abc import Container
from typing import Final

import msgspec
import xxhash

from cassialever.fleet.model import Target
from cassialever.types import DataCentreId, InstanceId, ServiceName, TargetId

#: Targets of a service that a daemon uses as long as one of them has a free
#: slot. Choosing between a few keeps queues nearly as short as between all.
SUBSET_SIZE: Final = 8
#: Those of them that are the best ranked of the daemon's own data centre, as
#: far as it has so many; the others are the best ranked of all.
LOCAL_SUBSET_SIZE: Final = 4


class _Drawn(msgspec.Struct, frozen=True):
    """A subset, and the list of targets that it was drawn from."""

    targets: list[Target]
    subset: tuple[TargetId, ...]


class TargetSubsets:
    """The subsets of one daemon, drawn anew when targets change."""

    def __init__(
        self, instance_id: InstanceId, data_centre: DataCentreId
    ) -> None:
        """Rank for a daemon in a data centre."""
        self.data_centre = data_centre
        self._instance_id = instance_id
        self._drawn_by_service: dict[ServiceName, _Drawn] = {}
        self._rank_by_id: dict[TargetId, int] = {}

    def of(
        self, service: ServiceName, targets: list[Target]
    ) -> tuple[TargetId, ...]:
        """Return the subset of a service's targets, usable or not.

        The same list of targets must not change.
        """
        drawn = self._drawn_by_service.get(service)
        if drawn is None or drawn.targets is not targets:
            drawn = _Drawn(targets, self._draw(targets))
            self._drawn_by_service[service] = drawn
        return drawn.subset

    def prune(self, known: Container[TargetId]) -> None:
        """Forget the ranks of targets that are gone."""
        gone = [one for one in self._rank_by_id if one not in known]
        for target_id in gone:
            self._rank_by_id.pop(target_id)

    def _draw(self, targets: list[Target]) -> tuple[TargetId, ...]:
        ranked = sorted(targets, key=self._rank)
        local = [
            target.target_id
            for target in ranked
            if target.data_centre == self.data_centre
        ][:LOCAL_SUBSET_SIZE]
        others = [
            target.target_id
            for target in ranked
            if target.target_id not in local
        ]
        return (*local, *others[: SUBSET_SIZE - len(local)])

    def _rank(self, target: Target) -> int:
        target_id = target.target_id
        rank = self._rank_by_id.get(target_id)
        if rank is None:
            text = f'{self._instance_id} {target_id}'
            rank = xxhash.xxh64_intdigest(text.encode())
            self._rank_by_id[target_id] = rank
        return rank
