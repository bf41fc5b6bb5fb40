"""Exchange permits for requests to cold and limited targets."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import (
    DatagramSocket,
    PermitRequest,
    Permits,
    encode,
)
from cassialever.fleet.limit_reports import (
    LimitReport,
    read_report,
    make_report,
)
from cassialever.fleet.view import FleetView
from cassialever.policy.limits import MIN_RATE, LimitSource
from cassialever.policy.permits import (
    OUTDATED_LIST_SHARE,
    KeeperDirectory,
    PermitBatch,
    PermitIssuer,
    PermitLimiter,
)
from cassialever.types import TargetId


class PeerList(Protocol):
    """The daemons of the fleet, for limits that they share."""

    def complete_peers(self) -> Mapping[str, str]:
        """Return the addresses of all daemons; empty if not known."""

    def has_current_peers(self) -> bool:
        """Return whether no daemon can have a later complete list."""


class PermitExchange:
    """Requests permits from keepers, and issues them as a keeper."""

    def __init__(
        self,
        instance_id: str,
        view: FleetView,
        limiter: PermitLimiter,
        clock: SystemClock,
        peers: PeerList,
        socket: DatagramSocket,
    ) -> None:
        """Provide a limiter with permits."""
        self._instance_id = instance_id
        self._view = view
        self._limiter = limiter
        self._clock = clock
        self._peers = peers
        self._socket = socket
        self.issuer = PermitIssuer()
        self._keepers = KeeperDirectory()
        limiter.request_permits = self._request
        socket.handler_by_type[PermitRequest] = self._handle_request
        socket.handler_by_type[Permits] = self._handle_permits

    def prune(self) -> None:
        """Forget what no longer limits anything."""
        now = self._clock.monotonic()
        self.issuer.prune(now)
        self._limiter.prune(now)

    def _request(self, target_id: TargetId, wanted: int) -> int:
        """Request permits; return the number of daemons that may do so."""
        addresses = self._peers.complete_peers()
        self._keepers.update(addresses.keys(), self._clock.monotonic())
        keeper = self._keepers.keeper_of(target_id)
        request = PermitRequest(
            target_id,
            wanted,
            self._view.targets.is_cold(target_id),
            self._limit_report(target_id),
            asked_at=self._clock.monotonic(),
        )
        if keeper == self._instance_id:
            # Others wait until they know that there is no other keeper; one
            # that has just started knows of no list before its own.
            now = self._clock.monotonic()
            batch = self._issue(
                request, is_only_keeper=self._keepers.is_settled(now)
            )
            if batch is not None:
                self._limiter.add_permits(target_id, batch, now)
        elif keeper is not None:
            self._socket.send(addresses[keeper], encode(request))
        return self._keepers.daemon_count

    def _handle_request(self, request: PermitRequest, sender: str) -> None:
        addresses = self._peers.complete_peers()
        self._keepers.update(addresses.keys(), self._clock.monotonic())
        self._merge(request.limit, sender)
        if self._keepers.keeper_of(request.target_id) != self._instance_id:
            # Its list of daemons is another one; in a moment they agree.
            return
        batch = self._issue(request)
        if batch is None:
            return
        permits = Permits(
            request.target_id,
            batch.delay,
            batch.count,
            batch.interval,
            self._limit_report(request.target_id),
            asked_at=request.asked_at,
        )
        self._socket.send(sender, encode(permits))

    def _handle_permits(self, permits: Permits, sender: str) -> None:
        self._merge(permits.limit, sender)
        now = self._clock.monotonic()
        # A keeper of an earlier build does not send back when it was asked.
        asked_at = permits.asked_at or now
        self._limiter.add_permits(
            permits.target_id,
            PermitBatch(
                permits.delay,
                permits.count,
                permits.interval,
                max(now - asked_at, 0),
            ),
            now,
        )

    def _issue(
        self, request: PermitRequest, *, is_only_keeper: bool = True
    ) -> PermitBatch | None:
        rate = self._rate(request)
        if rate is None:
            return None
        if not is_only_keeper or not self._peers.has_current_peers():
            rate *= OUTDATED_LIST_SHARE
        return self.issuer.issue(
            request.target_id,
            rate,
            self._clock.monotonic(),
            request.wanted,
        )

    def _rate(self, request: PermitRequest) -> float | None:
        """Return the smallest rate that applies to a target, if any does.

        A daemon that asks knows of a cold start or a limit that this one may
        not have heard of yet.
        """
        targets = self._view.targets
        target = targets.by_id.get(request.target_id)
        service = self._view.service(target.service) if target else None
        if target is None or service is None:
            return None
        limit = targets.limits.rate_of(target)
        rates = [] if limit is None else [limit]
        if request.is_cold or targets.is_cold(request.target_id):
            rates.append(service.cold_rate)
        if not rates and request.limit is not None:
            # The limit has ended, which the other daemon does not know yet.
            rates.append(max(request.limit.rate, MIN_RATE))
        return min(rates, default=None)

    def _limit_report(self, target_id: TargetId) -> LimitReport | None:
        limit = self._view.targets.limits.of(target_id)
        return None if limit is None else make_report(limit, self._clock.boot())

    def _merge(self, report: LimitReport | None, peer: str) -> None:
        if report is None or report.target_id not in self._view.targets.by_id:
            return
        # Datagrams have no proof, and a target that leaves does so for good.
        limit = read_report(
            msgspec.structs.replace(report, leaving_age=None),
            self._clock.boot(),
        )
        self._view.targets.limits.merge(limit, LimitSource(peer))
