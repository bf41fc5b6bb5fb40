"""Exchange permits for requests to cold targets between daemons."""

from collections.abc import Callable, Mapping

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import (
    DatagramSocket,
    Permit,
    PermitRequest,
    encode,
)
from cassialever.fleet.view import FleetView
from cassialever.policy.permits import (
    KeeperDirectory,
    PermitIssuer,
    WarmUpLimiter,
)
from cassialever.types import Seconds, TargetId


class PermitExchange:
    """Requests permits from keepers, and issues them as a keeper."""

    def __init__(
        self,
        instance_id: str,
        view: FleetView,
        limiter: WarmUpLimiter,
        clock: SystemClock,
        addresses_by_peer: Callable[[], Mapping[str, str]],
        socket: DatagramSocket,
    ) -> None:
        """Provide a limiter with permits; addresses are by instance id."""
        self._instance_id = instance_id
        self._view = view
        self._limiter = limiter
        self._clock = clock
        self._addresses_by_peer = addresses_by_peer
        self._socket = socket
        self._issuer = PermitIssuer()
        self._keepers = KeeperDirectory()
        limiter.request_permit = self._request
        socket.handler_by_type[PermitRequest] = self._handle_request
        socket.handler_by_type[Permit] = self._handle_permit

    def prune(self) -> None:
        """Forget what no longer limits anything."""
        now = self._clock.monotonic()
        self._issuer.prune(now)
        self._limiter.prune(now)

    def _request(self, target_id: TargetId) -> int:
        """Request a permit; return the number of daemons that may do so."""
        addresses = self._addresses_by_peer()
        self._keepers.update(addresses.keys(), self._clock.monotonic())
        keeper = self._keepers.keeper_of(target_id)
        if keeper == self._instance_id:
            self._add_permit(target_id, self._issue(target_id))
        elif keeper is not None:
            request = PermitRequest(self._instance_id, target_id)
            self._socket.send(addresses[keeper], encode(request))
        return self._keepers.daemon_count

    def _handle_request(self, request: PermitRequest, sender: str) -> None:
        addresses = self._addresses_by_peer()
        self._keepers.update(addresses.keys(), self._clock.monotonic())
        if self._keepers.keeper_of(request.target_id) != self._instance_id:
            # Its list of daemons is another one; in a moment they agree.
            return
        delay = self._issue(request.target_id)
        if delay is not None:
            self._socket.send(sender, encode(Permit(request.target_id, delay)))

    def _handle_permit(self, permit: Permit, _: str) -> None:
        self._add_permit(permit.target_id, permit.delay)

    def _add_permit(self, target_id: TargetId, delay: Seconds | None) -> None:
        if delay is not None:
            start = self._clock.monotonic() + delay
            self._limiter.add_permit(target_id, start)

    def _issue(self, target_id: TargetId) -> Seconds | None:
        target = self._view.targets.by_id.get(target_id)
        service = self._view.service(target.service) if target else None
        if service is None:
            return None
        now = self._clock.monotonic()
        return self._issuer.issue(target_id, service.cold_rate, now)
