"""Find the route of a caller's request in the configuration in force."""

from typing import Final

import msgspec

from cassialever.fleet.model import Configuration, Route
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
    host: str = ''
    #: The configuration in which its route was found.
    configuration: Configuration | None = None


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
        host=host,
        configuration=view.configuration,
    )


def has_other_route(view: FleetView, routed: RoutedRequest) -> bool:
    """Return whether the route of a request has changed since it was found."""
    if routed.configuration is None:
        return False
    if view.configuration is routed.configuration:
        return False
    route = view.routes.find(routed.host, routed.request.raw_path)
    return route != routed.route


def route_withdrawal(view: FleetView, routed: RoutedRequest) -> str:
    """Return why a request may not take its route; empty if it may."""
    if has_other_route(view, routed):
        return 'the route has changed'
    return ''


def route_again(
    view: FleetView, routed: RoutedRequest
) -> RoutedRequest | Refusal:
    """Find the route of a request anew if it has changed."""
    if not has_other_route(view, routed):
        return routed
    return route_request(view, routed.request, routed.host, routed.received_at)
