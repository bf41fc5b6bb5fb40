"""The targets of all services, as they tell of themselves."""

from collections.abc import Mapping

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.model import Target, TargetState
from cassialever.types import DataCentreId, Seconds, ServiceName, TargetId


class TargetRegistry:
    """Targets by id and by service, and which of them take work."""

    def __init__(self, clock: SystemClock) -> None:
        """Start with no target."""
        self._clock = clock
        self.by_id: dict[TargetId, Target] = {}
        self.by_service: dict[ServiceName, list[Target]] = {}
        #: Data centres whose targets are to get no new work.
        self.evacuated: set[DataCentreId] = set()
        #: Targets that operators let have no new work.
        self.taken_out: set[TargetId] = set()
        self._cold_until_by_id: dict[TargetId, Seconds] = {}
        #: Targets as they tell of themselves.
        self._reported_by_id: dict[TargetId, Target] = {}
        self._max_slots_by_id: Mapping[TargetId, int] = {}

    def put(self, target: Target) -> None:
        """Take in what a target says of itself now."""
        self._reported_by_id[target.target_id] = target
        self.by_id[target.target_id] = self._limited(target)
        cold_until = self._clock.monotonic() + target.cold_for
        self._cold_until_by_id[target.target_id] = cold_until

    def remove(self, target_id: TargetId) -> bool:
        """Forget a target; tell whether it was known."""
        self._cold_until_by_id.pop(target_id, None)
        self._reported_by_id.pop(target_id, None)
        return self.by_id.pop(target_id, None) is not None

    def limit_slots(self, max_slots_by_id: Mapping[TargetId, int]) -> None:
        """Use no more of each target's slots than operators allow."""
        self._max_slots_by_id = max_slots_by_id
        for target_id, target in self._reported_by_id.items():
            self.by_id[target_id] = self._limited(target)
        self.regroup()

    def mark_cold(self, data_centre: DataCentreId, time: Seconds) -> None:
        """Let the targets of a data centre warm up for a time."""
        until = self._clock.monotonic() + time
        for target in self.by_id.values():
            if target.data_centre != data_centre:
                continue
            known = self._cold_until_by_id.get(target.target_id, 0)
            self._cold_until_by_id[target.target_id] = max(known, until)

    def regroup(self) -> None:
        """Group the targets by service anew."""
        grouped: dict[ServiceName, list[Target]] = {}
        for target in self.by_id.values():
            grouped.setdefault(target.service, []).append(target)
        self.by_service = grouped

    def usable(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self.by_service.get(service, ())
            if self.is_usable(target)
        ]

    def is_usable(self, target: Target) -> bool:
        """Tell whether a target may get new work."""
        return (
            target.state is TargetState.ready
            and target.data_centre not in self.evacuated
            and target.target_id not in self.taken_out
        )

    def is_cold(self, target_id: TargetId) -> bool:
        """Tell whether a target is in its cold start."""
        until = self._cold_until_by_id.get(target_id, 0)
        return self._clock.monotonic() < until

    def _limited(self, target: Target) -> Target:
        max_slots = self._max_slots_by_id.get(target.target_id, target.slots)
        if max_slots >= target.slots:
            return target
        return msgspec.structs.replace(target, slots=max_slots)
