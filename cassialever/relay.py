"""Who tells whom of a new catalogue: a tree in each data centre, and links.

The tree follows from the sorted names of the members, so that every daemon
works out the same one by itself. What it misses, since a member is lost and
still listed, random contacts make good.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from cassialever.interfaces import RandomSource
from cassialever.types import DataCentreId, InstanceId

#: How many members each one tells; 1,100 members are then 4 levels deep.
FAN_OUT: Final = 8
#: How many members of each data centre are readers at every turn: they read
#: the table and keep up the links to the other data centres.
FIRST_MEMBERS: Final = 2
#: How many of the other members are readers at each turn, on average, since
#: the first ones may be lost and still listed.
RANDOM_READERS: Final = 3
#: How many other members of the data centre are told of a new version by
#: each one beside its neighbours in the tree.
RANDOM_TOLD: Final = 2


class Members(msgspec.Struct, frozen=True):
    """The instances that are listed, each data centre's in order."""

    ids_by_data_centre: Mapping[DataCentreId, Sequence[InstanceId]]


class Relay:
    """One daemon's place among the members."""

    def __init__(
        self,
        instance_id: InstanceId,
        data_centre: DataCentreId,
        random: RandomSource,
    ) -> None:
        """Start alone."""
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._random = random
        self._local: Sequence[InstanceId] = ()
        self._remote_by_id: dict[DataCentreId, Sequence[InstanceId]] = {}
        self.neighbours: tuple[InstanceId, ...] = ()

    def adopt(self, members: Members) -> None:
        """Take the members as they are now listed."""
        by_id = dict(members.ids_by_data_centre)
        listed = by_id.pop(self._data_centre, ())
        self._local = sorted({*listed, self._instance_id})
        self._remote_by_id = {
            data_centre: ids for data_centre, ids in by_id.items() if ids
        }
        self.neighbours = tuple(self._tree_neighbours())

    @property
    def is_alone(self) -> bool:
        """Say whether no other member is listed."""
        return len(self._local) <= 1 and not self._remote_by_id

    def draw_reader(self) -> bool:
        """Say whether this daemon is a reader at this turn."""
        if self._place() < FIRST_MEMBERS:
            return True
        chance = RANDOM_READERS / len(self._local)
        return self._random.random() < chance

    def contacts(self, *, is_reader: bool) -> list[InstanceId]:
        """Return whom to tell of the own version at this turn."""
        chosen = [*self.neighbours[:1], *self._some_local(1)]
        if is_reader:
            chosen.extend(map(self._any_of, self._remote_by_id.values()))
        return list(dict.fromkeys(chosen))

    def told(self, sender: InstanceId | None) -> list[InstanceId]:
        """Return whom to tell of a new version that a sender brought."""
        chosen = [*self.neighbours, *self._some_local(RANDOM_TOLD)]
        return [one for one in dict.fromkeys(chosen) if one != sender]

    def _some_local(self, count: int) -> list[InstanceId]:
        if len(self._local) <= 1:
            return []
        drawn = [self._any_of(self._local) for _ in range(count)]
        return [one for one in drawn if one != self._instance_id]

    def _any_of(self, ids: Sequence[InstanceId]) -> InstanceId:
        return ids[self._random.randrange(len(ids))]

    def _place(self) -> int:
        if not self._local:
            return 0
        return self._local.index(self._instance_id)

    def _tree_neighbours(self) -> list[InstanceId]:
        """Return the parent, if there is one, and the children."""
        place = self._place()
        first_child = place * FAN_OUT + 1
        children = self._local[first_child : first_child + FAN_OUT]
        if place == 0:
            return list(children)
        parent = self._local[(place - 1) // FAN_OUT]
        return [parent, *children]
