"""Decide whether this daemon carries a request for another one."""

import math
from collections.abc import Callable

from cassialever.clock import SystemClock
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.gateway.counters import HopCounters
from cassialever.gateway.hop_messages import HopRequest
from cassialever.gateway.outcomes import Attempt
from cassialever.gateway.settings import InstanceSettings
from cassialever.gateway.tables_state import TablesState
from cassialever.platform.call_paths import is_call_path
from cassialever.policy.connect_times import MIN_TIMEOUT
from cassialever.policy.freshness import Knowledge, reason_to_wait
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import withdrawal_reason
from cassialever.policy.reach import TargetReach
from cassialever.policy.room import request_capacity
from cassialever.types import Seconds


class CarryingPolicy:
    """Admits requests of other daemons, and counts them.

    What this daemon knows of a target may be stricter than what the other one
    knows, and then holds.
    """

    def __init__(
        self,
        instance: InstanceSettings,
        view: FleetView,
        loads: LoadTracker,
        reach: TargetReach,
        counters: HopCounters,
        clock: SystemClock,
    ) -> None:
        self._view = view
        self._loads = loads
        self._counters = counters
        self._reach = reach
        self.clock = clock
        #: Number of requests that may be open, those of own callers included.
        self.capacity = request_capacity(instance.cores, instance.link_mbps)
        self.open_requests = 0
        #: Returns the state of this daemon's tables.
        self.tables: Callable[[], TablesState] = TablesState
        #: Returns what is known of their age.
        self.knowledge: Callable[[], Knowledge] = Knowledge
        #: Whether this daemon stops and takes no more requests.
        self.is_draining = False

    def admit(
        self, hop: HopRequest, body_bytes: int | None
    ) -> Target | Failure:
        """Return the target of a request, or why it is refused.

        `body_bytes` is the length of its body; None if it is not known.
        """
        if self.is_draining:
            return Failure(ErrorKind.stopping, 'this daemon is stopping')
        own_requests = sum(self._loads.open_by_target().values())
        if self.open_requests + own_requests >= self.capacity:
            return Failure(
                ErrorKind.caller_over_limit,
                f'{own_requests} requests are open here, and'
                f' {self.open_requests} for other daemons',
            )
        if not self._is_body_allowed(body_bytes):
            return Failure(
                ErrorKind.body_too_large, f'body of {body_bytes} bytes'
            )
        return self._usable_target(hop)

    def send_before(
        self, hop: HopRequest, target: Target, arrived_at: Seconds
    ) -> Seconds:
        """Return until when a request may be written, in monotonic time.

        The daemon that passes it on has used a permit if one is needed. The
        build before does not say until when that may be used.
        """
        if math.isfinite(hop.send_within):
            return arrived_at + hop.send_within
        targets = self._view.targets
        is_limited = targets.limits.rate_of(target) is not None
        if is_limited or targets.is_cold(target.target_id):
            return arrived_at + MIN_TIMEOUT
        return math.inf

    def route_withdrawal(
        self, hop: HopRequest, target: Target, host: str
    ) -> str:
        """Return why a request has no way to its target; empty if it has.

        A daemon that passes it on by a later configuration knows better. It
        may have done so before this one stood still, so that the target has
        left since: another helper is asked then. One of the build before passes
        calls about keys on.
        """
        if is_call_path(hop.raw_path):
            return 'its path is that of a call about keys'
        reason = reason_to_wait(self.knowledge())
        if reason:
            return reason
        configuration = self._view.configuration
        if configuration is None or configuration.version <= hop.configuration:
            return ''
        if not configuration.routes:
            # They are not routed by host and path.
            return ''
        route = self._view.routes.find(host, hop.raw_path)
        services = [part.service for part in route.parts] if route else []
        if target.service in services:
            return ''
        return f'no route leads to service {target.service} any more'

    def count_open(self) -> int:
        """Return the number of requests that are carried now."""
        return self.open_requests

    def count_carried(self) -> None:
        """Count a request that is sent to its target."""
        self._counters.carried += 1

    def count_refusal(self, failure: Failure) -> None:
        """Count a request that was not sent to its target."""
        self._counters.refusals_by_kind[failure.kind.value] += 1

    def record_failure(
        self, hop: HopRequest, request_id: str, attempt: Attempt
    ) -> None:
        """Record that a request got no whole answer of its target."""
        if attempt.is_unreached and not attempt.is_own_delay:
            load = self._loads.of(hop.target_id)
            load.record_unreachable(self.clock.monotonic())
        record(
            Event.carrying_failed,
            request=request_id,
            origin=hop.origin,
            target=hop.target_id,
            end=attempt.outcome.value,
            reason=attempt.reason,
            **self.tables().fields(),
        )

    def _is_body_allowed(self, body_bytes: int | None) -> bool:
        configuration = self._view.configuration
        if body_bytes is None or configuration is None:
            return False
        return body_bytes <= configuration.max_body_bytes

    def _usable_target(self, hop: HopRequest) -> Target | Failure:
        targets = self._view.targets
        target = targets.by_id.get(hop.target_id)
        if target is None:
            return _no_target('the target is not known here')
        if target.started_at != hop.started_at:
            return _no_target(
                f'the target is known here as started at {target.started_at}'
            )
        reason = withdrawal_reason(self._view, target)
        if reason:
            return _no_target(reason)
        if self._is_service_removed(target, hop):
            return _no_target(f'service {target.service} was removed')
        now = self.clock.monotonic()
        if not self._reach.is_direct(target.target_id, now):
            return Failure(
                ErrorKind.target_unreachable,
                'the target is not reached from here either',
            )
        return target

    def _is_service_removed(self, target: Target, hop: HopRequest) -> bool:
        """Return whether a later configuration has no such service."""
        configuration = self._view.configuration
        if configuration is None or configuration.version < hop.configuration:
            return False
        return target.service not in configuration.service_by_name


def _no_target(reason: str) -> Failure:
    return Failure(ErrorKind.no_target, reason)
