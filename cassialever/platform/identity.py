"""Name the target that a call is meant for, and tell if another answered."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from cassialever.types import TargetId

#: Names the target that is to run a request; any other one refuses it.
EXPECTED_TARGET: Final = 'Expect-Instance'
_ANSWERING_TARGET: Final = 'Instance-Id'


def call_headers(target_id: TargetId) -> dict[str, str]:
    """Return the headers of a call about keys to the target of an id."""
    return {
        'Content-Type': 'application/json',
        EXPECTED_TARGET: target_id,
    }


def is_refused_by_another(
    status: int, headers: Mapping[str, str], target_id: TargetId
) -> bool:
    """Return whether a call about keys was refused by another target.

    Targets refuse such a call in this way only if it names another one, and
    need not say which they are.
    """
    is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    return is_misdirected and headers.get(_ANSWERING_TARGET) != target_id


def answering_target(status: int, headers: Mapping[str, str]) -> TargetId:
    """Return the target that refused a request meant for another one.

    The text is empty if the answer names none: a target that doesn't hold a
    request's key refuses it with the same status.
    """
    if status != HTTPStatus.MISDIRECTED_REQUEST:
        return TargetId('')
    return TargetId(headers.get(_ANSWERING_TARGET, ''))
