"""How many requests at once a target can carry, judged by its answers.

A target starts cold and is given more as it answers. A shed, a new
incarnation or a jump in latency sends it back to its cold limit at once.
"""

from typing import Final

import msgspec

from cassialever.catalogue import TargetLimits
from cassialever.latency import LatencyWatch
from cassialever.types import Incarnation, Seconds, TargetState

#: Good answers, in multiples of the limit, before the limit grows by one.
ANSWERS_PER_STEP: Final = 2


class Pace(msgspec.Struct, frozen=True):
    """The limit at the moment at which an attempt started.

    `generation` rises with each fall back to cold, so that answers to
    attempts from before the fall don't count as signs of after it.
    """

    limit: int
    generation: int


class Ramp:
    """The present limit of one target, in requests at once."""

    def __init__(self, limits: TargetLimits) -> None:
        """Start cold."""
        self.incarnation: Incarnation | None = None
        self._limits = limits
        self._generation = 0
        self._limit = self._coldest()
        self._good_answers = 0
        self._watch = LatencyWatch()

    @property
    def limit(self) -> int:
        """Return the present limit, in requests at once."""
        return self._limit

    @property
    def state(self) -> TargetState:
        """Return how far the target has warmed up."""
        if self._limit >= self._most():
            return TargetState.warm
        if self._limit > self._coldest():
            return TargetState.ramping
        return TargetState.cold

    def pace(self) -> Pace:
        """Return what an attempt that starts now has to remember."""
        return Pace(limit=self._limit, generation=self._generation)

    def adopt(self, limits: TargetLimits) -> None:
        """Take over changed limits; a higher one is reached by the ramp."""
        self._limits = limits
        self._limit = max(self._limit, self._coldest())
        self._limit = min(self._limit, self._most())

    def fall_back(self) -> None:
        """Go back to the cold limit and learn the latency anew."""
        self._generation += 1
        self._limit = self._coldest()
        self._good_answers = 0
        self._watch = LatencyWatch()

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
        if self._watch.is_slow:
            return
        self._good_answers += 1
        if self._good_answers >= self._limit * ANSWERS_PER_STEP:
            self._good_answers = 0
            self._limit = min(self._limit + 1, self._most())

    def saw_silence(self, elapsed: Seconds, pace: Pace) -> None:
        """Note how long an attempt went without an answer; no step up."""
        if pace.generation != self._generation:
            return
        self._watch.saw_silence(elapsed)
        if self._watch.has_jumped:
            self.fall_back()

    def _coldest(self) -> int:
        return max(1, min(self._limits.cold_slots, self._most()))

    def _most(self) -> int:
        return max(1, min(self._limits.slots, self._limits.connections))
