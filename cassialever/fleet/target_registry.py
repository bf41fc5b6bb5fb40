"""The targets of all services, as they report themselves."""

from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.model import Target, TargetState
from cassialever.policy.limits import TargetLimits
from cassialever.types import DataCentreId, Seconds, ServiceName, TargetId

#: How long an owner still gets requests for its keys after it has said that it
#: leaves. Of the 2 s that the platform allows, the rest is for the way of the
#: last request; a planned move of keys takes up to 1 s.
MAX_OWNER_LEAVING_TIME: Final[Seconds] = 1.2


class TargetRegistry:
    """Targets by id and by service, and which of them accept new requests."""

    def __init__(self, clock: SystemClock) -> None:
        """Start without targets."""
        #: The clock of this daemon.
        self.clock = clock
        self.by_id: dict[TargetId, Target] = {}
        self.by_service: dict[ServiceName, list[Target]] = {}
        #: Data centres whose targets get no new requests.
        self.evacuated: set[DataCentreId] = set()
        #: Targets that operators have taken out of service.
        self.taken_out: set[TargetId] = set()
        #: Targets whose address has changed without a restart. A process keeps
        #: its address, so that one of the two is wrong.
        self.relocated: set[TargetId] = set()
        #: What targets say of themselves in their answers.
        self.limits = TargetLimits()
        self._cold_until_by_id: dict[TargetId, Seconds] = {}
        #: Targets as reported, without operators' limits.
        self._reported_by_id: dict[TargetId, Target] = {}
        self._max_slots_by_id: Mapping[TargetId, int] = {}

    def put(self, target: Target) -> None:
        """Add a target, or replace it by its newest report."""
        known = self._reported_by_id.get(target.target_id)
        if known is not None and known.started_at == target.started_at:
            if known.address != target.address:
                self.relocated.add(target.target_id)
        else:
            self.relocated.discard(target.target_id)
        self._reported_by_id[target.target_id] = target
        self.by_id[target.target_id] = self._with_slot_limit(target)
        cold_until = self.clock.monotonic() + target.cold_for
        self._cold_until_by_id[target.target_id] = cold_until

    def remove(self, target_id: TargetId) -> bool:
        """Remove a target; return whether it was known."""
        self._cold_until_by_id.pop(target_id, None)
        self._reported_by_id.pop(target_id, None)
        self.relocated.discard(target_id)
        return self.by_id.pop(target_id, None) is not None

    def limit_slots(self, max_slots_by_id: Mapping[TargetId, int]) -> None:
        """Limit the slots in use of each target to what operators allow."""
        self._max_slots_by_id = max_slots_by_id
        for target_id, target in self._reported_by_id.items():
            self.by_id[target_id] = self._with_slot_limit(target)
        self.regroup()

    def mark_cold(self, data_centre: DataCentreId, duration: Seconds) -> None:
        """Treat the targets of a data centre as cold for a duration."""
        cold_until = self.clock.monotonic() + duration
        for target in self.by_id.values():
            if target.data_centre != data_centre:
                continue
            known = self._cold_until_by_id.get(target.target_id, 0)
            self._cold_until_by_id[target.target_id] = max(known, cold_until)

    def regroup(self) -> None:
        """Rebuild the grouping of targets by service."""
        targets_by_service: dict[ServiceName, list[Target]] = {}
        for target in self.by_id.values():
            targets_by_service.setdefault(target.service, []).append(target)
        self.by_service = targets_by_service

    def usable(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that may get new requests."""
        return [
            target
            for target in self.by_service.get(service, ())
            if self.is_usable(target)
        ]

    def has_usable(self, service: ServiceName) -> bool:
        """Return whether a service has a target that may get new requests."""
        return any(map(self.is_usable, self.by_service.get(service, ())))

    def is_usable(self, target: Target) -> bool:
        """Return whether a target may get new requests."""
        return self._is_in_service(target) and not self.limits.is_leaving(
            target
        )

    def is_usable_owner(self, target: Target) -> bool:
        """Return whether a target may get new requests for keys it owns.

        One that says that it leaves serves its keys until they have moved.
        """
        if not self._is_in_service(target):
            return False
        leaving_for = self.clock.boot() - self.limits.leaving_since(target)
        return leaving_for < MAX_OWNER_LEAVING_TIME

    def pause_left(self, target: Target) -> Seconds:
        """Return for how long a target wants no request of this daemon."""
        return max(self.limits.pauses.until(target) - self.clock.boot(), 0)

    def is_cold(self, target_id: TargetId) -> bool:
        """Return whether a target is still in its cold start."""
        cold_until = self._cold_until_by_id.get(target_id, 0)
        return self.clock.monotonic() < cold_until

    def _is_in_service(self, target: Target) -> bool:
        return (
            target.state is TargetState.ready
            and target.data_centre not in self.evacuated
            and target.target_id not in self.taken_out
            and not self.limits.is_replaced(target)
        )

    def _with_slot_limit(self, target: Target) -> Target:
        max_slots = self._max_slots_by_id.get(target.target_id, target.slots)
        if max_slots >= target.slots:
            return target
        return msgspec.structs.replace(target, slots=max_slots)
