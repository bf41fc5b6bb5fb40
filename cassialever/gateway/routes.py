"""Find the route of a request."""

import math
from collections.abc import Iterable
from typing import Final

from cassialever.fleet.model import Route
from cassialever.platform.call_paths import is_call_path
from cassialever.types import Seconds, ServiceName

#: Schemes of the URLs that callers may send.
_SCHEMES: Final = ('http', 'https')


class RouteTable:
    """The routes of one configuration, indexed by host and path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        #: The shortest objective of the routes to each service.
        self._shortest_objective: dict[ServiceName, Seconds] = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
            for part in route.parts:
                self._shortest_objective[part.service] = min(
                    self.shortest_objective(part.service), route.objective
                )

    def shortest_objective(self, service: ServiceName) -> Seconds:
        """Return the shortest objective of all routes to a service.

        Infinity if no route goes there.
        """
        return self._shortest_objective.get(service, math.inf)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix.

        Prefixes begin and end with a slash, so only prefixes of the path
        that end with a slash are looked up. A caller's request must not give or
        take keys, whatever the operator's prefixes cover.
        """
        by_prefix = self._routes_by_host.get(host.split(':', 1)[0].lower())
        if by_prefix is None or is_call_path(path):
            return None
        path = path.split('?', 1)[0]
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def split_request_target(request_target: str, host: str) -> tuple[str, str]:
    """Return the host and the path of a request, with its query.

    A request target may be a whole URL, whose host counts in place of that of
    the `Host` field (RFC 9112, section 3.2.2).
    """
    scheme, separator, rest = request_target.partition('://')
    if not separator or scheme.lower() not in _SCHEMES:
        return host, request_target
    authority, slash, path = rest.partition('/')
    return authority.rpartition('@')[2], f'/{path}' if slash else '/'
