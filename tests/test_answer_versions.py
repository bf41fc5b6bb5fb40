"""Leaders whose commits are answered with a later version than the rows'."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cassialever.fleet.lease import AUTHORITY_TERM
from cassialever.fleet.view import KEY_MAP_PREFIX
from cassialever.gateway.application import Gateway
from cassialever.keys.assignments import MAX_GRANT_DURATION
from tests import fleet_rig
from tests.fleet_helpers import Deployment, deployment, run_virtually, until
from tests.fleet_rig import CHECK_INTERVAL, run_scenario
from tests.gateway_helpers import wait_for_keys
from tests.keyed_rig import KeyedRig
from tests.test_fleet_elections import ElectionCase

DAEMONS = 7
SEEDS = range(2)
#: Time from the loss of a leader until there is one, in seconds.
LEADER_LIMIT = 3.0
#: Time in which the keys of a target that leaves have other owners in the
#: store, in seconds: the authority of a leader that was killed, the longest
#: grant, and the move.
MOVE_LIMIT = AUTHORITY_TERM + MAX_GRANT_DURATION + 2
#: Time in which such a target releases its keys, in seconds.
RELEASE_LIMIT = 5.0
#: Time for which the next leader is watched, in seconds.
WATCHED = 5.0
#: How long calls take in a slow store, for how long it is slow, and the time
#: between two changes of the targets' rows, in seconds.
SLOW_DELAYS = (0.2, 0.35)
SLOW_TIME = 8.0
CHANGE_INTERVAL = 0.1
#: How long the store performs commits late and answers none, and how late, in
#: seconds.
OUTAGE = 12.0
LATE_COMMIT = 1.5
#: By how much the version of an answer is above that of the rows.
BURST = 3


class VirtualCase(ElectionCase):
    """Scenarios on a small fleet whose leader assigns keys."""

    def play_keyed(
        self, scenario: Callable[[KeyedRig], Awaitable[None]]
    ) -> None:
        """Play a scenario with each seed, and check who held the keys."""

        async def main(rig: KeyedRig) -> None:
            await self.expect_owners(rig, without='')
            await scenario(rig)
            self.assertEqual(rig.world.violations, [])

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtually(
                    lambda loop, seed=seed: run_scenario(
                        loop, seed, main, DAEMONS, make_rig=KeyedRig
                    )
                )

    async def expect_owners(self, rig: KeyedRig, without: str) -> None:
        """Expect owners in the store in time, and none with this name."""
        ends_at = rig.loop.time() + MOVE_LIMIT
        while not rig.stored_owners() or without in rig.stored_owners():
            self.assertLess(
                rig.loop.time(), ends_at, f'{without!r} has keys: {rig.ends()}'
            )
            await asyncio.sleep(CHECK_INTERVAL)

    async def expect_next_leader(self, rig: KeyedRig) -> None:
        """Expect a leader in time after the present one is killed."""
        rig.leader().kill()
        killed_at = rig.loop.time()
        while rig.find_leader() is None:
            self.assertLess(rig.loop.time(), killed_at + LEADER_LIMIT)
            await asyncio.sleep(CHECK_INTERVAL)

    async def expect_move(self, rig: KeyedRig, number: int) -> None:
        """Expect a target that leaves to lose its keys in time."""
        rig.put_target(number, 'draining')
        await self.expect_owners(rig, without=f't{number}')


class AnsweredVersionsTest(VirtualCase):
    """The store answers transactions with its newest version."""

    def test_later_versions_in_answers_end_no_term(self) -> None:
        """Terms ended one after the other, at their first map writes."""

        async def scenario(rig: KeyedRig) -> None:
            rig.pace.other_writers.share = 1
            rig.pace.other_writers.burst = BURST
            await self.expect_next_leader(rig)
            leader = rig.leader()
            await self.expect_move(rig, 0)
            await self.expect_move(rig, 1)
            ends_at = rig.loop.time() + WATCHED
            while rig.loop.time() < ends_at:
                await asyncio.sleep(CHECK_INTERVAL)
                self.assertIs(rig.find_leader(), leader, rig.ends())
            self.assertEqual(rig.ends(), {})

        self.play_keyed(scenario)

    def test_false_version_of_a_map_ends_no_later_term(self) -> None:
        """All daemons learnt it, and each leader's map writes failed by it."""

        async def scenario(rig: KeyedRig) -> None:
            writers = rig.pace.other_writers
            writers.concerns = lambda body: KEY_MAP_PREFIX.encode() in body
            writers.share = 1
            writers.burst = BURST
            writers.transactions_left = 1
            await self.expect_move(rig, 0)
            # The map is published once its grants have ended.
            await asyncio.sleep(1)
            self.assertEqual(writers.count, BURST)
            for number in range(1, 4):
                await self.expect_next_leader(rig)
                await self.expect_move(rig, number)
            self.assertEqual(rig.ends(), {})

        self.play_keyed(scenario)


class SlowStoreTest(VirtualCase):
    """A store that is slow while the targets' rows change."""

    def test_slow_store_ends_no_terms_once_it_is_over(self) -> None:
        """An answer had a later version; all terms ended by it for good."""

        async def scenario(rig: KeyedRig) -> None:
            changes = asyncio.create_task(change_targets(rig))
            rig.pace.slowness.delays = SLOW_DELAYS
            rig.put_target(0, 'draining')
            await asyncio.sleep(SLOW_TIME)
            rig.pace.slowness.delays = (0, 0)
            await asyncio.sleep(LEADER_LIMIT)
            leader = rig.find_leader()
            self.assertIsNotNone(leader, rig.ends())
            await self.expect_move(rig, 1)
            await self.expect_owners(rig, without='t0')
            self.assertIs(rig.find_leader(), leader, rig.ends())
            self.assertEqual(rig.ends(), {})
            changes.cancel()

        self.play_keyed(scenario)

    def test_slow_store_after_an_outage_leaves_a_leader(self) -> None:
        """One daemon alone led again and again, all others deferred to it."""

        async def scenario(rig: KeyedRig) -> None:
            changes = asyncio.create_task(change_targets(rig))
            for daemon in rig.daemons:
                daemon.store.commit_delay = LATE_COMMIT
                daemon.store.loses_commits = True
                daemon.store.silent_tables |= {'op', 'servers'}
            await asyncio.sleep(1)
            rig.leader().kill()
            await asyncio.sleep(OUTAGE)
            rig.pace.slowness.delays = SLOW_DELAYS
            for daemon in rig.daemons:
                daemon.store.commit_delay = 0
                daemon.store.loses_commits = False
                daemon.store.silent_tables.clear()
            for number in range(2):
                await asyncio.sleep(SLOW_TIME / 2)
                rig.put_target(number, 'draining')
            await asyncio.sleep(SLOW_TIME / 2)
            rig.pace.slowness.delays = (0, 0)
            ended = rig.ends()
            await asyncio.sleep(LEADER_LIMIT)
            leader = rig.find_leader()
            self.assertIsNotNone(leader, rig.ends())
            await self.expect_move(rig, 2)
            self.assertIs(rig.find_leader(), leader, rig.ends())
            self.assertEqual(rig.ends(), ended)
            changes.cancel()

        self.play_keyed(scenario)


async def change_targets(rig: KeyedRig) -> None:
    """Let a target that keeps its keys write its row again and again."""
    while True:
        await asyncio.sleep(CHANGE_INTERVAL)
        rig.put_target(fleet_rig.TARGETS - 1)


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """Whole daemons over real sockets."""

    async def test_later_versions_in_answers_end_no_term(self) -> None:
        """The fleet had no leader until the answers were right again."""
        async with deployment(keyed=3, gateways=3) as system:
            await until(lambda: len(_leaders(system)) == 1)
            for gateway in system.gateways:
                await wait_for_keys(gateway)
            system.store.pace.other_writers.share = 1
            await system.kill_gateway(_leaders(system)[0])
            await until(lambda: len(_leaders(system)) == 1, LEADER_LIMIT)
            leader = _leaders(system)[0]
            leaving = system.targets[0]
            entry = leaving.entry()
            entry['status'] = {**entry['status'], 'state': 'draining'}
            system.store.put('servers', leaving.target_id, entry)
            await until(lambda: not leaving.held_key_count(), RELEASE_LIMIT)
            await asyncio.sleep(WATCHED)
            self.assertEqual(_leaders(system), [leader])
            for gateway in system.gateways:
                terms = gateway.core.membership.contact.terms
                self.assertEqual(terms.count_by_end, {})


def _leaders(system: Deployment) -> list[Gateway]:
    return [
        gateway
        for gateway in system.gateways
        if gateway.core.membership.leader_term is not None
    ]


if __name__ == '__main__':
    unittest.main()
