"""The right to coordinate one data centre's partition.

The table's row names the coordinator and one successor. The coordinator goes
on by writing its row, or by the successor's promise not to take over for one
more term. Only the successor may take over soon after both have run out; any
other daemon only after it saw the row unchanged for `third_wait`, and then
with its hands tied: see `EarlierAuthority`.
"""

import functools
from collections.abc import Iterable
from typing import Any

from cassialever.authority_renewal import renew
from cassialever.authority_row import PendingWrite
from cassialever.authority_state import AuthorityState
from cassialever.authority_watch import watch
from cassialever.control_messages import (
    HandOver,
    Heartbeat,
    Promise,
    PromiseWanted,
    Renounced,
)
from cassialever.interfaces import ABSENT, Committed
from cassialever.ownership_effects import Effect, SendControl
from cassialever.ownership_events import (
    ControlReceived,
    InstancesDeclaredLost,
    OwnershipEvent,
    RowsCommitted,
    RowsRead,
    StopWanted,
    Tick,
)
from cassialever.rows import Unresolved
from cassialever.types import InstanceId, Seconds


class Authority(AuthorityState):
    """Keep, take and give up the right to coordinate."""

    def handle(self, event: OwnershipEvent, now: Seconds) -> list[Effect]:
        """Take in one event and return what is to be done."""
        if self.duty.promised_until < 0:
            # An earlier incarnation may have promised just before.
            self.duty.promised_until = now + self.giver_term()
        if self.epoch and self.epoch < self.membership.epoch:
            return [*self.step_down(), *_handle(event, self, now)]
        return _handle(event, self, now)


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
def _on_declared_lost(
    event: InstancesDeclaredLost,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    settled = [
        pair
        for pair in authority.earlier.unresolved
        if pair.holder in event.instances
    ]
    _resolve(authority, settled, now)
    return []


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
        effects.extend(renew(authority, now))
        return effects
    if not authority.leaving:
        effects.extend(watch(authority, now))
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
    effects = authority.rows.failed(event.outcome, now)
    known = authority.rows.known
    if authority.rows.pending is None and authority.epoch:
        row = known.row if known else None
        if row and row.epoch == authority.epoch:
            authority.terms.not_written(
                (row.successor, row.successor_incarnation),
            )
    return effects


def _written(
    authority: Authority,
    pending: PendingWrite,
    now: Seconds,
) -> list[Effect]:
    if pending.row.epoch < authority.membership.epoch:
        return []
    if pending.row.epoch > authority.epoch:
        return authority.take(pending, now)
    successor = pending.row.successor
    named = (successor, pending.row.successor_incarnation)
    authority.terms.written(pending.asked_at, named)
    if not authority.leaving or not successor:
        return []
    known = authority.rows.known
    version = known.version if known else ABSENT
    handed = HandOver(epoch=authority.epoch, row_version=version)
    return [*authority.step_down(), SendControl(successor, handed)]


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
    if authority.leaving and authority.rows.pending is None:
        return [SendControl(sender, Renounced(epoch=message.epoch))]
    authority.duty.promised_until = max(
        authority.duty.promised_until,
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
        promiser = authority.membership.process(sender)
        authority.terms.promised(promiser, message.sequence)
    return []


@_receive.register
def _on_renounced(
    message: Renounced,
    sender: InstanceId,
    authority: Authority,
    now: Seconds,
) -> list[Effect]:
    if message.epoch == authority.epoch:
        authority.terms.release(authority.membership.process(sender))
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
    if authority.leaving:
        return []
    authority.duty.handed_epoch = message.epoch
    authority.duty.promised_until = now
    known = authority.rows.known
    if known is None or known.version != message.row_version:
        return authority.rows.read(now)
    return watch(authority, now)


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
    own = authority.membership.process(sender)
    settled = [
        pair
        for pair in authority.earlier.unresolved
        if pair.holder == sender
        or (pair.successor, pair.successor_incarnation) == own
    ]
    if message.stopping:
        # It may have renounced before, which binds the pair's holder no more.
        settled = [pair for pair in settled if pair.holder == sender]
    _resolve(authority, settled, now)
    return []


def _resolve(
    authority: AuthorityState,
    settled: Iterable[Unresolved],
    now: Seconds,
) -> None:
    """Count pairs as settled: what they gave ends within a term.

    The successor of that very run is enough: a coordinator that can't write
    its row acts only on its promises, and it gives none any more.
    """
    gone = set(settled)
    if not gone:
        return
    authority.earlier.unresolved = tuple(
        pair for pair in authority.earlier.unresolved if pair not in gone
    )
    authority.earlier.resolved_end = now + authority.giver_term()
