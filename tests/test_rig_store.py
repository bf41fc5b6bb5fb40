"""The options of the store of the fleet in virtual time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.platform.store import CALL_TIMEOUT, POLL_ANSWER_TIMEOUT
from cassialever.types import RowVersion
from tests import fleet_rig
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.fleet_rig import STORE_DELAY, Rig, RigStore

TABLE = 'own'


def row_write(name: str, version: int = 0) -> rows.Transaction:
    """Return a write of a row that has a version."""
    return rows.Transaction(
        (rows.Precondition(TABLE, name, RowVersion(version)),),
        (rows.Write(TABLE, name, b'content'),),
    )


class RigStoreTest(unittest.TestCase):
    """One daemon's client of the store."""

    def play(self, check: Callable[[Rig, RigStore], Awaitable[None]]) -> None:
        async def main(loop: VirtualLoop) -> None:
            rig = Rig(loop, 1, 1)
            await check(rig, rig.daemons[0].store)

        with (
            mock.patch.object(fleet_rig, 'ROUTE_COUNT', 1),
            mock.patch.object(fleet_rig, 'TARGETS', 1),
        ):
            run_virtually(main)

    def assert_lost(self, answer: Any) -> None:
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.kind, ErrorKind.table_answer_lost)

    def test_answers_have_later_versions(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            exact = await client.commit(row_write('first'))
            self.assertEqual(exact.version, rig.rows.version)
            rig.pace.other_writers.share = 1
            later = await client.commit(row_write('second'))
            stored = rig.rows.row_by_name[TABLE, 'second'].ver
            self.assertEqual(later.version, stored + 1)

        self.play(check)

    def test_calls_of_a_standstill_are_performed_late(self) -> None:
        """Callers have gone; reads are lost with them."""

        async def check(rig: Rig, client: RigStore) -> None:
            before = rig.rows.version
            rig.pace.standstill.begin()
            begun_at = rig.loop.time()
            self.assert_lost(await client.commit(row_write('row')))
            self.assertAlmostEqual(rig.loop.time(), begun_at + CALL_TIMEOUT)
            self.assert_lost(await client.read_all(TABLE))
            asked_at = rig.loop.time()
            version = RowVersion(before)
            self.assert_lost(await client.wait_for_changes(TABLE, version, 1))
            limit = asked_at + 1 + POLL_ANSWER_TIMEOUT
            self.assertAlmostEqual(rig.loop.time(), limit)
            self.assertEqual(rig.rows.version, before)
            await rig.pace.standstill.end()
            await asyncio.sleep(2 * STORE_DELAY)
            self.assertEqual(rig.rows.version, before + 1)
            read = await client.read_all(TABLE)
            self.assertEqual(len(read.rows), 1)

        self.play(check)

    def test_slow_answers_have_the_newest_version_of_their_time(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            before = rig.rows.version
            rig.pace.slowness.delays = (0.3, 0.3)
            rig.pace.slowness.part_before = 0
            first = asyncio.create_task(client.commit(row_write('first')))
            await asyncio.sleep(0.1)
            second = asyncio.create_task(client.commit(row_write('second')))
            answers = await asyncio.gather(first, second)
            self.assertEqual([one.version for one in answers], [before + 2] * 2)

        self.play(check)

    def test_late_commits_are_performed_and_not_answered(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            before = rig.rows.version
            client.commit_delay = 3
            self.assert_lost(await client.commit(row_write('row')))
            self.assertEqual(rig.rows.version, before)
            await asyncio.sleep(3 - CALL_TIMEOUT + 2 * STORE_DELAY)
            self.assertEqual(rig.rows.version, before + 1)

        self.play(check)

    def test_reads_of_single_tables_fail(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            client.refused_tables.add('op')
            client.silent_tables.add('servers')
            refused = await client.read_all('op')
            self.assertIs(refused.kind, ErrorKind.table_unavailable)
            self.assert_lost(await client.read_all('servers'))
            version = RowVersion(0)
            refused = await client.wait_for_changes('op', version, 1)
            self.assertIs(refused.kind, ErrorKind.table_unavailable)
            self.assert_lost(
                await client.wait_for_changes('servers', version, 1)
            )
            read = await client.read_all(TABLE)
            self.assertEqual(read.version, rig.rows.version)
            answer = await client.commit(row_write('row'))
            self.assertIsInstance(answer, rows.Committed)

        self.play(check)

    def test_reads_are_behind(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            await asyncio.sleep(5)
            before = rig.rows.version
            await client.commit(row_write('row'))
            rig.pace.lag.seconds = 2
            read = await client.read_all(TABLE)
            self.assertEqual((read.rows, read.version), ((), before))
            asked_at = rig.loop.time()
            changed = await client.wait_for_changes(
                TABLE, RowVersion(before), 3
            )
            self.assertEqual(changed.version, before + 1)
            self.assertAlmostEqual(rig.loop.time(), asked_at + 2, delta=0.1)

        self.play(check)

    def test_calls_beyond_the_rate_are_refused(self) -> None:
        async def check(rig: Rig, client: RigStore) -> None:
            rig.pace.read_rate.per_second = 2
            for _ in range(2):
                read = await client.read_all(TABLE)
                self.assertIsInstance(read, rows.Rows)
            refused = await client.read_all(TABLE)
            self.assertIs(refused.kind, ErrorKind.table_unavailable)
            answer = await client.commit(row_write('row'))
            self.assertIsInstance(answer, rows.Committed)
            await asyncio.sleep(1)
            read = await client.read_all(TABLE)
            self.assertEqual(len(read.rows), 1)

        self.play(check)


if __name__ == '__main__':
    unittest.main()
