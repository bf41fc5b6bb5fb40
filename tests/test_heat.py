"""Tests of cassialever.heat."""

import random
import unittest
from collections import Counter

import msgspec

from cassialever.exceptions import CodecError
from cassialever.heat import (
    REPORT_SLICES,
    HeatReport,
    HeatView,
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


def heat_of(keys: list[int]) -> ServiceHeat:
    """Return the heat of one request a millisecond."""
    heat = ServiceHeat(half_life=30)
    for key_hash in keys:
        heat.add(SliceIndex(key_hash % SLICES), key_hash)
    heat.tick(len(keys) / 1000)
    return heat


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

    def test_old_keys_fade(self) -> None:
        """A key that is hot now goes before one that was hotter once."""
        sketch = KeySketch(8)
        sketch.add(1, 1000)
        for _ in range(10):
            sketch.decay(0.5)
        sketch.add(2, 10)
        self.assertEqual(2, sketch.top(1)[0][0])


class TestReports(unittest.TestCase):
    """What daemons tell the coordinator."""

    def test_loads_are_requests_per_second(self) -> None:
        """Steady load reads the same whatever the half-life has seen."""
        heat = ServiceHeat(half_life=10)
        for _ in range(40):
            for _ in range(50):
                heat.add(SliceIndex(3), 77)
            heat.tick(1)
        self.assertAlmostEqual(50, heat.load(SliceIndex(3)), delta=2)
        view = merged(SLICES, [heat.report()])
        self.assertAlmostEqual(50, view.load_by_key[77], delta=3)

    def test_a_report_is_small_and_keeps_the_sum(self) -> None:
        """A report has some hundreds of bytes, and its rest is counted."""
        keys = requests(3)
        report = heat_of(keys).report()
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
        reports = [heat_of(requests(seed)).report() for seed in (4, 5, 6)]
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
                HeatView(SLICES).merge(report)
