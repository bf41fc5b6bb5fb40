"""Bound the key map of a service, which the store keeps as one row.

A map that outgrows its row is refused, and then no key can move any more. So
ranges are split only while there is room, and small ones join a neighbour's
owner before the room is used up.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from cassialever.fleet.model import Target
from cassialever.keys.assignments import Assignment, Assignments
from cassialever.keys.planning import RANGES_PER_TARGET

#: Largest size of a range without its owner and handover, in bytes: its ends,
#: the owner's start, the fence, and the heads of these fields.
MAX_RANGE_BYTES: Final = 32
#: Largest size of a map without its ranges, in bytes.
MAX_HEADER_BYTES: Final = 256
#: Handovers are counted as this long at least, in bytes: a range that has none
#: gets one when it moves.
MIN_HANDOVER_BYTES: Final = 16
#: Part of the ranges for which there is room that splits may use. The rest is
#: for owners with longer names and handovers.
SPLIT_SHARE: Final = 0.9
#: Part from which on small ranges join their neighbours.
JOIN_SHARE: Final = 0.75


class MapRoom(msgspec.Struct, frozen=True):
    """How many ranges a map has, and for how many its row has room."""

    count: int
    maximum: int

    @property
    def may_split(self) -> bool:
        """Return whether a range may be split."""
        return self.count < SPLIT_SHARE * self.maximum

    @property
    def should_join(self) -> bool:
        """Return whether small ranges should join their neighbours."""
        return self.count >= JOIN_SHARE * self.maximum


def room_of(assignments: Assignments, row_bytes: int) -> MapRoom:
    """Return the room in a row of `row_bytes` for the map of assignments.

    Each range is counted with the longest owner and handover of all.
    """
    ordered = assignments.ordered
    longest = max(map(_text_bytes, ordered), default=MIN_HANDOVER_BYTES)
    return MapRoom(len(ordered), _max_ranges(longest, row_bytes))


def ranges_per_target(targets: Sequence[Target], row_bytes: int) -> int:
    """Return how many ranges each of some targets gets at first."""
    name_sizes = [len(target.target_id.encode()) for target in targets]
    longest = MIN_HANDOVER_BYTES + max(name_sizes)
    room = int(JOIN_SHARE * _max_ranges(longest, row_bytes))
    return min(RANGES_PER_TARGET, max(room // len(name_sizes), 1))


def _max_ranges(text_bytes: int, row_bytes: int) -> int:
    """Return for how many ranges of the longest size a row has room."""
    return (row_bytes - MAX_HEADER_BYTES) // (MAX_RANGE_BYTES + text_bytes)


def _text_bytes(assignment: Assignment) -> int:
    handover = max(len(assignment.handover.encode()), MIN_HANDOVER_BYTES)
    return len(assignment.owner.encode()) + handover
