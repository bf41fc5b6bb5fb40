"""Tests of which daemon becomes the leader on unequal machines."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import lease as leases
from cassialever.fleet import membership
from cassialever.fleet.direct import DirectFollower
from cassialever.fleet.election import Election
from cassialever.fleet.following_leader import LeaderLink
from cassialever.fleet.membership import (
    MAX_ELECTION_DELAY,
    Membership,
    election_delay,
)
from cassialever.fleet.messages import Hello
from cassialever.fleet.model import StoreRow
from cassialever.fleet.relay import Relay
from cassialever.fleet.term_ends import TermEnd, TermResult
from cassialever.platform.rows import Conflict, Rows
from cassialever.types import RowVersion
from tests.fleet_helpers import ManualClock, configured_view, until
from tests.hop_helpers import LoggedEvents

PEERS = 59


def member(
    link_mbps: float, seed: int, *, reaches_store: bool = True
) -> Membership:
    """Return a follower whose leader has long been cut off from the store.

    It follows the store itself.
    """
    view = configured_view(ManualClock(), targets=0)
    own = Hello(f'edge-{seed}', 1, f'10.1.0.{seed}:7', {})
    link = LeaderLink(view, own)
    link.addresses_by_id = {f'edge-{n}': f'10.1.0.{n}:7' for n in range(PEERS)}
    link.store_age = 1.5 * membership.CUT_OFF_TIMEOUT
    daemon = Membership(
        mock.Mock(),
        view,
        Relay(view, own),
        link,
        ManualClock(),
        random.Random(seed),
    )
    daemon.election_delay = election_delay(link_mbps)
    daemon._direct_follower = mock.Mock()
    daemon._direct_follower.reaches.return_value = reaches_store
    return daemon


class ElectionDelayTest(unittest.TestCase):
    """Which daemons wait before they try to lead."""

    def test_slow_links_wait_for_the_others(self) -> None:
        delays = [election_delay(link) for link in (5, 10, 100, 200, 1000)]
        self.assertEqual(delays, sorted(delays, reverse=True))
        self.assertEqual(delays[0], MAX_ELECTION_DELAY)
        # Two calls to the store at 4 ms each fit into the difference.
        self.assertGreater(delays[1] - delays[2], 0.1)

    def test_fast_or_unknown_links_hardly_wait(self) -> None:
        self.assertLess(election_delay(1000), 0.01)
        self.assertEqual(election_delay(0), 0)

    def test_cut_off_leader_is_replaced_over_a_fast_link(self) -> None:
        """One of the 10 daemons of 59 with fast links usually leaves first."""
        fast_first = 0
        for trial in range(40):
            daemons = [
                member(200 if number < 10 else 10, 100 * trial + number)
                for number in range(PEERS)
            ]
            first = self.first_to_leave(daemons)
            fast_first += first < 10
        self.assertGreater(fast_first, 30)

    def test_fleet_of_slow_links_replaces_a_cut_off_leader(self) -> None:
        """After twice the timeout a daemon leaves within a few draws."""
        daemons = [member(10, number) for number in range(PEERS)]
        for daemon in daemons:
            daemon.link.store_age = 2.1 * membership.CUT_OFF_TIMEOUT
        draws = 0
        has_left = False
        while not has_left:
            draws += 1
            for daemon in daemons:
                with mock.patch.object(daemon.link, 'disconnect') as disconnect:
                    daemon._leave_cut_off_leader()
                has_left = has_left or disconnect.called
        self.assertLess(draws, 6)

    def test_few_fast_links_replace_a_cut_off_leader_soon(self) -> None:
        """Four of 59; the other fast ones are cut off from the store too."""
        in_time = 0
        fast_first = 0
        for trial in range(40):
            daemons = [
                member(
                    200 if number < 10 else 10,
                    100 * trial + number,
                    reaches_store=6 <= number < 10 or number >= 25,
                )
                for number in range(PEERS)
            ]
            age = membership.CUT_OFF_TIMEOUT + membership.WATCH_INTERVAL / 2
            first = None
            while first is None:
                age += membership.WATCH_INTERVAL
                first = self.first_of_a_draw(daemons, age)
            in_time += age < membership.CUT_OFF_TIMEOUT + 1.5
            fast_first += first < 10
        self.assertEqual(in_time, 40)
        self.assertGreater(fast_first, 25)

    def test_daemon_without_the_store_stays_with_a_cut_off_leader(self) -> None:
        """It could not take over, and would have to find the leader again."""
        daemons = [
            member(200, number, reaches_store=False) for number in range(PEERS)
        ]
        for age in (3 * membership.CUT_OFF_TIMEOUT, 3600):
            self.assertIsNone(self.first_of_a_draw(daemons, age))

    def first_of_a_draw(
        self, daemons: list[Membership], store_age: float
    ) -> int | None:
        """Return which daemon leaves a leader without the store, if any."""
        for number, daemon in enumerate(daemons):
            daemon.link.store_age = store_age
            with mock.patch.object(daemon.link, 'disconnect') as disconnect:
                daemon._leave_cut_off_leader()
            if disconnect.called:
                return number
        return None

    def first_to_leave(self, daemons: list[Membership]) -> int:
        for _ in range(500):
            for number, daemon in enumerate(daemons):
                with mock.patch.object(daemon.link, 'disconnect') as disconnect:
                    daemon._leave_cut_off_leader()
                if disconnect.called:
                    return number
        self.fail('no daemon leaves the leader')


class SeedsTest(unittest.TestCase):
    """Where the daemons of the settings are asked for the leader."""

    def test_port_that_is_none_hides_no_seed(self) -> None:
        """Such a seed ended the daemon as soon as the store was away."""
        seeds = ('10.1.0.2:7', '10.1.0.3', '10.1.0.4:', '10.1.0.5:peer')
        self.assertEqual(
            membership.seed_addresses(seeds, '10.1.0.1:9'),
            ['10.1.0.2:9', '10.1.0.3:9', '10.1.0.4:9', '10.1.0.5:9'],
        )


class ElectionTest(unittest.IsolatedAsyncioTestCase):
    """What a daemon learns of the holder of the lease."""

    async def test_holder_of_an_earlier_attempt_is_followed(self) -> None:
        """The store does not answer the next attempt."""
        view = configured_view(ManualClock(), targets=0)
        held = leases.Lease('edge-2', 1, 10.0)
        row = mock.Mock()
        store = mock.Mock()
        store.read = mock.AsyncMock(
            side_effect=[
                Rows((row,), 1, 10.1),
                Failure(ErrorKind.table_unavailable, 'no answer'),
            ]
        )
        own = Hello('edge-1', 1, '10.1.0.1:7', {})
        election = Election(store, view, own, ManualClock())
        with mock.patch.object(leases, 'find_lease', return_value=(held, 1)):
            self.assertIsNone(await election.attempt(0))
            self.assertEqual(election.holder_id, 'edge-2')
            self.assertIsNone(await election.attempt(0))
        self.assertEqual(election.holder_id, '')

    async def test_winner_of_an_election_is_followed(self) -> None:
        """The others read the store, as if there were no leader."""
        resigned = leases.Lease('edge-3', 1, 10.0, is_resigned=True)
        won = leases.Lease('edge-2', 1, 10.2)
        stored = [
            StoreRow(
                leases.LEASE_TABLE,
                leases.LEASE_ROW,
                msgspec.msgpack.encode(lease),
                RowVersion(version),
            )
            for version, lease in enumerate((resigned, won), 1)
        ]
        store = mock.Mock(
            read=mock.AsyncMock(return_value=Rows((stored[0],), 1, 10.1)),
            commit=mock.AsyncMock(return_value=Conflict((stored[1],), 10.2)),
        )
        own = Hello('edge-1', 1, '10.1.0.1:7', {})
        view = configured_view(ManualClock(), targets=0)
        election = Election(store, view, own, ManualClock())
        self.assertIsNone(await election.attempt(0))
        self.assertEqual(election.holder_id, 'edge-2')

    async def test_lease_that_is_stale_soon_is_awaited(self) -> None:
        """Its holder missed a renewal; one with a fresh lease is not lost."""
        held = leases.Lease('edge-2', 1, 10.0)
        for store_time, reads in ((11.45, 2), (10.1, 1)):
            store = mock.Mock()
            store.read = mock.AsyncMock(
                return_value=Rows((mock.Mock(),), 1, store_time)
            )
            own = Hello('edge-1', 1, '10.1.0.1:7', {})
            view = configured_view(ManualClock(), targets=0)
            election = Election(store, view, own, ManualClock())
            with mock.patch.object(
                leases, 'find_lease', return_value=(held, 1)
            ):
                self.assertIsNone(await election.run(0.1))
            self.assertEqual(store.read.await_count, reads)


class FailingTaskTest(unittest.IsolatedAsyncioTestCase):
    """Errors that nothing expects, in tasks beside the main one."""

    async def test_failed_direct_follower_can_be_started_again(self) -> None:
        """Otherwise the daemon would serve by ever older tables."""
        store = mock.Mock(read_all=mock.AsyncMock(side_effect=KeyError('x')))
        view = configured_view(ManualClock(), targets=0)
        view.rows.version_by_table.clear()
        direct = DirectFollower(store, view, random.Random(1))
        with LoggedEvents() as logged:
            for _ in range(2):
                direct.start('no leader was found')
                await until(lambda: not direct.is_running)
        self.assertEqual(len(logged.fields('task_failed')), 2)
        self.assertGreaterEqual(store.read_all.await_count, 2)

    async def test_failed_watch_ends_the_membership(self) -> None:
        """Its daemon exits, as after the failure of another part."""
        daemon = member(200, 1)
        failing = mock.AsyncMock(side_effect=KeyError('x'))
        daemon._hand_over_if_cut_off = failing
        daemon._seek_once = mock.AsyncMock()
        with self.assertRaises(KeyError):
            await asyncio.wait_for(daemon.run(), 2)


class StopInElectionTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that is asked to stop while it tries to lead."""

    async def asyncSetUp(self) -> None:
        self.daemon = member(200, 1)
        self.daemon._election = mock.Mock(holder_id='')
        ended = TermResult(RowVersion(7), 0, TermEnd.resigned)
        self.term = mock.Mock(
            resign=mock.AsyncMock(), end=mock.Mock(return_value=ended)
        )
        self.lead = mock.AsyncMock()
        self.daemon._lead = self.lead

    async def attempt(self, patience: float) -> mock.Mock:
        """Win the election, and be asked to stop meanwhile."""
        await self.daemon.resign()
        return self.term

    async def test_stop_while_the_lease_is_taken(self) -> None:
        """Others would wait for its lease and grants to lapse."""
        self.daemon._election.run = self.attempt
        await self.daemon._try_to_lead()
        self.lead.assert_not_awaited()
        self.term.resign.assert_awaited_once()
        self.assertEqual(
            self.daemon.contact.terms.count_by_end, {TermEnd.resigned: 1}
        )

    async def test_stop_before_the_lease_is_taken(self) -> None:
        self.daemon.election_delay = 0.05
        self.daemon._election.run = mock.AsyncMock()
        trying = asyncio.create_task(self.daemon._try_to_lead())
        await asyncio.sleep(0)
        await self.daemon.resign()
        await trying
        self.daemon._election.run.assert_not_awaited()


if __name__ == '__main__':
    unittest.main()
