"""A Zipf load over keys, the hottest of which change now and then."""

from typing import Final

import msgspec
import numpy as np
from numpy import typing as npt

from cassialever.slices import HASH_BITS

WINDOW_SECONDS: Final = 10
HOT_KEYS: Final = 200


class Size(msgspec.Struct, frozen=True):
    """One service to balance; `slices` is a power of two."""

    name: str
    targets: int
    slices: int
    exponent: float
    requests_per_second: int
    keys: int = 200_000


class Load:
    """Keys, their hashes and the share of requests that each one has."""

    def __init__(self, size: Size, source: np.random.Generator) -> None:
        self.size = size
        self._source = source
        self.hashes = source.integers(0, 2**HASH_BITS, size.keys, np.uint64)
        ranks = np.arange(1, size.keys + 1, dtype=np.float64)
        shares = ranks**-size.exponent
        self.shares = source.permutation(shares / shares.sum())
        shift = HASH_BITS - size.slices.bit_length() + 1
        self.base_slices = (self.hashes >> np.uint64(shift)).astype(np.int64)

    def keys_by_slice(self) -> npt.NDArray[np.float64]:
        """Count the keys of each base slice."""
        counts = np.bincount(self.base_slices, minlength=self.size.slices)
        return counts.astype(np.float64)

    def change(self) -> None:
        """Let the hottest keys cool and others take their place."""
        hottest = np.argsort(-self.shares)[:HOT_KEYS]
        others = self._source.choice(self.size.keys, HOT_KEYS, replace=False)
        hot_shares = self.shares[hottest]
        self.shares[hottest] = self.shares[others]
        self.shares[others] = hot_shares
        self.shares /= self.shares.sum()

    def draw(self) -> npt.NDArray[np.int64]:
        """Draw one window's requests, as positions of keys."""
        number = self.size.requests_per_second * WINDOW_SECONDS
        points = self._source.random(number)
        found = np.searchsorted(np.cumsum(self.shares), points)
        return np.minimum(found, self.size.keys - 1)
