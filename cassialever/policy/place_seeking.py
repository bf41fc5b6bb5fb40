"""Find the targets at which a daemon holds a place, or may ask for one.

Load pattern handled: a contended service with many targets. Requests go where
this daemon holds a place, and few targets are compared when it asks for one.
"""

from typing import Final, Protocol

from cassialever.fleet.model import Target
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.policy.loads import LoadTracker
from cassialever.policy.reach import TargetReach
from cassialever.policy.slot_shares import SlotShares
from cassialever.types import Seconds, ServiceName, TargetId

#: Targets of which the best is asked for a place. With more, all daemons would
#: ask for the same ones.
SAMPLE_SIZE: Final = 2
#: Service time that is assumed until one is known.
DEFAULT_SERVICE_TIME: Final[Seconds] = 0.15


class ServiceRequest(Protocol):
    """A request that any target of a service may serve."""

    @property
    def service(self) -> ServiceName:
        """Return the name of its service."""

    @property
    def tried(self) -> frozenset[TargetId]:
        """Return the targets that were tried."""


class PlaceSeeker:
    """Looks for places at the targets of one view."""

    def __init__(
        self,
        view: FleetView,
        loads: LoadTracker,
        shares: SlotShares,
        random_source: RandomSource,
    ) -> None:
        self._view = view
        self._loads = loads
        self._shares = shares
        self._random = random_source

    def held(
        self,
        service: ServiceName,
        tried: frozenset[TargetId],
        now: Seconds,
    ) -> list[Target]:
        """Return the usable targets at which this daemon holds a place."""
        targets = self._view.targets
        held = [
            targets.by_id.get(target_id)
            for target_id in self._shares.held_by_service(service, now)
            if target_id not in tried
        ]
        return [
            target
            for target in held
            if target is not None and targets.is_usable(target)
        ]

    def sample(
        self, request: ServiceRequest, reach: TargetReach, now: Seconds
    ) -> list[Target]:
        """Return a few targets that may be asked for a place.

        There are none if as many places are asked for as requests wait.
        """
        targets = self._view.targets
        known = targets.by_service.get(request.service, [])
        if not known or not self._shares.missing(request.service, now):
            return []
        sample = [
            known[self._random.randrange(len(known))]
            for _ in range(SAMPLE_SIZE)
        ]
        sound = [
            target
            for target in sample
            if targets.is_usable(target)
            and not self._needs_permit(target)
            and reach.is_direct(target.target_id, now)
            and not self._loads.of(target.target_id).is_failing(now)
        ]
        return [
            target
            for target in sound
            if target.target_id not in request.tried
            and self._shares.may_ask(target.target_id, now)
        ]

    def ask(self, target: Target, now: Seconds) -> None:
        """Ask for a place at a target, if it is contended."""
        shares = self._shares
        may_ask = shares.may_ask(target.target_id, now)
        if not (may_ask and shares.needs_place(target, now)):
            return
        if shares.asks.spend(now):
            usual = self._loads.usual_service_time(target.service)
            self._shares.ask(target, usual or DEFAULT_SERVICE_TIME, now)

    def _needs_permit(self, target: Target) -> bool:
        """Return whether a place would not do, and stay unused."""
        targets = self._view.targets
        return (
            targets.is_cold(target.target_id)
            or targets.limits.rate_of(target) is not None
            or bool(targets.pause_left(target))
        )
