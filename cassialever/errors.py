"""Error kinds and the answer that a caller gets for each.

A function that can fail for an external reason returns a `Failure` instead of
its result. A `Failure` has a kind, a reason and, if a catalogue entry led to
it, a reference to that entry.
"""

import enum
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.types import CatalogueVersion, EntryKind, Seconds


class ErrorKind(enum.Enum):
    """The ways in which a request or an operation can fail."""

    bad_request = 'bad_request'
    missing_key = 'missing_key'
    key_too_long = 'key_too_long'
    malformed_deadline = 'malformed_deadline'
    malformed_request_id = 'malformed_request_id'
    unknown_service = 'unknown_service'
    unknown_caller = 'unknown_caller'
    bad_credential = 'bad_credential'
    body_too_large = 'body_too_large'
    caller_over_limit = 'caller_over_limit'
    target_busy = 'target_busy'
    target_shed = 'target_shed'
    target_unreachable = 'target_unreachable'
    target_failed = 'target_failed'
    no_target = 'no_target'
    no_owner = 'no_owner'
    stopping = 'stopping'
    deadline_passed = 'deadline_passed'
    peer_unreachable = 'peer_unreachable'
    outcome_unknown = 'outcome_unknown'
    no_catalogue = 'no_catalogue'
    catalogue_invalid = 'catalogue_invalid'
    table_unavailable = 'table_unavailable'
    table_conflict = 'table_conflict'
    table_answer_lost = 'table_answer_lost'
    internal = 'internal'


class EntryRef(msgspec.Struct, frozen=True):
    """A reference to a catalogue entry at a version of the catalogue."""

    kind: EntryKind
    name: str
    version: CatalogueVersion

    def __str__(self) -> str:
        """Return the reference as text for people."""
        kind = self.kind.value.replace('_', ' ')
        return f'{kind} {self.name} (version {self.version})'


class Failure(msgspec.Struct, frozen=True):
    """The reason why an operation has no result.

    `retry_after` is in seconds; 0 means that no time is known.
    """

    kind: ErrorKind
    reason: str
    entry: EntryRef | None = None
    retry_after: Seconds = 0


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The answer that a caller gets for an error kind.

    `not_run` guarantees that the request was not run and never will be.
    `retryable_elsewhere` lets the router retry at another target.
    """

    status: int
    not_run: bool
    sentence: str
    retryable_elsewhere: bool = False


def _not_run(status: int, sentence: str) -> ErrorAnswer:
    return ErrorAnswer(status=status, not_run=True, sentence=sentence)


def _not_run_retryable(status: int, sentence: str) -> ErrorAnswer:
    return ErrorAnswer(
        status=status,
        not_run=True,
        sentence=sentence,
        retryable_elsewhere=True,
    )


def _may_have_run(status: int, sentence: str) -> ErrorAnswer:
    return ErrorAnswer(status=status, not_run=False, sentence=sentence)


ANSWER_BY_KIND: Final[Mapping[ErrorKind, ErrorAnswer]] = MappingProxyType(
    {
        ErrorKind.bad_request: _not_run(
            HTTPStatus.BAD_REQUEST, 'The request is malformed.'
        ),
        ErrorKind.missing_key: _not_run(
            HTTPStatus.BAD_REQUEST, 'The request names no key.'
        ),
        ErrorKind.key_too_long: _not_run(
            HTTPStatus.BAD_REQUEST, 'The key is over its limit.'
        ),
        ErrorKind.malformed_deadline: _not_run(
            HTTPStatus.BAD_REQUEST,
            'The deadline is not a whole number of milliseconds in range.',
        ),
        ErrorKind.malformed_request_id: _not_run(
            HTTPStatus.BAD_REQUEST,
            'The request id has characters or a length that is not allowed.',
        ),
        ErrorKind.unknown_service: _not_run(
            HTTPStatus.NOT_FOUND, 'No service has this path.'
        ),
        ErrorKind.unknown_caller: _not_run(
            HTTPStatus.FORBIDDEN, 'The caller has no entry.'
        ),
        ErrorKind.bad_credential: _not_run(
            HTTPStatus.UNAUTHORIZED, 'The credential is not valid.'
        ),
        ErrorKind.body_too_large: _not_run(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The body is over its limit.'
        ),
        ErrorKind.caller_over_limit: _not_run(
            HTTPStatus.TOO_MANY_REQUESTS, 'The caller is at its limit.'
        ),
        ErrorKind.target_busy: _not_run_retryable(
            HTTPStatus.SERVICE_UNAVAILABLE, 'The target is at its limit.'
        ),
        ErrorKind.target_shed: _not_run_retryable(
            HTTPStatus.SERVICE_UNAVAILABLE, 'The target shed the request.'
        ),
        ErrorKind.target_unreachable: _not_run_retryable(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'No connection to the target could be made.',
        ),
        ErrorKind.target_failed: _may_have_run(
            HTTPStatus.BAD_GATEWAY, 'The target failed.'
        ),
        ErrorKind.no_target: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, 'No target can take the request.'
        ),
        ErrorKind.no_owner: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, 'The key has no owner just now.'
        ),
        ErrorKind.stopping: _not_run_retryable(
            HTTPStatus.SERVICE_UNAVAILABLE, 'The instance is stopping.'
        ),
        ErrorKind.deadline_passed: _not_run(
            HTTPStatus.GATEWAY_TIMEOUT,
            'The deadline passed before the request was sent.',
        ),
        ErrorKind.peer_unreachable: _not_run_retryable(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The daemon could not be reached.',
        ),
        ErrorKind.outcome_unknown: _may_have_run(
            HTTPStatus.BAD_GATEWAY,
            'The request was sent and it is not known whether it ran.',
        ),
        ErrorKind.no_catalogue: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This instance has no catalogue yet.',
        ),
        ErrorKind.catalogue_invalid: _not_run(
            HTTPStatus.UNPROCESSABLE_ENTITY, 'The catalogue has faults.'
        ),
        ErrorKind.table_unavailable: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The table service does not answer.',
        ),
        ErrorKind.table_conflict: _not_run(
            HTTPStatus.CONFLICT, 'Another change came first.'
        ),
        ErrorKind.table_answer_lost: _may_have_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The write was sent and its answer was lost.',
        ),
        ErrorKind.internal: _may_have_run(
            HTTPStatus.INTERNAL_SERVER_ERROR, 'The router has a fault.'
        ),
    }
)
