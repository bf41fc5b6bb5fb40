"""Tests of the bytes that are being sent to one target."""

import unittest
from collections import Counter
from typing import Any

import msgspec

from cassialever.fleet.model import RequestKind
from cassialever.policy.memory import SHORT_BODY_BYTES
from cassialever.policy.placing import NoTargetReason, PlacementRequest
from cassialever.policy.upload_bytes import BYTES_PER_SLOT, LongBodies
from tests.uneven_helpers import SLOTS, UnevenFleet


def _daemons(count: int) -> dict[str, str]:
    zones = ('astana-a', 'astana-b', 'karaganda-c')
    return {f'd{number}': zones[number % 3] for number in range(count)}


class LongBodiesTest(unittest.TestCase):
    """The decision of one daemon."""

    def setUp(self) -> None:
        self.bodies = LongBodies()

    def has_room(self, size: int, requests: float = 0) -> bool:
        return self.bodies.has_room('t0', SLOTS, requests, size)

    def test_short_bodies_always_have_room(self) -> None:
        self.bodies.divide_among('d0', _daemons(89))
        with self.bodies.counted('t0', 10 * BYTES_PER_SLOT):
            self.assertTrue(self.has_room(SHORT_BODY_BYTES, requests=11))

    def test_one_body_has_room_whatever_its_length(self) -> None:
        self.bodies.divide_among('d0', _daemons(89))
        self.assertTrue(self.has_room(360_000))
        with self.bodies.counted('t0', 360_000):
            self.assertFalse(self.has_room(100_000))
            self.assertEqual(self.bodies.refused_count, 1)
        self.assertTrue(self.has_room(100_000))
        self.assertEqual(self.bodies.held_by('t0'), 0)

    def test_share_of_few_daemons_is_used(self) -> None:
        self.bodies.divide_among('d0', _daemons(2))
        share = BYTES_PER_SLOT * SLOTS // 2
        with self.bodies.counted('t0', share - 100_000):
            self.assertTrue(self.has_room(100_000))
            self.assertFalse(self.has_room(100_001))

    def test_daemon_without_a_list_sends_half_of_the_total(self) -> None:
        """It may be one of several that have just started, or alone."""
        half = BYTES_PER_SLOT * SLOTS // 2
        self.assertTrue(self.has_room(360_000))
        with self.bodies.counted('t0', half - 100_000):
            self.assertTrue(self.has_room(100_000))
            self.assertFalse(self.has_room(100_001))

    def test_body_that_fails_is_counted_no_longer(self) -> None:
        with self.assertRaises(ValueError):
            with self.bodies.counted('t0', 360_000):
                raise ValueError
        self.assertEqual(self.bodies.held_by('t0'), 0)

    def test_daemons_are_spread_over_targets(self) -> None:
        """No more daemons send to a target than bodies fit there."""
        targets = list(
            UnevenFleet(1, 13).daemons[0]._view.targets.by_id.values()
        )
        for count in (2, 7, 20, 89, 300):
            daemons = _daemons(count)
            senders: Counter[str] = Counter()
            local = 0
            for name, zone in daemons.items():
                self.bodies.divide_among(name, daemons)
                for target in self.bodies.assigned(targets):
                    senders[target.target_id] += 1
                    local += target.data_centre == zone
            with self.subTest(daemons=count):
                self.assertEqual(len(senders), 13)
                fair = -(-count // 13)
                self.assertLessEqual(max(senders.values()), max(fair, 8))
                if count >= 89:
                    self.assertGreater(local, 0.8 * senders.total())

    def test_target_whose_slots_are_taken_gets_no_long_body(self) -> None:
        self.assertTrue(self.has_room(360_000, requests=SLOTS))
        self.assertFalse(self.has_room(360_000, requests=3 * SLOTS))


class AssignedTargetsTest(unittest.TestCase):
    """Long bodies whose assigned targets can't serve them."""

    def setUp(self) -> None:
        self.selector = UnevenFleet(1, 13).daemons[0]
        self.loads = self.selector._loads
        self.loads.long_bodies.divide_among('d0', _daemons(89))
        self.request = PlacementRequest(
            'issuance', RequestKind.upload, -1, 1.7, body_bytes=360_000
        )
        self.assigned = self.choose().target_id

    def choose(self, tried: frozenset[str] = frozenset()) -> Any:
        request = msgspec.structs.replace(self.request, tried=tried)
        return self.selector.choose(request, 10)

    def test_failing_target_is_left_for_others(self) -> None:
        for _ in range(3):
            self.loads.of(self.assigned).record_failure(10)
        self.assertNotEqual(self.choose().target_id, self.assigned)

    def test_unreachable_target_is_left_for_others(self) -> None:
        self.loads.of(self.assigned).record_unreachable(10)
        self.assertNotEqual(self.choose().target_id, self.assigned)

    def test_paused_target_is_left_for_others(self) -> None:
        targets = self.selector._view.targets
        target = targets.by_id[self.assigned]
        targets.limits.pauses.record(target, 5.0, targets.clock.boot())
        self.assertNotEqual(self.choose().target_id, self.assigned)

    def test_tried_target_is_left_for_others(self) -> None:
        chosen = self.choose(frozenset({self.assigned}))
        self.assertNotEqual(chosen.target_id, self.assigned)

    def test_full_target_is_waited_for(self) -> None:
        with self.loads.long_bodies.counted(self.assigned, 360_000):
            self.assertIs(self.choose(), NoTargetReason.full)


class UploadsTest(unittest.TestCase):
    """Bodies of 60 to 360 kB for 13 targets from 89 daemons, at a burst."""

    def replay(self, *, is_body_known: bool) -> UnevenFleet:
        fleet = UnevenFleet(89, 13, objective=1.7)
        for number, daemon in enumerate(fleet.daemons):
            daemon._loads.long_bodies.divide_among(f'd{number}', _daemons(89))
        fleet.body_bytes = (60_000, 360_000)
        fleet.is_body_known = is_body_known
        fleet.run(0.5 * fleet.capacity(), 5)
        fleet.outcomes.clear()
        fleet.run(1.6 * fleet.capacity(), 7)
        return fleet

    def test_most_bytes_at_one_target(self) -> None:
        bounded = self.replay(is_body_known=True)
        unbounded = self.replay(is_body_known=False)
        total = SLOTS * BYTES_PER_SLOT
        self.assertLess(bounded.most_bytes, total)
        self.assertGreater(unbounded.most_bytes, total)
        # What is refused has not run, and as much is served in time.
        self.assertLess(bounded.outcomes['reset'], 20)
        self.assertGreater(
            bounded.outcomes['in time'], 0.95 * unbounded.outcomes['in time']
        )


if __name__ == '__main__':
    unittest.main()
