"""The tool's commands on the users' platform."""

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
    help="Look at a deployment on the users' platform.",
)


@platform_app.command(name='show')
def show_platform(store: str, *, output: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Show what the platform's store has: configuration, targets, owners.

    Parameters
    ----------
    store
        The store's IP number and port.
    """
    return report_outcome(asyncio.run(read_platform(store)), output)


@platform_app.command(name='explain')
def explain_from_logs(
    request_id: str,
    *logs: pathlib.Path,
    output: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Tell from the daemons' logs what became of a request, and why.

    Parameters
    ----------
    request_id
        The request, by the id that its caller sent.
    logs
        Files with the lines of any number of daemons; standard input where
        none is given.
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
