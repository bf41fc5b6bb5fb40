"""Seek a leader again and again, with pauses that grow while there is none.

The first pauses are short, since there usually is a leader soon. Later ones
grow with decorrelated jitter, so that the calls to the store are spread.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from cassialever.fleet.attempts import Hindrance
from cassialever.fleet.earlier_leaders import EarlierLeaders
from cassialever.fleet.election import (
    LEASE_WAIT_MARGIN,
    MAX_LEASE_WAIT,
    Election,
)
from cassialever.fleet.following_leader import (
    LEADER_TIMEOUT,
    LeaderLink,
    LinkEnd,
)
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.term_ends import SHORT_TERM
from cassialever.fleet.view import Leadership
from cassialever.interfaces import RandomSource
from cassialever.policy.candidacy import Candidacy
from cassialever.types import RowVersion, Seconds

#: The shortest pause, with up to as much jitter at first, so that one daemon
#: takes over before the others try.
SEEK_DELAY: Final[Seconds] = 0.1
#: Pauses that do not grow: about the time in which a lease becomes stale.
SHORT_PAUSES: Final = 6
#: Limit of a pause's growth to the next.
GROWTH: Final = 3
#: Longest pauses of a small and of a large fleet, and of one between them for
#: each daemon. One of many daemons soon tries, whatever the pause of each.
MIN_LONGEST_PAUSE: Final[Seconds] = 1.6
MAX_LONGEST_PAUSE: Final[Seconds] = 5.0
LONGEST_PAUSE_PER_DAEMON: Final[Seconds] = 0.03


#: Follows the daemon at an address, of an id, until the link ends; it may be
#: silent for a time at first.
Follow: TypeAlias = Callable[[str, str, Seconds | None], Awaitable[LinkEnd]]


class SeekPauses:
    """The pauses since this daemon last heard a leader or led itself."""

    def __init__(self, random_source: RandomSource) -> None:
        """Start with short pauses."""
        self._random = random_source
        self._count = 0
        self._last = SEEK_DELAY

    def restart(self) -> None:
        """Return to short pauses."""
        self._count = 0
        self._last = SEEK_DELAY

    def step(self) -> Seconds:
        """Return a short time, drawn at random."""
        return SEEK_DELAY * (1 + self._random.random())

    def draw(self, daemon_count: int) -> Seconds:
        """Return the next pause in a fleet of so many daemons."""
        self._count += 1
        if self._count <= SHORT_PAUSES:
            return self.step()
        longest = longest_pause(daemon_count)
        span = GROWTH * self._last - SEEK_DELAY
        self._last = min(longest, SEEK_DELAY + span * self._random.random())
        return self._last


class Seeking:
    """The attempts of a daemon to find a leader or to lead."""

    def __init__(
        self,
        election: Election,
        link: LeaderLink,
        random_source: RandomSource,
        stop_asked: asyncio.Event,
    ) -> None:
        """Start without an attempt; none is put off once a stop was asked."""
        self._election = election
        self._link = link
        self._stop_asked = stop_asked
        self._pauses = SeekPauses(random_source)
        self.earlier_leaders = EarlierLeaders(link, random_source)
        election.is_told = self.earlier_leaders.is_told
        election.ask_others = self.earlier_leaders.ask
        #: When there last was a leader, by the clock of the loop.
        self._leader_at: Seconds = -math.inf
        #: The term of the leader that was followed last, or could not be.
        self._followed_term: RowVersion | None = None

    async def run(
        self,
        seek_once: Callable[[], Awaitable[None]],
        daemon_count: Callable[[], int],
    ) -> None:
        """Make attempts until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            begun_at = loop.time()
            self._election.begin_pass()
            await seek_once()
            self._note_followed()
            if self._link.has_led_since(begun_at):
                self.note_leader()
            if self._link.has_led_since(begun_at + SHORT_TERM):
                self._election.deference.forget()
            await self._wait(self._draw(daemon_count()))

    def successor(self) -> Leadership | None:
        """Return a leader that was learnt and not followed yet.

        It takes no call to the store to find.
        """
        leader = self._link.view.leader
        if leader is None or self._stop_asked.is_set():
            return None
        is_own = leader[0].instance_id == self._link.own_hello.instance_id
        was_followed = self._link.address in ('', leader[0].address)
        if is_own or was_followed or leader[1] == self._followed_term:
            return None
        return leader[0]

    def may_lead(self, candidacy: Candidacy | None, now: Seconds) -> bool:
        """Return whether this daemon may try to lead now."""
        if candidacy is None:
            return True
        candidacy.leader_at = self._leader_at
        if candidacy.may_lead(now):
            return True
        self._election.note_failure(Hindrance.yielding)
        return False

    def note_leader(self) -> None:
        """Begin a new election, since there was a leader."""
        self.earlier_leaders.note_leader()
        self._leader_at = asyncio.get_running_loop().time()
        self._pauses.restart()
        self._election.note_leader()

    def _draw(self, daemon_count: int) -> Seconds:
        """Return how long to wait before the next attempt."""
        failed = self._election.failed
        is_yielding = failed and failed.hindrance is Hindrance.yielding
        if is_yielding or self._stop_asked.is_set():
            return self._pauses.step()
        pause = self._pauses.draw(daemon_count)
        # A lease that becomes stale is awaited.
        until_stale = self._election.opens_in - MAX_LEASE_WAIT / 2
        return max(min(pause, until_stale), self._pauses.step())

    def _note_followed(self) -> None:
        leader = self._link.view.leader
        if leader is not None and leader[0].address == self._link.address:
            self._followed_term = leader[1]

    async def _wait(self, pause: Seconds) -> None:
        """Wait in short steps, until there is a new leader or a stop."""
        loop = asyncio.get_running_loop()
        until = loop.time() + pause
        leader = self._link.view.leader
        while loop.time() < until and self._link.view.leader is leader:
            left = until - loop.time()
            await asyncio.sleep(min(left, self._pauses.step()))
            if self._stop_asked.is_set():
                return


async def lead_or_follow(
    election: Election,
    link: LeaderLink,
    delay: Seconds,
    follow: Follow,
    stop_asked: asyncio.Event,
) -> LeaderTerm | None:
    """Attempt to lead, or follow the daemon that has the lease.

    One that has missed a renewal and says nothing until its lease opens is not
    followed for longer: this daemon attempts to lead again.
    """
    leader_term = await election.run(delay)
    while leader_term is None and election.holder_id in link.addresses_by_id:
        begun_at = asyncio.get_running_loop().time()
        end = await follow(
            link.addresses_by_id[election.holder_id],
            election.holder_id,
            _patience(election),
        )
        is_heard = link.has_led_since(begun_at)
        is_silent = end is LinkEnd.timed_out and not is_heard
        if stop_asked.is_set() or not (is_silent and election.is_overdue):
            return None
        leader_term = await election.run(delay)
    return leader_term


def longest_pause(daemon_count: int) -> Seconds:
    """Return the longest pause in a fleet of so many daemons."""
    longest = daemon_count * LONGEST_PAUSE_PER_DAEMON
    return min(MAX_LONGEST_PAUSE, max(MIN_LONGEST_PAUSE, longest))


def _patience(election: Election) -> Seconds | None:
    """Return how long the lease's holder may say nothing; None as usual."""
    if not election.is_overdue:
        return None
    return min(election.opens_in + LEASE_WAIT_MARGIN, LEADER_TIMEOUT)
