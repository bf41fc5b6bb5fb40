"""Tests of the lines of a daemon without a leader."""

import asyncio
import math
import random
import unittest
from unittest import mock

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import repeats
from cassialever.fleet.activity import Activity
from cassialever.fleet.following_leader import LeaderLink, LinkEnd
from cassialever.fleet.leader_contact import LeaderContact, TablesWay
from cassialever.fleet.membership import Membership, MemberState
from cassialever.fleet.messages import Farewell, Hello
from cassialever.fleet.model import StoreRow
from cassialever.fleet.relay import Relay
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.gateway.core import Core
from cassialever.gateway.own_state import (
    activity_of,
    follow_readings,
    leader_readings,
)
from cassialever.platform.rows import Rows
from cassialever.platform.store import StoreClient
from cassialever.policy.candidacy import Candidacy
from cassialever.types import RowVersion
from tests.fleet_helpers import (
    ManualClock,
    configured_view,
    deployment,
    until,
)
from tests.hop_helpers import LoggedEvents
from tests.test_fleet_links import address_of, follower, leader
from tests.two_builds.recording import content_of


class SilentLeaderTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that the store names as leader, and that does not lead."""

    async def test_line_for_each_pass_without_a_leader(self) -> None:
        """Each daemon wrote five lines a second for as long as it lasted."""
        async with leader('') as named:
            named.disconnect_followers()
            member = member_of(address_of(named))
            with LoggedEvents() as events:
                for _ in range(50):
                    await member._seek_once()
            member._direct_follower.stop()
        lines = events.fields('leader_silent')
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]['leader'], 'edge-0')
        self.assertEqual(lines[0]['reason'], 'the peer is not the leader')


class LeaderContactTest(unittest.TestCase):
    """When lines about a missing leader are written, and what they say."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.link = mock.Mock(is_open=False, farewell=Farewell())
        self.link.is_relaying.return_value = False
        self.direct = mock.Mock(is_running=True)
        self.direct.is_store_reachable.return_value = True
        self.direct.age.return_value = 0.3
        self.contact = LeaderContact(
            configured_view(self.clock, targets=0),
            self.link,
            self.direct,
            self.clock,
        )
        self.events = LoggedEvents()
        self.events.__enter__()
        self.addCleanup(self.events.__exit__)

    def spend(
        self, seconds: float, *, end: LinkEnd | None = None, age: float = 0.3
    ) -> None:
        """Let time pass with five passes and checks a second."""
        for _ in range(round(5 * seconds)):
            self.clock.now += 0.2
            if end is not None:
                self.contact.begin_pass()
                self.contact.note_silence('edge-2', end)
            self.contact.watch(age, is_leading=False)

    def names(self) -> list[str]:
        return [record.extra['name'] for record in self.events._handler.records]

    def lead(self, seconds: float) -> None:
        """Follow a leader for some time."""
        self.link.is_open = True
        self.spend(seconds)
        self.link.is_open = False

    def test_begin_length_and_end_of_a_time_without_a_leader(self) -> None:
        self.lead(2)
        self.spend(10, age=0.5)
        self.lead(2)
        (begun,) = self.events.fields('leader_missing')
        self.assertAlmostEqual(begun['since'], 102.2)
        self.assertEqual(begun['lasted'], 0)
        self.assertEqual(begun['tables_way'], 'store')
        self.assertEqual(begun['tables_age'], 0.5)
        lasting = self.events.fields('leader_missing_long')
        self.assertEqual([round(one['lasted']) for one in lasting], [3, 8])
        (found,) = self.events.fields('leader_found')
        self.assertAlmostEqual(found['since'], 102.2)
        self.assertAlmostEqual(found['lasted'], 10)

    def test_daemon_that_starts_has_no_leader(self) -> None:
        self.assertEqual(self.contact.time_without(), 0)
        self.clock.now += 0.7
        self.assertAlmostEqual(self.contact.time_without(), 0.7)
        self.lead(0.2)
        self.assertEqual(self.contact.time_without(), 0)
        self.lead(2)
        self.assertEqual(self.names(), [])

    def test_silence_is_logged_at_growing_intervals(self) -> None:
        self.lead(2)
        self.link.farewell = Farewell('', Activity.seeking)
        self.spend(600, end=LinkEnd.not_leader)
        lines = self.events.fields('leader_silent')
        self.assertLess(len(lines), 20)
        self.assertEqual(lines[0]['activity'], 'seeking')
        self.assertEqual([one['count'] for one in lines[:3]], [1, 26, 76])
        # Each reason has lines of its own.
        self.spend(0.4, end=LinkEnd.refused)
        self.assertEqual(
            self.events.fields('leader_silent')[-1]['reason'],
            'connection refused',
        )
        self.lead(2)
        (found,) = self.events.fields('leader_found')
        self.assertEqual(found['silences'], 3002)
        # The first silence ends the pass that followed a leader.
        self.assertEqual(found['passes'], 3001)
        # The next time is counted anew.
        self.spend(0.2, end=LinkEnd.refused)
        self.assertEqual(self.events.fields('leader_silent')[-1]['count'], 1)

    def test_lines_about_many_leaders_are_bounded(self) -> None:
        for number in range(10_000):
            self.contact.note_silence(f'edge-{number}', LinkEnd.closed)
        self.assertEqual(
            len(self.events.fields('leader_silent')), repeats.MAX_KINDS + 1
        )

    def test_leader_that_comes_and_goes_is_no_end(self) -> None:
        """Terms that end at once would write two lines each."""
        self.lead(2)
        for _ in range(20):
            self.spend(1)
            self.lead(0.8)
        self.assertEqual(self.names().count('leader_missing'), 1)
        self.assertNotIn('leader_found', self.names())
        self.assertLess(len(self.names()), 8)
        self.lead(2)
        (found,) = self.events.fields('leader_found')
        self.assertGreaterEqual(found['times_lost'], 20)

    def show_leader(self, version: int) -> None:
        """Let the leader's row have a version."""
        named = Leadership('edge-2', '10.1.0.2:7', 1)
        self.contact._view.leader = (named, RowVersion(version))

    def test_leaders_that_take_over_and_lose_it_at_once(self) -> None:
        """A follower could not tell it from a fleet without a leader."""
        self.show_leader(1)
        self.lead(6)
        for version in range(2, 7):
            self.spend(1.4, end=LinkEnd.not_leader)
            self.show_leader(version)
        self.spend(1.4, end=LinkEnd.not_leader)
        (begun,) = self.events.fields('leader_missing')
        self.assertEqual(
            (begun['leaders_seen'], begun['leaders_short']), (0, 0)
        )
        lasting = self.events.fields('leader_missing_long')
        self.assertEqual(
            [(one['leaders_seen'], one['leaders_short']) for one in lasting],
            [(2, 1), (5, 4)],
        )
        # One that has led for moments does not end it.
        self.lead(2)
        (found,) = self.events.fields('leader_found')
        self.assertEqual(
            (found['leaders_seen'], found['leaders_short']), (5, 4)
        )
        self.assertEqual(self.contact.changes.seen_count, 5)
        self.lead(5.2)
        self.assertEqual(self.contact.changes.seen_count, 0)
        self.assertEqual(self.contact.changes.short_count, 0)
        self.assertEqual(self.contact.changes.total, 5)

    def test_leaders_that_lead_for_moments_are_counted_across_them(
        self,
    ) -> None:
        """Each has a line of its end, and none lasts three seconds."""
        self.show_leader(1)
        self.lead(6)
        for version in range(2, 7):
            self.spend(1.4)
            self.show_leader(version)
            self.lead(2)
        found = self.events.fields('leader_found')
        self.assertEqual(
            [(one['leaders_seen'], one['leaders_short']) for one in found],
            [(1, 0), (2, 1), (3, 2), (4, 3), (5, 4)],
        )
        self.assertEqual(self.events.fields('leader_missing_long'), [])

    def test_change_of_a_leader_that_had_led_for_long_is_not_short(
        self,
    ) -> None:
        self.show_leader(1)
        # This daemon has just begun, and the leader has not.
        self.spend(0.4)
        for version in (2, 3, 4):
            self.show_leader(version)
            self.spend(9)
        self.assertEqual(self.contact.changes.seen_count, 3)
        self.assertEqual(self.contact.changes.short_count, 0)

    def test_daemon_that_loses_the_same_leader_sees_no_change(self) -> None:
        self.show_leader(1)
        for _ in range(9):
            self.lead(2)
            self.spend(2, end=LinkEnd.closed)
        self.assertEqual(self.contact.changes.total, 0)
        self.assertEqual(self.contact.changes.seen_count, 0)

    def test_daemon_that_stops_misses_no_leader(self) -> None:
        self.lead(2)
        self.contact.is_stopping = True
        self.spend(20)
        self.assertEqual(self.names(), [])

    def test_tables_without_a_way(self) -> None:
        self.lead(2)
        self.direct.is_store_reachable.return_value = False
        self.spend(4, age=math.inf)
        (lasting,) = self.events.fields('leader_missing_long')
        self.assertEqual(lasting['tables_way'], 'none')
        # A store whose first answer is awaited is no way yet.
        self.direct.is_store_reachable.return_value = True
        self.direct.age.return_value = math.inf
        self.assertIs(self.contact.way(), TablesWay.none)
        self.direct.age.return_value = 0.3
        self.assertIs(self.contact.way(), TablesWay.store)
        # They were complete 0.3 s before the leader was lost.
        self.assertAlmostEqual(lasting['tables_age'], 3.5)

    def test_tables_that_another_daemon_confirms(self) -> None:
        """The store refuses this daemon, or its feed is silent."""
        self.lead(2)
        self.assertIs(self.contact.way(), TablesWay.store)
        for store_age, way in (
            (0.4, TablesWay.store),
            (9, TablesWay.peer),
            (math.inf, TablesWay.peer),
        ):
            self.direct.age.return_value = store_age
            self.spend(2, age=0.4)
            with self.subTest(store_age=store_age):
                self.assertIs(self.contact.way(), way)
                ages = self.contact.age_by_way()
                self.assertAlmostEqual(ages[way], 0.4)
        # What was confirmed too long ago keeps them no more.
        self.spend(3, age=math.inf)
        self.assertIs(self.contact.way(), TablesWay.none)


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that can't lead, as the store fails their commits."""

    def setUp(self) -> None:
        failure = Failure(ErrorKind.table_unavailable, 'the store answered 503')
        self.refused = mock.patch.object(
            StoreClient, 'commit', mock.AsyncMock(return_value=failure)
        )
        self.refused.start()
        self.addCleanup(self.refused.stop)

    async def test_fleet_that_never_had_a_leader_reads_no_tables(self) -> None:
        """Its daemons served no request for as long as that lasted."""
        async with deployment(gateways=2) as system:
            for gateway in system.gateways:
                await until(lambda gateway=gateway: gateway.server.is_ready, 4)

    async def test_log_and_gauges_of_daemons_without_a_leader(self) -> None:
        with LoggedEvents() as events:
            async with deployment(gateways=2) as system:
                cores = [gateway.core for gateway in system.gateways]
                await until(
                    lambda: len(events.fields('leader_missing_long')) == 2, 8
                )
                for core in cores:
                    self.assert_misses_leader(core)
                self.refused.stop()
                await until(lambda: len(events.fields('leader_found')) == 2, 12)
                for core in cores:
                    self.assertEqual(core.forwarder.tables().without_leader, 0)
        for line in events.fields('leader_missing_long'):
            self.assertEqual(line['tables_way'], 'store')
            self.assertGreater(line['passes'], 3)
        found = events.fields('leader_found')
        self.assertEqual(sum(line['leads'] for line in found), 1)

    def assert_misses_leader(self, core: Core) -> None:
        """Assert what a daemon that reads the store says of its state."""
        state = core.forwarder.tables()
        self.assertGreater(state.without_leader, 3)
        self.assertLess(state.age, 2.5)
        self.assertEqual(state.newest_from, 'the store')
        value_by_name = {
            (one.name, *one.labels.values()): one.value
            for one in leader_readings(core.membership)
        }
        self.assertEqual(
            set(value_by_name),
            {
                ('seconds_without_leader',),
                ('tables_age_seconds',),
                ('versions_disproved',),
                ('writes_lost',),
                ('tables_age_by_way_seconds', 'store'),
                ('short_terms',),
                ('leader_changes',),
                ('leaders_seen',),
                ('leaders_short',),
                ('elections_failed', 'refused'),
            },
        )
        (followed,) = follow_readings(core.membership)
        self.assertEqual(followed.labels, {'reason': 'no leader was found'})
        self.assertGreater(value_by_name['seconds_without_leader',], 3)
        self.assertLess(value_by_name['tables_age_seconds',], 2.5)


class ActivityTest(unittest.IsolatedAsyncioTestCase):
    """What a daemon that does not lead says of itself."""

    async def test_activity_is_sent_with_the_farewell(self) -> None:
        for activity in Activity:
            async with leader('') as named:
                named._activity = lambda activity=activity: activity
                named.disconnect_followers()
                link = follower('')
                end = await link.follow(address_of(named))
                self.assertIs(end, LinkEnd.not_leader)
                self.assertIs(link.farewell.activity, activity)

    async def test_leader_that_ends_its_term_does_not_say_that_it_leads(
        self,
    ) -> None:
        async with leader('') as former:
            former._activity = lambda: Activity.leading
            link = follower('')
            task = asyncio.create_task(link.follow(address_of(former)))
            await until(lambda: 'edge-1' in former.follower_by_id)
            former.disconnect_followers()
            self.assertIs(await task, LinkEnd.not_leader)
            self.assertIs(link.farewell.activity, Activity.deposed)

    def test_activity_of_a_daemon(self) -> None:
        candidacy = Candidacy(mock.Mock())
        candidacy._paths.should_yield.return_value = True
        member = mock.Mock(
            candidacy=candidacy,
            state=MemberState.seeking,
            contact=mock.Mock(is_stopping=False),
        )
        self.assertIs(activity_of(member, 100), Activity.seeking)
        candidacy.may_lead(100)
        self.assertIs(activity_of(member, 100.2), Activity.yielding)
        self.assertIs(activity_of(member, 102.1), Activity.seeking)
        for state in MemberState:
            member.state = state
            self.assertEqual(activity_of(member, 103).value, state.value)
        member.contact.is_stopping = True
        self.assertIs(activity_of(member, 103), Activity.stopping)


def member_of(address: str) -> Membership:
    """Return a daemon whose store names the one at an address as leader.

    Its takeovers fail.
    """
    clock = ManualClock()
    view = configured_view(clock, targets=0)
    own = Hello('edge-1', 1, '10.1.0.1:7', {})
    named = Leadership('edge-0', address, 1)
    content = content_of(OWN_TABLE, LEADER_ROW, named)
    row = StoreRow(OWN_TABLE, LEADER_ROW, content, RowVersion(9))
    store = mock.Mock()
    store.read_all = mock.AsyncMock(return_value=Rows((row,), RowVersion(9), 0))
    member = Membership(
        store,
        view,
        Relay(view, own),
        LeaderLink(view, own),
        clock,
        random.Random(1),
    )
    member._election = mock.Mock(holder_id='')
    member._election.run = mock.AsyncMock(return_value=None)
    return member
