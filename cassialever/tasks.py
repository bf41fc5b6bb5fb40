"""Background tasks that log their failures."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from cassialever.events import Event, record


class BackgroundTasks:
    """Background tasks that are cancelled together."""

    def __init__(
        self,
        on_failure: Callable[[BaseException], None] | None = None,
    ) -> None:
        """Start without tasks; `on_failure` gets the error of a failed one."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task; its failure is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def stop(self) -> None:
        """Cancel every task that is still running."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = failure_of(task)
        if error is None:
            return
        record(Event.task_failed, reason=repr(error))
        if self._on_failure is not None:
            self._on_failure(error)


def failure_of(task: asyncio.Task[None]) -> BaseException | None:
    """Return what a task has failed by; None for one that was cancelled.

    A task also ends as cancelled, without a request, if something that it
    awaits is cancelled.
    """
    if not task.cancelled():
        return task.exception()
    return None if task.cancelling() else asyncio.CancelledError()


async def log_failure(step: str, work: Awaitable[None]) -> None:
    """Await a step of a stop; log its failure, so that the rest is done."""
    try:
        await work
    except Exception as error:
        record(Event.stop_failed, step=step, reason=repr(error))
