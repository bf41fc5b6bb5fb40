"""Go on coordinating: promises first, the table where they run low."""

from cassialever.authority_state import AuthorityState
from cassialever.control_messages import PromiseWanted
from cassialever.membership import NO_PROCESS, Process
from cassialever.ownership_effects import Effect, SendControl
from cassialever.types import Seconds

#: The share of a term that promises have to leave, or the row is written.
LOW_SHARE = 0.5
#: How long a coordinator that hears nobody lets others go first, in seconds.
GIVES_WAY_FOR = 2.0


def renew(authority: AuthorityState, now: Seconds) -> list[Effect]:
    """Ask for promises, and write the row where they run low."""
    leases = authority.settings.leases
    effects: list[Effect] = []
    known = authority.rows.known
    if known and now >= authority.terms.next_ask:
        authority.terms.next_ask = now + leases.coordinator_renewal
        wanted = PromiseWanted(
            sequence=authority.terms.ask(now),
            epoch=authority.epoch,
            row_version=known.version,
        )
        effects.extend(_ask(authority, wanted))
    if authority.rows.pending or _is_giving_way(authority, now):
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


def _ask(
    authority: AuthorityState,
    wanted: PromiseWanted,
) -> list[Effect]:
    """Ask all who may take over; one that has restarted never will."""
    effects: list[Effect] = []
    for successor in sorted(authority.terms.successors):
        name, incarnation = successor
        latest = authority.membership.process(name)
        if 0 < incarnation < latest[1]:
            authority.terms.release(successor)
        elif name:
            effects.append(SendControl(name, wanted))
    return effects


def _is_giving_way(authority: AuthorityState, now: Seconds) -> bool:
    """Return whether to let another coordinate that can reach the rest.

    A coordinator that reaches the table and hears no other instance would
    keep all the others from their callers' targets. It stops writing for a
    while; if nobody has taken over by then, it is alone and goes on.
    """
    listed = authority.membership.listed_by_id.keys()
    if not listed - {authority.membership.me}:
        return False
    heard_at = authority.membership.others_heard_at()
    lonely_for = now - max(heard_at, authority.earlier.ended)
    begin = authority.settings.leases.coordinator_term
    return begin < lonely_for < begin + GIVES_WAY_FOR


def _successor(authority: AuthorityState, now: Seconds) -> Process:
    """Keep the successor while it answers, else name another."""
    known = authority.rows.known
    named = NO_PROCESS
    if known and known.row:
        named = (known.row.successor, known.row.successor_incarnation)
    silent_since = now - 2 * authority.giver_term()
    answers = authority.terms.last_promise > silent_since
    member = authority.membership.member_by_id.get(named[0])
    stays = member and not member.stopping and member.incarnation == named[1]
    if answers and stays:
        return named
    picked = authority.membership.pick_successor(silent_since)
    return picked if picked[0] else named
