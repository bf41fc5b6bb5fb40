"""Exit codes of the tool; `docs/operating/commands.md` lists them."""

import enum
import functools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from cassialever.catalogue.store import Conflict
from cassialever.errors import ErrorKind, Failure
from cassialever.tool.context import ChangeResult, FileFaults
from cassialever.tool.key_history import UnknownService


class ExitCode(enum.IntEnum):
    """The exit code of a command."""

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


MEANING_BY_EXIT_CODE: Final[Mapping[ExitCode, str]] = MappingProxyType(
    {
        ExitCode.done: 'The command succeeded.',
        ExitCode.failed: 'Any other failure.',
        ExitCode.usage: 'The command line is invalid.',
        ExitCode.faults: 'A file or the proposed catalogue has faults.',
        ExitCode.conflict: 'Someone else changed the catalogue first.',
        ExitCode.unreachable: 'The store or the daemon does not answer.',
        ExitCode.refused: 'The daemon refused the credential.',
        ExitCode.unknown_name: 'No such service, or the key has no owner.',
        ExitCode.outcome_unknown: 'Whether the change was made is unknown.',
        ExitCode.not_in_force: 'The change was made but not seen in force.',
    },
)

_EXIT_CODE_BY_KIND: Final[Mapping[ErrorKind, ExitCode]] = MappingProxyType(
    {
        ErrorKind.table_unavailable: ExitCode.unreachable,
        ErrorKind.peer_unreachable: ExitCode.unreachable,
        ErrorKind.bad_credential: ExitCode.refused,
        ErrorKind.table_conflict: ExitCode.conflict,
        ErrorKind.catalogue_invalid: ExitCode.faults,
        ErrorKind.unknown_service: ExitCode.unknown_name,
        ErrorKind.no_owner: ExitCode.unknown_name,
        ErrorKind.table_answer_lost: ExitCode.outcome_unknown,
    },
)


@functools.singledispatch
def exit_code_for(outcome: object) -> ExitCode:
    """Return the exit code for a command's result."""
    return ExitCode.done


@exit_code_for.register
def _exit_code_for_failure(outcome: Failure) -> ExitCode:
    return _EXIT_CODE_BY_KIND.get(outcome.kind, ExitCode.failed)


@exit_code_for.register
def _exit_code_for_faults(outcome: FileFaults) -> ExitCode:
    return ExitCode.faults


@exit_code_for.register
def _exit_code_for_unknown_service(outcome: UnknownService) -> ExitCode:
    return ExitCode.unknown_name


@exit_code_for.register
def _exit_code_for_conflict(outcome: Conflict) -> ExitCode:
    return ExitCode.conflict


@exit_code_for.register
def _exit_code_for_change_result(outcome: ChangeResult) -> ExitCode:
    return ExitCode.not_in_force if outcome.late_because else ExitCode.done
