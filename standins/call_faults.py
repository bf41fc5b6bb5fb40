"""Faults of some calls to the stand-in row store."""

import enum
from collections.abc import Collection, Iterable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from aiohttp import web

COMMIT_PATH: Final = '/cassialever/rows-tx'
READ_PATH: Final = '/cassialever/rows-get'
FEED_PATH: Final = '/cassialever/rows-feed'
#: How long an answer is held up, longer than clients wait, in seconds.
HOLD_TIME: Final = 3.0


class CallOutcome(enum.Enum):
    """What becomes of a call that meets a fault."""

    refused = 'refused with 503'
    throttled = 'refused with 429'
    conflicting = 'refused with 412'
    reset = 'reset before they are performed'
    unanswered = 'neither performed nor answered'
    answer_reset = 'performed and reset'
    answer_held = 'performed and not answered'
    performed_late = 'performed late and not answered'

    @property
    def loses_answers(self) -> bool:
        """Return whether calls are performed whose answers are lost."""
        return self in _LOSING_ANSWERS

    @property
    def holds_calls(self) -> bool:
        """Return whether calls go on after their clients gave up."""
        return self in _HOLDING_CALLS


_LOSING_ANSWERS: Final = (
    CallOutcome.answer_reset,
    CallOutcome.answer_held,
    CallOutcome.performed_late,
)
_HOLDING_CALLS: Final = (
    CallOutcome.unanswered,
    CallOutcome.answer_held,
    CallOutcome.performed_late,
)
STATUS_BY_OUTCOME: Final = MappingProxyType(
    {
        CallOutcome.refused: HTTPStatus.SERVICE_UNAVAILABLE,
        CallOutcome.throttled: HTTPStatus.TOO_MANY_REQUESTS,
    }
)


class CallFault:
    """A fault of some kinds of calls of some machines."""

    def __init__(
        self,
        outcome: CallOutcome,
        paths: Collection[str],
        machines: Collection[str] | None,
        table: str = '',
    ) -> None:
        """Concern calls on `paths`, of all machines if there are none.

        With a table, only its reads are concerned.
        """
        self.outcome = outcome
        self.paths = paths
        self.machines = None if machines is None else set(machines)
        self.table = table
        #: How many more machines are concerned from their next transaction on.
        self.joining_count = 0

    def keeps_from_leading(self, machine: str) -> bool:
        """Return whether a machine can't take a lease or renew it."""
        is_concerned = self.machines is None or machine in self.machines
        return is_concerned and (
            COMMIT_PATH in self.paths
            or (READ_PATH in self.paths and not self.table)
        )

    def concerns(self, request: web.Request, machine: str) -> bool:
        """Return whether a call of a machine meets the fault."""
        if request.path not in self.paths:
            return False
        if self.table not in ('', request.query.get('table')):
            return False
        if self.machines is None or machine in self.machines:
            return True
        if request.path != COMMIT_PATH or not self.joining_count:
            return False
        self.joining_count -= 1
        self.machines.add(machine)
        return True


def find_fault(
    faults: Iterable[CallFault], request: web.Request, machine: str
) -> CallFault | None:
    """Return the first fault that a call of a machine meets, if any."""
    return next(
        (fault for fault in faults if fault.concerns(request, machine)), None
    )
