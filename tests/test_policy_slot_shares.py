"""Tests of shares of the slots of contended targets, and of their keeper."""

import random
import unittest
from unittest import mock

from cassialever.fleet.model import Target
from cassialever.policy.contention import CONTENDED_PERIOD, HEARD_PERIOD
from cassialever.policy.share_limits import (
    MAX_ASKS_AT_ONCE,
    MAX_ASKS_PER_SECOND,
)
from cassialever.policy.slot_keeper import (
    LEASE,
    MAX_PLACES_PER_SLOT,
    PlaceReport,
    SlotKeeper,
)
from cassialever.policy.slot_shares import (
    ASK_TIMEOUT,
    ASSUMED_DAEMONS,
    PLACE_LIFETIME,
    PlaceEnd,
    SlotShares,
)
from tests.fleet_helpers import ManualClock, add_targets, configured_view
from tests.slot_share_replay import SERVICE, Fleet

NOW = 100.0
#: What two daemons with shares answer in time, less 0.02.
IN_TIME = 0.936


def a_target() -> Target:
    """Return a target with six slots."""
    view = configured_view(ManualClock(), targets=0)
    add_targets(view, ['t0'], SERVICE)
    return view.targets.by_id['t0']


def load(since: float) -> float:
    """Return the demand as a share of the capacity: a burst, then a lull."""
    for until, share in ((4, 0.6), (9, 1.2), (13, 2.0), (15, 0.7)):
        if since < until:
            return share
    return 1.1


class ReplayTest(unittest.TestCase):
    """A burst on slow and fast targets, entered unevenly by waves."""

    def replay(self, daemons: int, **options: bool) -> dict[str, float]:
        fleet = Fleet(daemons, 12, **options)
        fleet.run(17, load)
        return fleet.report()

    def test_share_served_in_time_does_not_fall_with_the_daemons(self) -> None:
        """Without shares: 0.92 with 2 daemons, 0.59 with 60, 0.49 with 300.

        Two daemons need none.
        """
        best = self.replay(2)
        for daemons in (60, 300):
            with self.subTest(daemons=daemons):
                many = self.replay(daemons)
                self.assertGreater(many['in time'], best['in time'])
                self.assertGreater(many['in time'], IN_TIME)
                self.assertLess(many['to full'], 0.005)
                # The places of a target, and requests that hold none.
                self.assertLess(many['most at once'], MAX_PLACES_PER_SLOT + 1)

    def test_calm(self) -> None:
        """Nothing is bound, so that no datagram is sent for a place."""
        fleet = Fleet(6, 12)
        fleet.run(8, lambda _: 0.4)
        self.assertEqual(fleet.datagrams, 0)
        self.assertEqual(fleet.outcomes['refused'], 0)


class KeeperTest(unittest.TestCase):
    """The places of one target."""

    def setUp(self) -> None:
        self.keeper = SlotKeeper(random.Random(1))
        self.target = a_target()

    def ask(self, now: float = NOW, **report: object) -> tuple[int, ...]:
        return self.keeper.handle(
            self.target, PlaceReport(**{'wanted': 1, **report}), 0.6, now
        )

    def fill(self, now: float = NOW) -> list[int]:
        """Take places until there is none."""
        places: list[int] = []
        while given := self.ask(now):
            places.extend(given)
        return places

    def test_places_sum_to_what_a_target_has(self) -> None:
        places = self.fill()
        self.assertEqual(len(places), 9)
        self.assertEqual(len(set(places)), 9)

    def test_place_that_is_given_back_is_handed_out(self) -> None:
        places = self.fill()
        self.assertEqual(len(self.ask(released=(places[0],))), 1)
        # Twice, or one of another keeper.
        self.assertFalse(self.ask(released=(places[0], 7)))

    def test_places_of_a_daemon_that_is_lost(self) -> None:
        self.fill()
        self.assertFalse(self.ask(NOW + LEASE - 0.01))
        self.assertEqual(len(self.fill(NOW + LEASE)), 9)

    def test_requests_of_daemons_that_ask_for_no_place(self) -> None:
        """Those of an earlier build, or of one that has another keeper."""
        for _ in range(30):
            self.ask(wanted=0, requests=5)
        self.assertEqual(len(self.fill()), 4)

    def test_full_target_without_places_gets_a_trickle(self) -> None:
        for _ in range(30):
            self.ask(wanted=0, requests=50)
        self.assertEqual(len(self.fill()), 1)

    def test_queue_of_a_slow_target_is_shorter(self) -> None:
        for _ in range(30):
            self.ask(wanted=0, latency=1.2)
        self.assertEqual(len(self.fill()), 6)


class SharesTest(unittest.TestCase):
    """The places of one daemon."""

    def setUp(self) -> None:
        self.shares = SlotShares(random.Random(1))
        self.shares.daemon_count = 60
        self.shares.send = self.sent = mock.Mock()
        self.target = a_target()
        self.shares.waiting_by_service[SERVICE] = 1

    def contend(self) -> None:
        for _ in range(2):
            end = PlaceEnd(requests=9)
            self.shares.record_end(self.target, end, SERVICE, NOW)

    def test_one_full_target_is_no_contention(self) -> None:
        end = PlaceEnd(requests=9)
        self.shares.record_end(self.target, end, SERVICE, NOW)
        self.shares.record_end(self.target, end, SERVICE, NOW + 3)
        self.assertFalse(self.shares.needs_place(self.target, NOW + 3))
        self.assertEqual(self.shares.contention.reported(), ())

    def test_contention_is_told_and_ends(self) -> None:
        self.contend()
        other = SlotShares(random.Random(1))
        other.daemon_count = 60
        other.contention.record_heard(self.shares.contention.reported(), NOW)
        for shares, period in (
            (self.shares, CONTENDED_PERIOD),
            (other, HEARD_PERIOD),
        ):
            self.assertTrue(shares.needs_place(self.target, NOW + period - 1))
            self.assertFalse(shares.needs_place(self.target, NOW + period))
        # What was heard is not passed on, or it would never end.
        self.assertEqual(other.contention.reported(), ())

    def test_contention_soon_ends_after_its_last_sign(self) -> None:
        self.contend()
        self.assertFalse(self.shares.needs_place(self.target, NOW + 6))

    def test_reports_that_are_fresh_bind_nothing(self) -> None:
        """Half of a service time of 0.4 s; with a queue it takes longer."""
        end = PlaceEnd(latency=1.0, requests=14)
        for period, is_bound in ((0.19, False), (0.21, True)):
            with self.subTest(period=period):
                self.shares.staleness.report_period = period
                for _ in range(2):
                    self.shares.record_end(self.target, end, SERVICE, NOW)
                is_contended = self.shares.is_contended(SERVICE, NOW)
                self.assertIs(is_contended, is_bound)
                is_told = bool(self.shares.contention.reported())
                self.assertIs(is_told, is_bound)

    def test_refusals_without_a_queue_are_no_sign(self) -> None:
        for _ in range(9):
            end = PlaceEnd(requests=2, is_shed=True)
            self.shares.record_end(self.target, end, SERVICE, NOW)
        self.assertFalse(self.shares.needs_place(self.target, NOW))

    def test_place_that_arrives_twice_is_used_once(self) -> None:
        self.shares.ask(self.target, 0.2, NOW)
        self.shares.add_places('t0', (5,), 0, NOW)
        self.assertEqual(self.shares.take('t0'), 5)
        self.sent.reset_mock()
        self.shares.add_places('t0', (5,), 0, NOW)
        self.assertFalse(self.shares.holds('t0', NOW))
        self.sent.assert_not_called()

    def test_delay_that_makes_no_sense_is_bounded(self) -> None:
        self.shares.ask(self.target, 0.2, NOW)
        self.shares.add_places('t0', (), 3600, NOW)
        self.assertTrue(self.shares.may_ask('t0', NOW + 2))

    def test_place_of_an_owner_beside_one_that_is_unused(self) -> None:
        """A request for the keys of one owner can't use another's place."""
        view = configured_view(ManualClock(), targets=0)
        add_targets(view, ['k0', 'k1'], 'registry')
        self.shares.waiting_by_service['registry'] = 1
        for name, place in (('k0', 5), ('k1', 6)):
            owner = view.targets.by_id[name]
            for _ in range(2):
                end = PlaceEnd(requests=9)
                self.shares.record_end(owner, end, name, NOW)
            self.shares.ask(owner, 0.2, NOW)
            self.shares.add_places(name, (place,), 0, NOW)
            self.assertTrue(self.shares.holds(name, NOW))

    def test_questions_in_a_second_are_bounded(self) -> None:
        times = [NOW + step / 1000 for step in range(1000)]
        asked = sum(map(self.shares.asks.spend, times))
        self.assertLessEqual(asked, MAX_ASKS_PER_SECOND + MAX_ASKS_AT_ONCE)
        self.assertGreaterEqual(asked, MAX_ASKS_PER_SECOND)

    def test_daemon_that_is_alone_is_not_bound(self) -> None:
        self.shares.daemon_count = 1
        self.contend()
        self.assertFalse(self.shares.needs_place(self.target, NOW))

    def test_place_is_used_once_and_given_back(self) -> None:
        self.shares.ask(self.target, 0.2, NOW)
        self.assertFalse(self.shares.holds('t0', NOW))
        self.shares.add_places('t0', (5,), 0, NOW)
        self.assertTrue(self.shares.holds('t0', NOW))
        self.assertEqual(self.shares.take('t0'), 5)
        self.assertFalse(self.shares.holds('t0', NOW))
        end = PlaceEnd(5, 0.3, 4)
        self.shares.record_end(self.target, end, SERVICE, NOW)
        self.sent.assert_called_with('t0', PlaceReport(0, (5,), 0.3, 4))

    def test_places_that_none_waits_for_are_given_back(self) -> None:
        self.shares.ask(self.target, 0.2, NOW)
        self.shares.add_places('t0', (5, 6), 0, NOW)
        self.sent.assert_called_with('t0', PlaceReport(0, (6,)))
        self.shares.prune({'t0'}, NOW + PLACE_LIFETIME)
        self.sent.assert_called_with('t0', PlaceReport(0, (5,)))

    def test_denied_daemon_asks_again_later(self) -> None:
        self.shares.ask(self.target, 0.2, NOW)
        self.shares.add_places('t0', (), 0.1, NOW)
        delay = self.shares.delay('t0', NOW)
        self.assertTrue(0.05 <= delay <= 0.15)
        self.assertFalse(self.shares.may_ask('t0', NOW + delay - 0.01))
        self.assertTrue(self.shares.may_ask('t0', NOW + delay + 0.001))

    def sent_without_keeper(self) -> int:
        """Return what is sent in a minute without any answer of a keeper."""
        sent = 0
        for step in range(int(60 / ASK_TIMEOUT)):
            now = NOW + step * ASK_TIMEOUT
            self.shares.ask(self.target, 0.2, now)
            if self.shares.holds('t0', now):
                self.shares.take('t0')
                sent += 1
        return sent

    def test_daemon_without_an_answer_keeps_to_an_equal_share(self) -> None:
        """Six slots at 0.2 s are 30 a second, for 60 daemons."""
        sent = self.sent_without_keeper()
        self.assertLessEqual(sent, 30 + 1)
        self.assertGreater(sent, 0.7 * 30)

    def test_daemon_that_knows_no_other_keeps_to_a_small_share(self) -> None:
        self.shares.daemon_count = 0
        share = 30 * 60 / ASSUMED_DAEMONS
        sent = self.sent_without_keeper()
        self.assertLessEqual(sent, share + 1)
        self.assertGreater(sent, 0.7 * share)


if __name__ == '__main__':
    unittest.main()
