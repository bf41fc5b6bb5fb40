"""Changes while calls that wait for them get no answer, and reads work."""

import asyncio
import unittest

from tests.store_faults import FaultyFleet
from tests.test_following_faults import FollowingCase

#: Time from the silence until the leader is lost, in seconds.
LOST_AFTER = (0.0, 0.5, 1.0, 1.5)
DURATION = 10.0


class SilentFeedsTest(FollowingCase):
    """All daemons' feeds go silent shortly before the leader is lost."""

    def test_leader_lost_beside_silent_feeds_delays_changes(self) -> None:
        """Daemons waited for two silent feeds before they read a table."""
        for lost_after in LOST_AFTER:

            async def scenario(fleet: FaultyFleet) -> None:
                for daemon in fleet.living():
                    fleet.faults(daemon).silent.add('feeds')
                await asyncio.sleep(lost_after)
                fleet.rig.leader().kill()

            with self.subTest(lost_after=lost_after):
                self.check(scenario, duration=DURATION)


if __name__ == '__main__':
    unittest.main()
