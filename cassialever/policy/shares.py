"""Divide the requests of a route among its services by weight.

Load pattern answered: routes that are split while one part is short of
room. The share goes by weight alone, and what a part cannot take is refused
there, never moved to another part.
"""

from cassialever.fleet.model import WeightedService, Route
from cassialever.interfaces import RandomSource
from cassialever.types import ServiceName


class Shares:
    """Smooth weighted turns: each daemon keeps the weights by itself."""

    def __init__(self, random_source: RandomSource) -> None:
        """Start with every part's turn at a random place."""
        self._random = random_source
        self._credit_by_part: dict[Route, list[float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service that a request of a route goes to."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credits = self._credit_by_part.get(route)
        if credits is None:
            # A route that changed starts anew; old ones are forgotten.
            self._forget(route)
            credits = [part.weight * self._random.random() for part in parts]
            self._credit_by_part[route] = credits
        for position, part in enumerate(parts):
            credits[position] += part.weight
        chosen = credits.index(max(credits))
        credits[chosen] -= _total(parts)
        return parts[chosen].service

    def _forget(self, route: Route) -> None:
        old = [
            known for known in self._credit_by_part if known.name == route.name
        ]
        for known in old:
            self._credit_by_part.pop(known)


def _total(parts: tuple[WeightedService, ...]) -> float:
    return sum(part.weight for part in parts)
