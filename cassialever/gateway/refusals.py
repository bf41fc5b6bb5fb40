"""The answers that a daemon gives in place of a target's."""

from http import HTTPStatus
from typing import Final

import msgspec

from cassialever.errors import ErrorKind
from cassialever.fleet.model import Target
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    Withheld,
)
from cassialever.policy import refusal
from cassialever.types import Seconds, TargetId


#: The cause of refusals that close their connection, so that the caller's
#: next try may reach another daemon.
STRAINED_CAUSE: Final = 'strained'


class Refusal(msgspec.Struct, frozen=True):
    """An answer by this daemon instead of a target.

    If it has a time to retry after, the request has not run and never will.
    """

    status: int
    sentence: str
    retry_after: Seconds | None = None
    #: The label under which the metrics count it, one of a fixed set.
    cause: str = 'attempts_failed'
    kind: ErrorKind = ErrorKind.target_shed
    #: The only target that could have served it, if there is just one.
    target_id: TargetId | None = None
    #: The fingerprint of a request that may crash its target.
    fingerprint: str | None = None


def no_configuration() -> Refusal:
    """Refuse a request of a daemon that knows no configuration yet."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no configuration is known yet',
        refusal.FixedRetryAfter.default.value,
        'no_configuration',
        ErrorKind.no_catalogue,
    )


def out_of_memory() -> Refusal:
    """Refuse a request whose body doesn't fit into the memory budget."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no memory is left for the body',
        refusal.FixedRetryAfter.default.value,
        'out_of_memory',
        ErrorKind.caller_over_limit,
    )


def body_too_large(max_bytes: int) -> Refusal:
    """Refuse a request whose body is longer than the operators allow."""
    return Refusal(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'the body is longer than {max_bytes} bytes',
        cause='body_too_large',
        kind=ErrorKind.body_too_large,
    )


def body_late() -> Refusal:
    """Refuse a request whose body has not arrived within its time."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the body has not arrived in time',
        cause='body_late',
        kind=ErrorKind.deadline_passed,
    )


def no_route() -> Refusal:
    """Refuse a request that no route matches."""
    return Refusal(
        HTTPStatus.NOT_FOUND,
        'no route matches',
        cause='no_route',
        kind=ErrorKind.unknown_service,
    )


def unknown_key() -> Refusal:
    """Refuse a request whose key no customer has, or that has none."""
    return Refusal(
        HTTPStatus.UNAUTHORIZED,
        'no customer has the key',
        cause='unknown_key',
        kind=ErrorKind.bad_credential,
    )


def over_quota(sentence: str, retry_after: Seconds) -> Refusal:
    """Refuse a request of a customer over its limit."""
    return Refusal(
        HTTPStatus.TOO_MANY_REQUESTS,
        sentence,
        retry_after,
        'over_quota',
        ErrorKind.caller_over_limit,
    )


def outdated() -> Refusal:
    """Refuse a request while newer tables than this daemon's are under way."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'newer tables than those of this daemon are under way',
        refusal.FixedRetryAfter.outdated.value,
        'outdated',
        ErrorKind.no_catalogue,
    )


def strained() -> Refusal:
    """Refuse a request that this daemon itself would make late."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this daemon is short of processor time',
        refusal.FixedRetryAfter.strained.value,
        STRAINED_CAUSE,
        ErrorKind.caller_over_limit,
    )


def no_target(
    decision: refusal.Refuse, sentence: str, owner: Target | None
) -> Refusal:
    """Refuse a request that no target takes; `owner` is that of its key."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        sentence,
        decision.retry_after,
        decision.reason.name,
        refusal.KIND_BY_REASON[decision.reason],
        owner.target_id if owner else None,
    )


def stopping(target: Target) -> Refusal:
    """Refuse a request that would outlast a stop."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this daemon stops before the request would end',
        refusal.FixedRetryAfter.stopping.value,
        ErrorKind.stopping.name,
        ErrorKind.stopping,
        target.target_id,
    )


def attempts_failed(reason: str) -> Refusal:
    """Refuse a request that no attempt has run."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
        refusal.FixedRetryAfter.default.value,
    )


def final_answer(
    refused: Refusal,
    attempts: list[Attempt],
) -> Answer | Refusal:
    """Return the answer to a request that no attempt has served.

    The refusal promises that the request has not run. It is returned only if
    the request was sent to no target, or every target stated that it did not
    run it.
    """
    may_have_run = [
        attempt
        for attempt in attempts
        if attempt.outcome is not AttemptOutcome.not_run
    ]
    if not may_have_run:
        return refused
    last = may_have_run[-1]
    if last.answer is not None:
        return last.answer
    kind = last.failure.kind if last.failure else None
    status = HTTPStatus.BAD_GATEWAY
    if kind is ErrorKind.deadline_passed:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return Refusal(status, last.reason, kind=ErrorKind.outcome_unknown)


def withheld(reason: Withheld) -> Refusal:
    """Refuse a request that may crash its target."""
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason.reason,
        reason.retry_after,
        reason.suspicion.name,
        ErrorKind.no_target,
        fingerprint=reason.fingerprint,
    )
