"""Where the next attempt at a request goes."""

import asyncio
from collections.abc import Collection
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.intake import Intake
from cassialever.interfaces import Clock
from cassialever.messages import NO_SLICE
from cassialever.placement import Placement
from cassialever.slices import Place
from cassialever.traffic import Traffic
from cassialever.types import (
    InstanceId,
    RoutingClass,
    Seconds,
    SliceIndex,
    TargetId,
)

#: How long an owner or holder that is lacking just now is waited for, in
#: seconds; a planned move is over well within it.
OWNER_WAIT: Final[Seconds] = 2.0
#: Between two looks for an owner, in seconds.
OWNER_PAUSE: Final[Seconds] = 0.02
#: When a caller may come back to a target without a holder, in seconds.
HOLDER_RETRY_AFTER: Final[Seconds] = 1


class Destination(msgspec.Struct, frozen=True):
    """A target, who holds its lease and the slice of the request's key."""

    target_id: TargetId
    holder: InstanceId
    slice_index: SliceIndex = NO_SLICE


class Destinations:
    """The targets that one request may go to."""

    def __init__(
        self,
        intake: Intake,
        placement: Placement,
        traffic: Traffic,
        clock: Clock,
    ) -> None:
        """Take the request and what is known of targets."""
        self._intake = intake
        self._placement = placement
        self._traffic = traffic
        self._clock = clock
        self.is_any = intake.service.routing is RoutingClass.any_target

    @property
    def is_sole(self) -> bool:
        """Say whether one target alone will do."""
        return not self.is_any or self._intake.has_home

    async def choose(
        self,
        tried: Collection[TargetId],
        deadline: Seconds,
    ) -> Destination | Failure:
        """Return where the next attempt goes, or why there is nowhere.

        A target that has no owner or holder just now, as in a move, is
        waited for if there is time.
        """
        give_up = min(self._clock.monotonic() + OWNER_WAIT, deadline)
        while True:
            found = self._look(tried)
            if isinstance(found, Destination) or self._is_spent(tried):
                return found
            if self._clock.monotonic() + OWNER_PAUSE >= give_up:
                return found
            await asyncio.sleep(OWNER_PAUSE)

    def _is_spent(self, tried: Collection[TargetId]) -> bool:
        """Say whether every target has been tried already."""
        return bool(tried) and not self.is_sole

    def _look(self, tried: Collection[TargetId]) -> Destination | Failure:
        if not self.is_any:
            return self._place()
        traffic = self._traffic.of(self._intake.service)
        if self._intake.has_home:
            target_id = traffic.homes.home(self._intake.request_id)
        else:
            now = self._clock.monotonic()
            target_id = traffic.chooser.choose(tried, now)
        if target_id is None:
            return self._no_target()
        return self._held(target_id, NO_SLICE)

    def _place(self) -> Destination | Failure:
        place = self._placement.place(self._intake.service, self._intake.key)
        if isinstance(place, Place) and place.owner:
            return self._held(place.owner, place.slice_index)
        if isinstance(place, Failure):
            return place
        return self._no_target()

    def _held(
        self,
        target_id: TargetId,
        slice_index: SliceIndex,
    ) -> Destination | Failure:
        holder = self._placement.holder(target_id)
        if holder is not None:
            return Destination(target_id, holder, slice_index)
        return Failure(
            ErrorKind.no_owner,
            f'no instance holds the lease of {target_id}',
            self._intake.service.ref(),
            HOLDER_RETRY_AFTER,
        )

    def _no_target(self) -> Failure:
        service = self._intake.service
        return Failure(
            ErrorKind.no_target,
            f'no target of {service.name} can take the request',
            service.ref(),
            HOLDER_RETRY_AFTER,
        )
