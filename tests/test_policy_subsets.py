"""Tests of the targets that a daemon uses in the usual case."""

import math
import random
import unittest
from collections import Counter

import msgspec

from cassialever.fleet.model import RequestKind, Target
from cassialever.policy.loads import LoadTracker
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.placing import PlacementRequest, TargetSelector
from cassialever.policy.subsets import (
    LOCAL_SUBSET_SIZE,
    SUBSET_SIZE,
    TargetSubsets,
)
from tests.fleet_helpers import (
    ManualClock,
    configured_view,
    json_row,
    target_entry,
)

DAEMONS = 195
TARGETS = 64
ZONES = ('astana-a', 'astana-b', 'karaganda-c', 'almaty-d', 'shymkent-e')
REQUEST = PlacementRequest('issuance', RequestKind.safe, -1, 0.6)
#: Time between two requests of one daemon, and what each takes, in seconds.
INTERVAL = 1.0
SERVICE_TIME = 0.8
KEPT = 8.0
#: Requests a second of one daemon, and the time in which a target that has
#: joined has to get some, in seconds.
RATE = 5
JOINED_TIME = 4


class FleetCase(unittest.TestCase):
    """The targets of a large deployment, as each daemon sees them."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock, targets=0)
        rows = [
            json_row(
                'servers',
                f't{number}',
                target_entry('issuance', zone=ZONES[number % len(ZONES)]),
                10 + number,
            )
            for number in range(TARGETS)
        ]
        self.view.apply('servers', rows, rows[-1].version)

    def subset(self, number: int) -> tuple[str, ...]:
        subsets = TargetSubsets(f'edge-{number}', ZONES[number % len(ZONES)])
        targets = self.view.targets.by_service['issuance']
        return subsets.of('issuance', targets)

    def selector(self, number: int = 0) -> TargetSelector:
        return TargetSelector(
            self.view,
            LoadTracker(),
            PermitLimiter(),
            TargetSubsets(f'edge-{number}', ZONES[number % len(ZONES)]),
            random.Random(number),
        )


class SubsetTest(FleetCase):
    """Which targets are drawn."""

    def test_targets_are_covered_evenly(self) -> None:
        counts = Counter(
            target_id
            for number in range(DAEMONS)
            for target_id in self.subset(number)
        )
        mean = DAEMONS * SUBSET_SIZE / TARGETS
        # Four standard deviations of a choice at random.
        spread = 4 * math.sqrt(mean)
        self.assertEqual(len(counts), TARGETS)
        self.assertGreater(min(counts.values()), mean - spread)
        self.assertLess(max(counts.values()), mean + spread)

    def test_half_of_a_subset_is_local(self) -> None:
        by_id = self.view.targets.by_id
        for number in range(10):
            zone = ZONES[number % len(ZONES)]
            subset = self.subset(number)
            local = [one for one in subset if by_id[one].data_centre == zone]
            self.assertEqual(len(subset), SUBSET_SIZE)
            self.assertGreaterEqual(len(local), LOCAL_SUBSET_SIZE)

    def test_target_that_is_gone_changes_one_place(self) -> None:
        before = self.subset(3)
        self.view.targets.remove(before[0])
        self.view.targets.regroup()
        after = self.subset(3)
        self.assertEqual(len(set(before) - set(after)), 1)


class SubsetPlacingTest(FleetCase):
    """Which targets get requests."""

    def test_daemon_with_few_requests_reuses_its_connections(self) -> None:
        """Calm load: one request a second, over 64 targets."""
        selector = self.selector()
        kept_until: dict[str, float] = {}
        new = 0
        for step in range(300):
            now = step * INTERVAL
            chosen = selector.choose(REQUEST, now)
            assert isinstance(chosen, Target)
            new += kept_until.get(chosen.target_id, 0) <= now
            kept_until[chosen.target_id] = now + SERVICE_TIME + KEPT
        self.assertLess(new / 300, 0.45)
        self.assertLessEqual(len(kept_until), SUBSET_SIZE)

    def test_open_connection_decides_between_equal_targets(self) -> None:
        selector = self.selector()
        targets = self.view.targets
        for number, target_id in enumerate(self.subset(0)):
            targets.by_id[target_id] = msgspec.structs.replace(
                targets.by_id[target_id],
                address=f'10.1.64.{number}:1',
                data_centre=ZONES[0],
            )
            selector._loads.of(target_id).record_success(0.1, 1, 0)
        selector.has_connection = lambda address: address == '10.1.64.3:1'
        chosen = Counter(
            selector.choose(REQUEST, 0).address for _ in range(400)
        )
        self.assertGreater(chosen['10.1.64.3:1'], 150)
        # The others get some, too.
        self.assertEqual(len(chosen), SUBSET_SIZE)

    def test_target_that_has_just_joined_gets_requests_in_time(self) -> None:
        """Calm load: each daemon that covers it has five requests a second."""
        subset = self.subset(0)
        targets = self.view.targets
        for target_id in subset:
            targets.by_id[target_id] = msgspec.structs.replace(
                targets.by_id[target_id],
                address=f'{target_id}:1',
                data_centre=ZONES[0],
            )
        mean_cover = DAEMONS * SUBSET_SIZE // TARGETS
        joined = f'{subset[5]}:1'
        chosen: Counter[str] = Counter()
        for number in range(mean_cover):
            selector = self.selector()
            selector._random.seed(number)
            for target_id in subset:
                if f'{target_id}:1' != joined:
                    selector._loads.of(target_id).record_success(0.1, 1, 0)
            selector.has_connection = lambda address: address != joined
            chosen.update(
                selector.choose(REQUEST, 0).address
                for _ in range(JOINED_TIME * RATE)
            )
        self.assertGreater(chosen[joined], mean_cover)

    def test_others_are_used_while_a_subset_has_no_free_slot(self) -> None:
        selector = self.selector()
        subset = set(self.subset(0))
        loads = selector._loads
        for target_id in subset:
            for _ in range(6):
                loads.of(target_id).record_open()
        chosen = [selector.choose(REQUEST, 0).target_id for _ in range(50)]
        self.assertFalse(subset.intersection(chosen))
        loads.of(min(subset)).record_close()
        self.assertEqual(selector.choose(REQUEST, 0).target_id, min(subset))

    def test_whole_fleet_spreads_a_burst(self) -> None:
        """Each daemon has two requests at once, more than one a target."""
        running = Counter()
        for number in range(DAEMONS):
            selector = self.selector(number)
            for target_id, count in running.items():
                for _ in range(count):
                    selector._loads.of(target_id).record_open()
            for _ in range(2):
                chosen = selector.choose(REQUEST, 0)
                running[chosen.target_id] += 1
                selector._loads.of(chosen.target_id).record_open()
        # All slots but the last few are in use before any request queues.
        self.assertLessEqual(max(running.values()), 7)
        self.assertGreater(min(running.values()), 3)

    def test_second_try_leaves_the_first_target_out(self) -> None:
        selector = self.selector()
        first = selector.choose(REQUEST, 0).target_id
        again = PlacementRequest(
            'issuance', RequestKind.safe, -1, 0.6, frozenset((first,))
        )
        for _ in range(50):
            self.assertNotEqual(selector.choose(again, 0).target_id, first)


if __name__ == '__main__':
    unittest.main()
