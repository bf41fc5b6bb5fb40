"""Tell how many requests of other daemons this one has room for."""

from typing import Final

#: Requests open at once with which a core is half busy, at 1 ms of processor
#: time for a request that takes 0.2 s.
REQUESTS_PER_CORE: Final = 100
#: Requests open at once for which a link has the bandwidth, per Mbit/s: each
#: sends 10 kB within 0.2 s.
REQUESTS_PER_MBPS: Final = 2.5
#: Room of a daemon whose cores and bandwidth are unknown.
DEFAULT_CAPACITY: Final = 100


def request_capacity(cores: float, link_mbps: float) -> int:
    """Return how many requests a daemon can have open at once.

    A number of cores or a bandwidth of 0 is unknown.
    """
    capacities = []
    if cores:
        capacities.append(cores * REQUESTS_PER_CORE)
    if link_mbps:
        capacities.append(link_mbps * REQUESTS_PER_MBPS)
    return int(min(capacities, default=DEFAULT_CAPACITY))
