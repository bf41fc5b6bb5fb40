"""The tool's commands that ask a daemon, and those on settings."""

import pathlib

import cyclopts

from cassialever.settings import decode_settings
from cassialever.tool.context import FileFaults, read_text
from cassialever.tool.daemon_commands import WatchOptions, watch_daemon
from cassialever.tool.options import (
    DEFAULT_CONNECTION,
    DEFAULT_EXPLAIN,
    DEFAULT_OUTPUT,
    ConnectionOptions,
    ExplainOptions,
    OutputOptions,
)
from cassialever.tool.running import report_outcome, run_command
from cassialever.tool.settings_view import show_settings

settings_app = cyclopts.App(name='settings', help='Look at settings.')


def status(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> int:
    """Show a daemon's state and what it knows of the fleet."""
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.status(),
    )


def owners(
    service: str,
    key: str,
    *,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Show which target owns a key.

    Parameters
    ----------
    service
        The service's name in the catalogue.
    key
        The key, such as a certificate's number.
    """
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.owner(service, key),
    )


def explain(
    *,
    options: ExplainOptions = DEFAULT_EXPLAIN,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Say why something happened, and which entry led to it."""
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.explain(options.question()),
    )


def watch(
    *,
    interval: float = 1,
    count: int = 0,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Show a daemon's state each time that it changes.

    Parameters
    ----------
    interval
        Seconds between two looks.
    count
        How many times to look; 0 goes on until interrupted.
    """
    options = WatchOptions(interval, count, connection.json)
    return run_command(
        connection,
        '',
        lambda context: watch_daemon(context, options),
    )


def dump(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> int:
    """Print a daemon's inner state for debugging; no secret is in it."""
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.dump(),
    )


@settings_app.command(name='show')
def show_settings_file(
    file: pathlib.Path, *, output: OutputOptions = DEFAULT_OUTPUT
) -> int:
    """Show the values in force and where each came from.

    Parameters
    ----------
    file
        A daemon's settings file.
    """
    return report_outcome(_settings_of(file), output)


def _settings_of(file: pathlib.Path) -> object:
    text = read_text(file)
    if isinstance(text, FileFaults):
        return text
    decoding = decode_settings(text)
    if isinstance(decoding, list):
        return FileFaults(str(file), tuple(decoding))
    return show_settings(str(file), decoding)


COMMANDS = (status, owners, explain, watch, dump)
