"""Standstills of the event loop are logged with their cause."""

import asyncio
import time
import unittest
from unittest import mock

from cassialever.clock import SystemClock
from cassialever.events import Event
from cassialever.gateway import standstill_watch
from cassialever.gateway.standstill_watch import (
    CHECK_INTERVAL,
    MIN_LOGGED,
    StandstillWatch,
)

#: How long the loop stands still, in seconds.
STANDSTILL = 0.8


class StandstillTest(unittest.IsolatedAsyncioTestCase):
    """The loop doesn't run for a time."""

    async def asyncSetUp(self) -> None:
        patched = mock.patch.object(standstill_watch, 'record')
        self.recorded = patched.start()
        self.addCleanup(patched.stop)
        self.watch = StandstillWatch(SystemClock())
        running = asyncio.create_task(self.watch.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0)

    async def fields_after(self) -> dict[str, float]:
        await asyncio.sleep(CHECK_INTERVAL)
        self.recorded.assert_called_once_with(
            Event.stood_still, lasted=mock.ANY, busy_for=mock.ANY
        )
        self.assertGreaterEqual(self.watch.total, MIN_LOGGED)
        return self.recorded.call_args.kwargs

    async def test_blocked_loop_has_used_processor_time(self) -> None:
        """A daemon stood still for seconds, and no line of it told why."""
        ends_at = time.process_time() + STANDSTILL
        while time.process_time() < ends_at:
            continue
        fields = await self.fields_after()
        self.assertGreater(fields['busy_for'], STANDSTILL / 2)

    async def test_process_that_did_not_run_has_used_none(self) -> None:
        time.sleep(STANDSTILL)
        fields = await self.fields_after()
        self.assertLess(fields['busy_for'], STANDSTILL / 2)

    async def test_loop_that_runs_is_not_logged(self) -> None:
        await asyncio.sleep(2 * CHECK_INTERVAL)
        self.recorded.assert_not_called()
        self.assertEqual(self.watch.total, 0)


if __name__ == '__main__':
    unittest.main()
