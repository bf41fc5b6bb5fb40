"""Tests of what is remembered of requests that crash targets."""

import itertools
import random
import unittest

from cassialever.fleet.crash_reports import make_report, read_report
from cassialever.fleet.model import StartedAt
from cassialever.policy.crashes import (
    CONFIRMATION_TIME,
    MAX_CRASHES,
    MAX_REQUESTS,
    QUARANTINE_CRASHES,
    REFUTATION_TIME,
    RENEWAL_MARGIN,
    RETENTION,
    CrashMemory,
    CrashRecord,
    Fingerprint,
    PendingCrashes,
    Suspicion,
    TargetLife,
    fingerprint_request,
)
from cassialever.policy.trials import MAX_TRIAL_TIME, Trials
from cassialever.types import TargetId

ONE = Fingerprint(1)
LIVES = [TargetLife(StartedAt(n), TargetId(f't{n}')) for n in range(20)]


def draw_record(rng: random.Random) -> CrashRecord:
    """Return a record of some crashes, of which some are marked."""
    lives = rng.sample(LIVES, rng.randrange(1, 6))
    return CrashRecord(
        ONE,
        {life: rng.random() < 0.4 for life in lives},
        0,
        frozenset(life for life in lives if rng.random() < 0.3),
    )


class FingerprintTest(unittest.TestCase):
    """What makes two requests the same."""

    def test_each_part_counts(self) -> None:
        parts = ('GET', 'a.example', '/x?y=1', 'c', b'body')
        same = fingerprint_request(*parts)
        self.assertEqual(same, fingerprint_request(*parts))
        for number, other in enumerate(('PUT', 'b.example', '/x', 'd', b'')):
            changed = [*parts]
            changed[number] = other
            self.assertNotEqual(same, fingerprint_request(*changed))

    def test_parts_do_not_run_into_each_other(self) -> None:
        self.assertNotEqual(
            fingerprint_request('GET', 'a', '/x', '', b'y'),
            fingerprint_request('GET', 'a', '/x', 'y', b''),
        )

    def test_bytes_that_are_no_text_have_a_fingerprint(self) -> None:
        path = b'/\xff'.decode('utf-8', 'surrogateescape')
        self.assertNotEqual(
            fingerprint_request('GET', 'a', path, '', b''),
            fingerprint_request('GET', 'a', '/', '', b''),
        )


class MemoryTest(unittest.TestCase):
    """Counting crashes, clearing requests, forgetting them."""

    def setUp(self) -> None:
        self.memory = CrashMemory()

    def crash(self, *lives: TargetLife, at: float = 0) -> None:
        """Record crashes, all but the first of them of the request alone."""
        for life in lives:
            self.memory.record_crash(
                ONE, life, at, was_alone=life is not lives[0]
            )

    def test_same_crash_counts_once(self) -> None:
        """Several daemons report the same crash."""
        self.crash(*[LIVES[0]] * QUARANTINE_CRASHES)
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.suspect)

    def test_different_crashes_quarantine(self) -> None:
        self.crash(*LIVES[: QUARANTINE_CRASHES - 1])
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.suspect)
        self.crash(*LIVES[1 : QUARANTINE_CRASHES + 1])
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.quarantined)

    def test_crashes_at_the_same_time_do_not_quarantine(self) -> None:
        """Content that many ask for, as a data centre loses all targets."""
        for life in LIVES[:6]:
            self.memory.record_crash(ONE, life, 0)
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.suspect)
        self.memory.record_crash(ONE, LIVES[6], 1, was_alone=True)
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.quarantined)

    def test_answer_clears_of_the_crashes_before(self) -> None:
        self.crash(*LIVES[:2])
        self.assertTrue(self.memory.record_answer(ONE, 1))
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.none)
        self.crash(*LIVES[:3])
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.suspect)

    def test_target_that_answers_later_did_not_crash(self) -> None:
        self.crash(LIVES[0], at=10)
        self.assertEqual(self.memory.record_alive(LIVES[0], 9, 10.5), [])
        self.assertEqual(self.memory.record_alive(LIVES[0], 10.2, 10.5), [ONE])
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.none)

    def test_target_that_answered_has_not_ended_for_others(self) -> None:
        """A second broken connection there was taken as a crash at once."""
        self.crash(LIVES[0], at=10)
        self.assertTrue(self.memory.has_just_ended(LIVES[0], 10.1))
        self.memory.record_alive(LIVES[0], 10.2, 10.3)
        self.assertFalse(self.memory.has_just_ended(LIVES[0], 10.4))
        self.crash(LIVES[1], at=20)
        late = 20 + REFUTATION_TIME
        self.assertFalse(self.memory.has_just_ended(LIVES[1], late))

    def test_late_answer_may_be_of_the_next_life(self) -> None:
        self.crash(LIVES[0], at=10)
        late = 10 + REFUTATION_TIME + 0.1
        self.assertEqual(self.memory.record_alive(LIVES[0], late, late), [])

    def test_records_merge_in_any_order_and_more_than_once(self) -> None:
        rng = random.Random(1)
        for _ in range(200):
            records = [draw_record(rng) for _ in range(4)]
            merged = []
            for order in itertools.permutations(records):
                memory = CrashMemory()
                for record in (*order, *order[:2]):
                    memory.merge(record, 0)
                merged.append(memory.find(ONE))
            self.assertEqual(len({str(one.crashes) for one in merged}), 1)
            for one in merged:
                self.assertEqual(one, merged[0])
                self.assertLessEqual(len(one.is_cleared_by_life), MAX_CRASHES)

    def test_report_says_the_same(self) -> None:
        self.crash(*LIVES[:3])
        self.memory.record_alive(LIVES[1], 0.1, 0.2)
        known = self.memory.find(ONE)
        assert known is not None
        read = read_report(make_report(known, 0, 5), 5)
        self.assertTrue(read.has_same_crashes(known))
        self.assertEqual(read.seen_at, known.seen_at)

    def test_it_is_forgotten_some_time_after_it_last_came(self) -> None:
        self.crash(*LIVES[:3])
        self.memory.record_coming(ONE, 100)
        self.assertEqual(self.memory.prune(99 + RETENTION), [])
        freed = self.memory.prune(100 + RETENTION)
        self.assertEqual([one.fingerprint for one in freed], [ONE])
        self.assertTrue(self.memory.is_empty)
        self.assertEqual(self.memory.records(), [])

    def test_reports_that_go_round_do_not_renew(self) -> None:
        """Ages leave out the way of a report, which adds up."""
        self.crash(*LIVES[:3])
        known = self.memory.find(ONE)
        assert known is not None
        for step in range(1000):
            self.memory.merge(
                CrashRecord(
                    ONE, known.is_cleared_by_life, known.seen_at + 0.04
                ),
                step,
            )
        self.assertTrue(self.memory.prune(RETENTION))
        later = CrashRecord(ONE, {LIVES[0]: False}, 2 * RENEWAL_MARGIN)
        self.memory.merge(later, 2 * RENEWAL_MARGIN)
        self.assertEqual(self.memory.prune(RETENTION), [])

    def test_size_is_bounded_and_bystanders_go_first(self) -> None:
        self.crash(*LIVES[:3])
        for number in range(2, MAX_REQUESTS + 50):
            self.memory.record_crash(Fingerprint(number), LIVES[4], number)
        self.assertEqual(len(self.memory.records()), MAX_REQUESTS)
        self.assertIs(self.memory.suspicion_of(ONE), Suspicion.quarantined)


class PendingTest(unittest.TestCase):
    """Exchanges that broke at targets that may live."""

    def test_evidence_is_dropped_if_the_target_answers(self) -> None:
        pending = PendingCrashes()
        pending.add(ONE, LIVES[0], 1)
        pending.record_alive(LIVES[0], 0.5)
        self.assertEqual(pending.lives(), [LIVES[0]])
        pending.record_alive(LIVES[0], 1.5)
        self.assertEqual(pending.lives(), [])

    def test_evidence_is_dropped_if_it_is_not_confirmed(self) -> None:
        pending = PendingCrashes()
        pending.add(ONE, LIVES[0], 1)
        self.assertEqual(pending.take(LIVES[0], 1 + CONFIRMATION_TIME), [])
        pending.add(ONE, LIVES[0], 1)
        pending.prune(1 + CONFIRMATION_TIME)
        self.assertEqual(pending.lives(), [])


class TrialsTest(unittest.TestCase):
    """One daemon at a time."""

    def test_smallest_id_of_claims_at_the_same_time_holds(self) -> None:
        first, second = Trials('edge-1'), Trials('edge-2')
        self.assertTrue(first.claim(ONE, 1, 0))
        self.assertTrue(second.claim(ONE, 1, 0))
        first.record(ONE, 'edge-2', 1, 0)
        second.record(ONE, 'edge-1', 1, 0)
        self.assertTrue(first.holds(ONE, 0.1))
        self.assertFalse(second.holds(ONE, 0.1))

    def test_claim_of_another_keeps_off_until_it_ends(self) -> None:
        trials = Trials('edge-1')
        trials.record(ONE, 'edge-2', 1, 0)
        self.assertFalse(trials.claim(ONE, 1, 0.5))
        self.assertTrue(trials.claim(ONE, 1, 1.1))
        trials.release(ONE)
        trials.record(ONE, 'edge-2', 1, 2)
        trials.record(ONE, 'edge-2', 0, 2.1)
        self.assertTrue(trials.claim(ONE, 1, 2.2))

    def test_own_requests_wait_for_each_other(self) -> None:
        trials = Trials('edge-1')
        self.assertTrue(trials.claim(ONE, 100, 0))
        self.assertFalse(trials.claim(ONE, 1, MAX_TRIAL_TIME - 0.1))
        self.assertTrue(trials.claim(ONE, 1, MAX_TRIAL_TIME))
        self.assertFalse(trials.holds(Fingerprint(2), 0))


if __name__ == '__main__':
    unittest.main()
