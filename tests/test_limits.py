"""Tests of cassialever.limits."""

import random
import unittest

from cassialever.catalogue import TargetEntry, TargetLimits
from cassialever.errors import ErrorKind, Failure
from cassialever.latency import LEARNING_ANSWERS
from cassialever.limits import TargetGate
from cassialever.tickets import Admitted, Ending, Queued, Ticket
from cassialever.types import (
    CallerId,
    DataCentreId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
)


def entry(slots: int, cold: int) -> TargetEntry:
    """Return an entry with the given limits."""
    return TargetEntry(
        owner='o',
        target_id=TargetId('t'),
        service=ServiceName('s'),
        data_centre=DataCentreId('a'),
        address='127.0.0.1:1',
        limits=TargetLimits(slots=slots, connections=50, cold_slots=cold),
    )


def ticket(caller: str = 'c', deadline: float = 100) -> Ticket:
    """Return a fresh ticket."""
    return Ticket(RequestId('r'), CallerId(caller), deadline)


def answered_gate(hold: float = 1) -> TargetGate:
    """Return a gate with one slot that has learned how long a run takes."""
    gate = TargetGate(entry(1, 1), queue_length=4)
    for index in range(-LEARNING_ANSWERS, 0):
        began, ended = (index + 1) * hold, (index + 2) * hold
        one = ticket()
        gate.offer(one, began)
        gate.slots.answer_began(one, Incarnation(1), ended)
        gate.finish(one, Ending.answered, ended)
    return gate


class TestTargetGate(unittest.TestCase):
    """Slots, queue and refusals."""

    def test_slots_are_exact_under_random_use(self) -> None:
        """What is in flight, given up included, never tops the limit."""
        source = random.Random(7)
        gate = TargetGate(entry(4, 2), queue_length=8)
        running: list[Ticket] = []
        highest = 0
        for tick in range(5000):
            now = tick * 0.01
            new = ticket(str(source.randrange(3)), now + source.random())
            if isinstance(gate.offer(new, now), Admitted):
                running.append(new)
            if running and source.random() < 0.6:
                done = running.pop(source.randrange(len(running)))
                ending = source.choice(list(Ending))
                if ending is Ending.answered:
                    gate.slots.answer_began(done, Incarnation(tick // 500), now)
                running.extend(gate.finish(done, ending, now).started)
            running.extend(gate.expire(now).started)
            highest = max(highest, gate.slots.in_flight)
            self.assertLessEqual(len(running), gate.slots.in_flight)
        self.assertLessEqual(highest, 4)
        self.assertGreater(highest, 2)

    def test_given_up_attempt_keeps_its_slot(self) -> None:
        """A target that may still run an attempt gets no other for it."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        first, second = ticket(deadline=5), ticket(deadline=9)
        gate.offer(first, 0)
        self.assertEqual(gate.finish(first, Ending.unknown, 1).started, ())
        self.assertIsInstance(gate.offer(second, 1), Queued)
        self.assertEqual(gate.expire(4.9).started, ())
        self.assertEqual(gate.next_expiry(), 5)
        self.assertEqual(gate.expire(5).started, (second,))

    def test_cancel_acknowledgement_frees_the_slot(self) -> None:
        """The slot is free before the deadline once the target says so."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        first = ticket()
        gate.offer(first, 0)
        gate.finish(first, Ending.unknown, 1)
        gate.finish(first, Ending.cancel_acknowledged, 2)
        self.assertEqual(gate.slots.in_flight, 0)

    def test_refuses_early_what_cannot_be_done_in_time(self) -> None:
        """The refusal is immediate, names the entry and a time."""
        gate = answered_gate()
        gate.offer(ticket(), 1)
        refusal = gate.offer(ticket(deadline=2.5), 1)
        assert isinstance(refusal, Failure)
        self.assertEqual(refusal.kind, ErrorKind.target_busy)
        self.assertEqual(refusal.entry, entry(1, 1).ref())
        self.assertEqual(refusal.retry_after, 1)
        self.assertIsInstance(gate.offer(ticket(deadline=3.1), 1), Queued)

    def test_queued_ticket_is_refused_once_it_cannot_be_done(self) -> None:
        """It gets its answer when hope is gone, not at its deadline."""
        gate = answered_gate()
        gate.offer(ticket(), 1)
        waiting = ticket(deadline=4)
        gate.offer(waiting, 1)
        self.assertEqual(gate.next_expiry(), 3)
        step = gate.expire(3.1)
        self.assertEqual(step.refused[0].ticket, waiting)
        self.assertEqual(step.refused[0].failure.kind, ErrorKind.target_busy)

    def test_few_slow_answers_refuse_nobody(self) -> None:
        """The estimate waits for enough answers and bears a slow few."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        holds = (1, *(0.01,) * 16, 1, 1)
        for count, hold in enumerate(holds):
            one = ticket()
            gate.offer(one, count)
            gate.finish(one, Ending.answered, count + hold)
            if count not in {0, len(holds) - 1}:
                continue
            now = count + 1
            running = ticket()
            gate.offer(running, now)
            queued = [ticket(deadline=now + 0.5) for _ in range(4)]
            for waiting in queued:
                self.assertIsInstance(gate.offer(waiting, now), Queued)
            for waiting in queued:
                gate.withdraw(waiting)
            gate.finish(running, Ending.not_sent, now)

    def test_one_caller_cannot_starve_another(self) -> None:
        """A full queue makes room for a caller with less, served in turn."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        running = ticket('greedy')
        gate.offer(running, 0)
        greedy = [ticket('greedy') for _ in range(4)]
        for one in greedy:
            self.assertIsInstance(gate.offer(one, 0), Queued)
        self.assertIsInstance(gate.offer(ticket('greedy'), 0), Failure)
        modest = ticket('modest')
        queued = gate.offer(modest, 0)
        assert isinstance(queued, Queued) and queued.evicted is not None
        self.assertIs(queued.evicted.ticket, greedy[3])
        served = []
        for now in (1, 2):
            running = gate.finish(running, Ending.answered, now).started[0]
            served.append(running)
        self.assertIn(modest, served)

    def test_lower_entry_limit_counts_what_is_in_flight(self) -> None:
        """After a lower limit nothing starts until enough has ended."""
        gate = TargetGate(entry(3, 3), queue_length=4)
        running = [ticket() for _ in range(3)]
        for one in running:
            gate.offer(one, 0)
        gate.adopt(entry(1, 1), 4, 0)
        waiting = ticket()
        self.assertIsInstance(gate.offer(waiting, 0), Queued)
        self.assertEqual(
            gate.finish(running[0], Ending.answered, 1).started, ()
        )
        self.assertEqual(
            gate.finish(running[1], Ending.answered, 1).started, ()
        )
        step = gate.finish(running[2], Ending.answered, 1)
        self.assertEqual(step.started, (waiting,))

    def test_after_first_sign_of_cold_nothing_starts_over_cold_limit(
        self,
    ) -> None:
        """A new incarnation stops starts until few enough are in flight."""
        gate = TargetGate(entry(4, 1), queue_length=8)
        gate.slots.ramp.saw_incarnation(Incarnation(1))
        for _ in range(50):
            gate.slots.ramp.saw_latency(0.01, gate.slots.ramp.pace())
        running = [ticket() for _ in range(4)]
        for one in running:
            self.assertIsInstance(gate.offer(one, 0), Admitted)
        gate.slots.answer_began(running[0], Incarnation(2), 0.01)
        waiting = ticket()
        self.assertIsInstance(gate.offer(waiting, 0.01), Queued)
        for one in running[:3]:
            step = gate.finish(one, Ending.answered, 0.02)
            self.assertEqual(step.started, ())
        step = gate.finish(running[3], Ending.shed, 0.02)
        self.assertEqual(step.started, (waiting,))
        self.assertEqual(gate.load().capacity, 1)

    def test_open_attempts_show_a_cold_target_before_any_answer(self) -> None:
        """Attempts that are open for too long are a sign by themselves."""
        gate = TargetGate(entry(4, 1), queue_length=8)
        for _ in range(99):
            gate.slots.ramp.saw_latency(0.01, gate.slots.ramp.pace())
        for _ in range(3):
            gate.offer(ticket(), 0)
        self.assertIsInstance(gate.offer(ticket(), 0.02), Admitted)
        self.assertEqual(gate.load().capacity, 4)
        self.assertIsInstance(gate.offer(ticket(), 0.05), Queued)
        self.assertEqual(gate.load().capacity, 1)

    def test_drain_refuses_the_queue_and_keeps_what_runs(self) -> None:
        """What waits hears that it was not run; what runs goes on."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        running, waiting = ticket(), ticket()
        gate.offer(running, 0)
        gate.offer(waiting, 0)
        step = gate.drain(entry(1, 1).ref())
        self.assertEqual(step.refused[0].ticket, waiting)
        self.assertEqual(
            step.refused[0].failure.kind,
            ErrorKind.target_leaving,
        )
        self.assertIsInstance(gate.offer(ticket(), 0), Failure)
        self.assertEqual(gate.slots.in_flight, 1)
        gate.finish(running, Ending.answered, 1)
        self.assertEqual(gate.slots.in_flight, 0)

    def test_withdrawn_ticket_is_never_started(self) -> None:
        """A caller that went away leaves the queue."""
        gate = TargetGate(entry(1, 1), queue_length=4)
        running, waiting = ticket(), ticket()
        gate.offer(running, 0)
        gate.offer(waiting, 0)
        self.assertTrue(gate.withdraw(waiting))
        self.assertEqual(gate.finish(running, Ending.answered, 1).started, ())
