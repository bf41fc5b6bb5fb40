"""Take over as the named successor, or much later as a third daemon."""

from cassialever.authority_row import KnownRow
from cassialever.authority_state import AuthorityState
from cassialever.ownership_effects import Effect
from cassialever.rows import CoordinatorRow, Unresolved
from cassialever.types import Epoch, Seconds

#: After how many terms without an answer a coordinator counts as silent.
SILENT_TERMS = 1
#: After how many renewals without a question a successor looks at the row.
LATE_RENEWALS = 2


def watch(authority: AuthorityState, now: Seconds) -> list[Effect]:
    """Read the row, and take over once nobody can act under it."""
    if authority.rows.pending:
        return []
    known = authority.rows.known
    if known is None:
        return authority.rows.read(now)
    row = known.row
    if row is None:
        return _start(authority, now)
    free_at = _free_at(authority, known, row)
    own = authority.membership.own
    named = own == (row.successor, row.successor_incarnation)
    named = named or row.holder == own[0]
    if named and now >= free_at and row.epoch >= authority.membership.epoch:
        return _take_over(authority, row, (), free_at, now)
    if named and _is_late(authority, now):
        # The row may have been written since it was read last.
        return authority.rows.read(now)
    return _watch_as_third(authority, row, now)


def _free_at(
    authority: AuthorityState,
    known: KnownRow,
    row: CoordinatorRow,
) -> Seconds:
    """Return when the row's holder can't act any more, for its successor."""
    if authority.duty.handed_epoch == row.epoch:
        return authority.duty.promised_until
    written_ends = known.seen_at + authority.giver_term()
    return max(written_ends, authority.duty.promised_until)


def _is_late(authority: AuthorityState, now: Seconds) -> bool:
    """Return whether the coordinator has missed asking for a promise."""
    left = authority.duty.promised_until - now
    missed = LATE_RENEWALS * authority.settings.leases.coordinator_renewal
    return left < authority.giver_term() - missed


def _watch_as_third(
    authority: AuthorityState,
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
    left = Unresolved(
        row.epoch,
        row.holder,
        row.successor,
        row.successor_incarnation,
    )
    return _take_over(authority, row, (left,), now, now)


def _take_over(
    authority: AuthorityState,
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


def _start(authority: AuthorityState, now: Seconds) -> list[Effect]:
    """Write the first row; the first instance by name goes ahead."""
    first = authority.membership.everyone()[0] == authority.membership.me
    waited = authority.rows.unchanged_for(now)
    if not first and waited < authority.giver_term():
        return authority.rows.read(now)
    successor = authority.membership.pick_successor(0)
    epoch = Epoch(authority.membership.epoch + 1)
    return authority.rows.write_over(epoch, successor, (), now, now)
