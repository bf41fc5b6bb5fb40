"""Judge why terms of leaders end, by the logs of the daemons."""

import pathlib
from collections.abc import Iterator

import msgspec

from cassialever.fleet.term_ends import SHORT_TERM, TermEnd
from soak.daemon_logs import lines_of

#: Ends by an order to stop, or in favour of a daemon that reaches more targets.
ORDERED = (TermEnd.resigned.reason, TermEnd.aborted.reason)


class TermLine(msgspec.Struct, frozen=True):
    """What a daemon logs of a term that has ended, or of several."""

    #: When the last term ended, by the loop's clock.
    ended_at: float
    lasted: float
    reason: str
    details: str | None = None
    #: The number of short terms in a row, if it is a warning of them.
    count: int | None = None

    @property
    def began_at(self) -> float:
        """Return when the last term began."""
        return self.ended_at - self.lasted

    def violation(self, *, is_disrupted: bool, is_ordered: bool) -> str | None:
        """Return what is wrong, if anything.

        `is_disrupted` is whether a fault concerned the daemon or the store in
        the term, `is_ordered` whether the daemon was to give the lead up.
        """
        if self.count is None and self.lasted >= SHORT_TERM:
            return None
        is_excused = is_disrupted and self.reason != TermEnd.failed.reason
        if is_excused or (is_ordered and self.reason in ORDERED):
            return None
        which = 'a term'
        if self.count is not None:
            which = f'the last of {self.count} short terms in a row'
        return (
            f'LEADER {which} ended after {self.lasted:.2f} s without a fault:'
            f' {self.reason} {self.details or ""}'
        )


def read_terms(log: pathlib.Path, clock_offset: float) -> Iterator[TermLine]:
    """Yield the lines on terms that ended.

    `clock_offset` is the wall clock's time less that of the loop.
    """
    for fields in lines_of(log):
        if fields.get('name') in {'leader_lost', 'terms_short'}:
            yield TermLine(
                fields['time'] - clock_offset,
                fields['lasted'],
                fields['reason'],
                fields.get('details'),
                fields.get('count'),
            )
