"""Tests of cassialever.selection."""

import random
import unittest
from collections import Counter

from cassialever.errors import ErrorKind
from cassialever.messages import TargetLoad
from cassialever.selection import (
    SORTING_PAUSE,
    Candidate,
    TargetChooser,
)
from cassialever.types import RequestId, TargetId

TARGETS = [TargetId(f't{index}') for index in range(4)]
SLOW = TARGETS[0]


class Requests:
    """Send requests one after another through a chooser."""

    def __init__(self, candidates: list[Candidate]) -> None:
        """Start at 0 seconds."""
        self.chooser = TargetChooser(random.Random(5))
        self.chooser.adopt(candidates)
        self.noise = random.Random(6)
        self.latencies: list[float] = []
        self.now = 0.0
        self.slow = 0.01
        self.fails = False

    def send(self, count: int) -> Counter[TargetId]:
        """Send some, a hundred a second, and count them by target."""
        sent: Counter[TargetId] = Counter()
        for _ in range(count):
            self.now += 0.01
            target_id = self.chooser.choose((), self.now)
            assert target_id is not None
            sent[target_id] += 1
            request_id = RequestId('r')
            latency = self.slow if target_id == SLOW else 0.01
            latency *= self.noise.uniform(0.8, 1.2)
            self.latencies.append(latency)
            self.chooser.sent(target_id, request_id, self.now)
            if self.fails and target_id == SLOW:
                kind = ErrorKind.target_shed
                self.chooser.gave_up(SLOW, request_id, self.now, kind)
                continue
            load = TargetLoad(target_id, capacity=4)
            self.chooser.answered(load, request_id, self.now + latency)
        return sent


def local(targets: list[TargetId]) -> list[Candidate]:
    """Return candidates of the own data centre."""
    return [Candidate(target_id, is_local=True) for target_id in targets]


class TestTargetChooser(unittest.TestCase):
    """Which target gets a request."""

    def test_straggler_is_avoided_probed_and_comes_back(self) -> None:
        """It gets a trickle while slow and its share once quick again."""
        requests = Requests(local(TARGETS))
        self.assertGreater(requests.send(400)[SLOW], 40)
        requests.slow = 0.2
        requests.send(50)
        trickle = requests.send(1000)[SLOW]
        self.assertGreaterEqual(trickle, 1)
        self.assertLessEqual(trickle, 10)
        requests.slow = 0.01
        requests.send(500)
        self.assertGreater(requests.send(400)[SLOW], 40)

    def test_open_requests_alone_show_a_target_that_went_silent(self) -> None:
        """No answer is needed to notice one that gives none."""
        requests = Requests(local(TARGETS))
        requests.send(100)
        requests.chooser.sent(SLOW, RequestId('stuck'), requests.now)
        requests.now += 1
        self.assertLessEqual(requests.send(100)[SLOW], 4)

    def test_target_that_fails_fast_is_avoided_and_comes_back(self) -> None:
        """Being the first to refuse doesn't make it the quickest."""
        requests = Requests(local(TARGETS))
        requests.send(400)
        requests.fails = True
        requests.send(50)
        self.assertLessEqual(requests.send(1000)[SLOW], 10)
        requests.fails = False
        requests.send(500)
        self.assertGreater(requests.send(400)[SLOW], 40)

    def test_loaded_target_gets_less(self) -> None:
        """The load that came with its answers counts."""
        requests = Requests(local(TARGETS))
        requests.send(100)
        busy = TargetLoad(TARGETS[1], in_flight=4, queued=8, capacity=4)
        sent: Counter[TargetId] = Counter()
        for _ in range(100):
            requests.chooser.answered(busy, RequestId('x'), requests.now)
            target_id = requests.chooser.choose((), requests.now)
            assert target_id is not None
            sent[target_id] += 1
        self.assertLessEqual(sent[TARGETS[1]], 5)

    def test_local_targets_go_first_until_they_are_full(self) -> None:
        """Another data centre is used only where no local one has room."""
        far = TARGETS[2:]
        candidates = local(TARGETS[:2])
        candidates.extend(Candidate(one, is_local=False) for one in far)
        requests = Requests(candidates)
        self.assertEqual(set(requests.send(200)), set(TARGETS[:2]))
        for target_id in TARGETS[:2]:
            full = TargetLoad(target_id, 4, 40, capacity=4)
            requests.chooser.answered(full, RequestId('x'), requests.now)
        soon = requests.now + SORTING_PAUSE
        self.assertIn(requests.chooser.choose((), soon), far)

    def test_tried_targets_are_left_out(self) -> None:
        """Nothing is left once all were tried."""
        chooser = Requests(local(TARGETS)).chooser
        self.assertEqual(chooser.choose(TARGETS[1:], 0), SLOW)
        self.assertIsNone(chooser.choose(TARGETS, 0))

    def test_hedge_delay_is_a_high_quantile(self) -> None:
        """It needs enough answers first."""
        requests = Requests(local(TARGETS))
        requests.send(31)
        self.assertIsNone(requests.chooser.hedge.delay)
        requests.send(1)
        delay = requests.chooser.hedge.delay
        assert delay is not None
        below = sum(one < delay for one in requests.latencies)
        self.assertEqual(below, int(32 * 0.95))
