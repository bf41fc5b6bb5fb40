"""The gates of this daemon's targets, with the waiting round them."""

import asyncio

from cassialever.catalogue import TargetEntry
from cassialever.errors import Failure
from cassialever.interfaces import Clock
from cassialever.limits import TargetGate
from cassialever.tickets import Admitted, Ending, Queued, Refusal, Step, Ticket
from cassialever.types import Incarnation, TargetId


class WaitingGate:
    """One target's gate, at which tasks wait for their slot."""

    def __init__(self, gate: TargetGate, clock: Clock) -> None:
        """Take the gate whose decisions are carried out."""
        self.gate = gate
        self._clock = clock
        self._waiter_by_ticket: dict[Ticket, asyncio.Future[Failure | None]]
        self._waiter_by_ticket = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, ticket: Ticket) -> Failure | None:
        """Return once the ticket has a slot, or why it gets none.

        Cancelled while it waits, the ticket gives its place or slot back.
        """
        offered = self.gate.offer(ticket, self._clock.monotonic())
        if isinstance(offered, Admitted):
            return None
        if isinstance(offered, Queued):
            return await self._wait(ticket, offered.evicted)
        return offered

    def saw_answer(
        self,
        ticket: Ticket,
        incarnation: Incarnation,
        *,
        good: bool,
    ) -> None:
        """Note the head of an answer."""
        now = self._clock.monotonic()
        self.gate.slots.answer_began(ticket, incarnation, now, good=good)

    def leave(self, ticket: Ticket, ending: Ending) -> None:
        """Give a slot back as the ending allows."""
        now = self._clock.monotonic()
        self._carry_out(self.gate.finish(ticket, ending, now))
        if ending is Ending.unknown:
            self._set_timer()

    def carry_out(self, step: Step) -> None:
        """Wake those whom a decision of the gate concerns."""
        self._carry_out(step)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    async def _wait(
        self,
        ticket: Ticket,
        evicted: Refusal | None,
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Failure | None] = loop.create_future()
        self._waiter_by_ticket[ticket] = waiter
        if evicted:
            self._carry_out(Step(refused=(evicted,)))
        self._set_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._give_up(ticket)
            raise
        finally:
            self._waiter_by_ticket.pop(ticket, None)

    def _give_up(self, ticket: Ticket) -> None:
        # The slot may have been given between the cancel and this moment.
        if not self.gate.withdraw(ticket):
            self.leave(ticket, Ending.not_sent)

    def _carry_out(self, step: Step) -> None:
        for ticket in step.started:
            self._wake(ticket, None)
        for refusal in step.refused:
            self._wake(refusal.ticket, refusal.failure)

    def _wake(self, ticket: Ticket, failure: Failure | None) -> None:
        waiter = self._waiter_by_ticket.get(ticket)
        if waiter and not waiter.done():
            waiter.set_result(failure)

    def _set_timer(self) -> None:
        if self._timer:
            return
        expiry = self.gate.next_expiry()
        if expiry is None:
            return
        delay = max(0, expiry - self._clock.monotonic())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._carry_out(self.gate.expire(self._clock.monotonic()))
        self._set_timer()


class Gates:
    """Every target's gate on this daemon."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._entry_by_target: dict[TargetId, TargetEntry] = {}
        self.gate_by_target: dict[TargetId, WaitingGate] = {}

    def gate(self, entry: TargetEntry, queue_length: int) -> WaitingGate:
        """Return a target's gate, under the entry as it now stands."""
        waiting = self.gate_by_target.get(entry.target_id)
        if waiting is None:
            gate = TargetGate(entry, queue_length)
            waiting = WaitingGate(gate, self._clock)
            self.gate_by_target[entry.target_id] = waiting
        elif self._entry_by_target[entry.target_id] is not entry:
            now = self._clock.monotonic()
            waiting.carry_out(waiting.gate.adopt(entry, queue_length, now))
        self._entry_by_target[entry.target_id] = entry
        return waiting

    async def start(self) -> None:
        """Do nothing: gates are made when they are first needed."""

    async def stop(self) -> None:
        """Stop every timer."""
        for waiting in self.gate_by_target.values():
            waiting.close()
