"""Which slices and keys are hot, as daemons count and the coordinator sees.

A daemon counts the requests of one interval: each slice has a counter, and
keys share a sketch of bounded size, which finds every key above a known share
of the requests. A report of a few hundred bytes goes to the coordinator. That
keeps the smoothed loads, since a slice that moves then keeps its history.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec
import numpy as np
from numpy import typing as npt

from cassialever.exceptions import CodecError
from cassialever.types import Seconds, SliceIndex

#: Keys that a sketch keeps after it has been cut down.
SKETCH_KEYS: Final = 128

#: Slices and keys in one report at most.
REPORT_SLICES: Final = 96
REPORT_KEYS: Final = 24

#: Steps of a reported load for each doubling, and the greatest exponent.
STEPS_PER_DOUBLING: Final = 16
LONGEST_STEP: Final = 255

#: A report's loads start at this share of a request per second.
LEAST_LOAD: Final = 0.0625

#: Standard deviations beyond which a load has changed.
SURPRISE: Final = 4

_SLICE: Final = np.dtype('<u4')
_HASH: Final = np.dtype('<u8')
_COUNTED: Final = np.dtype([('number', _HASH), ('count', np.float64)])


class KeySketch:
    """The keys with the most requests, in bounded memory.

    Counts are cut down together when there are too many keys (Misra and
    Gries), which answers as the space-saving sketch does but costs a new key
    no search for the least one. A key's true count is at least its count
    here and at most `shortfall` above it.
    """

    def __init__(self, size: int = SKETCH_KEYS) -> None:
        """Start empty; `size` is the number of keys kept."""
        self.size = size
        self.shortfall: float = 0
        self.count_by_hash: dict[int, float] = {}

    def add(self, key_hash: int, count: float = 1) -> None:
        """Count requests for a key."""
        counts = self.count_by_hash
        counts[key_hash] = counts.get(key_hash, 0) + count
        if len(counts) > self.size * 2:
            self._cut()

    def merge(self, other: 'KeySketch') -> None:
        """Add what another sketch has counted."""
        for key_hash, count in other.count_by_hash.items():
            known = self.count_by_hash.get(key_hash, 0)
            self.count_by_hash[key_hash] = known + count
        self.shortfall += other.shortfall
        if len(self.count_by_hash) > self.size * 2:
            self._cut()

    def top(self, number: int) -> list[tuple[int, float]]:
        """Return keys and counts, the hottest first."""
        ordered = sorted(
            self.count_by_hash.items(),
            key=_coolness,
        )
        return ordered[:number]

    def _cut(self) -> None:
        ordered = sorted(self.count_by_hash.values(), reverse=True)
        least = ordered[self.size]
        self.shortfall += least
        self.count_by_hash = {
            key_hash: count - least
            for key_hash, count in self.count_by_hash.items()
            if count > least
        }


class HeatReport(msgspec.Struct, frozen=True, array_like=True):
    """Loads of one service's slices and keys at one daemon.

    `slices` are sorted 4-byte numbers and `slice_steps` a byte for each;
    `keys` are 8-byte hashes and `key_steps` a byte for each. A step stands
    for a load in requests per second on a scale of logarithms. `rest` is the
    load of the slices left out.
    """

    slices: bytes
    slice_steps: bytes
    keys: bytes
    key_steps: bytes
    rest: float = 0


class ServiceHeat:
    """Counters of one service's slices and keys at this daemon.

    Only slices with requests are kept, since a daemon serves few of them all.
    """

    def __init__(self) -> None:
        """Start the first interval."""
        self._sketch = KeySketch()
        self._count_by_slice: dict[SliceIndex, int] = {}

    def add(self, slice_index: SliceIndex, key_hash: int) -> None:
        """Count one request."""
        counts = self._count_by_slice
        counts[slice_index] = counts.get(slice_index, 0) + 1
        self._sketch.add(key_hash)

    def report(self, elapsed: Seconds) -> HeatReport:
        """Return the interval's heaviest slices and keys; start the next."""
        slices = _counted(list(self._count_by_slice.items()))
        slices.sort(order='count')
        kept = np.sort(slices[-REPORT_SLICES:], order='number')
        keys = _counted(self._sketch.top(REPORT_KEYS))
        self._count_by_slice = {}
        self._sketch = KeySketch()
        return HeatReport(
            slices=kept['number'].astype(_SLICE).tobytes(),
            slice_steps=_steps(kept['count'] / elapsed),
            keys=keys['number'].tobytes(),
            key_steps=_steps(keys['count'] / elapsed),
            rest=float(slices['count'][:-REPORT_SLICES].sum() / elapsed),
        )


class Interval:
    """The loads of one interval, merged from the reports of all daemons."""

    def __init__(self, slices: int) -> None:
        """Start without load; `slices` counts those of hot keys as well."""
        self.loads: npt.NDArray[np.float64] = np.zeros(slices)
        self.load_by_key: dict[int, float] = {}
        self.rest: float = 0

    def merge(self, report: HeatReport) -> None:
        """Add one daemon's report; raises `CodecError` if it is malformed."""
        slices = np.frombuffer(_whole(report.slices, _SLICE), dtype=_SLICE)
        if len(slices) and slices.max() >= len(self.loads):
            raise CodecError('the heat report names a slice that is not')
        slice_loads = _loads(report.slice_steps, len(slices))
        np.add.at(self.loads, slices, slice_loads)
        self._merge_keys(report)
        self.rest += report.rest

    def _merge_keys(self, report: HeatReport) -> None:
        keys = np.frombuffer(_whole(report.keys, _HASH), dtype=_HASH).tolist()
        key_loads = _loads(report.key_steps, len(keys)).tolist()
        for key_hash, load in zip(keys, key_loads, strict=True):
            known = self.load_by_key.get(key_hash, 0)
            self.load_by_key[key_hash] = known + load


class HeatView:
    """The smoothed loads of one service, as its coordinator sees them.

    A load inside the noise of counting is smoothed; one outside has changed
    and is taken at once, so that new hot keys are seen within an interval.
    """

    def __init__(self, slices: int, half_life: Seconds) -> None:
        """Start without load; `slices` counts those of hot keys as well."""
        self.loads: npt.NDArray[np.float64] = np.zeros(slices)
        self.load_by_key: dict[int, float] = {}
        self._half_life = half_life

    def fold(
        self,
        interval: Interval,
        elapsed: Seconds,
        heard: npt.NDArray[np.bool_] | bool = True,
    ) -> None:
        """Take in one interval.

        `heard` marks the slices whose daemon has reported; the others keep
        their loads.
        """
        change = interval.loads - self.loads
        noise = np.sqrt(np.maximum(self.loads, LEAST_LOAD) / elapsed)
        share = 0.5 ** (elapsed / self._half_life)
        is_noise = np.abs(change) <= SURPRISE * noise
        folded = self.loads + change * (1 - share * is_noise)
        self.loads = np.where(heard, folded, self.loads)
        self.load_by_key = dict(interval.load_by_key)

    def replace(self, loads: npt.NDArray[np.float64]) -> None:
        """Take the loads that a round of splits and merges has led to."""
        self.loads = loads.copy()


def merged(slices: int, reports: Iterable[HeatReport]) -> Interval:
    """Return the interval that several reports give together."""
    interval = Interval(slices)
    for report in reports:
        interval.merge(report)
    return interval


def hottest(load_by_key: Mapping[int, float]) -> list[tuple[int, float]]:
    """Return key hashes and loads, the hottest first."""
    return sorted(load_by_key.items(), key=_coolness)


def _coolness(item: tuple[int, float]) -> tuple[float, int]:
    key_hash, load = item
    return -load, key_hash


def _counted(
    pairs: Sequence[tuple[int, float]],
) -> np.ndarray[tuple[int], np.dtype[np.void]]:
    return np.array(pairs, dtype=_COUNTED)


def _steps(loads: npt.NDArray[np.float64]) -> bytes:
    doublings = np.log2(np.maximum(loads / LEAST_LOAD, 1))
    steps = np.rint(doublings * STEPS_PER_DOUBLING)
    bounded = np.minimum(steps, LONGEST_STEP)
    return bytes(bounded.astype(np.uint8).tobytes())


def _loads(steps: bytes, number: int) -> npt.NDArray[np.float64]:
    if len(steps) != number:
        raise CodecError('the heat report has numbers without loads')
    numbers = np.frombuffer(steps, dtype=np.uint8)
    return np.exp2(numbers / STEPS_PER_DOUBLING) * LEAST_LOAD


def _whole(numbers: bytes, form: np.dtype[np.generic]) -> bytes:
    if len(numbers) % form.itemsize:
        raise CodecError('the heat report breaks off within a number')
    return numbers
