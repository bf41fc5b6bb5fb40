"""Whether a ticket can be served in time, and how it is refused if not."""

from typing import Final

from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.fairness import FairQueue
from cassialever.slots import Slots
from cassialever.tickets import Refusal, Ticket
from cassialever.types import Seconds

#: When to come back to a target that has not answered anything yet.
UNSEEN_RETRY_AFTER: Final[Seconds] = 1.0
#: The longest time until a queued ticket that no longer fits is refused.
SCAN_PAUSE: Final[Seconds] = 0.01


class LateScan:
    """When to look through a queue: now and then, or for a new limit."""

    def __init__(self) -> None:
        """Start due."""
        self._limit = 0
        self._next: Seconds = 0

    def force(self) -> None:
        """Make a scan due at once."""
        self._limit = 0

    def is_due(self, limit: int, now: Seconds) -> bool:
        """Say whether a scan is due; if so, it counts as done."""
        if limit == self._limit and now < self._next:
            return False
        self._limit = limit
        self._next = now + SCAN_PAUSE
        return True


def fits(ticket: Ticket, wait: Seconds, slots: Slots, now: Seconds) -> bool:
    """Say whether a wait and the expected run end by the deadline."""
    left = ticket.deadline - now
    return left > 0 and wait + slots.expected_run <= left


def busy(entry: EntryRef, reason: str, wait: Seconds) -> Failure:
    """Refuse at once; the caller may come back when the wait is over."""
    return Failure(
        ErrorKind.target_busy,
        f'{entry.name} is at its limit: {reason}',
        entry,
        wait or UNSEEN_RETRY_AFTER,
    )


def too_late(entry: EntryRef) -> Failure:
    """Refuse a ticket whose deadline has passed."""
    return Failure(
        ErrorKind.deadline_passed,
        f'the deadline passed before {entry.name} had a free slot',
        entry,
    )


def leaving(entry: EntryRef, cause: EntryRef) -> Failure:
    """Refuse because operators take the target out of service."""
    return Failure(
        ErrorKind.target_leaving,
        f'{entry.name} gets no new work',
        cause,
    )


def refuse_late(
    queue: FairQueue,
    slots: Slots,
    entry: EntryRef,
    now: Seconds,
) -> list[Refusal]:
    """Take those out of the queue that can't be served in time any more."""
    refused: list[Refusal] = []
    behind = -slots.free
    for ticket in list(queue):
        wait = 0 if behind < 0 else slots.expected_wait(behind)
        if fits(ticket, wait, slots, now):
            behind += 1
            continue
        queue.remove(ticket)
        refused.append(refuse(ticket, entry, wait, now))
    return refused


def refuse(
    ticket: Ticket,
    entry: EntryRef,
    wait: Seconds,
    now: Seconds,
) -> Refusal:
    """Refuse a queued ticket that can't be served in time any more."""
    if now >= ticket.deadline:
        return Refusal(ticket, too_late(entry))
    reason = 'the wait would outlast the deadline'
    return Refusal(ticket, busy(entry, reason, wait))
