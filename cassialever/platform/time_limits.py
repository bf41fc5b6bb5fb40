"""Time limits of what a late event loop may find in time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

from cassialever.types import Seconds

#: Part of a limit in which a daemon reads what has arrived. If its loop is
#: late, it finds an answer only when the rest of that time is over.
READ_TIME: Final[Seconds] = 0.05


@contextlib.asynccontextmanager
async def time_limit(limit: Seconds) -> AsyncIterator[None]:
    """Raise TimeoutError at a limit, the last READ_TIME counted in the loop.

    Its first part may be over when a late loop runs again.
    """
    loop = asyncio.get_running_loop()
    read_time = min(READ_TIME, limit)
    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(
            limit - read_time,
            lambda: timeout.reschedule(loop.time() + read_time),
        )
        try:
            yield
        finally:
            timer.cancel()
