"""Break off calls that are under way."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

ResultT = TypeVar('ResultT')


class BreakableCalls:
    """Calls that can be broken off together, as their time limits do."""

    def __init__(self) -> None:
        """Start without calls."""
        self._limits: set[asyncio.Timeout] = set()

    async def run(self, call: Awaitable[ResultT]) -> ResultT | None:
        """Return the result of a call; `None` if it was broken off."""
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                return await call
        except TimeoutError:
            if not limit.expired():
                raise
            return None
        finally:
            self._limits.discard(limit)

    def break_off(self) -> None:
        """Break off all calls that are under way."""
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)
        self._limits = set()
