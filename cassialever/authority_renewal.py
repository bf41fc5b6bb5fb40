"""Go on coordinating: promises first, the table where they run low."""

from cassialever.authority_state import AuthorityState
from cassialever.control_messages import PromiseWanted
from cassialever.membership import NOBODY
from cassialever.ownership_effects import Effect, SendControl
from cassialever.types import InstanceId, Seconds

#: The share of a term that promises have to leave, or the row is written.
LOW_SHARE = 0.5


def renew(authority: AuthorityState, now: Seconds) -> list[Effect]:
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


def _successor(authority: AuthorityState, now: Seconds) -> InstanceId:
    """Keep the successor while it answers, else name another."""
    known = authority.rows.known
    named = known.row.successor if known and known.row else NOBODY
    silent_since = now - 2 * authority.giver_term()
    answers = authority.terms.last_promise > silent_since
    member = authority.membership.member_by_id.get(named)
    if named and answers and not (member and member.stopping):
        return named
    return authority.membership.pick_successor(silent_since) or named
