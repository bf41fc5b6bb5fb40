"""Tests of following the store, with a scripted store."""

import asyncio
import random
import unittest

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.following import (
    BATCH_DELAY,
    MAX_RETRY_DELAY,
    StoreFollower,
)
from cassialever.fleet.view import FleetView
from cassialever.platform import rows
from cassialever.platform.store import LONG_POLL_WAIT
from tests.fleet_helpers import (
    LoopClock,
    VirtualLoop,
    json_row,
    run_virtually,
    target_entry,
)

TABLE = 'servers'


class ScriptedStore:
    """A store with one table; calls that wait return once rows change."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.rows = []
        self.follow_calls = 0
        self.read_calls = 0
        #: Failures that the next calls return, in order.
        self.failures: list[Failure] = []
        #: How long an answer takes, in seconds.
        self.answer_time = 0.0

    def change(self, number: int) -> None:
        version = len(self.rows) + 1
        entry = target_entry()
        self.rows.append(json_row(TABLE, f't{number}', entry, version))

    async def read_all(self, table: str) -> rows.Rows | Failure:
        self.read_calls += 1
        if self.failures:
            return self.failures.pop(0)
        return rows.Rows(tuple(self.rows), len(self.rows), self.loop.time())

    async def wait_for_changes(
        self, table: str, after: int, wait: float = LONG_POLL_WAIT
    ) -> rows.Rows | Failure:
        self.follow_calls += 1
        if self.failures:
            return self.failures.pop(0)
        ends_at = self.loop.time() + wait
        while len(self.rows) <= after and self.loop.time() < ends_at:
            await asyncio.sleep(0.001)
        changed = tuple(self.rows[after:])
        version = len(self.rows)
        await asyncio.sleep(self.answer_time)
        return rows.Rows(changed, version, self.loop.time())


class FollowingTest(unittest.TestCase):
    """Which calls a follower makes to the store, and when."""

    def run_scenario(self, scenario) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = ScriptedStore(loop)
            view = FleetView(LoopClock(loop))
            source = random.Random(1)
            follower = StoreFollower(store, view, source, (TABLE,))
            task = loop.create_task(follower.run())
            await asyncio.sleep(0.01)
            self.follower = follower
            await scenario(store, view)
            task.cancel()

        run_virtually(main)

    def test_rows_that_change_together_are_read_in_few_calls(self) -> None:
        """Thirty targets start within 0.3 s."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            for number in range(30):
                store.change(number)
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * BATCH_DELAY)
            self.assertEqual(len(view.targets.by_id), 30)
            self.assertLessEqual(store.follow_calls, 0.3 / BATCH_DELAY + 3)

        self.run_scenario(scenario)

    def test_single_change_is_applied_at_once(self) -> None:
        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            await asyncio.sleep(3)
            store.change(1)
            await asyncio.sleep(0.01)
            self.assertIn('t1', view.targets.by_id)

        self.run_scenario(scenario)

    def test_table_is_read_whole_after_lost_history(self) -> None:
        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            store.failures = [Failure(ErrorKind.table_conflict, 'forgotten')]
            await asyncio.sleep(2)
            self.assertEqual(store.read_calls, 2)

        self.run_scenario(scenario)

    def test_table_whose_version_is_forgotten_is_read_whole(self) -> None:
        """A KeyError ended the follower of all tables."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            store.change(1)
            await asyncio.sleep(BATCH_DELAY / 2)
            # As for changes of a key map that do not apply.
            view.rows.version_by_table.pop(TABLE)
            await asyncio.sleep(BATCH_DELAY)
            self.assertEqual(view.rows.version_by_table[TABLE], 1)
            store.change(2)
            await asyncio.sleep(2 * BATCH_DELAY)
            self.assertIn('t2', view.targets.by_id)

        self.run_scenario(scenario)

    def test_older_read_before_the_store_confirmed_proves_nothing(
        self,
    ) -> None:
        """An answer by an old state counted with one of hours before."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            store.change(1)
            store.change(2)
            await asyncio.sleep(1)
            for _ in range(3):
                began_at = view.targets.clock.boot()
                await asyncio.sleep(0.01)
                adopted = view.replace(TABLE, [], 1, began_at=began_at)
                self.assertFalse(adopted)
                # Calls for changes are answered meanwhile.
                await asyncio.sleep(3)

        self.run_scenario(scenario)

    def test_age_tells_whether_the_tables_are_complete(self) -> None:
        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            for number in range(20):
                if number % 3 == 0:
                    store.change(number)
                await asyncio.sleep(0.37)
                self.assertLess(self.follower.age(), 1.6)
            lost = Failure(ErrorKind.table_answer_lost, 'lost')
            store.failures = [lost] * 100
            await asyncio.sleep(5)
            self.assertGreater(self.follower.age(), 3.4)
            store.failures = []
            # The longest delay after a failure, and one wait for changes.
            await asyncio.sleep(2 * MAX_RETRY_DELAY + LONG_POLL_WAIT + 0.1)
            self.assertLess(self.follower.age(), 1.6)

        self.run_scenario(scenario)

    def test_tables_that_were_just_adopted_are_confirmed_at_once(self) -> None:
        """A daemon that begins to lead has them from its former leader."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            source = random.Random(1)
            successor = StoreFollower(store, view, source, (TABLE,))
            task = asyncio.create_task(successor.run())
            await asyncio.sleep(0.01)
            self.assertLess(successor.age(), 0.1)
            task.cancel()

        self.run_scenario(scenario)

    def test_age_is_unknown_until_a_long_poll_ends(self) -> None:
        """The tables are known already when this daemon begins to lead."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            await asyncio.sleep(0.5)
            following = StoreFollower(store, view, random.Random(1), (TABLE,))
            task = asyncio.ensure_future(following.run())
            await asyncio.sleep(0.05)
            self.assertLess(following.age(), 0.1)
            task.cancel()

        self.run_scenario(scenario)

    def test_tables_stay_young_beside_changes_and_slow_answers(self) -> None:
        """A wait that ends late or with a change shortens the next one."""

        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            for answer_time in (0.004, 0.4):
                store.answer_time = answer_time
                # The first answer that is late was not foreseen.
                await asyncio.sleep(2)
                calls_before = store.follow_calls
                for number in range(3000):
                    if number % 130 == 0:
                        store.change(number)
                    await asyncio.sleep(0.01)
                    self.assertLess(
                        self.follower.age(),
                        LONG_POLL_WAIT + BATCH_DELAY + answer_time,
                    )
                calls = store.follow_calls - calls_before
                self.assertLess(calls, 80 if answer_time == 0.4 else 60)

        self.run_scenario(scenario)

    def test_age_stays_high_after_an_outage(self) -> None:
        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            lost = Failure(ErrorKind.table_answer_lost, 'lost')
            store.failures = [lost] * 8
            while store.failures:
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * MAX_RETRY_DELAY + 0.05)
            self.assertLess(self.follower.age(), 2 * MAX_RETRY_DELAY)

        self.run_scenario(scenario)

    def test_calls_to_an_unreachable_store_back_off(self) -> None:
        async def scenario(store: ScriptedStore, view: FleetView) -> None:
            unreachable = Failure(ErrorKind.table_unavailable, 'unreachable')
            store.failures = [unreachable] * 100
            await asyncio.sleep(11.5)
            # The first delays are shorter than the maximum of 0.8 s.
            self.assertLess(store.follow_calls + store.read_calls, 20)

        self.run_scenario(scenario)


if __name__ == '__main__':
    unittest.main()
