"""Decide whether a daemon that stops still passes a request on.

Load pattern handled: callers that keep their connections, and a load balancer
that is late to notice the stop, go on sending to a daemon that ends at a fixed
time. A request whose answer would come after that is refused at once, so that
its caller turns to another daemon; once passed on, it could only be cut.
"""

from typing import Final

import msgspec

from cassialever.types import Seconds

#: Time after the beginning of a stop from which a request is passed on only if
#: it is over in time whatever its target does. The platform excuses requests
#: that were sent before and outlast the stop.
ESTIMATING_TIME: Final[Seconds] = 3.0
#: Expected latencies that have to fit into the time left until then: service
#: times vary, and a queue may be longer than it was reported to be.
LATENCY_MARGIN: Final = 2.0


class StopTiming(msgspec.Struct, frozen=True):
    """The times of a request that arrives in a stop.

    `time_left` is until the last answer can be sent, `time_limit` until its
    caller or its route stops waiting. `expected_latency` is 0 if not known.
    """

    since_stop: Seconds
    time_left: Seconds
    time_limit: Seconds
    expected_latency: Seconds


def ends_in_time(timing: StopTiming) -> bool:
    """Return whether a request that is passed on now is over before the end."""
    if timing.time_limit <= timing.time_left:
        return True
    if timing.since_stop >= ESTIMATING_TIME:
        return False
    return LATENCY_MARGIN * timing.expected_latency <= timing.time_left
