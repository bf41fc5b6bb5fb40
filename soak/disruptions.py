"""Times at which a part of a soak test's fleet is disrupted."""

import asyncio
import contextlib
import math
from collections.abc import Iterator


class Disruptions:
    """The disruptions of one process, path or store, by the loop's clock."""

    def __init__(self) -> None:
        """Start without disruptions."""
        self._spans: list[tuple[float, float]] = []
        #: Those that overlap with others, by when they began.
        self._lasting: list[float] = []

    def begin(self) -> None:
        """Begin a disruption, unless one is going on."""
        if not self._spans or self._spans[-1][1] < math.inf:
            now = asyncio.get_running_loop().time()
            self._spans.append((now, math.inf))

    def end(self) -> None:
        """End the disruption that is going on, if one is."""
        if self._spans and self._spans[-1][1] == math.inf:
            now = asyncio.get_running_loop().time()
            self._spans[-1] = (self._spans[-1][0], now)

    @contextlib.contextmanager
    def lasting(self) -> Iterator[None]:
        """Add a disruption that may overlap with others."""
        begun = asyncio.get_running_loop().time()
        self._lasting.append(begun)
        try:
            yield
        finally:
            self._lasting.remove(begun)
            now = asyncio.get_running_loop().time()
            self._spans.insert(0, (begun, now))

    def is_calm(self, since: float, until: float) -> bool:
        """Return whether there was no disruption from `since` to `until`."""
        return all(until < begun for begun in self._lasting) and all(
            ended < since or until < begun for begun, ended in self._spans
        )

    def has_ended(self, since: float, until: float) -> bool:
        """Return whether a disruption ended from `since` to `until`."""
        return any(since <= ended <= until for _, ended in self._spans)
