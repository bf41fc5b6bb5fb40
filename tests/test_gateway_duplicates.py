"""Tests of second tries beside a first one that is still open."""

import asyncio
import unittest
from unittest import mock

from cassialever.events import Event
from cassialever.gateway import duplicates
from cassialever.gateway.duplicates import DuplicateTry
from cassialever.gateway.outcomes import (
    Answer,
    Attempt,
    AttemptOutcome,
    not_run,
    unknown,
)

#: The interval between checks of a path, shortened for the tests.
CHECK_INTERVAL = 0.01


def answered(by: str) -> Attempt:
    """Return an attempt that a target answered."""
    return Attempt(AttemptOutcome.answered, Answer(by, 200, [], b''))


class Try:
    """A try that ends after a time, and notes when it was cancelled."""

    def __init__(self, duration: float, attempt: Attempt) -> None:
        self.duration = duration
        self.attempt = attempt
        self.begun = 0
        self.is_cancelled = False

    async def run(self) -> Attempt:
        self.begun += 1
        try:
            await asyncio.sleep(self.duration)
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise
        return self.attempt


class DuplicateTryTest(unittest.IsolatedAsyncioTestCase):
    """Which try counts, and what becomes of the other."""

    def setUp(self) -> None:
        patch = mock.patch.object(
            duplicates, 'PATH_CHECK_INTERVAL', CHECK_INTERVAL
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.is_due = True

    async def race(self, first: Try, second: Try) -> Attempt:
        attempt = await DuplicateTry(lambda: self.is_due, second.run).race(
            first.run()
        )
        # A cancelled try ends in the next turn of the loop.
        await asyncio.sleep(0)
        return attempt

    async def test_answer_to_the_second_try_ends_the_first(self) -> None:
        first, second = Try(5, answered('a')), Try(0.02, answered('b'))
        self.assertIs(await self.race(first, second), second.attempt)
        self.assertTrue(first.is_cancelled)

    async def test_answer_to_the_first_try_ends_the_second(self) -> None:
        first, second = Try(0.05, answered('a')), Try(5, answered('b'))
        self.assertIs(await self.race(first, second), first.attempt)
        self.assertTrue(second.is_cancelled)

    async def test_second_try_that_fails_leaves_the_first(self) -> None:
        failed = Attempt(AttemptOutcome.failed, Answer('b', 500, [], b''))
        for attempt in (not_run('refused'), unknown('lost'), failed):
            first, second = Try(0.1, answered('a')), Try(0.01, attempt)
            self.assertIs(await self.race(first, second), first.attempt)
            self.assertFalse(first.is_cancelled)
            self.assertEqual(second.begun, 1)

    async def test_first_try_that_fails_leaves_the_second(self) -> None:
        first, second = Try(0.05, unknown('reset')), Try(0.1, answered('b'))
        self.assertIs(await self.race(first, second), second.attempt)

    async def test_work_that_may_have_run_is_never_reported_as_not_run(
        self,
    ) -> None:
        may_have_run = unknown('reset')
        for outcomes in (
            (may_have_run, not_run('refused')),
            (not_run('refused'), may_have_run),
        ):
            first, second = Try(0.05, outcomes[0]), Try(0.05, outcomes[1])
            self.assertIs(await self.race(first, second), may_have_run)

    async def test_no_second_try_while_none_is_due(self) -> None:
        self.is_due = False
        first, second = Try(0.1, answered('a')), Try(0, answered('b'))
        self.assertIs(await self.race(first, second), first.attempt)
        self.assertEqual(second.begun, 0)

    async def test_second_try_that_raises_leaves_the_first(self) -> None:
        first = Try(0.1, answered('a'))
        failing = mock.AsyncMock(side_effect=ValueError)
        with mock.patch.object(duplicates, 'record') as recorded:
            attempt = await DuplicateTry(lambda: True, failing).race(
                first.run()
            )
        self.assertIs(attempt, first.attempt)
        # Nothing told of a fault of the second try.
        recorded.assert_called_once_with(
            Event.task_failed, reason='ValueError()'
        )

    async def test_caller_that_leaves_ends_both(self) -> None:
        first, second = Try(5, answered('a')), Try(5, answered('b'))
        racing = asyncio.create_task(self.race(first, second))
        await asyncio.sleep(0.05)
        racing.cancel()
        await asyncio.wait([racing])
        await asyncio.sleep(0)
        self.assertTrue(first.is_cancelled)
        self.assertTrue(second.is_cancelled)

    async def test_caller_that_leaves_at_the_answer_ends_the_race(self) -> None:
        """The callback of the second try raised, which the loop logged."""

        async def answer() -> Attempt:
            racing.cancel()
            return answered('b')

        first = Try(5, answered('a'))
        racing = asyncio.create_task(
            DuplicateTry(lambda: True, answer).race(first.run())
        )
        with self.assertNoLogs('asyncio', 'ERROR'):
            await asyncio.wait([racing])
            await asyncio.sleep(CHECK_INTERVAL)
        self.assertTrue(racing.cancelled())


if __name__ == '__main__':
    unittest.main()
