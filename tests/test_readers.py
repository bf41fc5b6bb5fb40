"""How often a fleet reads the store while no leader relays its changes."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from cassialever.fleet.readers import MAX_READERS, READ_AGE, Readers
from cassialever.policy.freshness import MAX_UNCONFIRMED_AGE
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon, simulated_links
from tests.store_faults import CHANGE_LIMIT, FaultyFleet

#: Daemons of a small and of a large fleet.
COUNTS = (10, 85)
#: How long no leader relays changes, in seconds.
DURATION = 10.0
#: Feeds a second of a daemon that reads the store's three tables, one of which
#: changes all the time.
FEEDS_PER_READER = 5
#: Feeds of each other daemon in that time.
FEEDS_PER_OTHER = 3


class FeedCount:
    """The calls for changes that all daemons make."""

    def __init__(self, rig: Rig) -> None:
        self.by_daemon: dict[str, int] = {}
        for daemon in rig.daemons:
            self._count(daemon)

    def total(self) -> int:
        return sum(self.by_daemon.values())

    def _count(self, daemon: RigDaemon) -> None:
        name = daemon.machine.name
        wait_for_changes = daemon.store.wait_for_changes
        self.by_daemon[name] = 0

        async def counted(*args: Any) -> Any:
            self.by_daemon[name] += 1
            return await wait_for_changes(*args)

        daemon.store.wait_for_changes = counted  # type: ignore[method-assign]


class ReadersTest(unittest.TestCase):
    """Which daemons read the store."""

    def test_all_daemons_agree_on_a_few(self) -> None:
        peers = {f'edge-{one}': f'10.1.0.{one}:7' for one in range(85)}
        readers = [
            name
            for name in peers
            if not Readers(name, lambda: peers).is_spared(0)
        ]
        self.assertEqual(len(readers), MAX_READERS)
        for name in peers:
            self.assertEqual(
                set(Readers(name, lambda: peers).addresses(0)),
                {peers[one] for one in readers if one != name},
            )

    def test_all_daemons_of_a_small_fleet_read(self) -> None:
        peers = {f'edge-{one}': '10.1.0.1:7' for one in range(MAX_READERS)}
        for name in peers:
            self.assertFalse(Readers(name, lambda: peers).is_spared(0))

    def test_daemon_whose_tables_get_old_reads(self) -> None:
        peers = {f'edge-{one}': '10.1.0.1:7' for one in range(85)}
        for name in peers:
            self.assertFalse(Readers(name, lambda: peers).is_spared(READ_AGE))


class ReadsCase(unittest.TestCase):
    """Fleets whose daemons all lose the leader's changes at once."""

    def check(self, scenario: Callable[[FaultyFleet], Awaitable[None]]) -> None:
        """Play a scenario; check the feeds, ages and a change's time."""
        for count in COUNTS:
            with self.subTest(count=count):
                run_virtually(
                    lambda loop, count=count: self._play(loop, count, scenario)
                )

    async def _play(
        self,
        loop: VirtualLoop,
        count: int,
        scenario: Callable[[FaultyFleet], Awaitable[None]],
    ) -> None:
        rig = Rig(loop, 0, count)
        with simulated_links(rig):
            await rig.settle()
            fleet = FaultyFleet(rig)
            feeds = FeedCount(rig)
            calls = sum(one.store.calls for one in rig.daemons)
            releasing = asyncio.create_task(rig.release())
            await scenario(fleet)
            oldest = 0.0
            ends_at = loop.time() + DURATION / 2
            while loop.time() < ends_at:
                await asyncio.sleep(CHECK_INTERVAL)
                oldest = max(oldest, *_ages(fleet))
            rig.configure(9)
            times = await rig.measure(_has_configuration, 2 * CHANGE_LIMIT)
            await asyncio.sleep(DURATION / 2 - times[-1])
            releasing.cancel()
            calls = sum(one.store.calls for one in rig.daemons) - calls
            print(
                f'{self.id()} {count}: {feeds.total()} feeds, {calls} calls, '
                f'age {oldest:.2f}, change {times[-1]:.2f}'
            )
            self.assertLess(oldest, MAX_UNCONFIRMED_AGE)
            self.assertLess(times[-1], CHANGE_LIMIT)
            readers = min(count, MAX_READERS)
            self.assertLess(
                feeds.total(),
                readers * FEEDS_PER_READER * DURATION
                + (count - readers) * FEEDS_PER_OTHER,
            )


class LeaderlessReadsTest(ReadsCase):
    """Daemons that the store serves, or a third of which it refuses."""

    def test_feeds_while_none_leads(self) -> None:
        """Each daemon of a large fleet followed three tables."""

        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()

        self.check(scenario)

    def test_feeds_while_the_store_refuses_the_leader(self) -> None:
        """All daemons read the store until another one led."""

        async def scenario(fleet: FaultyFleet) -> None:
            for daemon in fleet.living():
                fleet.faults(daemon).refused.add('commits')
            faults = fleet.faults(fleet.rig.leader())
            faults.refused.update(('reads', 'feeds'))

        self.check(scenario)

    def test_feeds_while_the_store_refuses_a_third_of_all(self) -> None:
        async def scenario(fleet: FaultyFleet) -> None:
            fleet.end_leadership()
            for daemon in fleet.living()[::3]:
                fleet.faults(daemon).refused.update(('reads', 'feeds'))

        self.check(scenario)


class RefusedReadersTest(ReadsCase):
    """The store refuses most of the daemons that would read it."""

    def test_feeds_while_the_store_refuses_most_readers(self) -> None:
        """All others read it, too: those that they asked had old tables."""

        async def scenario(fleet: FaultyFleet) -> None:
            peers = {one.machine.name: '' for one in fleet.rig.daemons}
            fleet.end_leadership()
            refused = 0
            for daemon in fleet.living():
                is_spared = Readers(daemon.machine.name, lambda: peers)
                if is_spared.is_spared(0) or refused == MAX_READERS - 2:
                    continue
                refused += 1
                fleet.faults(daemon).refused.update(('reads', 'feeds'))

        self.check(scenario)


def _ages(fleet: FaultyFleet) -> list[float]:
    return [one.catch_up.confirmation.age() for one in fleet.living()]


def _has_configuration(daemon: RigDaemon) -> bool:
    configuration = daemon.view.configuration
    return configuration is not None and configuration.version == 9


if __name__ == '__main__':
    unittest.main()
