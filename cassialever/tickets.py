"""What a request needs at the gate of a target, and what the gate says."""

import enum
from typing import TypeAlias

import msgspec

from cassialever.errors import Failure
from cassialever.ramp import Pace
from cassialever.types import CallerId, RequestId, Seconds


class Ticket(msgspec.Struct, eq=False):
    """One attempt that wants a slot; each attempt has a ticket of its own.

    `deadline` is a monotonic instant of this daemon.
    """

    request_id: RequestId
    caller: CallerId
    deadline: Seconds


class Admitted(msgspec.Struct, frozen=True):
    """The attempt has a slot and may be sent now."""

    pace: Pace


class Refusal(msgspec.Struct, frozen=True):
    """A queued attempt that gets no slot; it was not run."""

    ticket: Ticket
    failure: Failure


class Queued(msgspec.Struct, frozen=True):
    """The attempt waits; `evicted` had to make room for it."""

    evicted: Refusal | None = None


Offered: TypeAlias = Admitted | Queued | Failure


class Step(msgspec.Struct, frozen=True):
    """Queued tickets that may be sent now, and those that never will be."""

    started: tuple[Ticket, ...] = ()
    refused: tuple[Refusal, ...] = ()


class Ending(enum.Enum):
    """How an attempt in flight ended.

    Only `unknown` leaves its slot occupied: the target may still be at work.
    """

    answered = 'answered'
    shed = 'shed'
    not_sent = 'not_sent'
    cancel_acknowledged = 'cancel_acknowledged'
    unknown = 'unknown'


class Slot(msgspec.Struct, eq=False):
    """A slot of a target that a ticket occupies.

    `given_up` is set while nobody waits any longer but the target may run.
    """

    since: Seconds
    pace: Pace
    has_answer: bool = False
    given_up: bool = False
