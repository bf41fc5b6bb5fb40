"""Tests of how long a leader that resigns keeps others from leading."""

import asyncio
import unittest
from typing import Any

from cassialever.errors import Failure
from cassialever.fleet.breakable_calls import BreakableCalls
from cassialever.fleet.leading import GRANT_PATIENCE
from cassialever.fleet.lease import EMPTY_TRANSACTION
from cassialever.keys.assignments import MAX_TRANSIT_TIME
from cassialever.platform import rows
from cassialever.platform.spare_connections import CONFIRMATION_TIMEOUT
from cassialever.platform.targets import CallOutcome, CallResult
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, World
from tests.test_removed_maps import stored_lease

TARGETS = 18
#: When a leader resigns after its targets were lost, in seconds: grants to them
#: are under way within a renewal interval and their time limit.
PHASES = [0.05 * step for step in range(21)]
#: For a write of the lease, and looks at what is under way, in seconds.
MARGIN = 0.1
#: How long an answer takes over a link that is full, in seconds: nearly all of
#: a grant's time limit.
LATE_ANSWER = 0.35
#: Time between two attempts of the next leader, in seconds.
ATTEMPT_INTERVAL = 0.02


class ResignationTest(unittest.TestCase):
    """A leader resigns while a third of the targets doesn't answer."""

    def longest(self, *, has_question: bool = False, share: float) -> float:
        """Return the longest time until another daemon leads."""
        return max(
            self.time_without_leader(phase, share, has_question=has_question)
            for phase in PHASES
        )

    def time_without_leader(
        self, phase: float, share: float, *, has_question: bool
    ) -> float:
        taken: list[float] = []

        async def main(loop: VirtualLoop) -> None:
            world = World(loop, round(100 * phase), TARGETS)
            first, second = (world.add_daemon(f'edge-{one}') for one in (1, 2))
            world.publish_targets()
            self.assertTrue(await first.take_over())
            await asyncio.sleep(2)
            self.assertEqual(world.unheld_count(), 0)
            if has_question:
                delay_answers(first)
            lost = list(world.targets)[: round(share * TARGETS)]
            first.target_client.hangs = True
            first.target_client.unreachable.update(lost)
            await asyncio.sleep(phase)
            began_at = loop.time()
            assert first.leader_term is not None
            resigning = asyncio.create_task(first.leader_term.resign())
            while not await second.take_over():
                await asyncio.sleep(ATTEMPT_INTERVAL)
            taken.append(loop.time() - began_at)
            await resigning
            first.kill()
            await asyncio.sleep(4)
            self.assertEqual(world.unheld_count(), 0)
            second.kill()
            self.assertEqual(world.violations, [])

        run_virtually(main)
        return taken[0]

    def test_grants_without_answer_delay_the_next_leader_shortly(self) -> None:
        longest = self.longest(share=1 / 3)
        print(f'{self.id()}: {longest:.2f} s')
        limit = GRANT_PATIENCE + MAX_TRANSIT_TIME + MARGIN
        self.assertLessEqual(longest, limit)

    def test_questions_after_grants_delay_it_no_longer(self) -> None:
        """A full link: each answer and each question takes its time."""
        longest = self.longest(share=1 / 3, has_question=True)
        print(f'{self.id()}: {longest:.2f} s')
        limit = GRANT_PATIENCE + MAX_TRANSIT_TIME + MARGIN
        self.assertLessEqual(longest, limit)

    def test_calm_leader_is_replaced_as_soon_as_grants_have_ended(self) -> None:
        longest = self.longest(share=0)
        print(f'{self.id()}: {longest:.2f} s')
        self.assertLessEqual(longest, GRANT_PATIENCE)


class WriteTest(unittest.TestCase):
    """A leader writes while it resigns."""

    def test_write_beside_a_resignation_releases_no_lease(self) -> None:
        # It gave the lease up while a grant was under way.
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed=1)
            daemon = world.add_daemon('edge-1')
            world.publish_targets()
            self.assertTrue(await daemon.take_over())
            leader_term = daemon.leader_term
            assert leader_term is not None
            await asyncio.sleep(2)
            leader_term.grants_in_progress += 1
            resigning = asyncio.create_task(leader_term.resign())
            await asyncio.sleep(GRANT_PATIENCE / 2)
            written = await leader_term.commit(EMPTY_TRANSACTION)
            self.assertIsInstance(written, rows.Committed)
            self.assertFalse(stored_lease(world).is_resigned)
            leader_term.grants_in_progress -= 1
            await resigning
            self.assertTrue(stored_lease(world).is_resigned)
            after = await leader_term.commit(EMPTY_TRANSACTION)
            self.assertIsInstance(after, Failure)
            self.assertTrue(stored_lease(world).is_resigned)
            daemon.kill()

        run_virtually(main)


def delay_answers(daemon: Daemon) -> None:
    """Have answers come late, and the one to the question after each grant."""
    grant = daemon.target_client.grant

    async def ask(*arguments: Any, **options: Any) -> CallResult:
        result = await grant(*arguments, **options)
        if result.outcome is CallOutcome.done:
            await asyncio.sleep(LATE_ANSWER)
            await asyncio.sleep(CONFIRMATION_TIMEOUT)
        return result

    daemon.target_client.grant = ask


class BreakableCallsTest(unittest.TestCase):
    """Calls that are broken off together."""

    def test_result_of_a_call_is_returned(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            calls = BreakableCalls()
            result = await calls.run(asyncio.sleep(1, 'done'))
            self.assertEqual(result, 'done')
            calls.break_off()

        run_virtually(main)

    def test_calls_under_way_are_broken_off(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            calls = BreakableCalls()
            tasks = [
                asyncio.create_task(calls.run(asyncio.sleep(9, 'done')))
                for _ in range(2)
            ]
            await asyncio.sleep(1)
            calls.break_off()
            calls.break_off()
            self.assertEqual(await asyncio.gather(*tasks), [None, None])
            self.assertEqual(loop.time(), began_at + 1)
            result = await calls.run(asyncio.sleep(1, 'done'))
            self.assertEqual(result, 'done')

        began_at = 1000.0
        run_virtually(main)

    def test_time_limit_of_a_call_is_its_own(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            with self.assertRaises(TimeoutError):
                await BreakableCalls().run(
                    asyncio.wait_for(asyncio.sleep(9), 1)
                )

        run_virtually(main)


if __name__ == '__main__':
    unittest.main()
