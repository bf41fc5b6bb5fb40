"""The slots of one target: who occupies them, and for how long."""

from cassialever.invariants import Invariant, check
from cassialever.latency import RecentMedian
from cassialever.ramp import Age, Ramp
from cassialever.tickets import Admitted, Ending, Slot, Ticket
from cassialever.types import Incarnation, Seconds


class Slots:
    """Attempts in flight, up to the limit that the ramp sets."""

    def __init__(self, ramp: Ramp) -> None:
        """Start with every slot free."""
        self.ramp = ramp
        self.peak = 0
        self._hold = RecentMedian()
        self._slot_by_ticket: dict[Ticket, Slot] = {}

    @property
    def in_flight(self) -> int:
        """Return how many are occupied, by given up attempts as well."""
        return len(self._slot_by_ticket)

    @property
    def free(self) -> int:
        """Return how many attempts may start now."""
        return max(0, self.ramp.limit - self.in_flight)

    @property
    def expected_run(self) -> Seconds:
        """Return how long an attempt is expected to occupy a slot."""
        return self._hold.median

    def expected_wait(self, ahead: int) -> Seconds:
        """Return the expected wait behind a number of queued tickets."""
        return (ahead + 1) * self._hold.median / self.ramp.limit

    def occupy(self, ticket: Ticket, now: Seconds) -> Admitted:
        """Take a slot for a ticket; one has to be free."""
        pace = self.ramp.pace()
        self._slot_by_ticket[ticket] = Slot(since=now, pace=pace)
        check(
            Invariant.in_flight_within_limit,
            ok=self.in_flight <= pace.limit,
            in_flight=self.in_flight,
            limit=pace.limit,
        )
        self.peak = max(self.peak, self.in_flight)
        return Admitted(pace)

    def answer_began(
        self,
        ticket: Ticket,
        incarnation: Incarnation,
        now: Seconds,
        *,
        good: bool = True,
    ) -> None:
        """Note the head of an answer; the slot stays until `release`.

        An answer that isn't good, say a status of 500, is no step up. The
        answer to an attempt whose slot is free again is not a sign.
        """
        slot = self._slot_by_ticket.get(ticket)
        if slot is None:
            return
        slot.has_answer = True
        if self.ramp.saw_incarnation(incarnation) and good:
            self.ramp.saw_latency(now - slot.since, slot.pace)

    def release(self, ticket: Ticket, ending: Ending, now: Seconds) -> None:
        """End an attempt; an unknown ending leaves its slot occupied."""
        slot = self._slot_by_ticket.get(ticket)
        if slot is None:
            return
        if ending is Ending.unknown and now < ticket.deadline:
            slot.given_up = True
            self.ramp.saw_silence(now - slot.since, slot.pace)
            return
        self._slot_by_ticket.pop(ticket)
        if ending is Ending.shed:
            self.ramp.fall_back()
        if ending is Ending.answered:
            self._hold.add(now - slot.since)

    def check_ages(self, now: Seconds) -> None:
        """Let the ramp see how long the open attempts have been open."""
        ages = [
            Age(slot.pace, now - slot.since)
            for slot in self._slot_by_ticket.values()
            if not slot.has_answer and not slot.given_up
        ]
        self.ramp.saw_ages(ages)

    def expire(self, now: Seconds) -> None:
        """Free the slots of given up attempts whose deadline has passed."""
        for ticket, slot in list(self._slot_by_ticket.items()):
            if slot.given_up and now >= ticket.deadline:
                self._slot_by_ticket.pop(ticket)

    def next_expiry(self) -> Seconds | None:
        """Return when `expire` has something to do, if ever."""
        instants = [
            ticket.deadline
            for ticket, slot in self._slot_by_ticket.items()
            if slot.given_up
        ]
        return min(instants, default=None)
