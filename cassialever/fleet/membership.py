"""Find the leader and follow it, or become the leader.

A daemon is in one of three states. While seeking, it asks the store who the
leader is. While following, it receives all changes over its link to the
leader. While leading, it follows the store itself and relays the changes to
its followers. A daemon without a working link follows the store directly.
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
    MAX_TABLES_AGE,
    LeaderLink,
    LinkEnd,
)
from cassialever.fleet.leader_contact import LeaderContact
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.peers import SharedPeers
from cassialever.fleet.readers import Readers
from cassialever.fleet.relay import LeaderAges, Relay
from cassialever.fleet.seeking import Seeking, lead_or_follow
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import (
    OWN_TABLE,
    FleetView,
    ignore_changes,
)
from cassialever.interfaces import RandomSource
from cassialever.platform.rows import Rows
from cassialever.platform.store import CALL_TIMEOUT, StoreClient
from cassialever.policy.candidacy import Candidacy
from cassialever.tasks import BackgroundTasks
from cassialever.types import Seconds

#: A leader that has not heard from the store for this long is replaced by a
#: daemon that has; its lease is stale by then.
CUT_OFF_TIMEOUT: Final[Seconds] = 2.0
#: Delay of a candidate with the slowest link, in which other daemons can take
#: over; that takes them two calls to the store.
MAX_ELECTION_DELAY: Final[Seconds] = 0.4
#: Links up to this bandwidth get the maximum delay; sending the tables of 100
#: targets and a thousand routes takes such a link 0.2 s for each follower.
SLOW_LINK_MBPS: Final = 20.0
#: How often a daemon with a slow link tries to replace a cut-off leader, as
#: a share of how often others try.
SLOW_LINK_SHARE: Final = 0.02
#: Time in which daemons become twice as likely to try to replace a cut-off
#: leader. How many can is not known: most may have slow links, or be cut off
#: from the store too.
REPLACEMENT_DOUBLING_TIME: Final[Seconds] = 0.2
#: Doublings after which every daemon of a large fleet of slow links tries.
MAX_REPLACEMENT_DOUBLINGS: Final = 20
#: Time from detecting the loss of a leader until there usually is a new one;
#: after it the store is followed directly, and sooner if the tables are older
#: than MAX_TABLES_AGE before.
FALLBACK_DELAY: Final[Seconds] = 0.6
#: Time limit for resigning: a call to the store that is in progress, then one
#: of its own, each of which ends after at most CALL_TIMEOUT.
RESIGN_TIMEOUT: Final[Seconds] = 2 * CALL_TIMEOUT
#: Age of the store's last answer up to which a leader hands over: two renewals
#: of the lease and a slow answer.
MAX_STORE_AGE_FOR_HANDOVER: Final[Seconds] = 1.2
#: Daemons that one without the store asks for the leader in a pass. Most of
#: them follow it if there is one.
MAX_PEERS_ASKED: Final = 3
#: Daemons that one which stops asks for the leader at a time; few, as each
#: connection loads its link.
MAX_PEERS_ASKED_IN_STOP: Final = 2
#: Time between two reads of the leader's row in a stop, by a daemon that knows
#: no other one.
LEADER_READ_INTERVAL: Final[Seconds] = 1.0
#: Time between checks whether the link still relays the store's changes.
WATCH_INTERVAL: Final[Seconds] = 0.2


class MemberState(enum.Enum):
    """The role of a daemon in the fleet."""

    seeking = 'seeking'
    following = 'following'
    leading = 'leading'


class Membership:
    """This daemon's role in the fleet and what it does in it."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        relay: Relay,
        link: LeaderLink,
        clock: SystemClock,
        random_source: RandomSource,
    ) -> None:
        """Start seeking a leader once `run` is called."""
        self._store = store
        self._view = view
        self._relay = relay
        self._own_hello = link.own_hello
        self._random = random_source
        #: Addresses of daemons to ask for the leader; some may be gone.
        self.seeds: tuple[str, ...] = ()
        self.link = link
        self.shared_peers = SharedPeers(relay, link)
        self._election = Election(store, view, link.own_hello, clock)
        #: Delay before this daemon tries to lead; see `election_delay`.
        self.election_delay: Seconds = 0
        #: Tells whether this daemon reaches the targets, as a leader must.
        self.candidacy: Candidacy | None = None
        self._clock = clock
        self.state = MemberState.seeking
        self.leader_term: LeaderTerm | None = None
        #: Runs a leader's work until cancelled.
        self.run_leader: Callable[[LeaderTerm], Awaitable[None]] = (
            _no_leader_work
        )
        self._direct_follower = DirectFollower(store, view, random_source)
        readers = Readers(
            link.own_hello.instance_id,
            lambda: self.shared_peers.askable(is_leading=False),
        )
        self._direct_follower.is_spared = lambda: readers.is_spared(
            self.own_ages().tables_age
        )
        self.contact = LeaderContact(view, link, self._direct_follower, clock)
        self.contact.attempts = self._election.log
        self._stop_asked = asyncio.Event()
        self._leader_row = _LeaderRow(store, view, clock)
        self._seeking = Seeking(
            self._election, link, random_source, self._stop_asked
        )
        self._seeking.earlier_leaders.addresses = lambda: seeker_addresses(self)
        self._background = BackgroundTasks()
        #: Returns the ages that this daemon reports unless it leads.
        self.own_ages: Callable[[], LeaderAges] = LeaderAges
        relay.ages = lambda: self.own_ages()  # noqa: WPS506

    @property
    def daemon_count(self) -> int:
        """Return the number of daemons believed to be alive."""
        return max(len(self.peers()), 1)

    def peers(self) -> dict[str, str]:
        """Return the addresses of all daemons believed to be alive."""
        if self.state is MemberState.leading:
            return self._relay.members()
        return self.link.addresses_by_id

    def is_store_reachable(self) -> bool:
        """Return whether the store answers this daemon or its leader."""
        if self.leader_term is not None:
            return self.leader_term.store_age() < MAX_STORE_AGE
        if self._direct_follower.is_running:
            return self._direct_follower.is_store_reachable()
        return self.link.is_open and self.link.store_age < MAX_STORE_AGE

    def tables_age(self) -> Seconds:
        """Return the time since this daemon's tables were complete."""
        if self.state is MemberState.leading:
            return self._relay.ages().tables_age
        if self.link.is_relaying():
            return self.link.tables_age()
        return self._direct_follower.age()

    async def run(self) -> None:
        """Seek, follow and lead until cancelled."""
        tasks = [
            asyncio.create_task(self._watch_store()),
            asyncio.create_task(
                self._seeking.run(self._seek_once, lambda: self.daemon_count)
            ),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            _cancel(tasks)
            self._direct_follower.stop()

    async def resign(self) -> None:
        """Step down so that another daemon can take over at once.

        Takes at most `RESIGN_TIMEOUT`; the lease then lapses instead.
        """
        self._stop_asked.set()
        self.contact.is_stopping = True
        self._direct_follower.begin_nothing()
        if self.leader_term is None:
            return
        # The next leader is found through them.
        self.link.addresses_by_id = self.peers()
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT):
                await self.leader_term.resign()
        except TimeoutError:
            record(Event.resign_late, timeout=RESIGN_TIMEOUT)
        finally:
            self._relay.disconnect_followers()

    async def _seek_once(self) -> None:
        """Look for the leader once, then follow or replace it."""
        self.contact.begin_pass()
        successor = self._seeking.successor()
        if successor is not None:
            await self._follow(successor.address, successor.instance_id)
            return
        snapshot: Rows | Failure | None = None
        began_at = self._clock.boot()
        if not self._stop_asked.is_set():
            snapshot = await self._store.read_all(OWN_TABLE)
        if snapshot is None or isinstance(snapshot, Failure):
            # A stop needs no more than a leader that others know.
            await self._ask_peers()
            return
        self._view.replace(
            OWN_TABLE, snapshot.rows, snapshot.version, began_at=began_at
        )
        leader = self._view.leader
        own_id = self._own_hello.instance_id
        if leader is not None and leader[0].instance_id != own_id:
            await self._follow(leader[0].address, leader[0].instance_id)
            if self.link.farewell.leader_address not in ('', leader[0].address):
                # The peer knows of a newer leader.
                return
            if self._seeking.successor() is not None:
                return
        await self._try_to_lead()

    async def _follow(
        self,
        address: str,
        leader_id: str = '',
        patience: Seconds | None = None,
    ) -> LinkEnd:
        """Follow a daemon until the link ends; log the end of a leader's."""
        self.state = MemberState.following
        try:
            end = await self.link.follow(address, patience)
        finally:
            self.state = MemberState.seeking
            self._direct_follower.start(
                'no link to a leader', _delay_without(self.link)
            )
        if leader_id:
            self.contact.note_silence(leader_id, end)
        return end

    async def _ask_peers(self) -> None:
        """Look for the leader through other daemons, without the store."""
        addresses = set(self.link.addresses_by_id.values())
        own = self._own_hello.address
        addresses.update(seed_addresses(self.seeds, own))
        addresses.discard(own)
        count = MAX_PEERS_ASKED
        if self._stop_asked.is_set():
            count = MAX_PEERS_ASKED_IN_STOP
        others = _draw_few(sorted(addresses), count, self._random)
        leader = self._view.leader
        is_alone = leader and addresses <= {leader[0].address}
        if is_alone and self._stop_asked.is_set():
            await self._leader_row.read()
            leader = self._view.leader
        first = [leader[0].address] if leader else []
        await _ask_each(self._follow, self.link, [*first, *others])

    async def _try_to_lead(self) -> None:
        if self._stop_asked.is_set():
            return
        if not self._seeking.may_lead(self.candidacy, self._clock.monotonic()):
            self._direct_follower.start('no leader was found', FALLBACK_DELAY)
            return
        await asyncio.gather(
            asyncio.sleep(self.election_delay),
            self._seeking.earlier_leaders.ask(),
        )
        if self._stop_asked.is_set():
            return
        leader_term = await lead_or_follow(
            self._election,
            self.link,
            self.election_delay,
            self._follow,
            self._stop_asked,
        )
        if leader_term is None:
            if self._election.holder_id in self.link.addresses_by_id:
                # It was followed.
                return
            # In the first election of a fleet another daemon has usually won;
            # the next attempt to find the leader finds it.
            is_first = self._view.leader is None
            self._direct_follower.start(
                'no leader was found', FALLBACK_DELAY if is_first else 0
            )
            return
        if self._stop_asked.is_set():
            # The stop began while the lease was taken.
            try:
                await leader_term.resign()
            finally:
                self.contact.terms.note(leader_term.end(TermEnd.resigned))
            return
        await self._lead(leader_term)

    async def _lead(self, leader_term: LeaderTerm) -> None:
        """Lead until another daemon takes over or this one resigns."""
        if self.link.address:
            self._background.start(
                self.link.notify_deposed(self.link.address, leader_term.term),
            )
        self._direct_follower.stop()
        self.state = MemberState.leading
        self._seeking.note_leader()
        self.leader_term = leader_term
        self._relay.begin_term()
        self._relay.on_hello = leader_term.note_follower
        self._relay.on_deposed = leader_term.depose_if_later
        follower = StoreFollower(
            self._store,
            self._view,
            self._random,
            self._view.tables_of_other_writers,
            losses=leader_term.doubt.losses,
        )
        self._relay.ages = lambda: LeaderAges(
            leader_term.store_age(), follower.age(), self._clock.boot()
        )
        self._view.on_change = self._relay.relay_changes
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._relay.send_heartbeats()),
            asyncio.ensure_future(self.run_leader(leader_term)),
        ]
        lease_task = asyncio.create_task(leader_term.keep_lease())
        try:
            await _wait_for_term_end(leader_term, lease_task, tasks)
        finally:
            self._stop_leading(leader_term, [lease_task, *tasks])

    def _stop_leading(
        self, leader_term: LeaderTerm, tasks: Sequence[asyncio.Future[None]]
    ) -> None:
        _cancel(tasks)
        self._view.on_change = ignore_changes
        # The next leader is found through them.
        self.link.addresses_by_id = self.shared_peers.askable(is_leading=True)
        self._relay.ages = lambda: self.own_ages()  # noqa: WPS506
        self.link.complete_addresses_by_id = self.shared_peers.complete_peers()
        self._relay.disconnect_followers()
        self.leader_term = None
        self.state = MemberState.seeking
        # A call that is in progress must not use a later term's lease.
        ended = leader_term.end(TermEnd.failed)
        self.contact.terms.note(ended)
        self._election.deference.note_term(ended)

    async def _watch_store(self) -> None:
        """Follow the store directly while the leader is cut off from it."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            is_leading = self.state is MemberState.leading
            tables_age = self.own_ages().tables_age
            self.contact.watch(tables_age, is_leading=is_leading)
            await self._hand_over_if_cut_off()
            is_leading = self.state is MemberState.leading
            if is_leading or self.link.is_relaying():
                self._direct_follower.stop_for_leader()
            elif self.link.is_open and not self._stop_asked.is_set():
                self._direct_follower.start('the leader is late')
                self._leave_cut_off_leader()

    async def _hand_over_if_cut_off(self) -> None:
        """Resign as leader if others reach targets that this one misses.

        Without the store no other daemon could take over.
        """
        leader_term = self.leader_term
        if leader_term is None or self.candidacy is None:
            return
        if leader_term.store_age() > MAX_STORE_AGE_FOR_HANDOVER:
            return
        now = self._clock.monotonic()
        if not self.candidacy.should_hand_over(now):
            return
        # The leader before has just done so, too: what this one misses is not
        # the fault of its own paths, and no other may be better off.
        if self.contact.changes.short_count:
            if not self.candidacy.is_cut_off(now):
                return
        record(Event.leader_handed_over, term=leader_term.term)
        await leader_term.resign()
        # Meanwhile the term may have ended, and a later one begun.
        if self.leader_term is leader_term:
            self._relay.disconnect_followers()

    def _leave_cut_off_leader(self) -> None:
        """Disconnect from a leader that is cut off from the store.

        Each daemon that reaches the store draws at random whether to do so.
        """
        leader = self._view.leader
        has_successor = leader and leader[0].address != self.link.address
        share = replacement_share(self.link.store_age, self.election_delay)
        is_chosen = self._random.random() * len(self.peers()) < share
        if has_successor or (
            is_chosen and self._direct_follower.reaches(OWN_TABLE)
        ):
            self.link.disconnect()


class _LeaderRow:
    """The row that names the leader, for a daemon that knows no other one."""

    def __init__(
        self, store: StoreClient, view: FleetView, clock: SystemClock
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._next_read_at: Seconds = 0

    async def read(self) -> None:
        """Read the row into the view, unless it was read lately."""
        now = self._clock.monotonic()
        if now < self._next_read_at:
            return
        self._next_read_at = now + LEADER_READ_INTERVAL
        began_at = self._clock.boot()
        snapshot = await self._store.read_all(OWN_TABLE)
        if not isinstance(snapshot, Failure):
            self._view.replace(
                OWN_TABLE, snapshot.rows, snapshot.version, began_at=began_at
            )


def _cancel(tasks: Sequence[asyncio.Future[None]]) -> None:
    for task in tasks:
        task.cancel()


async def _wait_for_term_end(
    leader_term: LeaderTerm,
    lease_task: asyncio.Task[None],
    tasks: Sequence[asyncio.Future[None]],
) -> None:
    """Return at the end of the term, whose lease is released.

    Raise the error of a failed task.
    """
    try:
        done, _ = await asyncio.wait(
            (lease_task, *tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if all(task.exception() is None for task in done):
            await asyncio.wait((lease_task,))
    except asyncio.CancelledError:
        leader_term.end(TermEnd.aborted)
        raise
    leader_term.end(TermEnd.failed)
    await leader_term.release()
    for task in (*done, lease_task):
        if task.done():
            task.result()


def daemons_to_inform(membership: Membership) -> dict[str, str]:
    """Return the addresses of daemons that may be alive, by instance id."""
    return membership.shared_peers.informed(
        membership.peers(), is_leading=membership.state is MemberState.leading
    )


def addresses_to_ask(membership: Membership) -> list[str]:
    """Return where daemons may be that have newer tables, in order."""
    own = membership.link.own_hello.address
    peers = membership.shared_peers.askable(
        is_leading=membership.state is MemberState.leading
    )
    seeds = seed_addresses(membership.seeds, own)
    return sorted({*peers.values(), *seeds} - {own})


def seeker_addresses(membership: Membership) -> list[str]:
    """Return where daemons may be, with those that seek a leader here."""
    own = membership.link.own_hello.address
    sought = membership.shared_peers.askable(is_leading=True).values()
    return sorted({*addresses_to_ask(membership), *sought} - {own})


async def _ask_each(
    follow: Callable[[str], Awaitable[LinkEnd]],
    link: LeaderLink,
    addresses: Sequence[str],
) -> None:
    """Follow each daemon, or the leader that it names, but none twice."""
    tried = {link.own_hello.address}
    for address in addresses:
        if address in tried:
            continue
        tried.add(address)
        end = await follow(address)
        named = link.farewell.leader_address
        if end is LinkEnd.not_leader and named and named not in tried:
            tried.add(named)
            await follow(named)


def _draw_few(
    addresses: list[str], count: int, random_source: RandomSource
) -> list[str]:
    """Return a few of the addresses, drawn at random."""
    if not addresses:
        return []
    first = random_source.randrange(len(addresses))
    turned = [*addresses[first:], *addresses[:first]]
    return turned[:count]


async def _no_leader_work(_: LeaderTerm) -> None:
    """Do nothing; the default until `run_leader` is set."""


def fallback_delay(tables_age: Seconds) -> Seconds:
    """Return how long to look for a leader before reading the store.

    Tables that are too old by then are not waited with.
    """
    return max(0, min(FALLBACK_DELAY, MAX_TABLES_AGE - tables_age))


def _delay_without(link: LeaderLink) -> Seconds:
    """Return how long to wait for a leader after a link has ended.

    A daemon without a configuration serves no one, so it has nothing that
    could be too old.
    """
    if link.view.configuration is None:
        return FALLBACK_DELAY
    return fallback_delay(link.tables_age())


def replacement_share(store_age: Seconds, delay: Seconds) -> float:
    """Return how many daemons try to replace a cut-off leader at one check.

    It is their number if all reach the store and have the same election delay.
    """
    cut_off_for = store_age - CUT_OFF_TIMEOUT
    if cut_off_for <= 0:
        return 0
    doublings = cut_off_for / REPLACEMENT_DOUBLING_TIME
    share = 2 ** min(doublings, MAX_REPLACEMENT_DOUBLINGS)
    return share * SLOW_LINK_SHARE if delay > MAX_ELECTION_DELAY / 2 else share


def election_delay(link_mbps: float) -> Seconds:
    """Return how long a candidate waits before it tries to lead.

    A leader sends the tables to all followers and grants all keys, so on
    unequal machines those with slow links let the others go first. A
    bandwidth of 0 is unknown and causes no delay.
    """
    if not link_mbps:
        return 0
    return MAX_ELECTION_DELAY * min(1, SLOW_LINK_MBPS / link_mbps)


def seed_addresses(seeds: Sequence[str], own_address: str) -> list[str]:
    """Return the addresses at which the seeds accept other daemons.

    All daemons use the same port for that, so that the seeds' own tell nothing.
    """
    port = split_address(own_address)[1]
    hosts = [seed.rsplit(':', 1)[0] for seed in seeds]
    return [f'{host}:{port}' for host in hosts]
