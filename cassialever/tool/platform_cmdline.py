"""Command-line definitions of the platform commands."""

import asyncio
import pathlib
import sys
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Annotated

import cyclopts

from cassialever.tool.context import FileFaults, read_text
from cassialever.tool.key_history import Period, build_history
from cassialever.tool.log_lines import EventLine, read_lines
from cassialever.tool.options import DEFAULT_OUTPUT, OutputOptions
from cassialever.tool.platform_state import read_platform
from cassialever.tool.request_timeline import build_timeline
from cassialever.tool.running import report_outcome

platform_app = cyclopts.App(
    name='platform',
    help="Inspect a deployment on the users' platform.",
)


@platform_app.command(name='show')
def show_platform(store: str, *, output: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Show the configuration, targets and key owners in the store.

    Parameters
    ----------
    store
        The store's IP address and port.
    """
    return report_outcome(asyncio.run(read_platform(store)), output)


@platform_app.command(name='explain')
def explain_from_logs(
    request_id: str,
    *logs: pathlib.Path,
    output: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Show from daemons' logs what happened to a request, and why.

    Parameters
    ----------
    request_id
        The id that the caller sent with the request.
    logs
        Log files of any number of daemons; standard input by default.
    """
    lines = _read_logs(logs)
    if isinstance(lines, FileFaults):
        return report_outcome(lines, output)
    return report_outcome(build_timeline(lines, request_id), output)


@platform_app.command(name='explain-key')
def explain_key_from_logs(
    service: str,
    key: int,
    *logs: pathlib.Path,
    since: Annotated[float | None, cyclopts.Parameter(name='--from')] = None,
    until: Annotated[float | None, cyclopts.Parameter(name='--to')] = None,
    output: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Show from daemons' logs which targets had a key, and why it moved.

    Parameters
    ----------
    service
        The service's name.
    key
        The number of the key.
    logs
        Log files of any number of daemons; standard input by default.
    since
        Leave out what was earlier, in seconds like the field `time` of lines.
    until
        Leave out what was later, in the same way.
    """
    lines = _read_logs(logs)
    if isinstance(lines, FileFaults):
        return report_outcome(lines, output)
    return report_outcome(
        build_history(lines, service, key, Period(since, until)), output
    )


def _read_logs(
    logs: tuple[pathlib.Path, ...],
) -> Iterator[EventLine | None] | FileFaults:
    """Return the lines of log files, or of standard input without any."""
    texts: list[Iterable[str]] = []
    for path in logs:
        text = read_text(path)
        if isinstance(text, FileFaults):
            return text
        texts.append(text.splitlines())
    return read_lines(chain.from_iterable(texts or [sys.stdin]))
