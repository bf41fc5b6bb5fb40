"""Ask several daemons for the same, each while the ones before are silent."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from cassialever.interfaces import RandomSource
from cassialever.types import Seconds

#: Most daemons that are asked at a time.
MAX_ASKED: Final = 3
#: Time after which the next one is asked as well.
NEXT_DELAY: Final[Seconds] = 0.2
#: Time limit for the rows from another daemon.
PEER_TIMEOUT: Final[Seconds] = 1.0


async def ask_in_turn(
    ask: Callable[[str], Awaitable[bool]], addresses: Sequence[str]
) -> bool:
    """Ask the daemons at some addresses until one gives what is asked for.

    Return whether one did. The others are not waited for.
    """
    left = list(addresses)
    asked: set[asyncio.Task[bool]] = set()
    try:
        while left or asked:
            if left:
                asked.add(asyncio.create_task(_ask_in_time(ask, left.pop(0))))
            done, asked = await asyncio.wait(
                asked,
                timeout=NEXT_DELAY if left else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any([task.result() for task in done]):
                return True
    finally:
        for task in asked:
            task.cancel()
    return False


def draw(
    addresses: Sequence[str],
    random_source: RandomSource,
    count: int = MAX_ASKED,
) -> list[str]:
    """Return a few of the addresses, drawn at random."""
    left = list(addresses)
    drawn: list[str] = []
    while left and len(drawn) < count:
        drawn.append(left.pop(random_source.randrange(len(left))))
    return drawn


async def _ask_in_time(
    ask: Callable[[str], Awaitable[bool]], address: str
) -> bool:
    try:
        async with asyncio.timeout(PEER_TIMEOUT):
            return await ask(address)
    except TimeoutError:
        return False
