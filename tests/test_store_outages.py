"""How soon tables are complete after an outage of the store."""

import asyncio
import random
import unittest
from typing import Any
from unittest import mock

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.direct import DIRECT_BATCH_DELAY
from cassialever.fleet.following import StoreFollower
from cassialever.fleet.membership import MemberState
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import OWN_TABLE, FleetView
from cassialever.platform import rows, store
from cassialever.types import RowVersion
from tests.fleet_helpers import LoopClock, VirtualLoop, run_virtually
from tests.fleet_rig import (
    STORE_DELAY,
    Rig,
    RigDaemon,
    RigStore,
    simulated_links,
)
from tests.store_faults import CHANGE_LIMIT, FaultyFleet

#: How long an outage lasts at most, in seconds.
OUTAGE = 9.0
#: Time from its end until tables are complete, and their age while none leads,
#: in seconds.
LIMIT = 2.0
SEEDS = range(40)
FLEET_SEEDS = range(2)
DAEMONS = 6
#: How long a term lasts that ends at once, in seconds.
TERM = 0.07
ALL_CALLS = frozenset(('reads', 'feeds', 'commits'))
CHECK_INTERVAL = 0.01


class OutageStore:
    """A store without changes that is silent, refuses calls, or answers."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.is_silent = False
        self.is_refusing = False

    async def read_all(self, table: str) -> Any:
        return await self._answer(store.CALL_TIMEOUT, 0)

    async def wait_for_changes(
        self, table: str, after: int, wait: float
    ) -> Any:
        return await self._answer(wait + store.POLL_ANSWER_TIMEOUT, wait)

    async def _answer(self, timeout: float, wait: float) -> Any:
        if self.is_silent:
            await asyncio.sleep(timeout)
            return Failure(ErrorKind.table_answer_lost, 'no answer')
        await asyncio.sleep(STORE_DELAY)
        if self.is_refusing:
            return Failure(ErrorKind.table_unavailable, 'answered 503')
        await asyncio.sleep(wait)
        return rows.Rows((), 5, self.loop.time())


class LoneFollowerTest(unittest.TestCase):
    """A daemon that can ask no other one."""

    def time_to_complete(self, fault: str, seed: int, learnt: int = 5) -> float:
        """Return the time from an outage's end until tables are complete.

        Meanwhile the daemon has learnt a version of all tables.
        """
        times: list[float] = []

        async def main(loop: VirtualLoop) -> None:
            random_source = random.Random(seed)
            faulty = OutageStore(loop)
            view = FleetView(LoopClock(loop))
            follower = StoreFollower(
                faulty,  # type: ignore[arg-type]
                view,
                random_source,
                view.tables,
                DIRECT_BATCH_DELAY,
            )
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(3 + random_source.random())
            setattr(faulty, fault, True)
            await asyncio.sleep(1)
            for table in view.tables:
                view.apply(table, [], RowVersion(learnt), 'another daemon')
            await asyncio.sleep(OUTAGE - 1 - random_source.random())
            setattr(faulty, fault, False)
            ended_at = loop.time()
            while loop.time() - follower.age() < ended_at:
                await asyncio.sleep(CHECK_INTERVAL)
            times.append(loop.time() - ended_at)
            task.cancel()

        run_virtually(main)
        return times[0]

    def test_tables_after_the_store_was_silent(self) -> None:
        """A silent call and the longest pause after it took 2.6 s."""
        times = [self.time_to_complete('is_silent', seed) for seed in SEEDS]
        self.assertLess(max(times), LIMIT)

    def test_tables_after_the_store_refused_calls(self) -> None:
        times = [self.time_to_complete('is_refusing', seed) for seed in SEEDS]
        self.assertLess(max(times), LIMIT)

    def test_tables_after_a_version_was_learnt_that_is_false(self) -> None:
        """Reads that were refused as outdated came seconds apart."""
        for fault in ('is_silent', 'is_refusing'):
            times = [
                self.time_to_complete(fault, seed, learnt=9) for seed in SEEDS
            ]
            self.assertLess(max(times), LIMIT, fault)


async def end_terms(fleet: FaultyFleet) -> None:
    """End each term shortly after it began."""
    while True:
        await asyncio.sleep(TERM)
        for daemon in fleet.living():
            term = daemon.member.leader_term
            if term and daemon.member.state is MemberState.leading:
                term.end(TermEnd.failed)


class FleetOutageTest(unittest.TestCase):
    """All daemons of a fleet whose terms end at once, or that none leads."""

    def check(self, fault: str, seed: int) -> None:
        """Play an outage; check how soon and how long tables are new."""

        async def main(loop: VirtualLoop) -> None:
            rig = Rig(loop, seed, DAEMONS)
            with simulated_links(rig):
                await rig.settle()
                fleet = FaultyFleet(rig)
                rig.leader().kill()
                ending = asyncio.create_task(end_terms(fleet))
                for daemon in fleet.living():
                    getattr(fleet.faults(daemon), fault).update(ALL_CALLS)
                await asyncio.sleep(OUTAGE)
                for daemon in fleet.living():
                    getattr(fleet.faults(daemon), fault).clear()
                await asyncio.sleep(LIMIT)
                self.assertLess(await oldest(fleet, 10), LIMIT)
                ending.cancel()

        run_virtually(main)

    def test_tables_after_the_store_was_silent(self) -> None:
        for seed in FLEET_SEEDS:
            self.check('silent', seed)

    def test_tables_after_the_store_refused_calls(self) -> None:
        for seed in FLEET_SEEDS:
            self.check('refused', seed)

    def test_tables_while_the_own_table_is_unread(self) -> None:
        """The age of all tables was that of the one that no request needs."""

        async def main(loop: VirtualLoop) -> None:
            rig = Rig(loop, 0, DAEMONS)
            with simulated_links(rig):
                await rig.settle()
                fleet = FaultyFleet(rig)
                fleet.end_leadership()
                for daemon in fleet.living():
                    faults = fleet.faults(daemon)
                    faults.tables = {OWN_TABLE}
                    faults.refused.update(('reads', 'feeds'))
                await asyncio.sleep(LIMIT)
                self.assertLess(await oldest(fleet, 10), LIMIT)

        run_virtually(main)


class LostVersionsTest(unittest.TestCase):
    """A store whose versions are lower after an outage than it told before.

    Calls for changes after versions that it does not have wait, or are gone.
    """

    def setUp(self) -> None:
        self.lead = 0
        self.are_later_gone = False
        read_all = RigStore.read_all
        wait_for_changes = RigStore.wait_for_changes

        def shown(answer: Any) -> Any:
            if isinstance(answer, Failure):
                return answer
            version = RowVersion(answer.version + self.lead)
            return rows.Rows(answer.rows, version, answer.store_time)

        async def read(rig_store: RigStore, table: str) -> Any:
            return shown(await read_all(rig_store, table))

        async def follow(
            rig_store: RigStore, table: str, after: int, wait: float
        ) -> Any:
            newest = rig_store._rig.rows.version + self.lead
            if self.are_later_gone and after > newest:
                await asyncio.sleep(STORE_DELAY)
                return Failure(ErrorKind.table_conflict, 'gone')
            return shown(await wait_for_changes(rig_store, table, after, wait))

        for name, call in (('read_all', read), ('wait_for_changes', follow)):
            patch = mock.patch.object(RigStore, name, call)
            patch.start()
            self.addCleanup(patch.stop)

    async def play(self, rig: Rig) -> None:
        """Play the outage; check when a change after it is in force."""
        fleet = FaultyFleet(rig)
        self.lead = 300
        await asyncio.sleep(LIMIT)
        for daemon in fleet.living():
            fleet.faults(daemon).silent.update(ALL_CALLS)
        self.lead = 0
        await asyncio.sleep(OUTAGE)
        for daemon in fleet.living():
            fleet.faults(daemon).silent.clear()
        await asyncio.sleep(LIMIT)
        rig.configure(9)
        times = await rig.measure(has_configuration, 2 * CHANGE_LIMIT)
        self.assertLess(max(times), CHANGE_LIMIT)
        self.assertLess(await oldest(fleet, 5), LIMIT)

    def check(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            for seed in FLEET_SEEDS:
                rig = Rig(loop, seed, DAEMONS)
                with simulated_links(rig):
                    await rig.settle()
                    await self.play(rig)

        run_virtually(main)

    def test_change_after_calls_for_later_changes_wait(self) -> None:
        """All daemons missed it for good, with tables that counted as new."""
        self.check()

    def test_change_after_calls_for_later_changes_are_gone(self) -> None:
        """It was in force at no daemon, and all had tables of before."""
        self.are_later_gone = True
        self.check()


def has_configuration(daemon: RigDaemon) -> bool:
    """Return whether the version that is acknowledged last is in force."""
    configuration = daemon.view.configuration
    return configuration is not None and configuration.version == 9


async def oldest(fleet: FaultyFleet, duration: float) -> float:
    """Return the highest age of a daemon's tables in some time."""
    ages: list[float] = []
    ends_at = fleet.rig.loop.time() + duration
    while fleet.rig.loop.time() < ends_at:
        await asyncio.sleep(CHECK_INTERVAL)
        ages.extend(one.catch_up.confirmation.age() for one in fleet.living())
    return max(ages)


if __name__ == '__main__':
    unittest.main()
