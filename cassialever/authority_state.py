"""What one daemon knows of the right to coordinate, and has of it."""

from collections.abc import Iterator

from cassialever.authority_row import PendingWrite, RowAccess
from cassialever.authority_terms import AuthorityTerms
from cassialever.events import Event
from cassialever.interfaces import RandomSource
from cassialever.invariants import Invariant, check
from cassialever.leases import giver_term
from cassialever.membership import Membership, Process
from cassialever.ownership_effects import Effect, LogEvent
from cassialever.rows import Unresolved
from cassialever.settings import Settings
from cassialever.types import Epoch, Incarnation, Seconds


class EarlierAuthority:
    """When those who coordinated before were surely done.

    `unresolved` names earlier coordinators that may act still; while there
    is one, no slice may leave its target. `ended` is an instant by which all
    others were over, and `resolved_end` the same for those that have been
    heard of since.
    """

    def __init__(self) -> None:
        """Know of none."""
        self.ended: Seconds = 0
        self.resolved_end: Seconds = 0
        self.unresolved: tuple[Unresolved, ...] = ()


class SuccessorDuty:
    """What this daemon owes to the coordinator that named it.

    `promised_until` is under 0 before the first event.
    """

    def __init__(self) -> None:
        """Owe nothing that is known."""
        self.promised_until: Seconds = -1
        self.handed_epoch = Epoch(0)


class AuthorityState:
    """The terms of the authority and the row that they rest on.

    `epoch` is 0 while this daemon does not coordinate.
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
        self.membership = membership
        self.epoch = Epoch(0)
        self.earlier = EarlierAuthority()
        self.duty = SuccessorDuty()
        self.rows = RowAccess(settings, incarnation, random, tokens)
        self.terms = AuthorityTerms(settings.leases.coordinator_term)
        self.leaving = False

    def holds(self, now: Seconds) -> bool:
        """Return whether this daemon coordinates at this instant."""
        if not self.epoch or self.epoch < self.membership.epoch:
            return False
        return self.earlier.ended <= now < self.terms.ends()

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
        self.earlier.ended = max(pending.old_ended, self.duty.promised_until)
        self.earlier.unresolved = row.unresolved
        successor = (row.successor, row.successor_incarnation)
        self.terms.begin(pending.asked_at, successor)
        self.membership.follow(row.epoch, self.membership.me, now)
        return [LogEvent(Event.authority_taken, {'epoch': row.epoch})]

    def write(
        self,
        successor: Process,
        now: Seconds,
    ) -> list[Effect]:
        """Write the row again, naming a successor."""
        self.terms.name(successor)
        return self.rows.write_again(successor, self.earlier.unresolved, now)
