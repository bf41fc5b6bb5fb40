"""Tests of cassialever.heat."""

import random
import unittest
from collections import Counter

import msgspec
import numpy as np

from cassialever.exceptions import CodecError
from cassialever.heat import (
    REPORT_SLICES,
    HeatReport,
    HeatView,
    Interval,
    KeySketch,
    ServiceHeat,
    merged,
)
from cassialever.types import SliceIndex

SLICES = 4096


def requests(seed: int, number: int = 20_000) -> list[int]:
    """Return key hashes, few of them hot and most of them seen once."""
    source = random.Random(seed)
    return [int(source.paretovariate(0.9)) for _ in range(number)]


def report_of(keys: list[int]) -> HeatReport:
    """Return the report of one request a millisecond."""
    heat = ServiceHeat()
    for key_hash in keys:
        heat.add(SliceIndex(key_hash % SLICES), key_hash)
    return heat.report(len(keys) / 1000)


class TestKeySketch(unittest.TestCase):
    """Hot keys in bounded memory."""

    def assert_bounds(self, sketch: KeySketch, counts: Counter[int]) -> None:
        """Every true count is within the sketch's stated error."""
        self.assertLessEqual(len(sketch.count_by_hash), sketch.size * 2)
        error = sum(counts.values()) / (sketch.size + 1)
        self.assertLessEqual(sketch.shortfall, error)
        for key_hash, count in counts.items():
            seen = sketch.count_by_hash.get(key_hash, 0)
            self.assertLessEqual(seen, count)
            self.assertGreaterEqual(seen + sketch.shortfall, count)

    def test_counts_are_within_the_stated_error(self) -> None:
        """One sketch, and two merged, keep the bound of Misra and Gries."""
        first, second = KeySketch(32), KeySketch(32)
        counts: Counter[int] = Counter()
        for seed, sketch in ((1, first), (2, second)):
            keys = requests(seed)
            counts.update(keys)
            for key_hash in keys:
                sketch.add(key_hash)
        first.merge(second)
        self.assert_bounds(first, counts)
        hottest = [key_hash for key_hash, _ in counts.most_common(5)]
        self.assertEqual(hottest, [key for key, _ in first.top(5)])


class TestReports(unittest.TestCase):
    """What daemons tell the coordinator."""

    def test_loads_are_requests_per_second(self) -> None:
        """Each report is of its own interval."""
        heat = ServiceHeat()
        for _ in range(3):
            for _ in range(500):
                heat.add(SliceIndex(3), 77)
            interval = merged(SLICES, [heat.report(10)])
            self.assertAlmostEqual(50, interval.loads[3], delta=2)
            self.assertAlmostEqual(50, interval.load_by_key[77], delta=2)

    def test_a_report_is_small_and_keeps_the_sum(self) -> None:
        """A report has some hundreds of bytes, and its rest is counted."""
        keys = requests(3)
        report = report_of(keys)
        self.assertLess(len(msgspec.msgpack.encode(report)), 800)
        self.assertEqual(REPORT_SLICES, len(report.slice_steps))
        view = merged(SLICES, [report])
        total = view.loads.sum() + view.rest
        self.assertAlmostEqual(1000, total, delta=30)
        busiest, count = Counter(keys).most_common(1)[0]
        share = count / len(keys)
        self.assertAlmostEqual(share, view.load_by_key[busiest] / 1000, 1)

    def test_reports_merge_in_any_order(self) -> None:
        """The coordinator's view does not depend on who reports first."""
        reports = [report_of(requests(seed)) for seed in (4, 5, 6)]
        forth = merged(SLICES, reports)
        back = merged(SLICES, reversed(reports))
        for left, right in zip(forth.loads, back.loads, strict=True):
            self.assertAlmostEqual(left, right)
        self.assertEqual(set(forth.load_by_key), set(back.load_by_key))

    def test_malformed_reports_are_refused(self) -> None:
        """Numbers without loads, halves and unknown slices are faults."""
        one = (1).to_bytes(4, 'little')
        faults = (
            HeatReport(one, b'', b'', b''),
            HeatReport(b'abc', b'a', b'', b''),
            HeatReport(b'', b'', bytes(7), b'a'),
            HeatReport(b'', b'', bytes(8), b''),
            HeatReport(SLICES.to_bytes(4, 'little'), b'a', b'', b''),
        )
        for report in faults:
            with self.subTest(report=report), self.assertRaises(CodecError):
                Interval(SLICES).merge(report)


class TestHeatView(unittest.TestCase):
    """Smoothed loads at the coordinator."""

    def setUp(self) -> None:
        """Start at 100 requests per second in both slices."""
        self.view = HeatView(2, half_life=20)
        self.fold([100, 100])

    def fold(
        self,
        loads: list[float],
        heard: tuple[bool, bool] = (True, True),
    ) -> list[float]:
        """Take in ten seconds and return the loads seen."""
        interval = Interval(2)
        interval.loads += loads
        self.view.fold(interval, 10, np.array(heard))
        return list(self.view.loads)

    def test_noise_is_smoothed_and_a_change_is_taken(self) -> None:
        """Three deviations count in part, ten at once."""
        steady, changed = self.fold([109, 131])
        self.assertTrue(101 < steady < 105)
        self.assertEqual(131, changed)

    def test_a_missing_report_is_no_sign_of_calm(self) -> None:
        """A slice that nobody reported keeps its load."""
        self.assertEqual([100, 0], self.fold([0, 0], (False, True)))
