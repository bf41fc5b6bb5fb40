"""Print the result of a command as tables or as JSON."""

import msgspec
from rich.console import Console

from cassialever.tool import (
    catalogue_rendering,
    daemon_rendering,
    platform_rendering,
)
from cassialever.tool.rendering import render

#: Importing these modules registers their renderers.
REGISTERED = (catalogue_rendering, daemon_rendering, platform_rendering)


def print_result(outcome: object, console: Console, as_json: bool) -> None:
    """Print a command's result."""
    if as_json:
        written = msgspec.json.format(msgspec.json.encode(outcome))
        console.out(written.decode(), highlight=False)
        return
    console.print(render(outcome), highlight=False, soft_wrap=True)
