"""Schedules found by a review of owners whose addresses others have."""

import asyncio
import unittest

from cassialever.fleet.limit_reports import make_report
from cassialever.policy.limits import LimitSource, TargetLimit, TargetLimits
from tests.ownership_fakes import Daemon, FakeTarget, World
from tests.test_keys_replaced import (
    ADDRESS,
    MAX_HOLD,
    OTHER_ADDRESS,
    OWNER,
    ReplacedTestCase,
    Scenario,
    _target,
)


class LateReportTest(ReplacedTestCase):
    """A report that is older than a grant which the owner has accepted."""

    def test_report_from_before_a_grant_frees_no_keys(self) -> None:
        # The entry names the first life all the while: the leader's rows come
        # late. The daemon that has seen the other process was frozen.
        self.check_each(self._scenario(is_reported=True))

    def test_without_the_report_no_key_has_two_owners(self) -> None:
        # Shows that the report alone is what does it above.
        self.check_each(self._scenario(is_reported=False))

    def _scenario(self, *, is_reported: bool) -> Scenario:
        async def scenario(world: World, leader: Daemon) -> None:
            limits = TargetLimits()
            limits.record_replaced(leader.view.targets.by_id[OWNER])
            known = limits.of(OWNER)
            assert known is not None
            report = make_report(known, world.loop.time())
            world.replace_target(ADDRESS, 'other', is_keyed=False)
            await asyncio.sleep(2 * MAX_HOLD)
            reborn = FakeTarget(OWNER, ADDRESS)
            reborn.started_at = 1002
            world.targets[ADDRESS] = reborn
            # The keys of others need an owner.
            for address, target in world.targets.items():
                if address != ADDRESS and address != OTHER_ADDRESS:
                    target.is_up = False
            await asyncio.sleep(3 * MAX_HOLD)
            self.assertTrue(reborn.grants, 'the scenario is void')
            if is_reported:
                leader.take_report(report)
            await asyncio.sleep(MAX_HOLD)

        return scenario


class MaskedReportTest(unittest.TestCase):
    """Two reports on one life with two addresses."""

    def test_wrong_address_does_not_hide_the_right_one(self) -> None:
        for wrong in ('10.1.64.0:8707', '10.1.64.9:8707'):
            with self.subTest(wrong):
                limits = TargetLimits()
                limits.merge(
                    TargetLimit(OWNER, 1000, replaced_at=wrong), _peer()
                )
                limits.record_replaced(_target())
                self.assertTrue(limits.is_replaced(_target()))

    def test_report_on_another_life_does_not_hide_that_of_the_entry(
        self,
    ) -> None:
        # The entry of the other life has not come, or a clock stepped back.
        limits = TargetLimits()
        limits.merge(TargetLimit(OWNER, 2000, leaving_since=1.0), _peer())
        limits.record_replaced(_target())
        self.assertTrue(limits.is_replaced(_target()))


def _peer() -> LimitSource:
    return LimitSource('a follower')


if __name__ == '__main__':
    unittest.main()
