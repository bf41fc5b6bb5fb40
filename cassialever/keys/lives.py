"""Which targets have ended, by the answers of others at their addresses."""

from collections.abc import Container
from typing import Any, Final

from cassialever.events import Event, record
from cassialever.fleet.model import StartedAt, Target
from cassialever.keys.assignments import Assignment
from cassialever.types import TargetId

#: Processes that are remembered; of more, those noted first are forgotten.
MAX_PROCESSES: Final = 2048


class EndedLives:
    """The processes of targets that are known to have ended.

    A process keeps its address, and no other one has that meanwhile. So one
    has ended once another target answers at its address. The same target may
    start again later: its processes differ by their start. That is a time of
    day, which may step back, so that it doesn't tell which one is later.
    """

    def __init__(self) -> None:
        """Start without ended targets."""
        self._ended: dict[tuple[TargetId, StartedAt], None] = {}
        #: The report by which each target was called when it accepted keys.
        self._confirmed_by_id: dict[TargetId, Target] = {}

    def confirm(self, called: Target) -> None:
        """Note that a target has accepted keys at the address of a report."""
        self._confirmed_by_id.pop(called.target_id, None)
        self._confirmed_by_id[called.target_id] = called
        _limit(self._confirmed_by_id)

    def end(self, called: Target, relocated: Container[TargetId] = ()) -> bool:
        """Note that another target has answered at the address of a report.

        Return whether the target's process is known to have ended. That does
        not follow if it is relocated, or has accepted keys elsewhere: its
        reports don't tell where it is then.
        """
        if called.target_id in relocated:
            return False
        confirmed = self._confirmed_by_id.get(called.target_id, called)
        is_same = confirmed.started_at == called.started_at
        if is_same and confirmed.address != called.address:
            return False
        if self.is_over(called.target_id, called.started_at):
            return True
        record(
            Event.owner_ended,
            target=called.target_id,
            address=called.address,
            started_at=called.started_at,
        )
        self._ended[called.target_id, called.started_at] = None
        _limit(self._ended)
        return True

    def has_owner_ended(self, assignment: Assignment) -> bool:
        """Return whether the process that owns keys has ended."""
        return self.is_over(assignment.owner, assignment.owner_started_at)

    def is_over(self, target_id: TargetId, started_at: StartedAt) -> bool:
        """Return whether a target's process that started then has ended."""
        return (target_id, started_at) in self._ended


def _limit(known: dict[Any, Any]) -> None:
    while len(known) > MAX_PROCESSES:
        known.pop(next(iter(known)))
