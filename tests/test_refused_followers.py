"""Daemons that the store refuses, while their leader is cut off from it.

One that is spared the store's tables has not called it, and may leave a leader
that it can't replace.
"""

import asyncio
import unittest

from tests.fleet_rig import CHECK_INTERVAL, Rig, RigDaemon
from tests.test_fleet_elections import ElectionCase

#: A fleet in which most daemons are spared.
DAEMONS = 30
#: Time in which a leader that is cut off is replaced, in seconds.
REPLACED_LIMIT = 3.0
#: Longest time without a link for a daemon that has left in vain, in seconds.
GAP_LIMIT = 0.3
#: Oldest tables of a daemon meanwhile, in seconds.
TABLES_LIMIT = 2.0


def refuse(daemon: RigDaemon) -> None:
    """Let the store refuse a daemon's reads."""
    daemon.store.refused_tables = set(daemon.view.tables)
    daemon.store.refused_tables.add('cassialever-lease')


class RefusedFollowersTest(ElectionCase):
    """A share of a large fleet is refused as the leader loses the store."""

    def check(self, share: float) -> None:
        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            others = [one for one in rig.daemons if one is not leader]
            for daemon in others:
                daemon.member.election_delay = 0
            refused = others[: int(len(others) * share)]
            for daemon in refused:
                refuse(daemon)
            leader.store.is_cut = True
            cut_at = rig.loop.time()
            gaps = dict.fromkeys((one.machine.name for one in refused), 0.0)
            longest, oldest = 0.0, 0.0
            while not any(one.member.leader_term for one in others):
                await asyncio.sleep(CHECK_INTERVAL)
                self.assertLess(rig.loop.time() - cut_at, 2 * REPLACED_LIMIT)
                for one in refused:
                    name = one.machine.name
                    is_linked = one.link.is_open
                    gaps[name] = 0 if is_linked else gaps[name] + CHECK_INTERVAL
                    age = one.catch_up.confirmation.ages().tables_age
                    oldest = max(oldest, age)
                longest = max(longest, *gaps.values())
            took = rig.loop.time() - cut_at
            print(
                f'{self.id()}: {share} refused, replaced after {took:.2f} s,'
                f' without a link for {longest:.2f} s, tables of {oldest:.2f} s'
            )
            self.assertLess(took, REPLACED_LIMIT)
            self.assertLess(longest, GAP_LIMIT)
            self.assertLess(oldest, TABLES_LIMIT)
            await asyncio.sleep(REPLACED_LIMIT)
            # The one that is cut off comes once its calls have ended.
            leading = [one for one in others if one.member.leader_term]
            self.assertEqual(len(leading), 1)
            names = {one.machine.name for one in others if one not in leading}
            self.assertLessEqual(names, set(leading[0].relay.follower_by_id))

        self.play(scenario, count=DAEMONS, seeds=range(4))

    def test_third_of_the_daemons(self) -> None:
        self.check(1 / 3)

    def test_nine_in_ten(self) -> None:
        """More than the platform's pages allow."""
        self.check(0.9)


if __name__ == '__main__':
    unittest.main()
