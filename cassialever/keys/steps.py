"""Advance assignments as soon as a call or a write has ended."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds

#: Delay of a step, so that calls which end together share one write.
STEP_DELAY: Final[Seconds] = 0.01


class Steps:
    """Runs the next step of all assignments when work has ended."""

    def __init__(
        self, tasks: BackgroundTasks, step: Callable[[], None]
    ) -> None:
        """Run `step` in the given tasks."""
        self._tasks = tasks
        self._step = step
        self._is_due = False

    def start_after(self, work: Coroutine[Any, Any, None]) -> None:
        """Start work, and run a step when it has ended."""
        self._tasks.start(self._run_after(work))

    def start(self) -> None:
        """Run a step soon, unless one is due."""
        if not self._is_due:
            self._is_due = True
            self._tasks.start(self._run())

    async def _run_after(self, work: Coroutine[Any, Any, None]) -> None:
        await work
        self.start()

    async def _run(self) -> None:
        await asyncio.sleep(STEP_DELAY)
        self._is_due = False
        self._step()
