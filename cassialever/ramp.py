"""How many requests at once a target can carry, judged by its answers.

A target starts cold and is given more as it answers. A step that slows it
is taken back. A shed, a new incarnation or a jump in latency sends it back
to its cold limit at once.
"""

from collections.abc import Sequence

import msgspec

from cassialever.catalogue import TargetLimits
from cassialever.growth import Growth, Move
from cassialever.latency import LatencyWatch
from cassialever.types import Incarnation, Seconds, TargetState


class Pace(msgspec.Struct, frozen=True):
    """The limit at the moment at which an attempt started.

    `generation` rises with each fall back to cold, so that answers to
    attempts from before the fall don't count as signs of after it.
    """

    limit: int
    generation: int


class Age(msgspec.Struct, frozen=True):
    """How long an attempt has gone without an answer, in seconds."""

    pace: Pace
    elapsed: Seconds


class Ramp:
    """The present limit of one target, in requests at once."""

    def __init__(self, limits: TargetLimits) -> None:
        """Start cold."""
        self.incarnation: Incarnation | None = None
        self._limits = limits
        self._generation = 0
        self._limit = _coldest(self._limits)
        self._growth = Growth()
        self._is_settled = False
        self._watch = LatencyWatch()

    @property
    def limit(self) -> int:
        """Return the present limit, in requests at once."""
        return self._limit

    @property
    def state(self) -> TargetState:
        """Return how far the target has warmed up."""
        if self._limit >= _most(self._limits):
            return TargetState.warm
        if self._limit > _coldest(self._limits):
            return TargetState.ramping
        return TargetState.cold

    def pace(self) -> Pace:
        """Return what an attempt that starts now has to remember."""
        return Pace(self._limit, self._generation)

    def adopt(self, limits: TargetLimits) -> None:
        """Take over changed limits; a higher one is reached by the ramp."""
        if limits == self._limits:
            return
        self._limits = limits
        self._limit = max(self._limit, _coldest(self._limits))
        self._limit = min(self._limit, _most(self._limits))
        self._growth = Growth()
        self._is_settled = False

    def fall_back(self) -> None:
        """Go back to the cold limit and learn the latency anew."""
        self._generation += 1
        self._limit = _coldest(self._limits)
        self._growth = Growth()
        self._is_settled = False
        self._watch.start_over()

    def saw_incarnation(self, incarnation: Incarnation) -> bool:
        """Note an answer's incarnation; say whether the answer still counts.

        A higher number than the one known sends the target back to cold. An
        answer with a lower one comes from a process that has gone.
        """
        known = self.incarnation
        if known is not None and incarnation < known:
            return False
        if known is not None and incarnation > known:
            self.fall_back()
        self.incarnation = incarnation
        return True

    def saw_latency(self, latency: Seconds, pace: Pace) -> None:
        """Note a good answer's latency: a step up, unless it is slow."""
        if pace.generation != self._generation:
            return
        self._watch.saw(latency)
        if self._watch.has_jumped:
            self.fall_back()
            return
        is_test = pace.limit == self._limit and not self._watch.is_slow
        if self._is_settled or not is_test:
            return
        self._step(self._growth.saw(latency))

    def saw_silence(self, elapsed: Seconds, pace: Pace) -> None:
        """Note how long an attempt went without an answer; no step up."""
        if pace.generation != self._generation:
            return
        self._watch.saw_silence(elapsed)
        if self._watch.has_jumped:
            self.fall_back()

    def saw_ages(self, ages: Sequence[Age]) -> None:
        """Note how long the open attempts have gone without an answer.

        Enough of them that are slow already are a jump before any answer.
        """
        bound = self._watch.bound
        if bound is None:
            return
        open_slow = 0
        for age in ages:
            is_recent = age.pace.generation == self._generation
            open_slow += is_recent and age.elapsed > bound
        if open_slow and self._watch.would_jump(open_slow):
            self.fall_back()

    def _step(self, move: Move) -> None:
        if move is Move.up and self._limit == _most(self._limits):
            self._is_settled = True
        limit = self._limit + move.value
        self._limit = max(
            _coldest(self._limits), min(limit, _most(self._limits))
        )


def _most(limits: TargetLimits) -> int:
    return max(1, min(limits.slots, limits.connections))


def _coldest(limits: TargetLimits) -> int:
    return max(1, min(limits.cold_slots, _most(limits)))
