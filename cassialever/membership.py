"""Who takes part in this data centre, and who coordinates it.

The platform's list lags, so it only says whom to write to first. Whether an
instance lives is judged by its heartbeats. An instance that restarts comes
back with a higher incarnation; what an earlier one says counts no more.
"""

from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from cassialever.ownership_events import ListedInstance
from cassialever.types import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Seconds,
)

#: One run of one instance.
Process: TypeAlias = tuple[InstanceId, Incarnation]

#: How long an instance that is not listed is remembered, in seconds.
FORGET_AFTER = 60

NOBODY = InstanceId('')
NO_PROCESS: Process = (NOBODY, Incarnation(0))


class Member(msgspec.Struct, frozen=True):
    """One instance as its messages show it; `heard_at` is an instant."""

    instance_id: InstanceId
    incarnation: Incarnation
    heard_at: Seconds
    rack: str = ''
    stopping: bool = False


class Membership:
    """The instances of one data centre and its coordinator."""

    def __init__(self, data_centre: DataCentreId, own: Process) -> None:
        """Start alone and without a coordinator; `own` is this daemon."""
        self.own = own
        self.member_by_id: dict[InstanceId, Member] = {}
        self.listed_by_id: dict[InstanceId, ListedInstance] = {}
        self.coordinator = NOBODY
        self.epoch = Epoch(0)
        self.coordinator_heard_at: Seconds = 0
        self._data_centre = data_centre

    def adopt_list(
        self,
        instances: Sequence[ListedInstance],
        now: Seconds,
    ) -> None:
        """Take the platform's list; forget who is neither listed nor heard."""
        self.listed_by_id = {
            listed.instance_id: listed
            for listed in instances
            if listed.data_centre == self._data_centre
        }
        for name, member in list(self.member_by_id.items()):
            heard = member.heard_at >= now - FORGET_AFTER
            if not heard and name not in self.listed_by_id:
                self.member_by_id.pop(name)

    @property
    def me(self) -> InstanceId:
        """Return this daemon's instance."""
        return self.own[0]

    def process(self, instance_id: InstanceId) -> Process:
        """Return the latest run of an instance that is known."""
        member = self.member_by_id.get(instance_id)
        if member is None:
            return (instance_id, Incarnation(0))
        return (instance_id, member.incarnation)

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

    def others_heard_at(self) -> Seconds:
        """Return when any other instance was heard of last."""
        return max(
            (
                member.heard_at
                for member in self.member_by_id.values()
                if member.instance_id != self.me
            ),
            default=0,
        )

    def everyone(self) -> list[InstanceId]:
        """Return all who are listed or were heard of, by name."""
        names = self.listed_by_id.keys() | self.member_by_id.keys()
        return sorted(names | {self.me})

    def pick_successor(self, since: Seconds) -> Process:
        """Name a live instance, in another rack where there is one."""
        own = self.member_by_id.get(self.me)
        own_rack = own.rack if own else ''
        others = [
            member
            for member in self.live(since)
            if member.instance_id != self.me
        ]
        others.sort(key=lambda member: member.rack == own_rack)
        return self.process(others[0].instance_id) if others else NO_PROCESS
