"""Divide the requests of a route among its services by weight.

Load pattern handled: routes that are split while one service is short of
capacity. Only the weights decide; what a service cannot take is refused and
never shifted to another one.
"""

from cassialever.fleet.model import Route, WeightedService
from cassialever.interfaces import RandomSource
from cassialever.types import ServiceName


class WeightedSplit:
    """Smooth weighted round robin, kept by each daemon on its own.

    Every route starts at a random position, so that daemons do not all send
    their first requests to the same service.
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random = random_source
        self._credits_by_route: dict[Route, list[float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service that the next request of a route goes to."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credits = self._credits_by_route.get(route)
        if credits is None:
            # A changed route starts over, and its earlier forms are dropped.
            self._forget(route)
            credits = [part.weight * self._random.random() for part in parts]
            self._credits_by_route[route] = credits
        for position, part in enumerate(parts):
            credits[position] += part.weight
        chosen = credits.index(max(credits))
        credits[chosen] -= _total_weight(parts)
        return parts[chosen].service

    def _forget(self, route: Route) -> None:
        outdated = [
            known
            for known in self._credits_by_route
            if known.name == route.name
        ]
        for known in outdated:
            self._credits_by_route.pop(known)


def _total_weight(parts: tuple[WeightedService, ...]) -> float:
    return sum(part.weight for part in parts)
