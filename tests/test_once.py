"""Tests of cassialever.once and cassialever.minting."""

import random
import unittest
import uuid

from cassialever.errors import ErrorKind, Failure
from cassialever.minting import mint, minted_at
from cassialever.once import (
    CLOCK_MARGIN,
    Claimed,
    Finished,
    First,
    OnceLimits,
    OnceMemory,
    StoredAnswer,
    home_of,
)
from cassialever.types import RequestId, SliceIndex, TargetId

LIMITS = OnceLimits(retention=60, ids=4, answer_bytes=10, all_answer_bytes=15)
BEGAN = 1_000_000.0
NOW = BEGAN + 30
OPAQUE = RequestId('order-17')


def fresh(wall: float = NOW) -> RequestId:
    """Return an id minted at an instant."""
    return mint(wall, random.Random(wall))


def answer(size: int = 5) -> StoredAnswer:
    """Return an answer with a body of a size."""
    return StoredAnswer(200, (), b'x' * size)


class TestMinting(unittest.TestCase):
    """Ids that tell when they were minted."""

    def test_reads_back_what_it_mints(self) -> None:
        """The id is a valid UUIDv7 with its instant in milliseconds."""
        request_id = fresh(1_700_000_000.123)
        self.assertEqual(uuid.UUID(request_id).version, 7)
        self.assertEqual(minted_at(request_id), 1_700_000_000.123)

    def test_other_ids_tell_nothing(self) -> None:
        """Neither free text nor a random UUID has an instant."""
        self.assertIsNone(minted_at(OPAQUE))
        random_id = RequestId(str(uuid.UUID(int=7, version=4)))
        self.assertIsNone(minted_at(random_id))


class TestOnceMemory(unittest.TestCase):
    """A second try never runs the request again."""

    def setUp(self) -> None:
        """Start a memory that knows nothing of before."""
        self.memory = OnceMemory(LIMITS, BEGAN)

    def assert_fails(self, claimed: Claimed, kind: ErrorKind) -> None:
        """Expect a failure of one kind."""
        assert isinstance(claimed, Failure), claimed
        self.assertEqual(claimed.kind, kind)

    def test_second_try_finds_the_first(self) -> None:
        """While it runs, after it, and after it got lost."""
        one, two, three = fresh(NOW), fresh(NOW + 1), fresh(NOW + 2)
        for request_id in (one, two, three):
            claimed = self.memory.claim(request_id, NOW)
            self.assertEqual(claimed, First())
            claimed = self.memory.claim(request_id, NOW)
            self.assert_fails(claimed, ErrorKind.already_running)
        self.memory.finish(one, answer(), NOW)
        self.memory.finish(two, answer(size=11), NOW)
        self.memory.lose(three, NOW)
        self.assertEqual(self.memory.claim(one, NOW), Finished(answer()))
        claimed = self.memory.claim(two, NOW)
        self.assert_fails(claimed, ErrorKind.already_run)
        claimed = self.memory.claim(three, NOW)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)

    def test_what_did_not_run_may_come_again(self) -> None:
        """A released id is a first one again."""
        self.memory.claim(fresh(), NOW)
        self.memory.release(fresh())
        self.assertEqual(self.memory.claim(fresh(), NOW), First())

    def test_new_home_refuses_ids_of_before(self) -> None:
        """Ids from before the memory, or its clock margin, can't be told."""
        edge = BEGAN + CLOCK_MARGIN
        claimed = self.memory.claim(fresh(edge), NOW)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)
        self.assertEqual(self.memory.claim(fresh(edge + 0.1), NOW), First())

    def test_opaque_ids_wait_for_one_retention(self) -> None:
        """Nothing tells whether they came before the memory began."""
        claimed = self.memory.claim(OPAQUE, BEGAN + 59)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)
        self.assertEqual(self.memory.claim(OPAQUE, BEGAN + 61), First())

    def test_ids_from_the_future_are_never_run(self) -> None:
        """Else a new home would take their second try for a first one."""
        ahead = fresh(NOW + CLOCK_MARGIN + 1)
        claimed = self.memory.claim(ahead, NOW)
        self.assert_fails(claimed, ErrorKind.malformed_request_id)
        new = OnceMemory(LIMITS, began=NOW)
        edge = fresh(NOW + CLOCK_MARGIN)
        self.assertEqual(self.memory.claim(edge, NOW), First())
        for wall in (NOW, NOW + 5, NOW + 50, NOW + 70):
            self.assertNotIsInstance(new.claim(edge, wall), First)

    def test_forgotten_ids_are_refused_by_their_age(self) -> None:
        """A UUIDv7 whose record has expired is never taken for a first."""
        request_id = fresh(NOW)
        self.memory.claim(request_id, NOW)
        self.memory.finish(request_id, answer(), NOW)
        for wall in (NOW + 59, NOW + 60, NOW + 1000):
            with self.subTest(wall=wall):
                claimed = self.memory.claim(request_id, wall)
                self.assertNotIsInstance(claimed, First)

    def test_full_memory_refuses_rather_than_forgets(self) -> None:
        """The refusal says when the oldest record goes."""
        for index in range(4):
            self.memory.claim(fresh(NOW + index / 10), NOW)
        self.memory.finish(fresh(NOW), answer(), NOW)
        claimed = self.memory.claim(fresh(NOW + 9), NOW + 10)
        self.assert_fails(claimed, ErrorKind.target_busy)
        assert isinstance(claimed, Failure)
        self.assertEqual(claimed.retry_after, 50)
        claimed = self.memory.claim(fresh(NOW + 59), NOW + 60)
        self.assertEqual(claimed, First())

    def test_answers_are_bounded_by_bytes_in_all(self) -> None:
        """Past the bound the id is kept without its answer."""
        for index in range(2):
            self.memory.claim(fresh(NOW + index), NOW)
            self.memory.finish(fresh(NOW + index), answer(size=9), NOW)
        claimed = self.memory.claim(fresh(NOW), NOW)
        self.assertIsInstance(claimed, Finished)
        claimed = self.memory.claim(fresh(NOW + 1), NOW)
        self.assert_fails(claimed, ErrorKind.already_run)

    def test_planned_hand_over_carries_everything(self) -> None:
        """The new home knows the old ids and refuses no opaque ones."""
        old = OnceMemory(LIMITS, 0)
        for index in range(2):
            old.claim(fresh(NOW + index), NOW)
        old.finish(fresh(NOW), answer(), NOW)
        new = OnceMemory(LIMITS, NOW)
        new.adopt(old.hand_over(NOW), is_whole=True)
        self.assertEqual(new.claim(fresh(NOW), NOW), Finished(answer()))
        claimed = new.claim(fresh(NOW + 1), NOW)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)
        self.assertEqual(new.claim(OPAQUE, NOW), First())

    def test_slice_moves_with_its_ids(self) -> None:
        """A handed over slice is known; one taken over is not."""
        moved, lost = SliceIndex(1), SliceIndex(2)
        old = OnceMemory(LIMITS, 0)
        old.claim(fresh(), NOW, moved)
        old.finish(fresh(), answer(), NOW)
        new = OnceMemory(LIMITS, 0)
        new.take_over(lost, NOW)
        new.adopt(old.hand_over_slice(moved, NOW), is_whole=False)
        claimed = new.claim(fresh(), NOW, moved)
        self.assertEqual(claimed, Finished(answer()))
        claimed = new.claim(OPAQUE, NOW, lost)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)
        self.assertEqual(new.claim(OPAQUE, NOW, moved), First())
        claimed = old.claim(RequestId('other'), NOW, moved)
        self.assert_fails(claimed, ErrorKind.outcome_unknown)


class TestHome(unittest.TestCase):
    """Where an id is remembered."""

    def test_daemons_agree_and_a_change_moves_few(self) -> None:
        """The order doesn't matter; a new target takes only its share."""
        targets = [TargetId(f't{index}') for index in range(8)]
        ids = [RequestId(str(index)) for index in range(2000)]
        moved = 0
        for request_id in ids:
            home = home_of(request_id, targets)
            self.assertEqual(home, home_of(request_id, targets[::-1]))
            with_new = home_of(request_id, [*targets, TargetId('new')])
            if with_new != home:
                self.assertEqual(with_new, 'new')
                moved += 1
        self.assertAlmostEqual(moved / len(ids), 1 / 9, delta=0.03)
        self.assertIsNone(home_of(ids[0], []))
