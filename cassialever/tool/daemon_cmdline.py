"""Command-line definitions of the daemon and settings commands."""

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

settings_app = cyclopts.App(name='settings', help='Inspect settings.')


def status(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> int:
    """Show a daemon's state and its view of the fleet."""
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
        The key, such as a certificate number.
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
    """Explain recent decisions and the entries that led to them."""
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.explain(options.query()),
    )


def watch(
    *,
    interval: float = 1,
    count: int = 0,
    connection: ConnectionOptions = DEFAULT_CONNECTION,
) -> int:
    """Show a daemon's state each time it changes.

    Parameters
    ----------
    interval
        Poll interval in seconds.
    count
        Number of polls; 0 polls until interrupted.
    """
    options = WatchOptions(interval, count, connection.json)
    return run_command(
        connection,
        '',
        lambda context: watch_daemon(context, options),
    )


def dump(*, connection: ConnectionOptions = DEFAULT_CONNECTION) -> int:
    """Print a daemon's internal state for debugging, without secrets."""
    return run_command(
        connection,
        'Asking the daemon',
        lambda context: context.daemon.dump(),
    )


@settings_app.command(name='show')
def show_settings_file(
    file: pathlib.Path, *, output: OutputOptions = DEFAULT_OUTPUT
) -> int:
    """Show the effective settings and the source of each value.

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
