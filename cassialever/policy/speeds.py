"""Learn how fast a target is for good, apart from its moments.

Load pattern handled: targets of one service that differ in speed for good,
while each is much slower at moments, and daemons that use a target once in
seconds. A moving average of latencies forgets a target's speed between two
answers and follows its moments; this estimate does neither.
"""

import math
from typing import Final

import msgspec

from cassialever.types import Seconds

#: Largest change of the logarithm of a service time that one answer can cause
#: by itself, so that a slow moment or a lost packet counts little.
MAX_STEP: Final = 0.4
#: Answers after which each further one counts no more than this many allow.
MAX_ANSWERS: Final = 20
#: Time constant with which earlier answers lose their weight: targets change
#: their machine, and so their speed, at most within minutes.
FORGETTING_TIME: Final[Seconds] = 60.0
#: Weight of the newest answer in the moving average of the recent ones.
RECENT_WEIGHT: Final = 0.1
#: Time constant with which the service time returns to the lasting one; slow
#: phases of targets last about 5 s.
RECENT_TIME_CONSTANT: Final[Seconds] = 2.0
#: After this time without an answer a slow target may be tried again.
PROBE_PERIOD: Final[Seconds] = 10.0
#: Weight of an answer to a request that probably was queued: its time in the
#: queue is only estimated.
QUEUED_WEIGHT: Final = 0.3


class ServedAnswer(msgspec.Struct, frozen=True):
    """What an answer shows of its target's speed.

    `service_time` is in seconds, without time in the queue; `slowdown` what the
    target reports of it as a multiple of the usual one.
    """

    service_time: Seconds
    slowdown: float
    was_queued: bool


class TargetSpeed:
    """The lasting service time of a target, robust against outliers.

    The mean of logarithms is taken, with steps of limited size (a Huber
    estimate), beginning from what is usual at the service.
    """

    def __init__(self) -> None:
        #: In seconds, without time in the queue and the reported slowdown; 0
        #: until an answer is known.
        self.lasting: Seconds = 0
        #: Moving average of the latest answers, as a multiple of that.
        self._recent_ratio = 1.0
        #: Answers so far, by their weight, and the time of the last one. The
        #: usual time counts as one.
        self._weight = 1.0
        self._answered_at: Seconds = -math.inf
        #: Number and summed service time of answers since `take`.
        self._reported_count = 0
        self._reported_sum: Seconds = 0

    def expected(self, now: Seconds, usual: Seconds = 0) -> Seconds:
        """Return how long a target works on a request, without a queue.

        This is its lasting service time, or `usual` until one is known, and
        longer for a while after slow answers. The slowdown that the target
        reports is left out.
        """
        weight = math.exp((self._answered_at - now) / RECENT_TIME_CONSTANT)
        recent = 1 + weight * (self._recent_ratio - 1)
        return (self.lasting or usual) * recent

    def take(self) -> tuple[int, Seconds]:
        """Return count and sum of the service times since the last call."""
        taken = (self._reported_count, self._reported_sum)
        self._reported_count = 0
        self._reported_sum = 0
        return taken

    def is_outdated(self, now: Seconds, usual: Seconds) -> bool:
        """Return whether a target was slow long ago, and has rested since."""
        if now - self._answered_at < PROBE_PERIOD:
            return False
        return self.lasting > usual

    def add(self, answer: ServedAnswer, usual: Seconds, now: Seconds) -> None:
        """Count an answer.

        `usual` is the service's usual service time; 0 if it is not known.
        """
        self._reported_count += 1
        self._reported_sum += answer.service_time
        service_time = answer.service_time / answer.slowdown
        if service_time <= 0:
            return
        if not self.lasting:
            self.lasting = usual or service_time
        weight = QUEUED_WEIGHT if answer.was_queued else 1
        ratio = service_time / self.lasting
        self._recent_ratio += RECENT_WEIGHT * (ratio - self._recent_ratio)
        left = math.exp((self._answered_at - now) / FORGETTING_TIME)
        self._answered_at = now
        self._weight = min(max(self._weight * left, 1) + weight, MAX_ANSWERS)
        step = math.log(ratio)
        step = max(-MAX_STEP, min(step, MAX_STEP))
        self.lasting *= math.exp(step * weight / self._weight)
