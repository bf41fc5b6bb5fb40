"""Requests under way at targets, so that a move can wait for their end."""

import asyncio

import msgspec

from cassialever.types import Fence, Seconds, SliceIndex, TargetId


class Flight(msgspec.Struct, eq=False):
    """One attempt that was sent under a fence; `deadline` is an instant."""

    target_id: TargetId
    slice_index: SliceIndex
    fence: Fence
    deadline: Seconds


class DrainWait(msgspec.Struct, eq=False):
    """Someone waits until nothing under a lower fence runs any more.

    `kept` are the slices that go on; `None` waits for the whole target.
    """

    target_id: TargetId
    fence: Fence
    kept: frozenset[SliceIndex] | None
    done: asyncio.Future[None]

    def covers(self, flight: Flight) -> bool:
        """Say whether the wait is for this attempt."""
        if flight.target_id != self.target_id or flight.fence >= self.fence:
            return False
        return self.kept is None or flight.slice_index not in self.kept


class Flights:
    """Every attempt under way at this daemon's targets."""

    def __init__(self) -> None:
        """Start with none."""
        self._flights_by_target: dict[TargetId, set[Flight]] = {}
        self._unknown: list[Flight] = []
        self._waits: list[DrainWait] = []

    def begin(self, flight: Flight) -> None:
        """Count an attempt before its first byte is sent."""
        flights = self._flights_by_target.setdefault(flight.target_id, set())
        flights.add(flight)

    def end(self, flight: Flight, *, unknown: bool, now: Seconds) -> None:
        """Count an attempt out; its outcome may stay unknown."""
        self._flights_by_target[flight.target_id].discard(flight)
        if unknown:
            self._unknown = [
                other for other in self._unknown if other.deadline > now
            ]
            self._unknown.append(flight)
        for wait in self._waits:
            self._settle(wait)
        self._waits = [
            waiting for waiting in self._waits if not waiting.done.done()
        ]

    async def drained(
        self,
        target_id: TargetId,
        fence: Fence,
        kept: frozenset[SliceIndex] | None,
    ) -> Seconds:
        """Return once none runs; the latest deadline of unknown outcomes.

        The instant is 0 where every outcome is known.
        """
        loop = asyncio.get_running_loop()
        wait = DrainWait(target_id, fence, kept, loop.create_future())
        self._settle(wait)
        if not wait.done.done():
            self._waits.append(wait)
        await wait.done
        deadlines = [
            flight.deadline for flight in self._unknown if wait.covers(flight)
        ]
        return max(deadlines, default=0)

    def _settle(self, wait: DrainWait) -> None:
        flights = self._flights_by_target.get(wait.target_id, set())
        if any(wait.covers(flight) for flight in flights):
            return
        if not wait.done.done():
            wait.done.set_result(None)
