"""When changes are in force on a fleet of small machines with thin links."""

import asyncio
import os
import unittest
from collections.abc import Awaitable, Callable

from cassialever.fleet.model import TargetState
from cassialever.types import TargetId
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon, run_scenario

#: Daemons, and by when each has a change in force, in seconds.
DAEMONS = 59
CHANGE_LIMIT = 2.5
#: Longest time that is measured, in seconds.
MEASURED = 6.0
#: Seeds of the machines and of all delays; more with RIG_SEEDS=COUNT.
SEEDS = range(int(os.environ.get('RIG_SEEDS', '2')))
#: How long packets wait at a link that is full, in seconds.
FULL_LINK_DELAY = 2.6
#: Calls to the store by each daemon that follows it, in a second: one for a
#: table at rest, two for each of the two that change, and a margin.
MAX_CALLS_PER_DAEMON = 6
LEAVING = TargetId('t0')


def has_configuration(daemon: RigDaemon) -> bool:
    configuration = daemon.view.configuration
    return configuration is not None and configuration.version == 9


def knows_leaving(daemon: RigDaemon) -> bool:
    target = daemon.view.targets.by_id.get(LEAVING)
    return target is not None and target.state is TargetState.draining


class ChangeTest(unittest.TestCase):
    """A configuration and a target that leaves, beside faults of the leader."""

    #: Share of the smallest machines that other work uses.
    load = 0.0

    def play(
        self,
        fault: Callable[[Rig, RigDaemon], Awaitable[None]],
        is_leader_in_touch: bool = True,
        lead_time: float = 0.02,
    ) -> None:
        """Let a fault begin, then acknowledge both changes at once."""
        for seed in SEEDS:
            run_virtually(
                lambda loop, seed=seed: self._play(
                    loop, seed, fault, is_leader_in_touch, lead_time
                )
            )

    async def _play(
        self,
        loop: VirtualLoop,
        seed: int,
        fault: Callable[[Rig, RigDaemon], Awaitable[None]],
        is_leader_in_touch: bool,
        lead_time: float,
    ) -> None:
        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            fault_task = asyncio.create_task(fault(rig, leader))
            await asyncio.sleep(lead_time)
            rig.configure(9)
            rig.put_target(0, 'draining')
            left_out = None if is_leader_in_touch else leader
            configured, left = await asyncio.gather(
                rig.measure(has_configuration, MEASURED, left_out),
                rig.measure(knows_leaving, MEASURED, left_out),
            )
            await fault_task
            calls = sum(one.store.calls for one in rig.daemons)
            figures = [
                f'{times[len(times) * 99 // 100]:.2f} {times[-1]:.2f}'
                for times in (configured, left)
            ]
            print(f'{self.id()} {seed}: {figures}, {calls} calls')
            for times in (configured, left):
                self.assertLessEqual(times[-1], CHANGE_LIMIT, f'seed {seed}')

        await run_scenario(loop, seed, scenario, DAEMONS, self.load)

    def test_calm(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            return

        self.play(fault)

    def test_leader_that_stops(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            await leader.member.resign()

        self.play(fault)

    def test_leader_that_is_killed(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            await asyncio.sleep(0.025)
            leader.kill()

        self.play(fault)

    def test_leader_that_is_cut_off_from_the_store(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            leader.store.is_cut = True

        self.play(fault, is_leader_in_touch=False)

    def test_leader_whose_link_is_full(self) -> None:
        """Its heartbeats keep coming, each of them late."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            for step in range(1200):
                # The queue grows by half a second in each second.
                leader.machine.fill_link(min(0.005 * step, FULL_LINK_DELAY))
                await asyncio.sleep(CHECK_INTERVAL)

        self.play(fault, is_leader_in_touch=False, lead_time=5.0)

    def test_leader_whose_tables_are_old(self) -> None:
        """It renews its lease, and its calls for changes are not answered."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            leader.store.loses_polls = True

        self.play(fault, is_leader_in_touch=False)

    def test_leader_whose_tables_are_old_and_that_is_killed(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            leader.store.loses_polls = True
            await asyncio.sleep(1.7)
            leader.kill()

        self.play(fault)

    def test_leader_that_is_killed_and_the_next_one_after_it(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            await asyncio.sleep(0.025)
            leader.kill()
            while rig.find_leader() is None:
                await asyncio.sleep(CHECK_INTERVAL)
            rig.leader().kill()

        self.play(fault)

    def test_leader_that_is_killed_and_another_daemon_one_second_later(
        self,
    ) -> None:
        """The fastest machine left, which is likely to lead next."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            await asyncio.sleep(0.025)
            leader.kill()
            await asyncio.sleep(1)
            left = [one for one in rig.daemons if one.machine.is_alive]
            next_leader = rig.find_leader() or max(
                left, key=lambda one: one.machine.link_mbps
            )
            next_leader.kill()

        self.play(fault)

    def test_leader_that_is_killed_and_the_next_one_gets_no_changes(
        self,
    ) -> None:
        """Both changes are acknowledged after the next one has taken over."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            leader.kill()
            while rig.find_leader() is None:
                await asyncio.sleep(CHECK_INTERVAL)
            rig.leader().store.loses_polls = True

        self.play(fault, lead_time=1.2)

    def test_followers_that_hear_nothing_of_their_leader(self) -> None:
        """What they send arrives. They are the machines with thin links."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            for daemon in rig.daemons:
                if daemon.machine.is_small():
                    daemon.machine.deaf_to.add(leader.machine.name)

        self.play(fault)

    def test_daemons_that_are_added(self) -> None:
        """Six take whole tables from the leader while it relays the change."""

        async def fault(rig: Rig, leader: RigDaemon) -> None:
            for _ in range(6):
                rig.add_daemon()

        self.play(fault)

    def test_daemons_that_are_added_beside_a_killed_leader(self) -> None:
        async def fault(rig: Rig, leader: RigDaemon) -> None:
            for _ in range(6):
                rig.add_daemon()
            await asyncio.sleep(0.025)
            leader.kill()

        self.play(fault)


class LoadedChangeTest(ChangeTest):
    """The same while other work takes most of the smallest machines."""

    load = 0.6


class SuccessorTest(unittest.TestCase):
    """Which daemon leads after a leader that was lost."""

    def test_killed_leader_is_replaced_over_a_fast_link(self) -> None:
        """Five of six daemons have slow ones."""
        for seed in SEEDS:
            run_virtually(
                lambda loop, seed=seed: run_scenario(
                    loop, seed, self._play, DAEMONS
                )
            )

    async def _play(self, rig: Rig) -> None:
        rig.leader().kill()
        await asyncio.sleep(2.5)
        link_mbps = rig.leader().machine.link_mbps
        print(f'{self.id()}: {link_mbps} Mbit/s')
        self.assertGreaterEqual(link_mbps, 100)


class StoreCallsTest(unittest.TestCase):
    """How often a fleet reads the store that every daemon follows."""

    def test_daemons_that_follow_the_store_read_it_seldom(self) -> None:
        """Targets and keys change, and the leader's link is full for 12 s."""
        for seed in SEEDS:
            run_virtually(lambda loop, seed=seed: self._play(loop, seed))

    async def _play(self, loop: VirtualLoop, seed: int) -> None:
        async def scenario(rig: Rig) -> None:
            changing = asyncio.create_task(self._change_keys(rig))
            machine = rig.leader().machine
            before = 0
            for step in range(1200):
                machine.fill_link(min(0.005 * step, FULL_LINK_DELAY))
                await asyncio.sleep(CHECK_INTERVAL)
                if step == 500:
                    before = sum(one.store.calls for one in rig.daemons)
            changing.cancel()
            calls = sum(one.store.calls for one in rig.daemons) - before
            print(f'{self.id()} {seed}: {calls} calls in 7 s')
            self.assertLess(calls, MAX_CALLS_PER_DAEMON * 7 * DAEMONS)

        await run_scenario(loop, seed, scenario, DAEMONS)

    async def _change_keys(self, rig: Rig) -> None:
        while True:
            await asyncio.sleep(0.1)
            rig.put('cassialever', 'changing', {})


if __name__ == '__main__':
    unittest.main()
