"""The leaseholder's side: keep leases, stop in time, renew target grants."""

import functools
from collections.abc import Iterator
from typing import Any

from cassialever.catalogue import CatalogueIndex, TargetChecks
from cassialever.control_messages import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatWanted,
    LeaseGrant,
    LeaseReport,
)
from cassialever.errors import Failure
from cassialever.events import Event
from cassialever.held_target import HeldTarget
from cassialever.invariants import Invariant, check
from cassialever.leases import HeldLeases, TargetLease
from cassialever.membership import Membership
from cassialever.ownership_effects import (
    Drain,
    Effect,
    LogEvent,
    SendControl,
)
from cassialever.ownership_events import (
    CatalogueAdopted,
    ControlReceived,
    Drained,
    LoadsCounted,
    OwnershipEvent,
    StopWanted,
    TargetGrantResult,
    Tick,
)
from cassialever.rows import pack_loads, unpack_slices
from cassialever.settings import Settings
from cassialever.types import (
    Incarnation,
    InstanceId,
    Seconds,
    SliceIndex,
    TargetId,
)

#: How many heartbeats may be under way before the oldest is given up.
HEARTBEATS_KEPT = 32


class Holder:
    """Hold the leases of targets for this daemon."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        membership: Membership,
        leases: HeldLeases,
        tokens: Iterator[int],
    ) -> None:
        """Start without a lease; `leases` is what the request path asks."""
        self.settings = settings
        self.incarnation = incarnation
        self.membership = membership
        self.leases = leases
        self.tokens = tokens
        self.held_by_target: dict[TargetId, HeldTarget] = {}
        self.index: CatalogueIndex | None = None
        self.stopping = False
        self.next_heartbeat: Seconds = 0
        self._sequence = 0
        self._applied = 0
        self._asked_at_by_sequence: dict[int, Seconds] = {}

    def handle(self, event: OwnershipEvent, now: Seconds) -> list[Effect]:
        """Take in one event and return what is to be done."""
        return _handle(event, self, now)

    def heartbeat(self, now: Seconds) -> list[Effect]:
        """Ask for every lease again."""
        coordinator = self.membership.coordinator
        if not coordinator:
            return []
        self.next_heartbeat = now + self.settings.leases.heartbeat
        self._sequence += 1
        self._asked_at_by_sequence[self._sequence] = now
        oldest = self._sequence - HEARTBEATS_KEPT
        self._asked_at_by_sequence.pop(oldest, None)
        reports = [
            held.report(now) for _, held in sorted(self.held_by_target.items())
        ]
        for held in self.held_by_target.values():
            held.count(b'')
        message = Heartbeat(
            sequence=self._sequence,
            epoch=self.membership.epoch,
            reports=reports,
            rack=self.settings.instance.rack,
            stopping=self.stopping,
        )
        return [SendControl(coordinator, message)]

    def asked_at(self, answer: HeartbeatAnswer) -> Seconds | None:
        """Return when an answer was asked for; `None` if it is out of date."""
        if answer.epoch != self.membership.epoch:
            return None
        if answer.incarnation != self.incarnation:
            return None
        if answer.sequence <= self._applied:
            return None
        asked_at = self._asked_at_by_sequence.get(answer.sequence)
        if asked_at is not None:
            self._applied = answer.sequence
        return asked_at

    def checks(self, target_id: TargetId) -> TargetChecks:
        """Return what a target checks; nothing where it is not known."""
        entry = self.index and self.index.target_by_id.get(target_id)
        if entry:
            return entry.checks
        return TargetChecks(fence=False, deadline=False, cancel=False)

    def publish(self, held: HeldTarget) -> None:
        """Let the request path use a lease, or keep it from it."""
        if held.stopped or held.lapsed or not held.usable:
            self.leases.lease_by_target.pop(held.target_id, None)
            return
        known = self.leases.lease_by_target.get(held.target_id)
        check(
            Invariant.fence_rises,
            known is None or known.fence <= held.target_fence,
            target=held.target_id,
        )
        self.leases.lease_by_target[held.target_id] = TargetLease(
            held.target_id,
            held.target_fence,
            held.ends,
            held.slices,
        )

    def renew_grant(self, held: HeldTarget, now: Seconds) -> list[Effect]:
        """Ask a target to take work for as long as the lease allows."""
        if not held.checks.fence or held.stopped or now >= held.ends:
            return []
        return [held.grant(next(self.tokens), self.settings.leases, now)]


@functools.singledispatch
def _handle(event: Any, holder: Holder, now: Seconds) -> list[Effect]:
    return []


@_handle.register
def _on_catalogue(
    event: CatalogueAdopted,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    holder.index = event.index
    return []


@_handle.register
def _on_stop(event: StopWanted, holder: Holder, now: Seconds) -> list[Effect]:
    holder.stopping = True
    return holder.heartbeat(now)


@_handle.register
def _on_tick(event: Tick, holder: Holder, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for target_id, held in list(holder.held_by_target.items()):
        if now >= held.ends and not held.lapsed:
            held.lapsed = True
            holder.leases.lease_by_target.pop(target_id, None)
            effects.append(
                LogEvent(Event.lease_lapsed, {'target': target_id}),
            )
    if now >= holder.next_heartbeat:
        effects.extend(holder.heartbeat(now))
    for held in holder.held_by_target.values():
        if now >= held.next_grant:
            effects.extend(holder.renew_grant(held, now))
    return effects


@_handle.register
def _on_control(
    event: ControlReceived,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    return _receive(event.message, event.sender, holder, now)


@_handle.register
def _on_loads(
    event: LoadsCounted,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    held = holder.held_by_target.get(event.target_id)
    if held:
        held.count(pack_loads(event.load_by_slice))
    return []


@_handle.register
def _on_grant_result(
    event: TargetGrantResult,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    held = holder.held_by_target.get(event.target_id)
    if held is None or isinstance(event.outcome, Failure):
        return []
    before = held.report(now)
    again = held.answered(event.token, event.outcome, now)
    if now >= held.ends or held.stopped:
        return []
    holder.publish(held)
    if again:
        return holder.renew_grant(held, now)
    return _report_change(before, held, holder, now)


@_handle.register
def _on_drained(
    event: Drained,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    held = holder.held_by_target.get(event.target_id)
    if held is None or held.fence != event.fence:
        return []
    before = held.report(now)
    held.drained(event.unknown_until, now)
    effects = _report_change(before, held, holder, now)
    return effects or holder.renew_grant(held, now)


def _report_change(
    before: LeaseReport,
    held: HeldTarget,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    """Tell the coordinator at once of what it may wait for."""
    after = held.report(now)
    settled = after.settled and not before.settled
    accepted = after.accepted and not before.accepted
    if settled or accepted:
        return holder.heartbeat(now)
    return []


@functools.singledispatch
def _receive(
    message: Any,
    sender: InstanceId,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    return []


@_receive.register
def _on_wanted(
    message: HeartbeatWanted,
    sender: InstanceId,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    holder.membership.follow(message.epoch, message.coordinator, now)
    if message.epoch != holder.membership.epoch:
        return []
    return holder.heartbeat(now)


@_receive.register
def _on_answer(
    message: HeartbeatAnswer,
    sender: InstanceId,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    asked_at = holder.asked_at(message)
    if asked_at is None:
        return []
    holder.membership.coordinator_heard_at = now
    effects: list[Effect] = []
    ends = asked_at + message.term
    named = {grant.target_id for grant in message.grants}
    for target_id in holder.held_by_target.keys() - named:
        holder.held_by_target.pop(target_id)
        holder.leases.lease_by_target.pop(target_id, None)
    for grant in message.grants:
        effects.extend(_apply(grant, ends, holder, now))
    return effects


def _apply(
    grant: LeaseGrant,
    ends: Seconds,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    held = holder.held_by_target.get(grant.target_id)
    if held and held.fence == grant.fence:
        held.extend(ends, now)
        holder.publish(held)
        return []
    if held and held.fence > grant.fence:
        return []
    if grant.stop:
        return _stop(grant, held, holder, now)
    if not grant.has_slices:
        return []
    slices = unpack_slices(grant.slices)
    if held is None or held.stopped:
        return _start(grant, slices, ends, holder, now)
    held.change(grant.fence, slices, ends, now)
    holder.publish(held)
    # The target learns its new slices before the next renewal.
    effects = holder.renew_grant(held, now)
    if held.report(now).settled:
        return [*effects, *holder.heartbeat(now)]
    return [*effects, Drain(grant.target_id, grant.fence, slices)]


def _start(
    grant: LeaseGrant,
    slices: frozenset[SliceIndex],
    ends: Seconds,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    """Begin to hold a target."""
    held = HeldTarget(grant, slices, ends, holder.checks(grant.target_id))
    holder.held_by_target[grant.target_id] = held
    holder.publish(held)
    return [
        *holder.renew_grant(held, now),
        LogEvent(Event.lease_granted, {'target': grant.target_id}),
    ]


def _stop(
    grant: LeaseGrant,
    held: HeldTarget | None,
    holder: Holder,
    now: Seconds,
) -> list[Effect]:
    """Send nothing more to a target; what runs there may go on."""
    if held is None:
        checks = holder.checks(grant.target_id)
        held = HeldTarget(grant, frozenset(), now, checks)
        holder.held_by_target[grant.target_id] = held
    held.stop(grant.fence)
    holder.publish(held)
    drain = Drain(grant.target_id, grant.fence)
    return [drain, *holder.heartbeat(now)]
