"""The possible outcomes of an attempt at a target."""

import enum

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.policy.crashes import Suspicion
from cassialever.types import Seconds, TargetId


class AttemptOutcome(enum.Enum):
    """How an attempt ended, which decides whether it may be retried."""

    #: The target's answer was received completely.
    answered = 'answered'
    #: The target ran the request and failed.
    failed = 'failed'
    #: The request did not run and never will.
    not_run = 'not_run'
    #: The request was sent and may have run.
    unknown = 'unknown'


class TargetRefusal(enum.Enum):
    """Why a target refused a request, which it has not run."""

    #: It takes no more requests now, or gave another reason.
    shed = 'shed'
    #: It does not hold the request's key.
    key_not_held = 'key_not_held'
    #: The expected target has ended, and another one has its address.
    replaced = 'replaced'


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of a target."""

    target_id: TargetId
    status: int
    headers: list[tuple[str, str]]
    body: bytes | bytearray


class Attempt(msgspec.Struct, frozen=True):
    """An attempt to have a target serve a request, after it has ended."""

    outcome: AttemptOutcome
    answer: Answer | None = None
    failure: Failure | None = None
    #: Why the target refused the request, if it did.
    refusal: TargetRefusal | None = None
    #: The target that refused it in place of the expected one, if one did.
    answered_by: str = ''
    #: The daemon that carried the request; empty if it was sent directly.
    helper: str = ''
    #: Whether the helper, or the way to it, failed and not the target.
    is_helper_failure: bool = False
    #: Whether no connection was made because this daemon was late itself. That
    #: is no evidence against the target.
    is_own_delay: bool = False
    #: Whether nothing was sent, since the choice of the target no longer holds.
    is_withdrawn: bool = False

    @property
    def is_unreached(self) -> bool:
        """Return whether no connection to the target could be made."""
        kind = self.failure.kind if self.failure else None
        return kind is ErrorKind.target_unreachable

    @property
    def reason(self) -> str:
        """Return why the attempt did not serve the request."""
        if self.failure is not None:
            return self.failure.reason
        return f'the target answered {self.answer.status if self.answer else 0}'


class Withheld(msgspec.Struct, frozen=True):
    """Why a request that may crash its target is not sent now."""

    suspicion: Suspicion
    reason: str
    retry_after: Seconds
    #: The request's fingerprint, as it is written in logs.
    fingerprint: str


def unknown(
    reason: str,
    kind: ErrorKind = ErrorKind.outcome_unknown,
) -> Attempt:
    """Return an attempt after which the request may have run."""
    failure = Failure(kind, reason)
    return Attempt(AttemptOutcome.unknown, failure=failure)


def not_run(reason: str, kind: ErrorKind = ErrorKind.target_shed) -> Attempt:
    """Return an attempt after which the request has not run."""
    return Attempt(AttemptOutcome.not_run, failure=Failure(kind, reason))


def refused(
    reason: str, refusal: TargetRefusal, answered_by: str = ''
) -> Attempt:
    """Return an attempt that the target has refused."""
    return msgspec.structs.replace(
        not_run(reason), refusal=refusal, answered_by=answered_by
    )


def withdrawn(reason: str) -> Attempt:
    """Return an attempt that sent nothing, since its choice does not hold."""
    return msgspec.structs.replace(
        not_run(reason, ErrorKind.no_target), is_withdrawn=True
    )
