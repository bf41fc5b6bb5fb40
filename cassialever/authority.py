"""The right to coordinate one data centre's partition.

The table's row names the coordinator and one successor. The coordinator goes
on by writing its row, or by the successor's promise not to take over for one
more term. Only the successor may take over soon after both have run out; any
other daemon only after it saw the row unchanged for `third_wait`, and then
with its hands tied: see `Authority.unresolved`.
"""

import functools
from collections.abc import Iterator
from typing import Any

from cassialever.authority_row import KnownRow, PendingWrite, RowAccess
from cassialever.authority_terms import AuthorityTerms
from cassialever.control_messages import (
    HandOver,
    Heartbeat,
    Promise,
    PromiseWanted,
)
from cassialever.events import Event
from cassialever.interfaces import ABSENT, Committed, RandomSource
from cassialever.invariants import Invariant, check
from cassialever.leases import giver_term
from cassialever.membership import NOBODY, Membership
from cassialever.ownership_effects import Effect, LogEvent, SendControl
from cassialever.ownership_events import (
    ControlReceived,
    OwnershipEvent,
    RowsCommitted,
    RowsRead,
    StopWanted,
    Tick,
)
from cassialever.rows import CoordinatorRow, Unresolved
from cassialever.settings import Settings
from cassialever.types import Epoch, Incarnation, InstanceId, Seconds

#: The share of a term that promises have to leave, or the row is written.
LOW_SHARE = 0.5
#: After how many terms without an answer a coordinator counts as silent.
SILENT_TERMS = 1.5


class Authority:
    """Keep, take and give up the right to coordinate.

    `unresolved` names earlier coordinators that may act still; while there
    is one, no slice may leave its target. `old_ended` is an instant by which
    all earlier authority was over, those unresolved left aside, and
    `resolved_end` the same for those that have been heard of since.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        membership: Membership,
        random: RandomSource,
        tokens: Iterator[int],
    ) -> None:
        """Start without the right; `tokens` name reads and writes."""
        self.settings = settings
        self.me = settings.instance.instance_id
        self.membership = membership
        self.epoch = Epoch(0)
        self.old_ended: Seconds = 0
        self.resolved_end: Seconds = 0
        self.unresolved: tuple[Unresolved, ...] = ()
        self.rows = RowAccess(settings, incarnation, random, tokens)
        self.terms = AuthorityTerms(settings.leases.coordinator_term)
        self.promised_until: Seconds = -1
        self.handed_epoch = Epoch(0)
        self.leaving = False
        self.next_promise: Seconds = 0

    def holds(self, now: Seconds) -> bool:
        """Return whether this daemon coordinates at this instant."""
        if not self.epoch or self.epoch < self.membership.epoch:
            return False
        return self.old_ended <= now < self.terms.ends()

    def handle(self, event: OwnershipEvent, now: Seconds) -> list[Effect]:
        """Take in one event and return what is to be done."""
        if self.promised_until < 0:
            # An earlier incarnation may have promised just before.
            self.promised_until = now + self.giver_term()
        if self.epoch and self.epoch < self.membership.epoch:
            return [*self.step_down(), *_handle(event, self, now)]
        return _handle(event, self, now)

    def giver_term(self) -> Seconds:
        """Return how long this daemon waits out another's authority."""
        leases = self.settings.leases
        return giver_term(leases.coordinator_term, leases.drift_share)

    def step_down(self) -> list[Effect]:
        """Coordinate no more."""
        if not self.epoch:
            return []
        lost = self.epoch
        self.epoch = Epoch(0)
        self.terms.end()
        return [LogEvent(Event.authority_lost, {'epoch': lost})]

    def take(self, pending: PendingWrite, now: Seconds) -> list[Effect]:
        """Coordinate from now on, since the row says so."""
        row = pending.row
        check(
            Invariant.epoch_rises,
            row.epoch > self.epoch and row.epoch >= self.membership.epoch,
            epoch=row.epoch,
        )
        self.epoch = row.epoch
        self.old_ended = max(pending.old_ended, self.promised_until)
        self.unresolved = row.unresolved
        self.terms.begin(pending.asked_at, row.successor)
        self.membership.follow(row.epoch, self.me, now)
        return [LogEvent(Event.authority_taken, {'epoch': row.epoch})]

    def write(
        self,
        successor: InstanceId,
        now: Seconds,
    ) -> list[Effect]:
        """Write the row again, naming a successor."""
        self.terms.name(successor)
        return self.rows.write_again(successor, self.unresolved, now)


@functools.singledispatch
def _handle(event: Any, authority: Authority, now: Seconds) -> list[Effect]:
    return []


@_handle.register
def _on_control(
    event: ControlReceived,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    return _receive(event.message, event.sender, authority, now)


@_handle.register
def _on_stop(
    event: StopWanted,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    authority.leaving = True
    if not authority.holds(now) or authority.rows.pending:
        return []
    successor = authority.membership.pick_successor(
        now - authority.giver_term(),
    )
    return authority.write(successor, now)


@_handle.register
def _on_tick(
    event: Tick,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    effects = authority.rows.resend(now)
    if authority.epoch:
        effects.extend(_renew(authority, now))
        return effects
    if not authority.leaving:
        effects.extend(_watch(authority, now))
    return effects


@_handle.register
def _on_read(
    event: RowsRead,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    if not authority.rows.take_read(event, now):
        return []
    pending = authority.rows.settle_by_read()
    known = authority.rows.known
    row = known.row if known else None
    if pending and known and row and row.change_id == pending.row.change_id:
        return _written(authority, pending, now)
    if row is None:
        return []
    authority.membership.follow(row.epoch, row.holder, now)
    if row.epoch > authority.epoch:
        return authority.step_down()
    return []


@_handle.register
def _on_committed(
    event: RowsCommitted,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    pending = authority.rows.pending
    if pending is None or event.token != pending.token:
        return []
    if isinstance(event.outcome, Committed):
        authority.rows.committed(event.outcome, now)
        return _written(authority, pending, now)
    return authority.rows.failed(event.outcome, now)


def _written(
    authority: Authority,
    pending: PendingWrite,
    now: Seconds,
) -> list[Effect]:
    if pending.row.epoch < authority.membership.epoch:
        return []
    if pending.row.epoch > authority.epoch:
        return authority.take(pending, now)
    authority.terms.written(pending.asked_at, pending.row.successor)
    successor = pending.row.successor
    if not authority.leaving or not successor:
        return []
    known = authority.rows.known
    version = known.version if known else ABSENT
    handed = HandOver(epoch=authority.epoch, row_version=version)
    return [*authority.step_down(), SendControl(successor, handed)]


def _renew(authority: Authority, now: Seconds) -> list[Effect]:
    leases = authority.settings.leases
    effects: list[Effect] = []
    known = authority.rows.known
    if known and now >= authority.next_promise:
        authority.next_promise = now + leases.coordinator_renewal
        wanted = PromiseWanted(
            sequence=authority.terms.ask(now),
            epoch=authority.epoch,
            row_version=known.version,
        )
        effects.extend(
            SendControl(name, wanted)
            for name in sorted(authority.terms.successors)
            if name
        )
    if authority.rows.pending:
        return effects
    promised = authority.terms.promises_end() - now
    low = promised < LOW_SHARE * leases.coordinator_term
    interval = leases.coordinator_renewal if low else leases.table_renewal
    if authority.leaving:
        interval = leases.coordinator_renewal
    if now - authority.rows.last_write < interval:
        return effects
    successor = _successor(authority, now)
    effects.extend(authority.write(successor, now))
    return effects


def _successor(authority: Authority, now: Seconds) -> InstanceId:
    """Keep the successor while it answers, else name another."""
    known = authority.rows.known
    named = known.row.successor if known and known.row else NOBODY
    silent_since = now - 2 * authority.giver_term()
    answers = authority.terms.last_promise > silent_since
    member = authority.membership.member_by_id.get(named)
    if named and answers and not (member and member.stopping):
        return named
    return authority.membership.pick_successor(silent_since) or named


def _watch(authority: Authority, now: Seconds) -> list[Effect]:
    if authority.rows.pending:
        return []
    known = authority.rows.known
    if known is None:
        return authority.rows.read(now)
    row = known.row
    if row is None:
        return _start(authority, now)
    free_at = _free_at(authority, known, row)
    named = authority.me in {row.successor, row.holder}
    if named and now >= free_at and row.epoch >= authority.membership.epoch:
        return _take_over(authority, row, (), free_at, now)
    return _watch_as_third(authority, row, now)


def _free_at(
    authority: Authority,
    known: KnownRow,
    row: CoordinatorRow,
) -> Seconds:
    """Return when the row's holder can't act any more, for its successor."""
    if authority.handed_epoch == row.epoch:
        return authority.promised_until
    written_ends = known.seen_at + authority.giver_term()
    return max(written_ends, authority.promised_until)


def _watch_as_third(
    authority: Authority,
    row: CoordinatorRow,
    now: Seconds,
) -> list[Effect]:
    silent_for = now - authority.membership.coordinator_heard_at
    term = authority.settings.leases.coordinator_term
    if silent_for < SILENT_TERMS * term:
        return []
    unchanged = authority.rows.unchanged_for(now)
    if unchanged < authority.settings.leases.third_wait:
        return authority.rows.read(now)
    left = Unresolved(row.epoch, row.holder, row.successor)
    return _take_over(authority, row, (left,), now, now)


def _take_over(
    authority: Authority,
    row: CoordinatorRow,
    left: tuple[Unresolved, ...],
    old_ended: Seconds,
    now: Seconds,
) -> list[Effect]:
    successor = authority.membership.pick_successor(
        now - SILENT_TERMS * authority.settings.leases.target_term,
    )
    return authority.rows.write_over(
        Epoch(max(row.epoch, authority.membership.epoch) + 1),
        successor,
        row.unresolved + left,
        old_ended,
        now,
    )


def _start(authority: Authority, now: Seconds) -> list[Effect]:
    """Write the first row; the first instance by name goes ahead."""
    first = authority.membership.everyone()[0] == authority.me
    waited = authority.rows.unchanged_for(now)
    if not first and waited < authority.giver_term():
        return authority.rows.read(now)
    successor = authority.membership.pick_successor(0)
    epoch = Epoch(authority.membership.epoch + 1)
    return authority.rows.write_over(epoch, successor, (), now, now)


@functools.singledispatch
def _receive(
    message: Any,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    return []


@_receive.register
def _on_promise_wanted(
    message: PromiseWanted,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    if not authority.membership.follow(message.epoch, sender, now):
        return []
    if authority.epoch:
        return []
    authority.promised_until = max(
        authority.promised_until,
        now + authority.giver_term(),
    )
    promise = Promise(sequence=message.sequence, epoch=message.epoch)
    effects: list[Effect] = [SendControl(sender, promise)]
    known = authority.rows.known
    if known is None or known.version != message.row_version:
        effects.extend(authority.rows.read(now))
    return effects


@_receive.register
def _on_promise(
    message: Promise,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    if message.epoch == authority.epoch:
        authority.terms.promised(sender, message.sequence)
    return []


@_receive.register
def _on_hand_over(
    message: HandOver,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    if message.epoch != authority.membership.epoch or authority.epoch:
        return []
    authority.handed_epoch = message.epoch
    authority.promised_until = now
    known = authority.rows.known
    if known is None or known.version != message.row_version:
        return authority.rows.read(now)
    return _watch(authority, now)


@_receive.register
def _on_heartbeat(
    message: Heartbeat,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    """Count an earlier coordinator or successor as heard of."""
    if not authority.epoch or message.epoch != authority.epoch:
        return []
    left = tuple(
        pair
        for pair in authority.unresolved
        if sender not in {pair.holder, pair.successor}
    )
    if len(left) < len(authority.unresolved):
        authority.unresolved = left
        authority.resolved_end = now + authority.giver_term()
    return []
