"""Find the leader and follow it, or take its place.

Each daemon is in one of three states. Seeking, it asks the store who leads;
following, it learns everything over its link to the leader; leading, it
follows the store itself and passes on what it learns. While no link is
there, a daemon follows the store directly.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from cassialever.clock import SystemClock
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.connecting import split_address
from cassialever.fleet.direct import DirectFollower
from cassialever.fleet.election import Election
from cassialever.fleet.following import StoreFollower
from cassialever.fleet.following_leader import (
    MAX_STORE_AGE,
    LeaderLink,
    LinkEnd,
)
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import (
    OWN_TABLE,
    FleetView,
    ignore_changes,
)
from cassialever.interfaces import RandomSource
from cassialever.platform.store import StoreClient
from cassialever.tasks import Tasks
from cassialever.types import Seconds

#: Pause before the leader is looked for again; spread by as much again, so
#: that one daemon takes over before the others try.
SEEK_DELAY: Final[Seconds] = 0.1
#: A leader that has not heard the store for this long is replaced by a
#: daemon that does; its lease is stale by then.
CUT_OFF_TIMEOUT: Final[Seconds] = 2.0
#: How long a daemon with the thinnest link leaves leading to others; they
#: need two calls to the store meanwhile.
MAX_ELECTION_DELAY: Final[Seconds] = 0.4
#: A link up to which that is so, in Mbit/s; the tables of 100 targets and a
#: thousand routes take it 0.2 s for each follower.
SLOW_LINK_MBPS: Final = 20.0
#: How often a daemon with a thin link steps in for a leader that is cut off,
#: as a share of how often another one does; there may be no other, so that
#: this holds for as long again as a leader is waited for.
SLOW_LINK_SHARE: Final = 0.02
#: Time in which a leader that has gone is usually replaced, once its silence
#: was noticed; the store is followed directly from then on. With the silence
#: before it, this is within the 2.5 s for changes of the configuration.
FALLBACK_DELAY: Final[Seconds] = 0.6
#: Time between two looks at whether the link still tells of the store.
WATCH_INTERVAL: Final[Seconds] = 0.2


class MemberState(enum.Enum):
    """What a daemon is in the fleet just now."""

    seeking = 'seeking'
    following = 'following'
    leading = 'leading'


class Membership:
    """This daemon's place in the fleet."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        relay: Relay,
        link: LeaderLink,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        """Take the store, the view, the relay and the link to a leader."""
        self._store = store
        self._view = view
        self._relay = relay
        self._own = link.own_hello
        self._random = random_source
        #: Addresses of daemons that may know more; some may be gone.
        self.seeds: tuple[str, ...] = ()
        self.link = link
        self._election = Election(store, view, link.own_hello, clock)
        #: Wait before this daemon tries to lead; see `election_delay`.
        self.election_delay: Seconds = 0
        self.state = MemberState.seeking
        self.leader_term: LeaderTerm | None = None
        #: Runs the work of a leader until it is cancelled.
        self.run_leader: Callable[[LeaderTerm], Awaitable[None]] = (
            _no_leader_work
        )
        self._direct_follower = DirectFollower(store, view, random_source)
        self._is_stopping = False
        self._background = Tasks()

    @property
    def daemon_count(self) -> int:
        """Return how many daemons are taken to be alive."""
        return max(len(self.peers()), 1)

    def peers(self) -> dict[str, str]:
        """Return the addresses of all daemons that are taken to be alive."""
        if self.state is MemberState.leading:
            return self._relay.members()
        return self.link.addresses_by_id

    def is_store_reachable(self) -> bool:
        """Tell whether the store is heard, here or by the leader."""
        if self.leader_term is not None:
            return self.leader_term.store_age() < MAX_STORE_AGE
        if self._direct_follower.is_running:
            return self._direct_follower.is_store_reachable()
        return self.link.is_open and self.link.store_age < MAX_STORE_AGE

    async def run(self) -> None:
        """Seek, follow and lead until cancelled."""
        watching = asyncio.create_task(self._watch_store())
        try:
            while True:
                await self._seek_once()
                await asyncio.sleep(SEEK_DELAY * (1 + self._random.random()))
        finally:
            watching.cancel()
            self._direct_follower.stop()

    async def resign(self) -> None:
        """Give up leading, so that another daemon takes over at once."""
        self._is_stopping = True
        if self.leader_term is not None:
            await self.leader_term.resign()
            self._relay.disconnect_followers()

    async def _seek_once(self) -> None:
        """Look for the leader once, and follow or replace it."""
        found = await self._store.read_all(OWN_TABLE)
        if isinstance(found, Failure):
            await self._ask_peers()
            return
        self._view.replace(OWN_TABLE, found.rows, found.version)
        leader = self._view.leader
        if leader is None:
            await self._try_to_lead()
            return
        if leader[0].instance_id != self._own.instance_id:
            end = await self._follow(leader[0].address)
            record(
                Event.leader_silent,
                leader=leader[0].instance_id,
                reason=end.value,
            )
            if self.link.leader_address not in ('', leader[0].address):
                # The other side knows of a newer leader.
                return
        await self._try_to_lead()

    async def _follow(self, address: str) -> LinkEnd:
        """Follow a leader until the link ends."""
        self.state = MemberState.following
        try:
            return await self.link.follow(address)
        finally:
            self.state = MemberState.seeking
            self._direct_follower.start(FALLBACK_DELAY)

    async def _ask_peers(self) -> None:
        """Learn from other daemons while the store can't be reached."""
        known = set(self.link.addresses_by_id.values())
        known.update(seed_addresses(self.seeds, self._own.address))
        known.discard(self._own.address)
        leader = self._view.leader
        first = [leader[0].address] if leader else []
        for address in (*first, *sorted(known)):
            end = await self._follow(address)
            if end is LinkEnd.not_leader and self.link.leader_address:
                await self._follow(self.link.leader_address)

    async def _try_to_lead(self) -> None:
        if self._is_stopping:
            return
        await asyncio.sleep(self.election_delay)
        leader_term = await self._election.attempt()
        if leader_term is None:
            # Without a leader before, the one that was faster is found next.
            if self._view.leader is not None:
                self._direct_follower.start()
            return
        await self._lead(leader_term)

    async def _lead(self, leader_term: LeaderTerm) -> None:
        """Lead until deposed."""
        if self.link.address:
            self._background.start(
                self.link.notify_deposed(self.link.address, leader_term.term),
            )
        self._direct_follower.stop()
        self.state = MemberState.leading
        self.leader_term = leader_term
        self._relay.is_leader = True
        self._relay.store_age = leader_term.store_age
        self._relay.on_hello = leader_term.note_follower
        self._relay.on_deposed = leader_term.depose_if_later
        follower = StoreFollower(
            self._store,
            self._view,
            self._random,
            self._view.tables_of_other_writers,
        )
        self._view.on_change = self._relay.relay_changes
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._relay.send_heartbeats()),
            asyncio.ensure_future(self.run_leader(leader_term)),
        ]
        keeping = asyncio.create_task(leader_term.keep_lease())
        try:
            await _first_of(keeping, tasks)
        finally:
            self._stop_leading([keeping, *tasks])

    def _stop_leading(self, tasks: Sequence[asyncio.Future[None]]) -> None:
        for task in tasks:
            task.cancel()
        self._view.on_change = ignore_changes
        self._relay.disconnect_followers()
        self.leader_term = None
        self.state = MemberState.seeking
        record(Event.leader_lost)

    async def _watch_store(self) -> None:
        """Follow the store directly where the leader does not hear it."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            is_relayed = (
                self.link.is_open and self.link.store_age < MAX_STORE_AGE
            )
            if is_relayed or self.state is MemberState.leading:
                self._direct_follower.stop_for_leader()
            elif self.link.is_open:
                self._direct_follower.start()
                self._leave_cut_off_leader()

    def _has_slow_link(self) -> bool:
        return self.election_delay > MAX_ELECTION_DELAY / 2

    def _leave_cut_off_leader(self) -> None:
        """Leave a leader that does not hear the store for another one.

        One daemon at a time tries to replace it, drawn at random.
        """
        leader = self._view.leader
        has_successor = leader and leader[0].address != self.link.address
        is_within_grace = self.link.store_age < 2 * CUT_OFF_TIMEOUT
        share = 1.0
        if is_within_grace and self._has_slow_link():
            share = SLOW_LINK_SHARE
        is_drawn = self._random.random() * len(self.peers()) < share
        is_cut_off = self.link.store_age > CUT_OFF_TIMEOUT
        if has_successor or (is_drawn and is_cut_off):
            self.link.disconnect()


async def _first_of(
    keeping: asyncio.Task[None],
    tasks: Sequence[asyncio.Future[None]],
) -> None:
    """Return when the term is over; raise what a leader's task raised."""
    done, _ = await asyncio.wait(
        (keeping, *tasks),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in done:
        task.result()
    await keeping


async def _no_leader_work(_: LeaderTerm) -> None:
    """Stand in until the leader's work is known."""


def election_delay(link_mbps: float) -> Seconds:
    """Return how long a daemon leaves leading to others.

    A leader brings all followers up to date over its link and gives all
    grants: on machines that differ, one with a thin link waits for the
    others. 0 stands for a link that is not known.
    """
    if not link_mbps:
        return 0
    return MAX_ELECTION_DELAY * min(1, SLOW_LINK_MBPS / link_mbps)


def seed_addresses(seeds: Sequence[str], own_address: str) -> list[str]:
    """Return where the seeds listen for other daemons.

    Daemons listen for one another on the same port everywhere.
    """
    port = split_address(own_address)[1]
    hosts = [split_address(seed)[0] for seed in seeds]
    return [f'{host}:{port}' for host in hosts]
