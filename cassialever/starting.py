"""Start a daemon, which a stop request or a port that is held may end."""

import asyncio
import enum
from collections.abc import Coroutine
from typing import Any, Protocol

from cassialever.events import Event, record
from cassialever.exceptions import ListenError


class StartEnd(enum.Enum):
    """How the start of a daemon has ended."""

    started = 'started'
    stopped = 'stopped'
    failed = 'failed'


class Daemon(Protocol):
    """What is started, and closed if that fails."""

    async def start(self) -> None:
        """Start every part."""

    async def abort(self) -> None:
        """Close everything immediately."""


async def start_daemon(
    daemon: Daemon, stop_requested: asyncio.Event, instance_id: str
) -> StartEnd:
    """Start a daemon; unless it has started, all its parts are closed."""
    try:
        has_started = await _finishes_before(daemon.start(), stop_requested)
    except ListenError as error:
        await daemon.abort()
        record(Event.start_failed, reason=str(error))
        return StartEnd.failed
    except Exception:
        await daemon.abort()
        raise
    if has_started:
        return StartEnd.started
    await daemon.abort()
    record(Event.stopped, instance=instance_id)
    return StartEnd.stopped


async def _finishes_before(
    work: Coroutine[Any, Any, None], event: asyncio.Event
) -> bool:
    """Await work; cancel it and return false if the event comes first."""
    task = asyncio.create_task(work)
    waiting = asyncio.create_task(event.wait())
    await asyncio.wait((task, waiting), return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))
    if task.cancelled():
        return False
    # Raises what the work has raised.
    task.result()
    return True
