"""The gate of one target, at the only daemon that may send to it.

It gives out the target's slots exactly, whatever number of daemons forward
requests, and holds a queue bounded by length and by deadline.
"""

from cassialever.admission import (
    LateScan,
    busy,
    fits,
    leaving,
    refuse,
    refuse_late,
    too_late,
)
from cassialever.catalogue import TargetEntry
from cassialever.errors import EntryRef, Failure
from cassialever.fairness import FairQueue
from cassialever.messages import TargetLoad
from cassialever.ramp import Ramp
from cassialever.slots import Slots
from cassialever.tickets import (
    Ending,
    Offered,
    Queued,
    Refusal,
    Step,
    Ticket,
)
from cassialever.types import Seconds, TargetState


class TargetGate:
    """Slots and queue of one target."""

    def __init__(self, entry: TargetEntry, queue_length: int) -> None:
        """Start cold and empty."""
        self.slots = Slots(Ramp(entry.limits))
        self._entry = entry
        self._queue_length = queue_length
        self._queue = FairQueue()
        self._leaving: Failure | None = None
        self._scan = LateScan()

    @property
    def state(self) -> TargetState:
        """Return how far the target has warmed up."""
        if self._leaving is not None:
            return TargetState.draining
        return self.slots.ramp.state

    def load(self) -> TargetLoad:
        """Return the load to send along with an answer."""
        queued = len(self._queue)
        wait = 0 if self.slots.free else self.slots.expected_wait(queued)
        return TargetLoad(
            target_id=self._entry.target_id,
            in_flight=self.slots.in_flight,
            queued=queued,
            capacity=self.slots.ramp.limit,
            expected_ms=(wait + self.slots.expected_run) * 1000,
        )

    def adopt(
        self,
        entry: TargetEntry,
        queue_length: int,
        now: Seconds,
    ) -> Step:
        """Take over a changed entry; what is in flight stays counted."""
        self._entry = entry
        self._queue_length = queue_length
        self.slots.ramp.adopt(entry.limits)
        return self._settle(now)

    def offer(self, ticket: Ticket, now: Seconds) -> Offered:
        """Give a slot, a place in the queue or an early refusal."""
        if self._leaving is not None:
            return self._leaving
        if now >= ticket.deadline:
            return too_late(self._entry.ref())
        self.slots.check_ages(now)
        if self.slots.free and not self._queue:
            return self.slots.occupy(ticket, now)
        ahead = self._queue.ahead(ticket.caller)
        wait = self.slots.expected_wait(ahead)
        if fits(ticket, wait, self.slots, now):
            return self._enqueue(ticket)
        reason = 'the wait would outlast the deadline'
        return busy(self._entry.ref(), reason, wait)

    def finish(self, ticket: Ticket, ending: Ending, now: Seconds) -> Step:
        """End an attempt in flight and pass its slot on.

        A slot whose ending is unknown stays occupied until the attempt's
        deadline, or until a second call says more. Ending a ticket whose
        slot is already free again does nothing.
        """
        self.slots.release(ticket, ending, now)
        return self._settle(now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a ticket out of the queue; return whether it still waited."""
        return self._queue.remove(ticket)

    def drain(self, cause: EntryRef) -> Step:
        """Refuse what waits and all that comes; what runs goes on."""
        failure = leaving(self._entry.ref(), cause)
        refused = [Refusal(ticket, failure) for ticket in self._queue]
        self._leaving = failure
        self._queue = FairQueue()
        return Step(refused=tuple(refused))

    def reopen(self) -> None:
        """End a drain; the target starts cold."""
        self._leaving = None
        self.slots.ramp.fall_back()

    def expire(self, now: Seconds) -> Step:
        """Free the slots and refuse the tickets whose time has come."""
        self._scan.force()
        self.slots.expire(now)
        return self._settle(now)

    def next_expiry(self) -> Seconds | None:
        """Return when `expire` has something to do, if ever."""
        run = self.slots.expected_run
        instants = [ticket.deadline - run for ticket in self._queue]
        slot_expiry = self.slots.next_expiry()
        if slot_expiry is not None:
            instants.append(slot_expiry)
        return min(instants, default=None)

    def _enqueue(self, ticket: Ticket) -> Queued | Failure:
        queued = len(self._queue)
        if queued < self._queue_length:
            self._queue.push(ticket)
            return Queued()
        entry = self._entry.ref()
        wait = self.slots.expected_wait(queued)
        evicted = self._queue.evictable(ticket.caller)
        if evicted is None:
            return busy(entry, 'the queue is full', wait)
        self._queue.remove(evicted)
        self._queue.push(ticket)
        failure = busy(entry, 'the queue is shared between callers', wait)
        return Queued(evicted=Refusal(evicted, failure))

    def _settle(self, now: Seconds) -> Step:
        """Refuse those that no longer fit, then start those that may."""
        self.slots.check_ages(now)
        refused: list[Refusal] = []
        if self._scan.is_due(self.slots.ramp.limit, now):
            refused = refuse_late(
                self._queue, self.slots, self._entry.ref(), now
            )
        started: list[Ticket] = []
        while self._queue and self.slots.free:
            ticket = self._queue.pop()
            if fits(ticket, 0, self.slots, now):
                self.slots.occupy(ticket, now)
                started.append(ticket)
                continue
            refused.append(refuse(ticket, self._entry.ref(), 0, now))
        return Step(started=tuple(started), refused=tuple(refused))
