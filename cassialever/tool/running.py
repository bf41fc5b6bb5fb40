"""Run a command and print its result."""

import asyncio

from rich.console import Console

from cassialever.tool.catalogue_commands import SubmitOptions
from cassialever.tool.context import Command, run_with_context
from cassialever.tool.exits import exit_code_for
from cassialever.tool.options import (
    ChangeOptions,
    ConnectionOptions,
    OutputOptions,
)
from cassialever.tool.output import print_result


def run_command(
    connection: ConnectionOptions, message: str, command: Command
) -> int:
    """Run a command that needs the store or a daemon; return its exit code."""
    running = run_with_context(
        connection.settings,
        connection.daemon,
        message,
        command,
    )
    return report_outcome(asyncio.run(running), connection)


def report_outcome(outcome: object, output: OutputOptions) -> int:
    """Print a result and return the exit code.

    Errors go to standard error, except with JSON: programs read that from
    standard output in every case.
    """
    code = exit_code_for(outcome)
    console = Console(
        stderr=bool(code) and not output.json,
        markup=False,
    )
    print_result(outcome, console, output.json)
    return code


def submit_options(options: ChangeOptions) -> SubmitOptions:
    """Return the options of the submission."""
    return SubmitOptions(options.reason, options.author, options.wait)
