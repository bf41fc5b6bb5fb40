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


def names_another_target(
    status: int, headers: Mapping[str, str], target_id: TargetId
) -> bool:
    """Return whether a call about keys was refused by another target.

    A target refuses such a call for no other reason with this status, and need
    not name itself.
    """
    is_itself = headers.get(_ANSWERING_TARGET) == target_id
    return status == HTTPStatus.MISDIRECTED_REQUEST and not is_itself
