"""Bound the bytes of long bodies that are being sent to one target.

Load pattern handled: many daemons that get bodies of some hundred kB for a few
targets. A target holds the bodies of all requests that it runs or queues, and
crashes if they exceed its memory.

What daemons report of their requests is too old for that. So each of many
daemons sends long bodies to a few of the targets only, by its place in the list
of all daemons, in the same order of data centres as the targets; each target
has about as many daemons. A daemon sends no more to one target at a time than
its share of the total, and one body in any case. So the sum over all daemons
stays under the total, but for the moments in which their lists differ, and for
bodies that are longer than LONGEST_BODY. Of targets that own keys this limits
one daemon, and the queue of the target the others.
"""

import bisect
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Final

from cassialever.fleet.model import Target
from cassialever.policy.memory import SHORT_BODY_BYTES
from cassialever.types import DataCentreId, TargetId

#: What the long bodies at a target may take together, for each of its slots.
BYTES_PER_SLOT: Final = 1_000_000
#: Length of a body that each daemon of a target may send to it.
LONGEST_BODY: Final = 512_000
#: Daemons among which the total is divided while their number is not known.
ASSUMED_DAEMONS: Final = 2
#: Requests per slot from which on a target gets no long body: its queue holds
#: what waits, while a daemon can refuse it and name a time to come back.
MAX_REQUESTS_PER_SLOT: Final = 2.0


class LongBodies:
    """The long bodies that this daemon is sending, by target."""

    def __init__(self) -> None:
        #: Choices of targets that found one without room for a long body.
        self.refused_count = 0
        self._bytes_by_id: Counter[TargetId] = Counter()
        #: Number of daemons, 0 while it is not known, and this one's place.
        self._daemons = 0
        self._place = 0

    def divide_among(
        self, own_id: str, data_centre_by_id: Mapping[str, DataCentreId]
    ) -> None:
        """Take the ids and data centres of all daemons, this one included."""
        self._daemons = len(data_centre_by_id)
        ordered = sorted((dc, name) for name, dc in data_centre_by_id.items())
        own = (data_centre_by_id.get(own_id, DataCentreId('')), own_id)
        self._place = bisect.bisect_left(ordered, own)

    def assigned(self, targets: Sequence[Target]) -> list[Target]:
        """Return those of a service's targets that may get a long body.

        They are all if there are few daemons. This takes time by the number of
        targets, which only long bodies spend.
        """
        if not targets or not self._daemons:
            return list(targets)
        ordered = sorted(targets, key=_by_data_centre)
        per_target = BYTES_PER_SLOT * ordered[0].slots // LONGEST_BODY
        count = max(per_target * len(ordered) // self._daemons, 1)
        if count >= len(ordered):
            return ordered
        first = self._place * len(ordered) // self._daemons
        return [*ordered, *ordered][first : first + count]

    def has_room(
        self, target_id: TargetId, slots: int, requests: float, size: int
    ) -> bool:
        """Return whether a target may get a body of a size, in bytes.

        `requests` is the estimated number that it runs or queues.
        """
        if size <= SHORT_BODY_BYTES:
            return True
        held = self.held_by(target_id)
        share = BYTES_PER_SLOT * slots / (self._daemons or ASSUMED_DAEMONS)
        is_within_share = not held or held + size <= share
        if is_within_share and requests < MAX_REQUESTS_PER_SLOT * slots:
            return True
        self.refused_count += 1
        return False

    def held_by(self, target_id: TargetId) -> int:
        """Return the bytes of this daemon's long bodies at a target."""
        return self._bytes_by_id[target_id]

    @contextmanager
    def counted(self, target_id: TargetId, size: int) -> Iterator[None]:
        """Count a body until its request has ended, whatever its outcome."""
        if size <= SHORT_BODY_BYTES:
            yield
            return
        self._bytes_by_id[target_id] += size
        try:
            yield
        finally:
            self._bytes_by_id[target_id] -= size
            if not self._bytes_by_id[target_id]:
                self._bytes_by_id.pop(target_id)


def _by_data_centre(target: Target) -> tuple[DataCentreId, TargetId]:
    return target.data_centre, target.target_id
