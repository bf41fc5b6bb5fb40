"""Which slices and keys are hot, as a daemon sees it while it serves them.

Counts decay by half each half-life. Slices have a counter each; keys share
a sketch of bounded size, which finds every key above a known share of the
requests. A report of a few hundred bytes goes to the coordinator, where the
reports of all daemons are merged.
"""

from collections.abc import Container, Iterable, Mapping, Sequence
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

    def decay(self, share: float) -> None:
        """Multiply every count by a share."""
        self.shortfall *= share
        for key_hash in self.count_by_hash:
            self.count_by_hash[key_hash] *= share

    def top(self, number: int) -> list[tuple[int, float]]:
        """Return keys and counts, the hottest first."""
        ordered = sorted(
            self.count_by_hash.items(),
            key=lambda item: (-item[1], item[0]),
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
    """Loads of one service's slices and keys at this daemon.

    Only slices with load are kept, since a daemon serves few of them all.
    """

    def __init__(self, half_life: Seconds) -> None:
        """Start cold."""
        self.half_life = half_life
        self.sketch = KeySketch()
        self._count_by_slice: dict[SliceIndex, float] = {}
        self._age: float = 0

    def add(self, slice_index: SliceIndex, key_hash: int) -> None:
        """Count one request."""
        counts = self._count_by_slice
        counts[slice_index] = counts.get(slice_index, 0) + 1
        self.sketch.add(key_hash)

    def tick(self, elapsed: Seconds) -> None:
        """Let counts decay for the time since the last tick."""
        share = 0.5 ** (elapsed / self.half_life)
        self._count_by_slice = {
            slice_index: count * share
            for slice_index, count in self._count_by_slice.items()
            if count >= LEAST_LOAD
        }
        self.sketch.decay(share)
        self._age = (self._age + elapsed) * share

    def keep(self, slices: Container[SliceIndex]) -> None:
        """Forget all slices but those that this daemon still serves."""
        self._count_by_slice = {
            slice_index: count
            for slice_index, count in self._count_by_slice.items()
            if slice_index in slices
        }

    def load(self, slice_index: SliceIndex) -> float:
        """Return the requests per second of a slice."""
        return self._count_by_slice.get(slice_index, 0) / (self._age or 1)

    def report(self) -> HeatReport:
        """Return the heaviest slices and keys."""
        slices = _counted(list(self._count_by_slice.items()))
        slices.sort(order='count')
        kept = np.sort(slices[-REPORT_SLICES:], order='number')
        keys = _counted(self.sketch.top(REPORT_KEYS))
        age = self._age or 1
        return HeatReport(
            slices=kept['number'].astype(_SLICE).tobytes(),
            slice_steps=_steps(kept['count'] / age),
            keys=keys['number'].tobytes(),
            key_steps=_steps(keys['count'] / age),
            rest=float(slices['count'][:-REPORT_SLICES].sum() / age),
        )


class HeatView:
    """The loads of one service, merged from the reports of its daemons."""

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


def merged(slices: int, reports: Iterable[HeatReport]) -> HeatView:
    """Return the view that several reports give together."""
    view = HeatView(slices)
    for report in reports:
        view.merge(report)
    return view


def hottest(load_by_key: Mapping[int, float]) -> list[tuple[int, float]]:
    """Return key hashes and loads, the hottest first."""
    return sorted(load_by_key.items(), key=lambda item: (-item[1], item[0]))


def _counted(
    pairs: Sequence[tuple[int, float]],
) -> np.ndarray[tuple[int], np.dtype[np.void]]:
    return np.array(pairs, dtype=_COUNTED)


def _steps(loads: npt.NDArray[np.float64]) -> bytes:
    times_least = np.maximum(loads / LEAST_LOAD, 1)
    steps = np.rint(np.log2(times_least) * STEPS_PER_DOUBLING)
    bounded = np.minimum(steps, LONGEST_STEP).astype(np.uint8)
    return bytes(bounded.tobytes())


def _loads(steps: bytes, number: int) -> npt.NDArray[np.float64]:
    if len(steps) != number:
        raise CodecError('the heat report has numbers without loads')
    exponents = np.frombuffer(steps, dtype=np.uint8) / STEPS_PER_DOUBLING
    return np.exp2(exponents) * LEAST_LOAD


def _whole(numbers: bytes, form: np.dtype[np.generic]) -> bytes:
    if len(numbers) % form.itemsize:
        raise CodecError('the heat report breaks off within a number')
    return numbers
