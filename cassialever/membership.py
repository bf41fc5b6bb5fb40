"""Who takes part in this data centre, and who coordinates it.

The platform's list lags, so it only says whom to write to first. Whether an
instance lives is judged by its heartbeats. An instance that restarts comes
back with a higher incarnation; what an earlier one says counts no more.
"""

from collections.abc import Sequence

import msgspec

from cassialever.ownership_events import ListedInstance
from cassialever.types import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Seconds,
)

NOBODY = InstanceId('')


class Member(msgspec.Struct, frozen=True):
    """One instance as its messages show it; `heard_at` is an instant."""

    instance_id: InstanceId
    incarnation: Incarnation
    heard_at: Seconds
    rack: str = ''
    stopping: bool = False


class Membership:
    """The instances of one data centre and its coordinator."""

    def __init__(self, data_centre: DataCentreId, me: InstanceId) -> None:
        """Start alone and without a coordinator."""
        self.me = me
        self.member_by_id: dict[InstanceId, Member] = {}
        self.listed_by_id: dict[InstanceId, ListedInstance] = {}
        self.coordinator = NOBODY
        self.epoch = Epoch(0)
        self.coordinator_heard_at: Seconds = 0
        self._data_centre = data_centre

    def adopt_list(self, instances: Sequence[ListedInstance]) -> None:
        """Take the platform's list in place of the last one."""
        self.listed_by_id = {
            listed.instance_id: listed
            for listed in instances
            if listed.data_centre == self._data_centre
        }

    def hear(
        self,
        instance_id: InstanceId,
        incarnation: Incarnation,
        now: Seconds,
    ) -> bool:
        """Note a message; return false if it is of a past incarnation."""
        known = self.member_by_id.get(instance_id)
        if known and known.incarnation > incarnation:
            return False
        if known is None or known.incarnation < incarnation:
            known = Member(instance_id, incarnation, now)
        self.member_by_id[instance_id] = msgspec.structs.replace(
            known,
            heard_at=now,
        )
        return True

    def describe(
        self,
        instance_id: InstanceId,
        *,
        rack: str,
        stopping: bool,
    ) -> None:
        """Note what an instance's heartbeat says of it."""
        self.member_by_id[instance_id] = msgspec.structs.replace(
            self.member_by_id[instance_id],
            rack=rack,
            stopping=stopping,
        )

    def follow(
        self,
        epoch: Epoch,
        coordinator: InstanceId,
        now: Seconds,
    ) -> bool:
        """Follow a coordinator unless a later one is known already."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch = epoch
            self.coordinator = coordinator
            self.coordinator_heard_at = now
        return True

    def live(self, since: Seconds) -> list[Member]:
        """Return those heard since an instant that stay, by name."""
        members = (
            self.member_by_id[name] for name in sorted(self.member_by_id)
        )
        return [
            member
            for member in members
            if member.heard_at >= since and not member.stopping
        ]

    def everyone(self) -> list[InstanceId]:
        """Return all who are listed or were heard of, by name."""
        names = self.listed_by_id.keys() | self.member_by_id.keys()
        return sorted(names | {self.me})

    def pick_successor(self, since: Seconds) -> InstanceId:
        """Name a live instance, in another rack where there is one."""
        own = self.member_by_id.get(self.me)
        own_rack = own.rack if own else ''
        others = [
            member
            for member in self.live(since)
            if member.instance_id != self.me
        ]
        others.sort(key=lambda member: member.rack == own_rack)
        return others[0].instance_id if others else NOBODY
