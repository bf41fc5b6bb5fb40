"""The work that a stand-in target does, and what it makes of overload."""

import asyncio

import msgspec

from cassialever.target_orders import TargetReport
from cassialever.types import RequestId, Seconds


class TargetBehaviour(msgspec.Struct):
    """How a stand-in target behaves.

    A cold target that gets more than `cold_slots` at once falls over: it
    fails all its work until none is left. `report` is what it claims of its
    load, true or not. What it doesn't check it carries out.
    """

    slots: int = 4
    work_time: Seconds = 0.002
    incarnation: int = 1
    cold: bool = False
    cold_slots: int = 1
    shed: bool = False
    checks_fence: bool = True
    needs_grant: bool = False
    checks_deadline: bool = True
    checks_cancel: bool = True
    state: str = 'in_service'
    report: TargetReport | None = None


class Work:
    """Run requests and count what runs."""

    def __init__(self) -> None:
        """Start idle."""
        self.in_flight = 0
        self.peak = 0
        self.collapses = 0
        self.runs_by_request: dict[RequestId, int] = {}
        self.finished: set[RequestId] = set()
        self._collapsed = False
        self._task_by_request: dict[RequestId, asyncio.Task[None]] = {}

    async def run(
        self,
        request_id: RequestId,
        behaviour: TargetBehaviour,
        time_left: Seconds | None,
    ) -> bool:
        """Do one request's work; say whether it came to an end."""
        runs = self.runs_by_request.get(request_id, 0)
        self.runs_by_request[request_id] = runs + 1
        self._enter(behaviour)
        work = asyncio.create_task(asyncio.sleep(behaviour.work_time))
        self._task_by_request[request_id] = work
        await asyncio.wait([work], timeout=time_left)
        self._task_by_request.pop(request_id, None)
        succeeded = work.done() and not work.cancelled()
        succeeded = succeeded and not self._collapsed
        work.cancel()
        self._leave()
        if succeeded:
            self.finished.add(request_id)
        return succeeded

    def cancel(self, request_id: RequestId) -> None:
        """Give a request up, if it is running."""
        task = self._task_by_request.get(request_id)
        if task:
            task.cancel()

    def note_refused(self) -> None:
        """Count a request that came when all slots were taken."""
        self.peak = max(self.peak, self.in_flight + 1)

    def _enter(self, behaviour: TargetBehaviour) -> None:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        overloaded = behaviour.cold and self.in_flight > behaviour.cold_slots
        if overloaded and not self._collapsed:
            self._collapsed = True
            self.collapses += 1

    def _leave(self) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self._collapsed = False
