"""Tests of the permits for requests to cold targets."""

import random
import unittest
from collections.abc import Callable

from cassialever.policy.permits import (
    KEEPER_CHANGE_DELAY,
    MAX_BOOKING_DELAY,
    MAX_REQUESTS_PER_SECOND,
    PERMIT_LIFETIME,
    KeeperDirectory,
    PermitBatch,
    PermitIssuer,
    PermitLimiter,
)
from tests.replay_helpers import most_in_one_second

FLEET = [f'edge-{number}' for number in range(59)]
#: Rates at which cold targets of the users' deployments take requests, and
#: the allowance beside 1.5 times that.
RATES = ((4.5, 8), (12, 5))


def recorder(
    requested: list[str], daemon_count: int
) -> Callable[[str, int], int]:
    """Return a way to request permits that records what is requested."""

    def request_permit(target_id: str, wanted: int) -> int:
        requested.append(target_id)
        return daemon_count

    return request_permit


class IssuerTest(unittest.TestCase):
    """What a keeper issues."""

    def test_permits_keep_the_rate_however_they_are_used(self) -> None:
        """Requests come at random; permits are used early, late or never."""
        for rate, allowance in RATES:
            for seed in range(20):
                rng = random.Random(seed)
                issuer = PermitIssuer()
                used = []
                now = 0.0
                demand = rng.choice((2, 5, 10)) * rate
                while now < 20:
                    now += rng.expovariate(demand)
                    wanted = rng.choice((1, 1, 3, 40))
                    batch = issuer.issue('t0', rate, now, wanted)
                    for position in range(batch.count):
                        start = now + batch.delay + position * batch.interval
                        if rng.random() < 0.9:
                            use = rng.choice((0, rng.random(), 0.99))
                            used.append(start + use * PERMIT_LIFETIME)
                with self.subTest(rate=rate, seed=seed):
                    self.assertLessEqual(
                        most_in_one_second(used), 1.5 * rate + allowance
                    )
                    self.assertGreater(len(used), 0.6 * rate * 20)

    def test_target_that_takes_nothing_gets_no_permit(self) -> None:
        self.assertIsNone(PermitIssuer().issue('t0', 0, 1))

    def test_pruned_issuer_keeps_the_rate(self) -> None:
        issuer = PermitIssuer()
        issued = 0
        for step in range(100):
            issued += issuer.issue('t0', 4.5, step / 100).count
            issuer.prune(step / 100)
        self.assertLessEqual(issued, 1.5 * 4.5 + 1)


class KeeperTest(unittest.TestCase):
    """Which daemon is the keeper of a target."""

    def test_daemons_agree_and_share_the_targets(self) -> None:
        directories = []
        for seed in range(3):
            daemons = FLEET[:]
            random.Random(seed).shuffle(daemons)
            directories.append(KeeperDirectory())
            directories[-1].update(daemons, 1.0)
        count_by_keeper: dict[str | None, int] = {}
        for number in range(590):
            keepers = {one.keeper_of(f'i-{number}') for one in directories}
            self.assertEqual(len(keepers), 1)
            keeper = keepers.pop()
            count_by_keeper[keeper] = count_by_keeper.get(keeper, 0) + 1
        self.assertLess(max(count_by_keeper.values()), 30)

    def test_no_keeper_is_known_without_daemons(self) -> None:
        self.assertIsNone(KeeperDirectory().keeper_of('i-1'))

    def test_new_keeper_waits_for_permits_of_the_former(self) -> None:
        directory = KeeperDirectory()
        directory.update(FLEET, 1.0)
        keeper_by_id = {
            f'i-{number}': directory.keeper_of(f'i-{number}')
            for number in range(500)
        }
        gone = FLEET[7]
        left = [name for name in FLEET if name != gone]
        directory.update(left, 2.0)
        for target_id, keeper in keeper_by_id.items():
            expected = None if keeper == gone else keeper
            self.assertEqual(directory.keeper_of(target_id), expected)
        # A permit may have been issued just before, for the latest start.
        last_use = 2.0 + MAX_BOOKING_DELAY + PERMIT_LIFETIME
        directory.update(left, last_use - 0.01)
        for target_id, keeper in keeper_by_id.items():
            expected = None if keeper == gone else keeper
            self.assertEqual(directory.keeper_of(target_id), expected)
        directory.update(left, 2.0 + KEEPER_CHANGE_DELAY)
        for target_id, keeper in keeper_by_id.items():
            new_keeper = directory.keeper_of(target_id)
            self.assertIn(new_keeper, left)
            self.assertTrue(keeper == gone or keeper == new_keeper)


class LimiterTest(unittest.TestCase):
    """The permits of one daemon."""

    def test_permit_is_valid_for_its_lifetime_and_one_request(self) -> None:
        limiter = PermitLimiter()
        limiter.add_permits('t0', PermitBatch(0.5, 1), 4.5)
        self.assertFalse(limiter.allows('t0', 4.99))
        self.assertTrue(limiter.allows('t0', 5.0))
        self.assertFalse(limiter.allows('t0', 5.0 + PERMIT_LIFETIME))
        limiter.use_permit('t0')
        self.assertFalse(limiter.allows('t0', 5.1))

    def test_requests_of_a_large_fleet_are_bounded(self) -> None:
        for fleet_size in (1, 10, 59, 1100):
            limiter = PermitLimiter()
            requested: list[str] = []

            def request_permit(
                target_id: str, wanted: int, size: int = fleet_size
            ) -> int:
                requested.append(target_id)
                return size

            limiter.request_permits = request_permit
            for step in range(10_000):
                limiter.request('t0', step / 1000)
            with self.subTest(fleet_size=fleet_size):
                of_all = len(requested) / 10 * fleet_size
                self.assertLessEqual(of_all, 1.3 * MAX_REQUESTS_PER_SECOND)

    def test_no_request_is_made_while_a_permit_is_valid(self) -> None:
        limiter = PermitLimiter()
        requested: list[str] = []
        limiter.request_permits = recorder(requested, 1)
        limiter.add_permits('t0', PermitBatch(0.5, 1), 4.5)
        limiter.request('t0', 4.8)
        limiter.request('t0', 5.1)
        self.assertEqual(requested, [])
        limiter.prune(5.0 + PERMIT_LIFETIME)
        limiter.request('t0', 5.0 + PERMIT_LIFETIME)
        self.assertEqual(requested, ['t0'])


if __name__ == '__main__':
    unittest.main()
