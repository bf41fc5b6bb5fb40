"""Find the route of a caller's request in the configuration in force."""

from typing import Final

import msgspec

from cassialever.fleet.model import Route
from cassialever.fleet.view import FleetView
from cassialever.gateway.refusals import Refusal, no_configuration, no_route
from cassialever.gateway.sender import TargetRequest
from cassialever.platform import wire
from cassialever.types import Seconds

#: How long callers that send no deadline are assumed to wait.
DEFAULT_TIMEOUT: Final[Seconds] = 30.0


class RoutedRequest(msgspec.Struct, frozen=True):
    """A caller's request with its route.

    `deadline` is when its caller or its route stops waiting.
    """

    request: TargetRequest
    route: Route
    key: int
    received_at: Seconds
    deadline: Seconds


def route_request(
    view: FleetView, request: TargetRequest, host: str, received_at: Seconds
) -> RoutedRequest | Refusal:
    """Find the route of a request, or refuse it if there is none."""
    if view.configuration is None:
        return no_configuration()
    route = view.routes.find(host, request.raw_path)
    if route is None:
        return no_route()
    metadata = wire.parse_request_metadata(request.headers)
    timeout = metadata.timeout
    if timeout is None:
        timeout = DEFAULT_TIMEOUT
    return RoutedRequest(
        request=request,
        route=route,
        key=metadata.key,
        received_at=received_at,
        deadline=received_at + min(timeout, route.time_limit),
    )
