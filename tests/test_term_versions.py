"""Leaders whose writes are answered with another version than their rows'.

Answers about rows name the newest version of the store, which is that of
another writer's row if it commits before the answer is made.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cassialever.fleet.lease import LEASE_ROW, LEASE_TABLE
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from cassialever.platform import rows
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, World

#: Time in which a leader has granted and written keys, in seconds.
SETTLING_TIME = 2.0
#: Time in which a leader renews its lease several times, in seconds.
LEADING_TIME = 3.0


def is_takeover(transaction: rows.Transaction) -> bool:
    """Return whether a transaction makes a daemon the leader."""
    return any(write.name == LEADER_ROW for write in transaction.writes)


def version_of(world: World, table: str, name: str) -> int:
    """Return the version of a row in the store."""
    return world.shared.row_by_name[table, name].ver


class VersionCase(unittest.TestCase):
    """Scenarios with one or more daemons, in virtual time."""

    def play(self, scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            await scenario(world)
            self.assertEqual(world.violations, [])
            for daemon in world.daemons:
                daemon.kill()

        run_virtually(main)

    def add_daemon(self, world: World, name: str) -> Daemon:
        daemon = world.add_daemon(name)
        world.publish_targets()
        return daemon


class TakeoverTest(VersionCase):
    """The answer to a takeover names another writer's version."""

    def test_term_is_numbered_by_the_leaders_row(self) -> None:
        """Its first write of a key map ended it."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            world.newest_answers = 1
            world.newest_tables = {OWN_TABLE, LEASE_TABLE}
            commit = daemon.store.commit

            async def answer_exactly(transaction: rows.Transaction) -> Any:
                if not is_takeover(transaction):
                    world.newest_answers = 0
                return await commit(transaction)

            daemon.store.commit = answer_exactly
            self.assertTrue(await daemon.take_over())
            term = daemon.leader_term
            assert term is not None
            self.assertEqual(
                term.term, version_of(world, OWN_TABLE, LEADER_ROW)
            )
            await asyncio.sleep(SETTLING_TIME)
            self.assertTrue(daemon.is_leading())
            self.assertEqual(world.unheld_count(), 0)

        self.play(scenario)

    def test_row_that_names_another_process_ends_the_attempt(self) -> None:
        """It led beside the daemon that had taken over meanwhile."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            other = self.add_daemon(world, 'edge-2')
            commit = daemon.store.commit

            async def take_over_meanwhile(transaction: rows.Transaction) -> Any:
                answer = await commit(transaction)
                if not is_takeover(transaction):
                    return answer
                own = other.hello
                world.shared.put(
                    OWN_TABLE,
                    LEADER_ROW,
                    msgspec.msgpack.encode(
                        Leadership(
                            own.instance_id, own.address, own.incarnation
                        )
                    ),
                )
                return answer

            daemon.store.commit = take_over_meanwhile
            self.assertFalse(await daemon.take_over())
            self.assertEqual(daemon.election.holder_id, 'edge-2')
            # It has released what it does not lead by.
            daemon.store.commit = commit
            self.assertTrue(await other.take_over())

        self.play(scenario)

    def test_takeover_that_is_given_up_takes_no_lease_of_others(self) -> None:
        """It expected the version in its answer, and released theirs."""

        async def scenario(world: World) -> None:
            daemon = self.add_daemon(world, 'edge-1')
            other = self.add_daemon(world, 'edge-2')
            commit = daemon.store.commit
            stored = []

            async def lead_meanwhile(transaction: rows.Transaction) -> Any:
                answer = await commit(transaction)
                if not is_takeover(transaction):
                    return answer
                lease = world.shared.row_by_name[LEASE_TABLE, LEASE_ROW]
                world.shared.delete(LEASE_TABLE, LEASE_ROW)
                assert await other.take_over()
                stored.append(lease)
                return rows.Committed(world.shared.version, world.loop.time())

            daemon.store.commit = lead_meanwhile
            self.assertFalse(await daemon.take_over())
            self.assertEqual(len(stored), 1)
            await asyncio.sleep(LEADING_TIME)
            self.assertTrue(other.is_leading())

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
