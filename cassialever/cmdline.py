"""The command-line tool `cassialever`."""

import sys
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import cyclopts

from cassialever.tool import catalogue_cmdline, daemon_cmdline, platform_cmdline
from cassialever.tool.exits import ExitCode

PROGRAM: Final = 'cassialever'

Commands: TypeAlias = Sequence[Callable[..., int]]


def _register(commands: Commands) -> None:
    for command in commands:
        app.command(command)


app = cyclopts.App(
    name=PROGRAM,
    help='Inspect and change a cassialever fleet.',
    result_action='return_value',
)
_register(catalogue_cmdline.COMMANDS)
_register(daemon_cmdline.COMMANDS)
app.command(catalogue_cmdline.data_centre_app)
app.command(catalogue_cmdline.target_app)
app.command(daemon_cmdline.settings_app)
app.command(platform_cmdline.platform_app)
app.register_install_completion_command()


def run(tokens: Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        code = app(tokens, exit_on_error=False)
    except cyclopts.CycloptsError:
        # cyclopts has already printed the error.
        return ExitCode.usage
    return code if isinstance(code, int) else ExitCode.done


def main() -> None:
    """Run the tool on the arguments of the process."""
    sys.exit(run(sys.argv[1:]))
