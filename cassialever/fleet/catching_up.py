"""Get what other daemons know of the store's tables and this one does not.

The newest versions are in the datagrams that daemons exchange. A daemon that
lacks one waits for its leader's copy for as long as that usually takes, then
asks a daemon that has it, which sends the changed rows only and compressed,
and then the store.
"""

import asyncio
import functools
from collections.abc import Callable, Mapping
from typing import Final

from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.fleet.asking import ask_in_turn, draw
from cassialever.fleet.confirming import TablesConfirmation
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.membership import Membership, MemberState
from cassialever.fleet.table_claims import TableClaims
from cassialever.fleet.version_doubts import VersionDoubts, read_changes
from cassialever.fleet.view import FleetView
from cassialever.interfaces import RandomSource
from cassialever.platform.store import StoreClient
from cassialever.policy.freshness import Knowledge
from cassialever.types import RowVersion, Seconds

#: How long the copy of a leader that relays in time is waited for, and up to
#: as long again, so that the daemons of a fleet do not ask at once.
LEADER_COPY_TIME: Final[Seconds] = 0.2
#: Time between two attempts, with up to as much jitter.
RETRY_INTERVAL: Final[Seconds] = 0.2
#: Within this time a daemon reports a change that it has read from the store,
#: unless another one was first.
MAX_REPORT_DELAY: Final[Seconds] = 0.05


class CatchUp:
    """Compares this daemon's tables with what others know, and catches up."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        membership: Membership,
        random_source: RandomSource,
    ) -> None:
        """Start without claims."""
        self._store = store
        self._view = view
        self._membership = membership
        self._random = random_source
        self._claims = TableClaims(view.rows)
        #: When the tables were complete.
        self.confirmation = TablesConfirmation(view, membership, random_source)
        self._heard = asyncio.Event()
        #: Whether the last attempt reached another daemon or the store.
        self._can_catch_up = True
        #: Reports the newest versions to all other daemons.
        self.report_now: Callable[[], None] = _report_nothing
        view.rows.on_newest = self._note_newest
        self._doubts = VersionDoubts(store, view, random_source)

    def newest_by_table(self) -> dict[str, RowVersion]:
        """Return the newest versions that this daemon knows of."""
        self.confirmation.age()
        newest = self._view.rows.newest_by_table
        return {
            table: newest[table]
            for table in self._view.tables_of_other_writers
            if table in newest
        }

    def note(
        self, peer: str, newest_by_table: Mapping[str, RowVersion]
    ) -> None:
        """Note the newest versions that another daemon knows of.

        The own table's version may be forgotten, and is for its leader to send.
        """
        followed = {
            table: newest_by_table[table]
            for table in self._view.tables_of_other_writers
            if table in newest_by_table
        }
        self._claims.note(peer, followed, _now())
        if self._claims.behind():
            self._heard.set()

    def knowledge(self) -> Knowledge:
        """Return what is known of the age of this daemon's tables."""
        return Knowledge(
            self.confirmation.age(),
            self.confirmation.unconfirmed_for(),
            self.behind_for(),
            self._can_catch_up,
            self._view.tables[0] in self._claims.behind(),
            self.confirmation.is_looking(),
        )

    def behind_for(self) -> Seconds:
        """Return the time since a version that is lacking was heard of."""
        since = self._claims.behind_since()
        return 0 if since is None else _now() - since

    async def run(self) -> None:
        """Catch up whenever this daemon is behind, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.confirmation.run())
            group.create_task(self._catch_up_when_behind())
            group.create_task(self._doubts.run())

    async def _catch_up_when_behind(self) -> None:
        while True:
            await self._heard.wait()
            self._heard.clear()
            await asyncio.sleep(self._delay())
            if self._claims.behind():
                await self._catch_up()

    async def _catch_up(self) -> None:
        record(Event.tables_behind, **self._claims.behind())
        since = self._claims.behind_since()
        while behind := self._claims.behind():
            if not await self._ask_peer(behind):
                await self._ask_store(behind)
            if self._claims.behind():
                await asyncio.sleep(self._jittered(RETRY_INTERVAL))
        self._can_catch_up = True
        record(
            Event.tables_caught_up,
            behind_for=round(_now() - (since or 0), 3),
        )

    async def _ask_peer(self, behind: Mapping[str, RowVersion]) -> bool:
        """Return whether another daemon has sent what is lacking."""
        is_leading = self._membership.state is MemberState.leading
        shared_peers = self._membership.shared_peers
        # Its leader may name ever fewer.
        addresses_by_peer = {
            **shared_peers.askable(is_leading=is_leading),
            **self._membership.peers(),
        }
        addresses = [
            addresses_by_peer[peer]
            for peer in self._claims.claimants(behind)
            if peer in addresses_by_peer
        ]
        known = self._view.rows.version_by_table
        asked = {table: known[table] for table in behind}
        ask = functools.partial(_read_once, self._membership.link, asked)
        if not await ask_in_turn(ask, draw(addresses, self._random)):
            return False
        self._can_catch_up = True
        return True

    async def _ask_store(self, behind: Mapping[str, RowVersion]) -> None:
        for table, version in behind.items():
            failure = await self._read_changes(table)
            self._can_catch_up = failure is None
            if failure is not None:
                return
            if self._view.rows.version_by_table[table] < version:
                record(Event.version_rejected, table=table, version=version)
                self._claims.reject(table, version, _now())

    async def _read_changes(self, table: str) -> Failure | None:
        return await read_changes(self._store, self._view, table)

    def _delay(self) -> Seconds:
        """Return how long to wait for the leader's copy."""
        if not self._membership.link.is_relaying():
            return 0
        return self._jittered(LEADER_COPY_TIME)

    def _jittered(self, duration: Seconds) -> Seconds:
        return duration * (1 + self._random.random())

    def _note_newest(self, table: str, version: RowVersion) -> None:
        """Report a change that this daemon has read from the store."""
        is_followed = table in self._view.tables_of_other_writers
        if not is_followed or not self._reads_store():
            return
        asyncio.get_running_loop().call_later(
            MAX_REPORT_DELAY * self._random.random(),
            self._report_if_first,
            table,
            version,
        )

    def _report_if_first(self, table: str, version: RowVersion) -> None:
        if not self._claims.is_known(table, version):
            self.report_now()

    def _reads_store(self) -> bool:
        membership = self._membership
        is_leading = membership.state is MemberState.leading
        return is_leading or not membership.link.is_relaying()


async def _read_once(
    link: LeaderLink, asked: dict[str, RowVersion], address: str
) -> bool:
    """Return whether a daemon has sent newer rows than those asked after."""
    await link.read_once(address, asked)
    known = link.view.rows.version_by_table
    return any(known[table] > version for table, version in asked.items())


def _now() -> Seconds:
    return asyncio.get_running_loop().time()


def _report_nothing() -> None:
    """Report nothing; the default until a reporter is set."""
