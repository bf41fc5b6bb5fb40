"""Changes at daemons whose calls to the store fail, with and without a leader.

Each daemon has every change in force in time, whichever calls the store fails
for it, as long as it answers others.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from cassialever.fleet.following_leader import LeaderLink, LinkEnd
from cassialever.fleet.membership import MemberState
from tests.fleet_rig import RigDaemon
from tests.store_faults import CHANGE_LIMIT, ChangeJudge, FaultyFleet, play

#: How long a fault lasts, in seconds.
DURATION = 8.0
#: How long no daemon leads, in seconds.
LEADERLESS = 30.0
#: Connections of a daemon that looks for a leader, in a fleet of any size: at
#: most five in a pass, and a pass in 0.15 s.
MAX_CONNECTIONS_PER_SECOND = 33
#: Calls to the store that a machine gets no answers to.
READS = frozenset(('reads', 'feeds'))
ALL_CALLS = READS | {'commits'}


class FollowingCase(unittest.TestCase):
    """A fleet whose daemons are judged by each change."""

    def check(
        self,
        scenario: Callable[[FaultyFleet], Awaitable[None]],
        duration: float = DURATION,
        **options: float,
    ) -> ChangeJudge:
        """Play a scenario; fail if a daemon lacked a change for too long."""
        judged = play(scenario, duration, **options)
        late = {
            name: round(longest, 2)
            for name, longest in judged.longest_by_daemon.items()
            if longest > CHANGE_LIMIT
        }
        self.assertEqual(late, {})
        return judged


class RefusedLeaderTest(FollowingCase):
    """The store refuses the daemon that wrote last, and serves the others."""

    def test_leader_that_the_store_refuses_forgets_the_others(self) -> None:
        """It had been told of no other daemon, and served by old tables."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.faults(fleet.rig.leader()).refused |= ALL_CALLS

        self.check(scenario)

    def test_leader_that_gets_no_answers(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            fleet.faults(fleet.rig.leader()).silent |= ALL_CALLS

        self.check(scenario)

    def test_each_leader_is_refused_in_turn(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            for _ in range(3):
                leader = fleet.rig.find_leader()
                if leader is not None:
                    fleet.faults(leader).refused |= ALL_CALLS
                await asyncio.sleep(4)

        self.check(scenario, duration=14)


class RefusedFeedsTest(FollowingCase):
    """The store fails calls that wait for changes, and answers reads."""

    def test_feeds_that_are_refused_to_all_while_none_leads(self) -> None:
        """Tables were read whole only if the store had lost its history."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            for daemon in fleet.living():
                fleet.faults(daemon).refused.add('feeds')

        self.check(scenario)

    def test_feeds_that_are_refused_to_all_beside_a_leader(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            for daemon in fleet.living():
                fleet.faults(daemon).refused.add('feeds')

        self.check(scenario)


class SilentFeedsTest(FollowingCase):
    """The connections of calls that wait go silent, and new ones are served."""

    async def silence(self, fleet: FaultyFleet) -> None:
        """Silence the open connections at once, time and again."""
        for _ in range(4):
            for daemon in fleet.living():
                fleet.faults(daemon).breaks += 1
            await asyncio.sleep(2.7)

    def test_feeds_that_go_silent_for_all_while_none_leads(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            await asyncio.sleep(2.3)
            await self.silence(fleet)

        self.check(scenario, duration=12)

    def test_feeds_that_go_silent_for_all_beside_a_leader(self) -> None:
        self.check(self.silence)


class IsolatedDaemonTest(FollowingCase):
    """Daemons that know no others but those in their settings."""

    def restart(self, fleet: FaultyFleet) -> list[RigDaemon]:
        """Start new daemons in place of all others, with no leader."""
        fleet.end_leadership()
        for daemon in fleet.living():
            daemon.kill()
        started = [fleet.rig.add_daemon() for _ in range(4)]
        for daemon in started:
            fleet.faults(daemon).refused.add('commits')
            daemon.member.seeds = tuple(
                one.link.own_hello.address for one in started
            )
        return started

    def test_started_daemons_whose_feeds_fail_while_none_leads(self) -> None:
        """They knew no daemon to ask, and did not ask those they could."""

        async def scenario(fleet: FaultyFleet) -> None:
            started = self.restart(fleet)
            fleet.faults(started[1]).refused.add('feeds')
            fleet.faults(started[2]).silent.add('feeds')

        self.check(scenario)

    def test_started_daemons_that_the_store_refuses_while_none_leads(
        self,
    ) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            started = self.restart(fleet)
            fleet.faults(started[1]).refused |= READS
            fleet.faults(started[2]).silent |= READS

        self.check(scenario)


class LeaderlessTest(FollowingCase):
    """No daemon can lead for a long time."""

    def test_changes_are_in_force_at_all_daemons_while_none_leads(self) -> None:
        """Some of them reach the store only through the others."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            first, second, third, *_ = fleet.living()
            fleet.faults(first).refused |= READS
            fleet.faults(second).silent |= READS
            fleet.faults(third).refused.add('feeds')
            await asyncio.sleep(LEADERLESS - 1)
            states = {one.member.state for one in fleet.living()}
            self.assertNotIn(MemberState.leading, states)

        self.check(scenario, duration=LEADERLESS)

    def test_store_that_is_away_for_all_has_nothing_refused(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            for daemon in fleet.living():
                fleet.faults(daemon).silent |= READS

        judged = play(scenario, DURATION)
        self.assertEqual(judged.refused_by_daemon, {})

    def test_daemons_without_the_store_connect_to_few_others(self) -> None:
        """Each asked every other one for a leader, several times a second."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            for daemon in fleet.living():
                fleet.faults(daemon).refused |= READS

        connections: list[str] = []
        connect = LeaderLink.follow

        async def follow(
            link: LeaderLink, address: str, patience: float | None = None
        ) -> LinkEnd:
            connections.append(address)
            return await connect(link, address, patience)

        with mock.patch.object(LeaderLink, 'follow', follow):
            play(scenario, DURATION / 2, count=12)
        self.assertLess(
            len(connections) / DURATION * 2 / 11, MAX_CONNECTIONS_PER_SECOND
        )


if __name__ == '__main__':
    unittest.main()
