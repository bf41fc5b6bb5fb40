"""Command-line definitions of the catalogue commands."""

import pathlib

import cyclopts
from rich.console import Console

from cassialever.catalogue.edits import set_data_centre_state, set_target_state
from cassialever.catalogue.store import Edit
from cassialever.tool import catalogue_commands
from cassialever.tool.options import (
    DEFAULT_CONNECTION,
    DEFAULT_OUTPUT,
    ChangeOptions,
    ConnectionOptions,
    OutputOptions,
)
from cassialever.tool.running import report_outcome, run_command, submit_options
from cassialever.types import AdminState, DataCentreId, TargetId

data_centre_app = cyclopts.App(
    name='data-centre',
    help='Take a data centre out of service or return it.',
)
target_app = cyclopts.App(
    name='target',
    help='Drain a target or return it to service.',
)


def check(file: pathlib.Path, *, output: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check a catalogue file and list all its faults.

    Parameters
    ----------
    file
        A catalogue in JSON with comments.
    """
    with Console(stderr=True).status('Checking'):
        check_result = catalogue_commands.check(file)
    return report_outcome(check_result, output)


def show(
    *,
    version: int | None = None,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Show the current catalogue or an earlier version.

    Parameters
    ----------
    version
        The version to show; the current one by default.
    """
    return run_command(
        connection,
        'Reading the catalogue',
        lambda context: catalogue_commands.show(context, version),
    )


def diff(
    file: pathlib.Path, *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> int:
    """Show what applying a file would change.

    Parameters
    ----------
    file
        A catalogue in JSON with comments.
    """
    return run_command(
        connection,
        'Comparing',
        lambda context: catalogue_commands.diff_file(context, file),
    )


def compare(
    old: int,
    new: int | None = None,
    *,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Show the differences between two versions.

    Parameters
    ----------
    old
        The earlier version.
    new
        The later version; the current one by default.
    """
    return run_command(
        connection,
        'Comparing',
        lambda context: catalogue_commands.diff_versions(context, old, new),
    )


def apply(file: pathlib.Path, *, base: int = 0, options: ChangeOptions) -> int:
    """Apply a file as the next version of the catalogue.

    Parameters
    ----------
    file
        A catalogue in JSON with comments.
    base
        The version that the file is based on, if the file has none.
    """
    return run_command(
        options,
        'Applying',
        lambda context: catalogue_commands.apply_file(
            context,
            file,
            base,
            submit_options(options),
        ),
    )


def history(
    *, limit: int = 20, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> int:
    """Show the latest changes, newest first.

    Parameters
    ----------
    limit
        Maximum number of changes to show.
    """
    return run_command(
        connection,
        'Reading the history',
        lambda context: catalogue_commands.history(context, limit),
    )


def revert(version: int, *, options: ChangeOptions) -> int:
    """Apply the content of an earlier version as the next version.

    Parameters
    ----------
    version
        The version to revert to.
    """
    return run_command(
        options,
        'Reverting',
        lambda context: catalogue_commands.revert(
            context,
            version,
            submit_options(options),
        ),
    )


@data_centre_app.command(name='out')
def take_out(name: str, *, options: ChangeOptions) -> int:
    """Take a data centre out of service, so that it gets no new work.

    Parameters
    ----------
    name
        The data centre's name in the catalogue.
    """
    edit = set_data_centre_state(DataCentreId(name), AdminState.out)
    return _edit(edit, options)


@data_centre_app.command(name='return')
def return_data_centre(name: str, *, options: ChangeOptions) -> int:
    """Return a data centre to service.

    Parameters
    ----------
    name
        The data centre's name in the catalogue.
    """
    edit = set_data_centre_state(DataCentreId(name), AdminState.in_service)
    return _edit(edit, options)


@target_app.command
def drain(name: str, *, options: ChangeOptions) -> int:
    """Send a target no new work and let its requests in progress finish.

    Parameters
    ----------
    name
        The target's name in the catalogue.
    """
    edit = set_target_state(TargetId(name), AdminState.out)
    return _edit(edit, options)


@target_app.command(name='return')
def return_target(name: str, *, options: ChangeOptions) -> int:
    """Return a target to service.

    Parameters
    ----------
    name
        The target's name in the catalogue.
    """
    edit = set_target_state(TargetId(name), AdminState.in_service)
    return _edit(edit, options)


def _edit(edit: Edit, options: ChangeOptions) -> int:
    return run_command(
        options,
        'Changing the catalogue',
        lambda context: catalogue_commands.make_edit(
            context,
            edit,
            submit_options(options),
        ),
    )


COMMANDS = (check, show, diff, compare, apply, history, revert)
