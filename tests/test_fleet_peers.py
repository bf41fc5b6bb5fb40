"""Tests of the list of daemons by which limits are divided."""

import asyncio
import unittest
from unittest import mock

from cassialever.fleet import peers, relay
from cassialever.fleet.peers import SharedPeers
from cassialever.fleet.relay import MAX_CONFIRMED_AGE, LeaderAges
from tests.fleet_helpers import until
from tests.test_fleet_limits import Daemon, fleet


def shared_peers(daemon: Daemon) -> SharedPeers:
    return SharedPeers(daemon.relay, daemon.link)


class SharedPeersTest(unittest.IsolatedAsyncioTestCase):
    """Whether another daemon can have a later list."""

    def setUp(self) -> None:
        # The list is complete, and a follower gone, sooner than in service.
        for name, value in (
            ('RECONNECT_PERIOD', 0.2),
            ('FOLLOWER_TIMEOUT', 0.6),
        ):
            patch = mock.patch.object(relay, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def test_list_of_a_leader_in_office_is_current(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            follower = await running.follow()
            for daemon in (leader, follower):
                known = shared_peers(daemon)
                await until(
                    lambda known=known: len(known.complete_peers()) == 2
                )
                await until(known.has_current_peers)

    async def test_list_without_a_leader_becomes_outdated(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            follower = await running.follow()
            known = shared_peers(follower)
            await until(known.has_current_peers)
            await running.stop(leader)
            await asyncio.sleep(peers.MAX_LIST_AGE / 2)
            self.assertTrue(known.has_current_peers())
            await asyncio.sleep(peers.MAX_LIST_AGE / 2 + 0.1)
            self.assertFalse(known.has_current_peers())
            self.assertEqual(len(known.complete_peers()), 2)

    async def test_store_that_is_down_for_all_outdates_no_list(self) -> None:
        async with fleet() as running:
            leader = await running.lead()
            follower = await running.follow()
            lists = [shared_peers(one) for one in (leader, follower)]
            for known in lists:
                await until(known.has_current_peers)
            leader.relay.ages = lambda: LeaderAges(MAX_CONFIRMED_AGE + 1, 0)
            await asyncio.sleep(1)
            for known in lists:
                self.assertTrue(known.has_current_peers())

    async def test_list_of_a_leader_cut_off_with_few_is_outdated(self) -> None:
        """Without the store, and without a follower that it had."""
        async with fleet() as running:
            leader = await running.lead()
            followers = [await running.follow() for _ in range(2)]
            lists = [shared_peers(one) for one in (leader, followers[0])]
            for known in lists:
                await until(
                    lambda known=known: len(known.complete_peers()) == 3
                )
                await until(known.has_current_peers)
            leader.relay.ages = lambda: LeaderAges(MAX_CONFIRMED_AGE + 1, 0)
            for task in followers[1].tasks:
                task.cancel()
            for known in lists:
                await until(lambda known=known: not known.has_current_peers())


if __name__ == '__main__':
    unittest.main()
