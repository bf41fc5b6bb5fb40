"""The exit codes of the tool, listed in docs/operating/commands.md."""

import enum
import functools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from cassialever.catalogue_store import Conflict
from cassialever.errors import ErrorKind, Failure
from cassialever.tool import Faults


class Exit(enum.IntEnum):
    """How a command ended."""

    done = 0
    failed = 1
    usage = 2
    faults = 3
    conflict = 4
    unreachable = 5
    refused = 6
    unknown_name = 7
    outcome_unknown = 8
    not_in_force = 9


_EXIT_BY_KIND: Final[Mapping[ErrorKind, Exit]] = MappingProxyType(
    {
        ErrorKind.table_unavailable: Exit.unreachable,
        ErrorKind.peer_unreachable: Exit.unreachable,
        ErrorKind.bad_credential: Exit.refused,
        ErrorKind.table_conflict: Exit.conflict,
        ErrorKind.catalogue_invalid: Exit.faults,
        ErrorKind.unknown_service: Exit.unknown_name,
        ErrorKind.no_owner: Exit.unknown_name,
        ErrorKind.table_answer_lost: Exit.outcome_unknown,
        ErrorKind.deadline_passed: Exit.not_in_force,
    },
)


@functools.singledispatch
def exit_of(outcome: object) -> Exit:
    """Return the exit code of a command's result."""
    return Exit.done


@exit_of.register
def _exit_of_failure(outcome: Failure) -> Exit:
    return _EXIT_BY_KIND.get(outcome.kind, Exit.failed)


@exit_of.register
def _exit_of_faults(outcome: Faults) -> Exit:
    return Exit.faults


@exit_of.register
def _exit_of_conflict(outcome: Conflict) -> Exit:
    return Exit.conflict
