"""Judge why terms of leaders end, by the lines that daemons log."""

from collections.abc import Mapping
from typing import Any

from cassialever.fleet.term_ends import SHORT_TERM, TermEnd

#: Lines on a term that has ended, and on several short ones.
TERM_EVENTS = ('leader_lost', 'terms_short')
#: Ends by an order to stop, or in favour of a daemon that reaches more targets.
ORDERED = (TermEnd.resigned.reason, TermEnd.aborted.reason)


def judge_term(
    line: Mapping[str, Any], *, is_disrupted: bool, is_ordered: bool
) -> str | None:
    """Return what is wrong with the end of a term, if anything.

    `is_disrupted` is whether a fault concerned the daemon or the store in the
    term, `is_ordered` whether the daemon was to give the lead up.
    """
    lasted, reason, count = line['lasted'], line['reason'], line.get('count')
    if count is None and lasted >= SHORT_TERM:
        return None
    is_excused = is_disrupted and reason != TermEnd.failed.reason
    if is_excused or (is_ordered and reason in ORDERED):
        return None
    which = f'the last of {count} short terms in a row' if count else 'a term'
    return (
        f'LEADER {which} ended after {lasted:.2f} s without a fault: {reason}'
        f' {line.get("details", "")}'
    )
