"""Tests of following the store without a leader."""

import asyncio
import random
import unittest
from unittest import mock

from cassialever.events import Event
from cassialever.fleet import direct
from cassialever.fleet.direct import DirectFollower
from cassialever.fleet.following import StoreFollower
from cassialever.platform.store import StoreClient
from tests.fleet_helpers import ManualClock, configured_view


async def end_as_cancelled(_: StoreFollower) -> None:
    """Raise what a cancelled call that is awaited raises."""
    raise asyncio.CancelledError


class EndedFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def test_end_as_cancelled_lets_the_store_be_followed_again(
        self,
    ) -> None:
        """It counted as being followed from then on, and nothing told."""
        view = configured_view(ManualClock(), targets=0)
        store = StoreClient('127.0.0.1:9')
        follower = DirectFollower(store, view, random.Random(1))
        with (
            mock.patch.object(StoreFollower, 'run', end_as_cancelled),
            mock.patch.object(direct, 'record') as recorded,
        ):
            follower.start('no link to a leader')
            await asyncio.sleep(0.05)
        self.assertFalse(follower.is_running)
        recorded.assert_called_with(
            Event.task_failed, reason='CancelledError()'
        )


if __name__ == '__main__':
    unittest.main()
