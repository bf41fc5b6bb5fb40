"""Ask other daemons for what earlier leaders wrote.

The store may have lost it. A daemon that has had no leader since its start does
not know, and would go by what the store has.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Final

from cassialever.fleet.asking import draw
from cassialever.fleet.connecting import CONNECT_TIMEOUT
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.view import OWN_TABLE
from cassialever.interfaces import RandomSource
from cassialever.types import RowVersion, Seconds

#: Daemons that are asked, all at once, and for how long they are waited for.
MAX_ASKED: Final = 5
MAX_WAIT: Final[Seconds] = CONNECT_TIMEOUT


class EarlierLeaders:
    """Whether this daemon knows what others do of earlier leaders."""

    def __init__(self, link: LeaderLink, random_source: RandomSource) -> None:
        """Start without having been told."""
        self._link = link
        self._random = random_source
        self._is_told = False
        #: Returns the addresses of daemons, of which some may have ended.
        self.addresses: Callable[[], Iterable[str]] = list

    def is_told(self) -> bool:
        """Return whether another daemon has told, or this one has led."""
        return self._is_told or self._link.has_led_since(0)

    async def ask(self) -> None:
        """Ask some daemons, unless any has told before or this one has led.

        Without an answer the next attempt to lead asks again.
        """
        if self.is_told():
            return
        asked = draw(sorted(self.addresses()), self._random, MAX_ASKED)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT):
                await asyncio.gather(*map(self._ask_one, asked))

    def note_leader(self) -> None:
        """Note that this daemon has led, or followed a leader."""
        self._is_told = True

    async def _ask_one(self, address: str) -> None:
        # The store may have given the versions of lost rows to others, so that
        # all rows are asked for.
        told = await self._link.read_once(address, {OWN_TABLE: RowVersion(0)})
        self._is_told = self._is_told or told is not None
