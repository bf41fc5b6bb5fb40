"""Find the route of a caller's request in the configuration in force."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.model import (
    Configuration,
    Customer,
    Route,
)
from cassialever.fleet.view import FleetView
from cassialever.gateway.admission import (
    Admitter,
    AdmitAll,
    UndoAdmission,
)
from cassialever.gateway.refusals import (
    Refusal,
    no_configuration,
    no_route,
    outdated,
    unknown_key,
    strained,
)
from cassialever.gateway.sender import TargetRequest
from cassialever.platform import credentials, wire
from cassialever.policy.freshness import (
    MAX_ROUTE_WAIT,
    MAX_WAIT_SHARE,
    POLL_INTERVAL,
    Knowledge,
    Verdict,
    is_newest_configuration,
    judge,
    reason_to_wait,
)
from cassialever.policy.precedence import Precedence
from cassialever.policy.strain import Strain
from cassialever.types import CustomerName, Seconds

#: How long callers that send no deadline are assumed to wait.
DEFAULT_TIMEOUT: Final[Seconds] = 30.0
#: Share of the objective that a request may wait for a token of its customer.
MAX_ADMISSION_SHARE: Final = 0.5
#: Causes of refusals that another configuration may not have.
_FINAL_CAUSES: Final = frozenset(('no_route', 'unknown_key'))


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
    #: The customer of the caller's key, if the route asks for one.
    customer: Customer | None = None
    #: The headers as the caller sent them. The request has those for targets.
    caller_headers: Mapping[str, str] | None = None

    @property
    def precedence(self) -> Precedence:
        """Return the request's place among those that compete for room."""
        rank = self.route.rank
        name = CustomerName('')
        if self.customer is not None:
            name = self.customer.name
            if self.customer.rank is not None:
                rank = self.customer.rank
        return Precedence(
            rank,
            min(self.received_at + self.route.objective, self.deadline),
            self.deadline,
            name,
        )


def route_request(
    view: FleetView, request: TargetRequest, host: str, received_at: Seconds
) -> RoutedRequest | Refusal:
    """Find the route of a request, or refuse it if there is none."""
    if view.configuration is None:
        return no_configuration()
    route = view.routes.find(host, request.raw_path)
    if route is None:
        return no_route()
    customer = _customer(view.configuration, route, request)
    if isinstance(customer, Refusal):
        return customer
    metadata = wire.parse_request_metadata(request.headers)
    timeout = metadata.timeout
    if timeout is None:
        timeout = DEFAULT_TIMEOUT
    return RoutedRequest(
        request=_for_targets(view.configuration, request, customer),
        route=route,
        key=metadata.key,
        received_at=received_at,
        deadline=received_at + min(timeout, route.time_limit),
        host=host,
        configuration=view.configuration,
        customer=customer,
        caller_headers=request.headers,
    )


class Router:
    """Routes requests by the configuration in force, and again if it changes.

    By default its tables count as the newest ones.
    """

    def __init__(self, view: FleetView, clock: SystemClock) -> None:
        """Route by the configuration of a view."""
        self._view = view
        self._clock = clock
        #: Returns what is known of the age of this daemon's tables.
        self.knowledge: Callable[[], Knowledge] = Knowledge
        #: How late this daemon itself makes requests.
        self.strain = Strain()
        #: Admits the requests of customers with a limit.
        self.quotas: Admitter = AdmitAll()

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, if one is known."""
        return self._view.configuration

    async def find(
        self, request: TargetRequest, host: str, received_at: Seconds
    ) -> RoutedRequest | Refusal:
        """Find the route of a request.

        It may have one in a configuration that this daemon does not know yet,
        so that it is refused for good by the newest one only.
        """
        routed = route_request(self._view, request, host, received_at)
        ends_at = self._clock.monotonic() + MAX_ROUTE_WAIT
        while _is_without_route(routed) and not is_newest_configuration(
            self.knowledge()
        ):
            if self._clock.monotonic() >= ends_at:
                return outdated()
            await asyncio.sleep(POLL_INTERVAL)
            routed = route_request(self._view, request, host, received_at)
        if isinstance(routed, Refusal):
            return routed
        if not self.strain.carries_in_time(routed.route.objective):
            return strained()
        return routed

    async def admit(self, routed: RoutedRequest) -> UndoAdmission | Refusal:
        """Admit a routed request within its customer's limit."""
        left = routed.deadline - self._clock.monotonic()
        max_wait = routed.route.objective * MAX_ADMISSION_SHARE
        return await self.quotas.admit(routed.customer, min(max_wait, left))

    async def find_again(
        self, routed: RoutedRequest
    ) -> RoutedRequest | Refusal:
        """Find the route of a request anew if it has changed.

        While newer tables are under way the request waits for them, for up to
        a share of its objective. A look for a confirmation ends by itself.
        """
        ends_at = min(
            routed.received_at + routed.route.objective * MAX_WAIT_SHARE,
            routed.deadline,
        )
        verdict = judge(self.knowledge())
        while verdict is not Verdict.current:
            is_over = self._clock.monotonic() >= ends_at
            if is_over and verdict is Verdict.outdated:
                return outdated()
            await asyncio.sleep(POLL_INTERVAL)
            verdict = judge(self.knowledge())
        if not self.has_changed(routed):
            return routed
        return route_request(
            self._view, _as_received(routed), routed.host, routed.received_at
        )

    def has_changed(self, routed: RoutedRequest) -> bool:
        """Return whether a request has another route than when it was found."""
        if routed.configuration is None:
            return False
        configuration = self._view.configuration
        if configuration is routed.configuration:
            return False
        route = self._view.routes.find(routed.host, routed.request.raw_path)
        if configuration is None or route is None or route != routed.route:
            return True
        customer = _customer(configuration, route, _as_received(routed))
        return customer != routed.customer

    def reason_to_withdraw(self, routed: RoutedRequest) -> str:
        """Return why a request may not take its route; empty if it may.

        One that was placed before this process stood still waits with all
        others until the tables are confirmed.
        """
        if self.has_changed(routed):
            return 'the route has changed'
        return reason_to_wait(self.knowledge())


def _is_without_route(routed: RoutedRequest | Refusal) -> bool:
    """Return whether a known configuration has no route or key for it."""
    return isinstance(routed, Refusal) and routed.cause in _FINAL_CAUSES


def _customer(
    configuration: Configuration, route: Route, request: TargetRequest
) -> Customer | None | Refusal:
    """Return the customer of a request's key; None if it needs no key."""
    if route.is_anonymous or not configuration.has_customers:
        return None
    credential = credentials.credential_of(request.headers)
    if credential is None:
        return unknown_key()
    customer = configuration.customer_by_credential.get(credential)
    return unknown_key() if customer is None else customer


def _for_targets(
    configuration: Configuration,
    request: TargetRequest,
    customer: Customer | None,
) -> TargetRequest:
    """Return a request with the headers that targets get."""
    if not configuration.has_customers:
        return request
    headers = credentials.admitted_headers(
        request.headers, customer.name if customer else None
    )
    return msgspec.structs.replace(request, headers=headers)


def _as_received(routed: RoutedRequest) -> TargetRequest:
    """Return a request with the headers that its caller sent."""
    if routed.caller_headers is None:
        return routed.request
    return msgspec.structs.replace(
        routed.request, headers=routed.caller_headers
    )
