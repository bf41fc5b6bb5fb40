"""Command-line definitions of the platform commands."""

import asyncio
import pathlib
import sys
from collections.abc import Iterable, Iterator

import cyclopts

from cassialever.tool.context import FileFaults, read_text
from cassialever.tool.options import DEFAULT_OUTPUT, OutputOptions
from cassialever.tool.platform_state import read_platform
from cassialever.tool.request_timeline import build_timeline, read_lines
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
    texts: list[Iterable[str]] = []
    for path in logs:
        text = read_text(path)
        if isinstance(text, FileFaults):
            return report_outcome(text, output)
        texts.append(text.splitlines())
    return report_outcome(
        build_timeline(read_lines(_chain_lines(texts)), request_id), output
    )


def _chain_lines(texts: list[Iterable[str]]) -> Iterator[str]:
    for text in texts or [sys.stdin]:
        yield from text
