"""What daemons hear of each other's paths while none can lead."""

import asyncio
import unittest
from typing import Any

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.membership import daemons_to_inform
from cassialever.platform import rows
from cassialever.platform.store import CALL_TIMEOUT
from tests.fleet_rig import CHECK_INTERVAL, Rig
from tests.test_fleet_elections import (
    DAEMONS,
    Commit,
    ElectionCase,
    lose_leases,
)

#: Longer than an outage of the store, in seconds.
FAULT_DURATION = 12.0
#: Time in which a leader's list is complete, and one that has ended is left
#: out, in seconds.
LIST_TIME = 5.0


def hold_answers(commit: Commit) -> Commit:
    """Return a store's commit that is performed and not answered."""

    async def call(transaction: rows.Transaction) -> Any:
        await commit(transaction)
        await asyncio.sleep(CALL_TIMEOUT)
        return Failure(ErrorKind.table_answer_lost, 'no answer')

    return call


class LeaderlessReportsTest(ElectionCase):
    """No daemon gets an answer about the lease, and all leave the leader."""

    def test_daemons_go_on_to_hear_of_each_other(self) -> None:
        """Each reported to those that a leader with ever fewer had named."""

        async def scenario(rig: Rig) -> None:
            for daemon in rig.daemons:
                daemon.store.commit = hold_answers(daemon.store.commit)
                daemon.store.read = lose_leases(daemon.store.read)
            ends_at = rig.loop.time() + FAULT_DURATION
            fewest = DAEMONS
            while rig.loop.time() < ends_at:
                await asyncio.sleep(CHECK_INTERVAL)
                now = rig.loop.time()
                for daemon in rig.daemons:
                    reports = daemon.gossip._reporter._paths.reports
                    fewest = min(fewest, reports.count(now))
            print(f'{self.id()}: {fewest} heard')
            self.assertEqual(fewest, DAEMONS - 1)

        self.play(scenario)

    def test_daemons_that_have_ended_are_informed_no_more(self) -> None:
        """Whether one followed or led."""

        async def scenario(rig: Rig) -> None:
            leader = rig.leader()
            ended = [one for one in rig.daemons if one is not leader][0]
            for one in (ended, leader):
                one.kill()
                await asyncio.sleep(LIST_TIME)
                for daemon in rig.daemons:
                    if daemon.machine.is_alive:
                        informed = daemons_to_inform(daemon.member)
                        self.assertNotIn(one.machine.name, informed)
            self.assertEqual(len(daemons_to_inform(rig.leader().member)), 5)

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
