"""Have other daemons confirm the tables of one that can't do so itself.

A daemon that the store refuses and that no leader relays changes to asks
others, whether or not they lead: one whose tables were complete a short time
ago sends what is lacking, and the age of its tables.
"""

import asyncio
import contextlib
import math
from typing import Final

from cassialever.fleet.asking import ask_in_turn, draw
from cassialever.fleet.following_leader import MAX_TABLES_AGE
from cassialever.fleet.membership import (
    Membership,
    MemberState,
    addresses_to_ask,
)
from cassialever.fleet.readers import MAX_READERS, Readers
from cassialever.fleet.relay import LeaderAges
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.policy.freshness import MAX_UNCONFIRMED_AGE
from cassialever.types import RowVersion, Seconds

#: Age of the tables above which other daemons are asked for theirs.
LOOK_AGE: Final[Seconds] = MAX_TABLES_AGE
#: Time between two checks of that age.
CHECK_INTERVAL: Final[Seconds] = 0.1
#: Time between two looks, with up to as much jitter.
LOOK_INTERVAL: Final[Seconds] = 0.4
#: Time between two questions for the age after which this process has stood
#: still: its reports ask for it many times a second.
MIN_STANDSTILL: Final[Seconds] = 1.0
#: The age for a daemon that others spare reading the store.
SPARED_LOOK_AGE: Final[Seconds] = 1.25
#: The time where few daemons read the store: they are to be found in time once
#: they have read it.
READERS_LOOK_INTERVAL: Final[Seconds] = 0.1


class TablesConfirmation:
    """When this daemon's tables were last known to be complete.

    Times are of a clock that runs on while the machine is suspended.
    """

    def __init__(
        self,
        view: FleetView,
        membership: Membership,
        random_source: RandomSource,
    ) -> None:
        """Start without a confirmation."""
        self._view = view
        self._membership = membership
        self._random = random_source
        self._readers = Readers(
            membership.link.own_hello.instance_id,
            lambda: membership.shared_peers.askable(
                is_leading=membership.state is MemberState.leading
            ),
        )
        self._clock = view.targets.clock
        self._complete_at: Seconds = -math.inf
        self._unconfirmed_since: Seconds = math.inf
        #: When the age was last asked for.
        self._asked_at: Seconds = -math.inf
        #: When the last look began that found no tables that are new enough.
        self._missed_at: Seconds = -math.inf
        self._is_urgent = asyncio.Event()

    def age(self) -> Seconds:
        """Return the time since the tables were last known to be complete.

        That others could not confirm them before this process stood still
        tells nothing of the time after it.
        """
        now = self._clock.boot()
        has_stood_still = now - self._asked_at > MIN_STANDSTILL
        self._asked_at = now
        complete_at = now - self._membership.tables_age()
        self._complete_at = max(self._complete_at, complete_at)
        age = now - self._complete_at
        if age <= MAX_UNCONFIRMED_AGE:
            self._unconfirmed_since = math.inf
        elif has_stood_still or self._unconfirmed_since == math.inf:
            self._unconfirmed_since = now
            self._is_urgent.set()
        return age

    def unconfirmed_for(self) -> Seconds:
        """Return for how long the age has been too high, at the last look."""
        return max(self._clock.boot() - self._unconfirmed_since, 0)

    def is_looking(self) -> bool:
        """Return whether no look has ended since the age became too high."""
        return self._missed_at < self._unconfirmed_since < math.inf

    def ages(self) -> LeaderAges:
        """Return what this daemon says of the age of its tables."""
        return LeaderAges(math.inf, self.age(), self._clock.boot())

    async def run(self) -> None:
        """Look whenever the tables are too old, until cancelled."""
        while True:
            pause = CHECK_INTERVAL
            age = self.age()
            # What was urgent may be over: a wait for it would not wait.
            self._is_urgent.clear()
            if age > self._look_age():
                await self._look()
                pause = self._look_interval() * (1 + self._random.random())
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(pause):
                    await self._is_urgent.wait()

    def _look_age(self) -> Seconds:
        """Return the age above which other daemons are asked for tables."""
        is_relaying = self._membership.link.is_relaying()
        if not is_relaying and self._readers.is_spared(self.age()):
            return SPARED_LOOK_AGE
        return LOOK_AGE

    def _look_interval(self) -> Seconds:
        """Return the least time until the next look."""
        is_in_time = self.age() <= MAX_UNCONFIRMED_AGE
        if is_in_time and self._readers.are_few():
            return READERS_LOOK_INTERVAL
        return LOOK_INTERVAL

    def _addresses(self) -> list[str]:
        """Return the daemons to ask: those that read the store, in time.

        The store may refuse most of them.
        """
        age = self.age()
        if age > MAX_UNCONFIRMED_AGE or not self._readers.are_few():
            return draw(addresses_to_ask(self._membership), self._random)
        readers = self._readers.addresses(age)
        return draw(readers, self._random, MAX_READERS)

    async def _look(self) -> None:
        """Ask some daemons for their tables until one has new ones."""
        began_at = self._clock.boot()
        addresses = self._addresses()
        if not await ask_in_turn(self._ask, addresses):
            self._missed_at = began_at

    async def _ask(self, address: str) -> bool:
        """Return whether a daemon has sent tables that are new enough."""
        known = self._view.rows.version_by_table
        asked = {
            table: known.get(table, RowVersion(0))
            for table in self._view.tables
        }
        asked_at = self._clock.boot()
        pulse = await self._membership.link.read_once(address, asked)
        if pulse is None or not pulse.sent_at:
            # It has ended, or is of a build that doesn't report its own age.
            return False
        # A negative age would be one of a later moment.
        complete_at = asked_at - max(pulse.tables_age, 0)
        self._complete_at = max(self._complete_at, complete_at)
        return pulse.tables_age <= LOOK_AGE
