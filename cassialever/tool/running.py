"""Run one command of the tool and print its result."""

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
    """Run a command that needs the table or a daemon."""
    running = run_with_context(
        connection.settings,
        connection.daemon,
        message,
        command,
    )
    return report_outcome(asyncio.run(running), connection)


def report_outcome(outcome: object, output: OutputOptions) -> int:
    """Print a result and return the exit code.

    What went wrong goes to standard error, but for JSON, which programs
    read from standard output in every case.
    """
    code = exit_code_for(outcome)
    console = Console(
        stderr=bool(code) and not output.json,
        markup=False,
    )
    print_result(outcome, console, output.json)
    return code


def submit_options(options: ChangeOptions) -> SubmitOptions:
    """Return the purpose that the options give."""
    return SubmitOptions(options.reason, options.author, options.wait)
