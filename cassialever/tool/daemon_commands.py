"""The `watch` command, which polls a daemon."""

import asyncio

import msgspec
from rich.console import Console

from cassialever.errors import Failure
from cassialever.operators.view import Status
from cassialever.tool.context import CommandContext
from cassialever.tool.output import print_result


class WatchOptions(msgspec.Struct, frozen=True):
    """Poll interval in seconds and number of polls; 0 is unlimited."""

    interval: float
    count: int
    as_json: bool


class WatchResult(msgspec.Struct, frozen=True):
    """How many times a watch polled the daemon."""

    looks: int


async def watch_daemon(
    context: CommandContext, options: WatchOptions
) -> WatchResult | Failure:
    """Print the daemon's status each time it changes."""
    console = Console(markup=False)
    shown: Status | None = None
    polls = 0
    while True:
        status = await context.daemon.status()
        if isinstance(status, Failure):
            return status
        polls += 1
        if _without_load_counts(status) != shown:
            print_result(status, console, options.as_json)
            shown = _without_load_counts(status)
        if polls == options.count:
            return WatchResult(polls)
        await asyncio.sleep(options.interval)


def _without_load_counts(status: Status) -> Status:
    """Zero the request counts, which differ at almost every poll."""
    targets = [
        msgspec.structs.replace(target, in_flight=0, in_flight_elsewhere=0)
        for target in status.targets
    ]
    return msgspec.structs.replace(
        status,
        in_progress=0,
        targets=tuple(targets),
    )
