"""Small helpers that belong to no one module."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from aiohttp import web

from cassialever.events import Event, record


async def one_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body that is already whole."""
    yield body


async def close_body(body: object) -> None:
    """Give up what is left of a body, if its kind allows it."""
    aclose = getattr(body, 'aclose', None)
    if aclose:
        await aclose()


class BackgroundTasks:
    """Tasks that nobody awaits, kept until they have ended."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def add(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a task; a failure of it is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def cancel(self) -> None:
        """Cancel those that have not ended."""
        for task in self._tasks:
            task.cancel()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            record(Event.task_failed, error=repr(task.exception()))


class ServerSite:
    """An aiohttp application or server, listening at one address."""

    def __init__(self, app: web.Application | web.Server) -> None:
        """Wrap an application; nothing listens yet."""
        self._app = app
        self._runner: web.BaseRunner | None = None

    async def start(self, address: str, port: int) -> str:
        """Listen at an IP address and return the base URL.

        Port 0 takes any free port.
        """
        runner = self._make_runner()
        await runner.setup()
        site = web.TCPSite(runner, address, port, backlog=1024)
        await site.start()
        self._runner = runner
        bound = runner.addresses[0]
        return f'http://{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is None:
            return
        await self._runner.cleanup()
        self._runner = None

    def _make_runner(self) -> web.BaseRunner:
        if isinstance(self._app, web.Application):
            return web.AppRunner(
                self._app,
                access_log=None,
                handler_cancellation=True,
            )
        return web.ServerRunner(self._app, access_log=None)
